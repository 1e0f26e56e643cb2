package dcengine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// queueingServers runs a limited number of requests of each server at a time,
// queues some more and refuses the others.
type queueingServers struct {
	fakeSender
	slots, queue int
	work         time.Duration

	stateMu sync.Mutex
	servers map[dcid.ServerID]*queueingServer
}

type queueingServer struct {
	slots   chan struct{}
	present int
}

func (q *queueingServers) Send(ctx context.Context, server dcbalance.Server, _ *dcforward.Request, _ time.Duration) dcforward.Answer {
	q.stateMu.Lock()
	state := q.servers[server.ID]
	if state == nil {
		state = &queueingServer{slots: make(chan struct{}, q.slots)}
		q.servers[server.ID] = state
	}
	if state.present == q.slots+q.queue {
		q.stateMu.Unlock()
		return dcforward.Answer{Outcome: dcbalance.Refused, Code: dcreason.UpstreamShed, Status: http.StatusServiceUnavailable}
	}
	state.present++
	q.stateMu.Unlock()
	defer func() {
		q.stateMu.Lock()
		state.present--
		q.stateMu.Unlock()
	}()
	select {
	case state.slots <- struct{}{}:
		time.Sleep(q.work)
		<-state.slots
		return answeredBy(server.ID)
	case <-ctx.Done():
		return dcforward.Answer{Outcome: dcbalance.Abandoned, Code: dcreason.Cancelled}
	}
}

// TestQueriesBeyondCapacity guards against queries that are all answered late, or
// fail after they have used the capacity of the shards, when shards have too few
// servers for the load.
func TestQueriesBeyondCapacity(t *testing.T) {
	const (
		hosts = 4
		slots = 4
		work  = 20 * time.Millisecond
		span  = 10 * time.Second
		// goodShare is the share of the answers in time at full load that must be left
		// at more than full load.
		goodShare = 0.9
	)
	capacity := float64(slots) / work.Seconds()
	inTime := func(load float64) (count int) {
		synctest.Test(t, func(t *testing.T) {
			sender := &queueingServers{slots: slots, queue: 30, work: work, servers: make(map[dcid.ServerID]*queueingServer)}
			var engines []*Engine
			for range hosts {
				engine := newTestEngine(t, &sender.fakeSender)
				engine.Sender, engine.Hosts = sender, fakeHosts(hosts)
				for _, service := range []dcid.ServiceName{"p1", "p2", "p3"} {
					engine.RemoveServer(service, dcid.ServerID(service)+"-b")
				}
				for _, service := range []dcid.ServiceName{"p1", "p2", "p3", "p4"} {
					id := dcid.ServerID(service) + "-a"
					engine.SetServer(service, dcbalance.Server{ID: id, Addr: dcid.ServerAddr(id), Domain: "z1", Capacity: slots})
				}
				engines = append(engines, engine)
			}
			var good atomic.Int64
			var requests sync.WaitGroup
			pause := time.Duration(float64(time.Second) / (capacity * load))
			for i := 0; time.Duration(i)*pause < span; i++ {
				engine := engines[i%hosts]
				requests.Go(func() {
					request := newTestRequest(engine, "/query/x")
					reply := engine.Handle(t.Context(), request)
					if reply.Code == dcreason.OK && time.Since(request.Arrived) <= 100*time.Millisecond {
						good.Add(1)
					}
				})
				time.Sleep(pause)
			}
			requests.Wait()
			time.Sleep(5 * time.Second)
			count = int(good.Load())
		})
		return count
	}
	full := inTime(0.9)
	for _, load := range []float64{1.15, 1.5, 2} {
		got := inTime(load)
		t.Logf("%.2f times the capacity: %d in time, %d at full load", load, got, full)
		if float64(got) < goodShare*float64(full) {
			t.Errorf("%d queries are answered in time at %.2f times the capacity, want at least %.0f%% of %d", got, load, 100*goodShare, full)
		}
	}
}
