package dcdemocommand

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

const (
	loadWorkers = 8
	// loadInterval is the time between two requests of one worker.
	loadInterval = 20 * time.Millisecond
	// requestsPerOrder is the proportion of orders in the load: of this many
	// consecutive requests of a worker, one is an order and the others are
	// queries.
	requestsPerOrder = 4
	// killedHostIndex is the index of the host that is killed, modulo the
	// number of hosts.
	killedHostIndex = 2
)

// loadStats counts the results of the load. It is safe for concurrent use
// through update; after the workers have stopped, it is used without the lock.
type loadStats struct {
	mu       sync.Mutex
	queries  int
	complete int
	partial  int
	refused  int
	// lost counts queries without a response.
	lost int
	// orders counts orders by outcome. "lost" stands for no response, and "ran
	// later" for an order that ran when it was sent again.
	orders map[string]int
	// reasons counts the reason codes of all responses to the load.
	reasons map[string]int
	// violations describes the incorrect responses to queries.
	violations []string
	// latencies are those of the queries with a response.
	latencies []time.Duration
	// unknownKeys are the keys of the orders whose outcome is not known.
	unknownKeys []string
}

// update calls change with the lock held.
func (s *loadStats) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// killHostUnderLoad kills one host with SIGKILL after a third of the load, and
// checks all responses and that no order ran more than once.
func (d *deployment) killHostUnderLoad(ctx context.Context) error {
	stats := &loadStats{orders: map[string]int{}, reasons: map[string]int{}}
	loadCtx, cancel := context.WithTimeout(ctx, d.options.Load)
	defer cancel()
	var workers sync.WaitGroup
	for worker := range loadWorkers {
		workers.Go(func() { d.sendLoad(ctx, loadCtx, worker, stats) })
	}
	select {
	case <-time.After(d.options.Load / 3):
	case <-ctx.Done():
	}
	host := d.hosts[killedHostIndex%len(d.hosts)]
	d.printf("killing %s, process %d\n", host.name, host.Pid())
	host.Signal(syscall.SIGKILL)
	<-host.Done()
	host.killed = true
	workers.Wait()
	if err := d.resolveUnknownOrders(ctx, stats); err != nil {
		return err
	}
	return d.verifyStats(stats)
}

// sendLoad sends requests to the hosts in turn until loadCtx ends. The requests
// use ctx, so that those in progress at the end of the load are completed.
func (d *deployment) sendLoad(ctx, loadCtx context.Context, worker int, stats *loadStats) {
	// Workers start at different offsets. Otherwise all of them would send at
	// the same time, in bursts.
	time.Sleep(loadInterval * time.Duration(worker) / loadWorkers)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-loadCtx.Done():
			return
		case <-ticker.C:
		}
		host := (i/requestsPerOrder + worker) % len(d.hosts)
		if i%requestsPerOrder == 0 {
			d.sendOrder(ctx, host, stats)
		} else {
			d.sendQuery(ctx, host, fmt.Sprintf("rye-%d", i%50), stats)
		}
	}
}

// tryHosts calls send for one host after the other, beginning with the given
// one, until a host accepts the connection. Callers do the same with the
// addresses that the tier gives them.
func tryHosts(host, hosts int, send func(host int) error) (err error) {
	for i := range hosts {
		err = send((host + i) % hosts)
		if !errors.Is(err, dccommand.ErrNotSent) {
			return err
		}
	}
	return err
}

// sendQuery sends a query, checks the response and records the result.
func (d *deployment) sendQuery(ctx context.Context, host int, body string, stats *loadStats) {
	var response *callerv1.QueryResponse
	var elapsed time.Duration
	err := tryHosts(host, len(d.hosts), func(host int) (err error) {
		response, elapsed, err = d.query(ctx, host, body)
		return err
	})
	stats.update(func() {
		stats.queries++
		if err != nil {
			stats.lost++
			return
		}
		stats.reasons[response.GetResult().GetReason()]++
		stats.latencies = append(stats.latencies, elapsed)
		if err := checkQuery(response, body, d.shardCount()); err != nil {
			stats.violations = append(stats.violations, err.Error())
		}
		_, missing := countShards(response)
		switch {
		case len(response.GetShards()) == 0:
			stats.refused++
		case missing == 0:
			stats.complete++
		default:
			stats.partial++
		}
	})
}

// sendOrder sends a new order and records its outcome.
func (d *deployment) sendOrder(ctx context.Context, host int, stats *loadStats) {
	key := newOrderKey()
	var response *callerv1.OrderResponse
	err := tryHosts(host, len(d.hosts), func(host int) (err error) {
		response, _, err = d.order(ctx, host, key)
		return err
	})
	stats.update(func() {
		outcome := "lost"
		if err == nil {
			outcome = response.GetResult().GetOutcome()
			stats.reasons[response.GetResult().GetReason()]++
		}
		stats.orders[outcome]++
		if outcome == "lost" || outcome == "unknown" {
			stats.unknownKeys = append(stats.unknownKeys, key)
		}
	})
}

// resolveUnknownOrders looks up every order whose outcome is not known and
// sends it again. An order that has already run must not run a second time,
// which verifyStats checks.
func (d *deployment) resolveUnknownOrders(ctx context.Context, stats *loadStats) error {
	for _, key := range stats.unknownKeys {
		var response *callerv1.OrderResponse
		err := tryHosts(0, len(d.hosts), func(host int) (err error) {
			response, err = d.lookup(ctx, host, key)
			return err
		})
		if err != nil {
			return err
		}
		d.printf("order %s looked up: %s %s\n", key, response.GetResult().GetOutcome(), response.GetResult().GetReason())
		err = tryHosts(0, len(d.hosts), func(host int) (err error) {
			response, _, err = d.order(ctx, host, key)
			return err
		})
		if err != nil {
			return err
		}
		d.printf("order %s sent again: %s %s\n", key, response.GetResult().GetOutcome(), response.GetResult().GetReason())
		if response.GetResult().GetOutcome() == "ran" {
			stats.orders["ran later"]++
		}
	}
	return nil
}

// verifyStats prints the counters and compares them with those of the
// stand-ins. It returns an error when a response was incorrect, when no query
// or no order succeeded, or when the number of orders that ran does not match.
func (d *deployment) verifyStats(stats *loadStats) error {
	slices.Sort(stats.latencies)
	quantile := func(q float64) time.Duration {
		if len(stats.latencies) == 0 {
			return 0
		}
		return stats.latencies[int(q*float64(len(stats.latencies)-1))].Round(10 * time.Microsecond)
	}
	d.printf("queries: %d, complete %d, partial %d, refused %d, lost with the host %d\n", stats.queries, stats.complete, stats.partial, stats.refused, stats.lost)
	d.printf("query latency: p50 %s, p99 %s, max %s\n", quantile(0.5), quantile(0.99), quantile(1))
	d.printf("orders by outcome: %v; reasons: %v\n", stats.orders, stats.reasons)
	if len(stats.violations) > 0 {
		return eris.Errorf("%d incorrect query responses, for example: %s", len(stats.violations), stats.violations[0])
	}
	if stats.complete+stats.partial == 0 || stats.orders["ran"] == 0 {
		return eris.New("no query was answered with results, or no order ran")
	}
	ran := stats.orders["ran"] + stats.orders["ran later"]
	return d.checkOrderRuns(ran, ran+len(stats.unknownKeys))
}
