package dcengine

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

// fakeSender answers by a function of the server.
type fakeSender struct {
	mu    sync.Mutex
	sends []dcid.ServerID
	// answer gets the number of sends to the server so far, from 1.
	answer func(ctx context.Context, server dcid.ServerID, count int) dcforward.Answer
}

func (f *fakeSender) Send(ctx context.Context, server dcbalance.Server, _ *dcforward.Request, _ time.Duration) dcforward.Answer {
	f.mu.Lock()
	f.sends = append(f.sends, server.ID)
	count := len(f.sends)
	f.mu.Unlock()
	return f.answer(ctx, server.ID, count)
}

func (f *fakeSender) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sends)
}

func (f *fakeSender) SetLimit(dcid.ServerAddr, int) {}

type hosts int

func (h hosts) Count() int { return int(h) }

func (h hosts) StaleConnections() bool { return false }

func answered(server dcid.ServerID) dcforward.Answer {
	return dcforward.Answer{Outcome: dcbalance.Answered, Status: http.StatusOK, Proof: "p-" + string(server), Body: fmt.Appendf(nil, "%-16s", server)}
}

// blocked waits for the end of the send.
func blocked(ctx context.Context) dcforward.Answer {
	<-ctx.Done()
	return dcforward.Answer{Outcome: dcbalance.Abandoned}
}

// drive answers a request and returns how long that took. It runs in a bubble
// of testing/synctest, where time passes only while everything waits for it, so
// the speed of the machine does not matter.
func drive(t *testing.T, sender *fakeSender, path string) (reply Reply, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engine := newEngine(t, sender)
		sent := request(engine, path)
		reply = engine.Handle(t.Context(), sent)
		took = engine.Clock.Since(sent.Arrived)
		// Sends that are still running end at the deadline.
		time.Sleep(sent.Deadline.Sub(sent.Arrived))
	})
	return reply, took
}

// newEngine has services p1 to p4 with the servers pN-a and pN-b each.
func newEngine(t *testing.T, sender *fakeSender) *Engine {
	t.Helper()
	engine := &Engine{
		Sender: sender, Connections: sender, Hosts: hosts(2), Clock: clockwork.NewRealClock(),
		Log: zap.NewNop(), Meter: NewMeter(tally.NoopScope), Domain: "z1", Seed: 1,
		ExtraLoad: ExtraLoad{Ratio: 0.2, Slack: 50, Span: 10 * time.Second},
	}
	route := dcroute.Route{Host: "a", Timeout: 500 * time.Millisecond, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 2}
	query, safe, unsafe := route, route, route
	query.Name, query.Prefix, query.Idempotent = "query", "/query/", true
	query.Shards, query.MaxRecords, query.MinCoverage = []dcid.ServiceName{"p1", "p2", "p3", "p4"}, 3, 0.75
	safe.Name, safe.Prefix, safe.Idempotent, safe.Split = "safe", "/safe/", true, []dcroute.WeightedService{{Service: "p1", Weight: 1}}
	unsafe.Name, unsafe.Prefix, unsafe.Split = "unsafe", "/unsafe/", safe.Split
	configuration := dcroute.Configuration{Version: 5, Routes: []dcroute.Route{query, safe, unsafe}}
	for _, shard := range query.Shards {
		configuration.Services = append(configuration.Services, dcroute.Service{Name: shard, MaxConnections: 40})
		for _, name := range []string{"a", "b"} {
			id := string(shard) + "-" + name
			engine.SetServer(shard, dcbalance.Server{ID: dcid.ServerID(id), Addr: dcid.ServerAddr(id), Domain: "z1", Capacity: 5})
		}
	}
	table, err := dcroute.NewTable(configuration)
	if err != nil {
		t.Fatal(err)
	}
	engine.Adopt(table)
	return engine
}

func request(engine *Engine, path string) *dcforward.Request {
	now := engine.Clock.Now()
	return &dcforward.Request{ID: "r", Method: http.MethodGet, Target: path, Path: path, Host: "a", Header: http.Header{}, Arrived: now, Deadline: now.Add(5 * time.Second)}
}

// TestQuery guards against a wrong merge, and against coverage that counts a
// shard that is not in.
func TestQuery(t *testing.T) {
	sender := &fakeSender{answer: func(ctx context.Context, server dcid.ServerID, _ int) dcforward.Answer {
		if strings.HasPrefix(string(server), "p2") {
			return blocked(ctx)
		}
		return answered(server)
	}}
	engine := newEngine(t, sender)
	reply := engine.Handle(t.Context(), request(engine, "/query/x"))
	if reply.Status != http.StatusOK || reply.Missing != 1 || len(reply.Proofs) != 3 || len(reply.Body) != 3*16 {
		t.Errorf("reply %+v", reply)
	}
	if !strings.HasPrefix(string(reply.Body), "p4-") {
		t.Errorf("records are not in falling order: %q", reply.Body)
	}
}

// TestAnswersWithinTarget guards against waiting for a silent shard beyond the
// latency target, and against giving up on it long before.
func TestAnswersWithinTarget(t *testing.T) {
	sender := &fakeSender{answer: func(ctx context.Context, server dcid.ServerID, _ int) dcforward.Answer {
		if strings.HasPrefix(string(server), "p2") {
			return blocked(ctx)
		}
		return answered(server)
	}}
	_, took := drive(t, sender, "/query/x")
	if took < 80*time.Millisecond || took > 90*time.Millisecond {
		t.Errorf("answered after %v with a target of 100ms", took)
	}
}

// TestTooFewShards guards against a success below the minimum coverage, and
// against a refusal that says not run although shards ran.
func TestTooFewShards(t *testing.T) {
	sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
		if server < "p3" {
			return dcforward.Answer{Outcome: dcbalance.Lost}
		}
		return answered(server)
	}}
	engine := newEngine(t, sender)
	reply := engine.Handle(t.Context(), request(engine, "/query/x"))
	if reply.Status != http.StatusBadGateway || reply.RetryAfter != 0 {
		t.Errorf("reply %+v", reply)
	}
}

// TestUnsafe guards against a second run of a request that is not idempotent,
// against a refusal that is not true, and against a server's failure that is
// passed on as a promise.
func TestUnsafe(t *testing.T) {
	failure := dcforward.Answer{Outcome: dcbalance.Failed, Status: http.StatusInternalServerError, Proof: "p"}
	unclear := dcforward.Answer{Outcome: dcbalance.Failed, Status: http.StatusServiceUnavailable, Proof: "p"}
	for name, c := range map[string]struct {
		first  dcforward.Answer
		status int
		sends  int
	}{
		"lost":            {dcforward.Answer{Outcome: dcbalance.Lost}, http.StatusBadGateway, 1},
		"failed":          {failure, http.StatusInternalServerError, 1},
		"503 but may run": {unclear, http.StatusBadGateway, 1},
		"refused":         {dcforward.Answer{Outcome: dcbalance.Refused}, http.StatusOK, 2},
		"unreachable":     {dcforward.Answer{Outcome: dcbalance.Unreachable}, http.StatusOK, 2},
		"misdirected":     {dcforward.Answer{Outcome: dcbalance.Misdirected}, http.StatusOK, 2},
	} {
		sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, count int) dcforward.Answer {
			if count == 1 {
				return c.first
			}
			return answered(server)
		}}
		engine := newEngine(t, sender)
		reply := engine.Handle(t.Context(), request(engine, "/unsafe/x"))
		if reply.Status != c.status || sender.count() != c.sends {
			t.Errorf("%s: status %d after %d sends, want %d after %d", name, reply.Status, sender.count(), c.status, c.sends)
		}
	}
}

// TestRefusal guards against a request that is held although all servers refuse
// it, and a refusal without a time to come back.
func TestRefusal(t *testing.T) {
	sender := &fakeSender{answer: func(context.Context, dcid.ServerID, int) dcforward.Answer {
		return dcforward.Answer{Outcome: dcbalance.Refused}
	}}
	reply, took := drive(t, sender, "/unsafe/x")
	if reply.Status != http.StatusServiceUnavailable || reply.RetryAfter <= 0 {
		t.Errorf("reply %+v", reply)
	}
	// A quarter of the latency target.
	if took > 25*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
}

// TestTimeout guards against a request that is held beyond its route's timeout.
func TestTimeout(t *testing.T) {
	sender := &fakeSender{answer: func(ctx context.Context, _ dcid.ServerID, _ int) dcforward.Answer { return blocked(ctx) }}
	reply, took := drive(t, sender, "/unsafe/x")
	if reply.Status != http.StatusGatewayTimeout || took > 510*time.Millisecond {
		t.Errorf("status %d after %v", reply.Status, took)
	}
}

// TestCallerLeaves guards against work that goes on for a caller who has left,
// and against breaking off a request that is not idempotent.
func TestCallerLeaves(t *testing.T) {
	for path, cancelled := range map[string]bool{"/safe/x": true, "/query/x": true, "/unsafe/x": false} {
		synctest.Test(t, func(t *testing.T) {
			var running atomic.Int32
			sender := &fakeSender{answer: func(ctx context.Context, _ dcid.ServerID, _ int) dcforward.Answer {
				running.Add(1)
				defer running.Add(-1)
				return blocked(ctx)
			}}
			engine := newEngine(t, sender)
			ctx, leave := context.WithCancel(t.Context())
			sent := request(engine, path)
			go engine.Handle(ctx, sent)
			synctest.Wait()
			if running.Load() == 0 {
				t.Fatalf("%s: nothing was sent", path)
			}
			leave()
			synctest.Wait()
			if left := running.Load(); (left == 0) != cancelled {
				t.Errorf("%s: %d sends go on after the caller has left", path, left)
			}
			// Sends that are still running end at the deadline.
			time.Sleep(sent.Deadline.Sub(sent.Arrived))
		})
	}
}

// TestAdopt guards against a configuration that goes back to an older version.
func TestAdopt(t *testing.T) {
	engine := newEngine(t, &fakeSender{})
	for _, version := range []dcroute.Version{7, 6, 7, 5} {
		engine.Adopt(&dcroute.Table{Configuration: dcroute.Configuration{Version: version}})
	}
	if got := engine.Table().Version; got != 7 {
		t.Errorf("version %d is in force", got)
	}
}

// TestSplit guards against shares that differ from their weights over few
// requests, and against requests to a part without weight.
func TestSplit(t *testing.T) {
	var all routes
	state := all.get("r")
	split := []dcroute.WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}, {Service: "c", Weight: 0}}
	got := map[dcid.ServiceName]int{}
	for range 40 {
		got[state.choose(split)]++
	}
	if got["a"] != 28 || got["b"] != 12 || got["c"] != 0 {
		t.Errorf("shares of 40 requests: %v", got)
	}
}

// TestNoServers guards against a query that runs at some shards although too
// few have servers for an answer.
func TestNoServers(t *testing.T) {
	sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer { return answered(server) }}
	engine := newEngine(t, sender)
	for _, id := range []string{"p1-a", "p1-b", "p2-a", "p2-b"} {
		engine.RemoveServer(dcid.ServiceName(id[:2]), dcid.ServerID(id))
	}
	reply := engine.Handle(t.Context(), request(engine, "/query/x"))
	if reply.Status != http.StatusServiceUnavailable || sender.count() != 0 {
		t.Errorf("status %d after %d sends to %v", reply.Status, sender.count(), slices.Compact(sender.sends))
	}
}

// TestNoServerIsExplained guards against a refusal whose log line does not say
// which services have no server.
func TestNoServerIsExplained(t *testing.T) {
	engine := newEngine(t, &fakeSender{})
	core, logs := observer.New(zap.WarnLevel)
	engine.Log = zap.New(core)
	for _, id := range []dcid.ServerID{"p2-a", "p2-b", "p4-a", "p4-b"} {
		engine.RemoveServer(dcid.ServiceName(id[:2]), id)
	}
	if reply := engine.Handle(t.Context(), request(engine, "/query/x")); reply.Code != dcreason.NoServer {
		t.Fatalf("reply %+v", reply)
	}
	entries := logs.FilterMessage("request failed").All()
	if len(entries) != 1 || fmt.Sprint(entries[0].ContextMap()["services-without-server"]) != "[p2 p4]" {
		t.Errorf("lines %+v", entries)
	}
}

// staleHosts are two hosts, and connections of an earlier process.
type staleHosts struct{ hosts }

func (staleHosts) StaleConnections() bool { return true }

// shares records the limits of connections.
type shares struct{ last atomic.Int64 }

func (s *shares) SetLimit(_ dcid.ServerAddr, limit int) { s.last.Store(int64(limit)) }

// TestConnectionShare guards against connections above the limit of a server,
// which resets them, while it still counts those of an earlier process.
func TestConnectionShare(t *testing.T) {
	engine := newEngine(t, &fakeSender{})
	var shares shares
	engine.Connections = &shares
	engine.LimitConnections()
	whole := shares.last.Load()
	engine.Hosts = staleHosts{2}
	engine.LimitConnections()
	if reduced := shares.last.Load(); whole != 40/3 || reduced < 1 || reduced > whole/2 {
		t.Errorf("share of %d connections, %d with those of an earlier process", whole, reduced)
	}
}

// TestSplitPartWithoutServers guards against requests of a part of a split that
// are moved to another part while it has no servers, and against parts that get
// less than their share because of it.
func TestSplitPartWithoutServers(t *testing.T) {
	sent := map[string]int{}
	sender := &fakeSender{}
	sender.answer = func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer { return answered(server) }
	engine := newEngine(t, sender)
	route := dcroute.Route{
		Name: "split", Host: "a", Prefix: "/split/", Timeout: time.Second, LatencyTarget: time.Second, MaxAttempts: 2,
		Split: []dcroute.WeightedService{{Service: "p1", Weight: 70}, {Service: "none", Weight: 30}},
	}
	table, err := dcroute.NewTable(dcroute.Configuration{Version: 6, Routes: []dcroute.Route{route}})
	if err != nil {
		t.Fatal(err)
	}
	engine.Adopt(table)
	for range 100 {
		reply := engine.Handle(t.Context(), request(engine, "/split/x"))
		sent[string(reply.Code)]++
		if reply.Code == dcreason.NoServer && (reply.Status != http.StatusServiceUnavailable || reply.RetryAfter <= 0) {
			t.Errorf("refusal %+v", reply)
		}
	}
	if sent[string(dcreason.OK)] != 70 || sent[string(dcreason.NoServer)] != 30 || sender.count() != 70 {
		t.Errorf("replies %v, %d sends", sent, sender.count())
	}
}
