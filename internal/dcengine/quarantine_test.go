package dcengine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// crashOn crashes each server that gets one of the targets.
type crashOn struct {
	fakeSender
	targets map[string]bool
	crashes int
	pause   time.Duration
}

func (c *crashOn) Send(ctx context.Context, server dcbalance.Server, request *dcforward.Request, left time.Duration) dcforward.Answer {
	time.Sleep(c.pause)
	c.mu.Lock()
	crashes := c.targets[request.Target]
	if crashes {
		c.crashes++
	}
	c.mu.Unlock()
	if crashes {
		return dcforward.Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamCrashed}
	}
	return answeredBy(server.ID)
}

func (c *crashOn) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// newCrashEngines returns hosts that share their suspicions.
func newCrashEngines(t *testing.T, sender *crashOn, hosts int) (engines []*Engine) {
	t.Helper()
	for range hosts {
		engine := newTestEngine(t, &sender.fakeSender)
		engine.Sender = sender
		engine.ShareSuspicions = func(suspicions []*peerv1.Suspicion) {
			for _, other := range engines {
				other.MergeSuspicions(suspicions)
			}
		}
		engines = append(engines, engine)
	}
	return engines
}

// TestRequestThatCrashesServers guards against a request that is sent to one
// server after the other, by all hosts, although each of them ends under it.
func TestRequestThatCrashesServers(t *testing.T) {
	for path, c := range map[string]struct {
		// mostCrashes is the number of servers that may end in all.
		mostCrashes int
	}{
		// Two attempts of the first request, and a canary.
		"/safe/crash": {3},
		// The first request of each of two hosts, and a canary.
		"/unsafe/crash": {2},
		// Four shards at once, the retries until the third crash is known, and a
		// canary.
		"/query/crash": {7},
	} {
		synctest.Test(t, func(t *testing.T) {
			sender := &crashOn{targets: map[string]bool{path: true}, pause: 5 * time.Millisecond}
			engines := newCrashEngines(t, sender, 3)
			for attempt := range 60 {
				engine := engines[attempt%len(engines)]
				before := sender.crashCount()
				reply := engine.Handle(t.Context(), newTestRequest(engine, path))
				ran := sender.crashCount() > before
				if refused := reply.Status == http.StatusServiceUnavailable; refused == ran {
					t.Errorf("%s, attempt %d: reply %+v, ran %t", path, attempt, reply, ran)
				}
				if !ran && reply.Code != dcreason.Quarantined {
					t.Errorf("%s, attempt %d: refused as %s, want quarantined", path, attempt, reply.Code)
				}
				if other := engine.Handle(t.Context(), newTestRequest(engine, "/safe/other")); other.Code != dcreason.OK {
					t.Errorf("%s, attempt %d: reply %+v to another request", path, attempt, other)
				}
				time.Sleep(time.Second)
			}
			if got := sender.crashCount(); got > c.mostCrashes {
				t.Errorf("%s: %d servers ended, want at most %d", path, got, c.mostCrashes)
			}
		})
	}
}

// TestRequestOfCrashedServer guards against refusing requests whose server ended
// for another reason, and against running them on all shards before a server has
// answered one of them.
func TestRequestOfCrashedServer(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/query/x"} {
		synctest.Test(t, func(t *testing.T) {
			sender := &crashOn{targets: map[string]bool{path: true}, pause: 5 * time.Millisecond}
			engines := newCrashEngines(t, sender, 2)
			engines[0].Handle(t.Context(), newTestRequest(engines[0], path))
			sender.mu.Lock()
			sender.targets[path] = false
			sender.mu.Unlock()
			time.Sleep(time.Second)
			started := time.Now()
			for range 5 {
				if reply := engines[1].Handle(t.Context(), newTestRequest(engines[1], path)); reply.Code != dcreason.OK || reply.MissingShards > 0 {
					t.Errorf("%s: reply %+v, want all of the answer", path, reply)
				}
			}
			// The first request takes two sends one after the other if it has parts.
			if took := time.Since(started); took > 6*5*time.Millisecond {
				t.Errorf("%s: five requests took %v", path, took)
			}
			if suspicions := engines[0].Suspicions(); len(suspicions) != 1 || suspicions[0].GetState() != "cleared" {
				t.Errorf("%s: suspicions %v, want a cleared one", path, suspicions)
			}
		})
	}
}

// TestCanaryWithoutOtherServer guards against a request that is refused for good
// after all servers of its service ended under it, and against one that waits for
// a server when there is none.
func TestCanaryWithoutOtherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &crashOn{targets: map[string]bool{"/safe/x": true}}
		engine := newCrashEngines(t, sender, 1)[0]
		engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
		sender.targets["/safe/x"] = false
		for _, server := range []dcid.ServerID{"p1-a", "p1-b"} {
			engine.RemoveServer("p1", server)
		}
		started := time.Now()
		if reply := engine.Handle(t.Context(), newTestRequest(engine, "/safe/x")); reply.Status != http.StatusServiceUnavailable || time.Since(started) > 0 {
			t.Errorf("reply %+v after %v without a server, want a refusal at once", reply, time.Since(started))
		}
		engine.SetServer("p1", dcbalance.Server{ID: "p1-a", Addr: "p1-a", Capacity: 5})
		if reply := engine.Handle(t.Context(), newTestRequest(engine, "/safe/x")); reply.Code != dcreason.OK {
			t.Errorf("reply %+v once a server is back, want an answer", reply)
		}
	})
}

// TestCanaryThatFails guards against a request that waits until its deadline after
// the server of its canary has refused it.
func TestCanaryThatFails(t *testing.T) {
	for _, path := range []string{"/safe/x", "/query/x"} {
		synctest.Test(t, func(t *testing.T) {
			refuse := false
			sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
				if refuse {
					return dcforward.Answer{Outcome: dcbalance.Refused, Code: dcreason.UpstreamShed, Status: http.StatusServiceUnavailable}
				}
				return dcforward.Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamCrashed}
			}}
			engine := newTestEngine(t, sender)
			engine.Handle(t.Context(), newTestRequest(engine, path))
			engine.SetServer("p1", dcbalance.Server{ID: "p1-c", Addr: "p1-c", Domain: "z1", Capacity: 5})
			refuse = true
			started := time.Now()
			reply := engine.Handle(t.Context(), newTestRequest(engine, path))
			if reply.Status != http.StatusServiceUnavailable || time.Since(started) > 100*time.Millisecond {
				t.Errorf("%s: reply %+v after %v, want a refusal within 100ms", path, reply, time.Since(started))
			}
		})
	}
}

// TestLostAnswersOfQuery guards against a query that fails because some of many
// servers that run it break their connections, although the others answer it, and
// against suspecting it.
func TestLostAnswersOfQuery(t *testing.T) {
	for _, firstAnswer := range []time.Duration{time.Millisecond, 10 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, count int) dcforward.Answer {
				if server != "p4-a" && server != "p4-b" && count <= 4 {
					time.Sleep(5 * time.Millisecond)
					return dcforward.Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamCrashed}
				}
				time.Sleep(firstAnswer)
				return answeredBy(server)
			}}
			engine := newTestEngine(t, sender)
			first := engine.Handle(t.Context(), newTestRequest(engine, "/query/x"))
			if first.Code != dcreason.OK || first.MissingShards > 0 {
				t.Errorf("reply %+v, want all of the answer", first)
			}
			time.Sleep(time.Second)
			if reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x")); reply.Code != dcreason.OK || reply.MissingShards > 0 {
				t.Errorf("reply %+v to the next attempt, want all of the answer", reply)
			}
			if suspicions := engine.Suspicions(); len(suspicions) > 0 {
				t.Errorf("suspicions %v of a request that servers answered", suspicions)
			}
		})
	}
}

// TestLostAnswersOfCommonRequest guards against a quarantine of a request that many
// callers send, because servers break half of their connections.
func TestLostAnswersOfCommonRequest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		synctest.Test(t, func(t *testing.T) {
			const requests = 400
			random := rand.New(rand.NewPCG(5, 0))
			sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
				if random.IntN(2) == 0 {
					return dcforward.Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamCrashed}
				}
				return answeredBy(server)
			}}
			engine := newTestEngine(t, sender)
			refused := 0
			for range requests {
				if reply := engine.Handle(t.Context(), newTestRequest(engine, path)); reply.Status == http.StatusServiceUnavailable {
					refused++
				}
				time.Sleep(10 * time.Millisecond)
			}
			if refused > requests/100 {
				t.Errorf("%s: %d of %d requests refused, want at most those before the first answer", path, refused, requests)
			}
		})
	}
}
