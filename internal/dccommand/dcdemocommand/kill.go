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
	loadWorkers  = 8
	loadInterval = 20 * time.Millisecond
	// requestsPerOrder is the share of orders in the load.
	requestsPerOrder = 4
	killedHostIndex  = 2
)

// loadStats counts what the load saw, under its own lock.
type loadStats struct {
	mu          sync.Mutex
	queries     int
	complete    int
	partial     int
	refused     int
	lost        int
	orders      map[string]int
	reasons     map[string]int
	violations  []string
	latencies   []time.Duration
	unknownKeys []string
}

func (t *loadStats) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// killHostUnderLoad kills one host under load and checks all answers.
func (d *deployment) killHostUnderLoad(ctx context.Context) error {
	count := &loadStats{orders: map[string]int{}, reasons: map[string]int{}}
	load, cancel := context.WithTimeout(ctx, d.options.Load)
	defer cancel()
	var workers sync.WaitGroup
	for worker := range loadWorkers {
		workers.Go(func() { d.sendLoad(ctx, load, worker, count) })
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
	if err := d.resolveUnknownOrders(ctx, count); err != nil {
		return err
	}
	return d.verifyStats(count)
}

// sendLoad sends requests to the hosts in turn until the load ends.
func (d *deployment) sendLoad(ctx, load context.Context, worker int, count *loadStats) {
	// Without an offset the workers would send in bursts.
	time.Sleep(loadInterval * time.Duration(worker) / loadWorkers)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-load.Done():
			return
		case <-ticker.C:
		}
		host := (i/requestsPerOrder + worker) % len(d.hosts)
		if i%requestsPerOrder == 0 {
			d.sendOrder(ctx, host, count)
		} else {
			d.sendQuery(ctx, host, fmt.Sprintf("rye-%d", i%50), count)
		}
	}
}

// tryHosts tries the hosts in order, as a caller with an address answer does.
func tryHosts(host, hosts int, send func(host int) error) (err error) {
	for i := range hosts {
		err = send((host + i) % hosts)
		if !errors.Is(err, dccommand.ErrNotSent) {
			return err
		}
	}
	return err
}

func (d *deployment) sendQuery(ctx context.Context, host int, body string, count *loadStats) {
	var answer *callerv1.QueryResponse
	var elapsed time.Duration
	err := tryHosts(host, len(d.hosts), func(host int) (err error) {
		answer, elapsed, err = d.query(ctx, host, body)
		return err
	})
	count.update(func() {
		count.queries++
		if err != nil {
			count.lost++
			return
		}
		count.reasons[answer.GetResult().GetReason()]++
		count.latencies = append(count.latencies, elapsed)
		if err := checkQuery(answer, body, d.shardCount()); err != nil {
			count.violations = append(count.violations, err.Error())
		}
		_, missing := countShards(answer)
		switch {
		case len(answer.GetShards()) == 0:
			count.refused++
		case missing == 0:
			count.complete++
		default:
			count.partial++
		}
	})
}

func (d *deployment) sendOrder(ctx context.Context, host int, count *loadStats) {
	key := newKey()
	var answer *callerv1.OrderResponse
	err := tryHosts(host, len(d.hosts), func(host int) (err error) {
		answer, _, err = d.order(ctx, host, key)
		return err
	})
	count.update(func() {
		outcome := "lost"
		if err == nil {
			outcome = answer.GetResult().GetOutcome()
			count.reasons[answer.GetResult().GetReason()]++
		}
		count.orders[outcome]++
		if outcome == "lost" || outcome == "unknown" {
			count.unknownKeys = append(count.unknownKeys, key)
		}
	})
}

// resolveUnknownOrders looks up and sends again every order whose outcome was not learned.
// None may run a second time.
func (d *deployment) resolveUnknownOrders(ctx context.Context, count *loadStats) error {
	for _, key := range count.unknownKeys {
		var answer *callerv1.OrderResponse
		err := tryHosts(0, len(d.hosts), func(host int) (err error) {
			answer, err = d.lookup(ctx, host, key)
			return err
		})
		if err != nil {
			return err
		}
		d.printf("order %s looked up: %s %s\n", key, answer.GetResult().GetOutcome(), answer.GetResult().GetReason())
		err = tryHosts(0, len(d.hosts), func(host int) (err error) {
			answer, _, err = d.order(ctx, host, key)
			return err
		})
		if err != nil {
			return err
		}
		d.printf("order %s sent again: %s %s\n", key, answer.GetResult().GetOutcome(), answer.GetResult().GetReason())
		if answer.GetResult().GetOutcome() == "ran" {
			count.orders["ran later"]++
		}
	}
	return nil
}

// verifyStats prints the counts and compares them with the stand-ins.
func (d *deployment) verifyStats(count *loadStats) error {
	slices.Sort(count.latencies)
	quantile := func(q float64) time.Duration {
		if len(count.latencies) == 0 {
			return 0
		}
		return count.latencies[int(q*float64(len(count.latencies)-1))].Round(10 * time.Microsecond)
	}
	d.printf("queries: %d, complete %d, partial %d, refused %d, lost with the host %d\n", count.queries, count.complete, count.partial, count.refused, count.lost)
	d.printf("query latency: p50 %s, p99 %s, max %s\n", quantile(0.5), quantile(0.99), quantile(1))
	d.printf("orders by outcome: %v; reasons: %v\n", count.orders, count.reasons)
	if len(count.violations) > 0 {
		return eris.Errorf("%d untruthful answers, for example: %s", len(count.violations), count.violations[0])
	}
	if count.complete+count.partial == 0 || count.orders["ran"] == 0 {
		return eris.New("no query or no order was answered")
	}
	ran := count.orders["ran"] + count.orders["ran later"]
	return d.checkOrderRuns(ran, ran+len(count.unknownKeys))
}
