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

// fakeSender answers each send by a function of the server.
type fakeSender struct {
	mu    sync.Mutex
	sends []dcid.ServerID
	// answer gets the number of sends so far, from 1.
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

type fakeHosts int

func (h fakeHosts) Count() int { return int(h) }

func (h fakeHosts) Rank(dcid.ServerID) int { return 0 }

func (h fakeHosts) Sharers() int           { return int(h) }
func (h fakeHosts) StaleConnections() bool { return false }

func answeredBy(server dcid.ServerID) dcforward.Answer {
	return dcforward.Answer{Outcome: dcbalance.Answered, Status: http.StatusOK, Proof: "p-" + string(server), Body: fmt.Appendf(nil, "%-16s", server)}
}

// blockUntilDone blocks until the context of the send ends.
func blockUntilDone(ctx context.Context) dcforward.Answer {
	<-ctx.Done()
	return dcforward.Answer{Outcome: dcbalance.Abandoned}
}

// handleInBubble answers a request in a bubble of testing/synctest and returns
// how long that took. Time in the bubble advances only while all goroutines are
// blocked, so the speed of the machine does not matter.
func handleInBubble(t *testing.T, sender *fakeSender, path string) (reply Reply, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engine := newTestEngine(t, sender)
		sent := newTestRequest(engine, path)
		reply = engine.Handle(t.Context(), sent)
		took = engine.Clock.Since(sent.Arrived)
		// Sends that are still in progress end at the deadline.
		time.Sleep(sent.Deadline.Sub(sent.Arrived))
	})
	return reply, took
}

// newTestEngine returns an engine with the services p1 to p4, each with the
// servers pN-a and pN-b.
func newTestEngine(t testing.TB, sender *fakeSender) *Engine {
	t.Helper()
	engine := &Engine{
		Sender: sender, Connections: sender, Hosts: fakeHosts(2), Clock: clockwork.NewRealClock(),
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
	engine.UpdateTable(table)
	return engine
}

func newTestRequest(engine *Engine, path string) *dcforward.Request {
	now := engine.Clock.Now()
	return &dcforward.Request{ID: "r", Method: http.MethodGet, Target: path, Path: path, Host: "a", Header: http.Header{}, Arrived: now, Deadline: now.Add(5 * time.Second)}
}

// TestQueryMerge guards against a wrong merge of the answers of shards, and
// against a coverage that includes a shard without an answer.
func TestQueryMerge(t *testing.T) {
	sender := &fakeSender{answer: func(ctx context.Context, server dcid.ServerID, _ int) dcforward.Answer {
		if strings.HasPrefix(string(server), "p2") {
			return blockUntilDone(ctx)
		}
		return answeredBy(server)
	}}
	engine := newTestEngine(t, sender)
	reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x"))
	if reply.Status != http.StatusOK || reply.MissingShards != 1 || len(reply.Proofs) != 3 || len(reply.Body) != 3*16 {
		t.Errorf("reply %+v, want status 200 with 1 missing shard, 3 proofs and 3 records", reply)
	}
	if !strings.HasPrefix(string(reply.Body), "p4-") {
		t.Errorf("records are not in descending order: %q", reply.Body)
	}
}

// TestAnswersWithinTarget guards against waiting beyond the latency target for
// a shard that does not answer, and against giving up on it long before.
func TestAnswersWithinTarget(t *testing.T) {
	sender := &fakeSender{answer: func(ctx context.Context, server dcid.ServerID, _ int) dcforward.Answer {
		if strings.HasPrefix(string(server), "p2") {
			return blockUntilDone(ctx)
		}
		return answeredBy(server)
	}}
	_, took := handleInBubble(t, sender, "/query/x")
	if took < 80*time.Millisecond || took > 90*time.Millisecond {
		t.Errorf("answered after %v with a latency target of 100ms", took)
	}
}

// TestTooFewShards guards against a success below the minimum coverage, and
// against a refusal, which states that the request was not run, after shards
// have run it.
func TestTooFewShards(t *testing.T) {
	sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
		if server < "p3" {
			return dcforward.Answer{Outcome: dcbalance.Lost}
		}
		return answeredBy(server)
	}}
	engine := newTestEngine(t, sender)
	reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x"))
	if reply.Status != http.StatusBadGateway || reply.RetryAfter != 0 {
		t.Errorf("reply %+v, want status 502 without a retry delay", reply)
	}
}

// TestNonIdempotentRequest guards against running a request twice that is not
// idempotent, against a refusal although a server may have run it, and against
// passing on a server's status 503, which tells callers that it was not run.
func TestNonIdempotentRequest(t *testing.T) {
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
			return answeredBy(server)
		}}
		engine := newTestEngine(t, sender)
		reply := engine.Handle(t.Context(), newTestRequest(engine, "/unsafe/x"))
		if reply.Status != c.status || sender.count() != c.sends {
			t.Errorf("%s: status %d after %d sends, want %d after %d", name, reply.Status, sender.count(), c.status, c.sends)
		}
	}
}

// TestPanicOfSend guards against one unexpected error that ends the process with
// all requests that it serves, and against running a request again that may have
// run before the error.
func TestPanicOfSend(t *testing.T) {
	for path, want := range map[string]int{"/safe/x": http.StatusOK, "/unsafe/x": http.StatusBadGateway, "/query/x": http.StatusOK} {
		sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, count int) dcforward.Answer {
			if count == 1 {
				panic("unexpected")
			}
			return answeredBy(server)
		}}
		engine := newTestEngine(t, sender)
		if reply := engine.Handle(t.Context(), newTestRequest(engine, path)); reply.Status != want {
			t.Errorf("%s: status %d (%s), want %d", path, reply.Status, reply.Code, want)
		}
	}
}

// TestAllServersRefuse guards against holding a request although all servers
// refuse it, and against a refusal without a retry delay.
func TestAllServersRefuse(t *testing.T) {
	sender := &fakeSender{answer: func(context.Context, dcid.ServerID, int) dcforward.Answer {
		return dcforward.Answer{Outcome: dcbalance.Refused}
	}}
	reply, took := handleInBubble(t, sender, "/unsafe/x")
	if reply.Status != http.StatusServiceUnavailable || reply.RetryAfter <= 0 {
		t.Errorf("reply %+v, want status 503 with a retry delay", reply)
	}
	// 25 ms is a quarter of the latency target.
	if took > 25*time.Millisecond {
		t.Errorf("refused after %v, want at most 25ms", took)
	}
}

// TestRouteTimeout guards against holding a request beyond the timeout of its
// route.
func TestRouteTimeout(t *testing.T) {
	sender := &fakeSender{answer: func(ctx context.Context, _ dcid.ServerID, _ int) dcforward.Answer { return blockUntilDone(ctx) }}
	reply, took := handleInBubble(t, sender, "/unsafe/x")
	if reply.Status != http.StatusGatewayTimeout || took > 510*time.Millisecond {
		t.Errorf("status %d after %v, want 504 after at most 510ms", reply.Status, took)
	}
}

// TestCallerDisconnect guards against sends that continue after their caller
// has disconnected, and against cancelling those of a request that is not
// idempotent.
func TestCallerDisconnect(t *testing.T) {
	for path, cancelled := range map[string]bool{"/safe/x": true, "/query/x": true, "/unsafe/x": false} {
		synctest.Test(t, func(t *testing.T) {
			var running atomic.Int32
			sender := &fakeSender{answer: func(ctx context.Context, _ dcid.ServerID, _ int) dcforward.Answer {
				running.Add(1)
				defer running.Add(-1)
				return blockUntilDone(ctx)
			}}
			engine := newTestEngine(t, sender)
			ctx, disconnect := context.WithCancel(t.Context())
			sent := newTestRequest(engine, path)
			go engine.Handle(ctx, sent)
			synctest.Wait()
			if running.Load() == 0 {
				t.Fatalf("%s: nothing was sent", path)
			}
			disconnect()
			synctest.Wait()
			if remaining := running.Load(); (remaining == 0) != cancelled {
				t.Errorf("%s: %d sends continue after the caller has disconnected", path, remaining)
			}
			// Sends that are still in progress end at the deadline.
			time.Sleep(sent.Deadline.Sub(sent.Arrived))
		})
	}
}

// TestUpdateTable guards against replacing a configuration by an older version.
func TestUpdateTable(t *testing.T) {
	engine := newTestEngine(t, &fakeSender{})
	for _, version := range []dcroute.Version{7, 6, 7, 5} {
		engine.UpdateTable(&dcroute.Table{Configuration: dcroute.Configuration{Version: version}})
	}
	if got := engine.Table().Version; got != 7 {
		t.Errorf("configuration version %d is in effect, want 7", got)
	}
}

// TestSplitWeights guards against shares that differ from their weights over
// few requests, and against requests to a service with a weight of 0.
func TestSplitWeights(t *testing.T) {
	var allRoutes routes
	state := allRoutes.get("r")
	split := []dcroute.WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}, {Service: "c", Weight: 0}}
	got := map[dcid.ServiceName]int{}
	for range 40 {
		got[state.chooseService(split)]++
	}
	if got["a"] != 28 || got["b"] != 12 || got["c"] != 0 {
		t.Errorf("shares of 40 requests: %v, want 28 for a and 12 for b", got)
	}
}

// TestQueryWithTooFewServers guards against sending a query to some shards
// although too few shards have servers for an answer.
func TestQueryWithTooFewServers(t *testing.T) {
	sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer { return answeredBy(server) }}
	engine := newTestEngine(t, sender)
	for _, id := range []string{"p1-a", "p1-b", "p2-a", "p2-b"} {
		engine.RemoveServer(dcid.ServiceName(id[:2]), dcid.ServerID(id))
	}
	reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x"))
	if reply.Status != http.StatusServiceUnavailable || sender.count() != 0 {
		t.Errorf("status %d after %d sends to %v, want 503 without a send", reply.Status, sender.count(), slices.Compact(sender.sends))
	}
}

// TestNoServerLogNamesServices guards against a log line of a refusal that does
// not name the services without a server.
func TestNoServerLogNamesServices(t *testing.T) {
	engine := newTestEngine(t, &fakeSender{})
	core, logs := observer.New(zap.WarnLevel)
	engine.Log = zap.New(core)
	for _, id := range []dcid.ServerID{"p2-a", "p2-b", "p4-a", "p4-b"} {
		engine.RemoveServer(dcid.ServiceName(id[:2]), id)
	}
	if reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x")); reply.Code != dcreason.NoServer {
		t.Fatalf("reply %+v, want the code for no server", reply)
	}
	entries := logs.FilterMessage("request failed").All()
	if len(entries) != 1 || fmt.Sprint(entries[0].ContextMap()["services-without-server"]) != "[p2 p4]" {
		t.Errorf("log lines %+v, want one that names the services p2 and p4", entries)
	}
}

// staleHosts reports stale connections of an earlier process.
type staleHosts struct{ fakeHosts }

func (staleHosts) StaleConnections() bool { return true }

// limitRecorder records the last connection limit that was set.
type limitRecorder struct{ last atomic.Int64 }

func (s *limitRecorder) SetLimit(_ dcid.ServerAddr, limit int) { s.last.Store(int64(limit)) }

// TestConnectionShare guards against more connections than a server accepts,
// which it resets, while it still counts those of an earlier process.
func TestConnectionShare(t *testing.T) {
	engine := newTestEngine(t, &fakeSender{})
	var limitRecorder limitRecorder
	engine.Connections = &limitRecorder
	engine.LimitConnections()
	whole := limitRecorder.last.Load()
	engine.Hosts = staleHosts{2}
	engine.LimitConnections()
	if reduced := limitRecorder.last.Load(); whole != 40/3 || reduced < 1 || reduced > whole/2 {
		t.Errorf("share of %d connections, want 13; %d with stale connections of an earlier process, want 1 to half of it", whole, reduced)
	}
}

// TestSplitServiceWithoutServers guards against moving requests to another
// service of a split while their own has no servers, and against services that
// get less than their share because of it.
func TestSplitServiceWithoutServers(t *testing.T) {
	replies := map[string]int{}
	sender := &fakeSender{}
	sender.answer = func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer { return answeredBy(server) }
	engine := newTestEngine(t, sender)
	route := dcroute.Route{
		Name: "split", Host: "a", Prefix: "/split/", Timeout: time.Second, LatencyTarget: time.Second, MaxAttempts: 2,
		Split: []dcroute.WeightedService{{Service: "p1", Weight: 70}, {Service: "none", Weight: 30}},
	}
	table, err := dcroute.NewTable(dcroute.Configuration{Version: 6, Routes: []dcroute.Route{route}})
	if err != nil {
		t.Fatal(err)
	}
	engine.UpdateTable(table)
	for range 100 {
		reply := engine.Handle(t.Context(), newTestRequest(engine, "/split/x"))
		replies[string(reply.Code)]++
		if reply.Code == dcreason.NoServer && (reply.Status != http.StatusServiceUnavailable || reply.RetryAfter <= 0) {
			t.Errorf("refusal %+v, want status 503 with a retry delay", reply)
		}
	}
	if replies[string(dcreason.OK)] != 70 || replies[string(dcreason.NoServer)] != 30 || sender.count() != 70 {
		t.Errorf("replies %v after %d sends, want 70 ok and 30 without a server after 70 sends", replies, sender.count())
	}
}
