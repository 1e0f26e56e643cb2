package dcstandin_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// TestConnectionCap guards against a server that accepts more connections than
// its limit, or that still counts closed ones.
func TestConnectionCap(t *testing.T) {
	fx := newFixture(t, func(g *standinv1.Group) { g.Connections = 2 })
	server := fx.first().Server
	dial := func() net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	first := dial()
	dial()
	fx.waitUntil(func() bool { return server.Stats().Open == 2 })
	// The reset may arrive while the connection is still being set up.
	excess, err := net.Dial("tcp", server.Addr())
	if err == nil {
		defer excess.Close()
		_, err = excess.Read(make([]byte, 1))
	}
	if err == nil {
		t.Error("connection over the cap was not closed")
	}
	first.Close()
	fx.waitUntil(func() bool { return server.Stats().Open == 1 })
	fx.expectAnswer(fx.send(t.Context(), searchCall()), http.StatusOK)
	if stats := server.Stats(); stats.Peak != 2 || stats.Excess != 1 || stats.Accepted != 3 {
		t.Errorf("counters are %+v", stats)
	}
}

// TestConnectTime guards against new connections that are ready without the
// connect time.
func TestConnectTime(t *testing.T) {
	fx := newFixture(t, func(g *standinv1.Group) { g.ConnectTime = durationpb.New(6 * time.Millisecond) })
	done := fx.start(t.Context(), searchCall())
	if err := fx.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if searches := fx.first().Stats().Searches; searches != 0 {
		t.Errorf("%d searches ran before the connection was ready", searches)
	}
	fx.clock.Advance(6 * time.Millisecond)
	fx.expectAnswer(<-done, http.StatusOK)
	fx.expectAnswer(fx.send(t.Context(), searchCall()), http.StatusOK)
}

// TestCrash guards against a crash that sends a response, that leaves the
// listener open or that other request bodies cause.
func TestCrash(t *testing.T) {
	fx := newFixture(t, withBaseTime(time.Second))
	fx.first().SetFaults(func(f *dcstandin.Faults) {
		f.CrashBody = []byte("poison")
		f.RestartAfter = time.Minute
		f.ColdFactor = 3
		f.ColdFor = time.Hour
	})
	crashingOrder := orderCall()
	crashingOrder.body = "poison"
	fx.expectAnswer(fx.send(t.Context(), crashingOrder), 0)
	expectRuns(fx, 1)
	if _, err := net.Dial("tcp", fx.first().Server.Addr()); err == nil {
		t.Error("crashed server accepts connections")
	}
	fx.clock.Advance(time.Minute)
	fx.waitUntil(func() bool {
		conn, err := net.Dial("tcp", fx.first().Server.Addr())
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	done := fx.start(t.Context(), searchCall("Deadline-Ms", "9000"))
	fx.running(1, 0)
	fx.clock.Advance(3 * time.Second)
	fx.expectAnswer(<-done, http.StatusOK, "Server-Timing", timingHeader(0, 3*time.Second))
	if crashes := fx.first().Stats().Crashes; crashes != 1 {
		t.Errorf("counted %d crashes, want 1", crashes)
	}
}

// TestKillEndsRunningRequests guards against requests that go on after a kill.
func TestKillEndsRunningRequests(t *testing.T) {
	fx := newFixture(t, withBaseTime(time.Hour))
	done := fx.start(t.Context(), orderCall())
	fx.running(1, 0)
	fx.first().Kill()
	fx.expectAnswer(<-done, 0)
	fx.running(0, 0)
	fx.first().Restart()
	fx.expectAnswer(fx.get("http://"+fx.first().Server.Addr()+"/v1/status"), http.StatusOK)
}

// TestFreeze guards against a frozen server that loses an order that it has
// received. A paused process runs the order when it resumes, even if the client
// has gone.
func TestFreeze(t *testing.T) {
	fx := newFixture(t, nil)
	fx.first().SetFaults(func(f *dcstandin.Faults) { f.Frozen = true; f.LyingStatus = true })
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := net.Dial("tcp", fx.first().Server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://server/v1/orders", strings.NewReader("flour"))
	for name, value := range orderCall().headers {
		request.Header.Set(name, value)
	}
	if err := request.Write(conn); err != nil {
		t.Fatal(err)
	}
	fx.expectAnswer(fx.get("http://"+fx.first().Server.Addr()+"/v1/status"), http.StatusOK)
	cancel()
	conn.Close()
	expectRuns(fx, 0)
	fx.first().SetFaults(func(f *dcstandin.Faults) { f.Frozen = false })
	fx.waitUntil(func() bool { return fx.first().Stats().Orders == 1 })
	expectRuns(fx, 1)
}

// TestAnswerFaults guards against fault switches that have no effect.
func TestAnswerFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  dcstandin.Faults
		status  int
		headers []string
	}{
		{"wrong version", dcstandin.Faults{WrongLabel: "Index-Version"}, 200, []string{"Index-Version", "v1x", "Shard", "shard-0"}},
		{"wrong epoch", dcstandin.Faults{WrongLabel: "Map-Epoch"}, 200, []string{"Map-Epoch", "2"}},
		{"malformed", dcstandin.Faults{Malformed: true}, 0, nil},
		{"duplicate", dcstandin.Faults{Duplicate: true}, 200, []string{"Request-Id", "r1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, nil)
			fx.first().SetFaults(func(f *dcstandin.Faults) { *f = c.faults })
			fx.expectAnswer(fx.send(t.Context(), searchCall()), c.status, c.headers...)
		})
	}
}

// TestDuplicateAnswer guards against a duplicate response that is not sent on
// the connection.
func TestDuplicateAnswer(t *testing.T) {
	fx := newFixture(t, nil)
	fx.first().SetFaults(func(f *dcstandin.Faults) { f.Duplicate = true })
	conn, err := net.Dial("tcp", fx.first().Server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request, _ := http.NewRequest(http.MethodPost, "http://server/v1/shards/shard-0/search", strings.NewReader(""))
	for name, value := range searchCall().headers {
		request.Header.Set(name, value)
	}
	if err := request.Write(conn); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(conn)
	if got := strings.Count(string(text), "HTTP/1.1 200"); got != 2 || err != nil {
		t.Errorf("%d answers on the connection, error %v", got, err)
	}
}

// TestLateAnswer guards against a late response that the deadline of its
// request stops.
func TestLateAnswer(t *testing.T) {
	fx := newFixture(t, nil)
	fx.first().SetFaults(func(f *dcstandin.Faults) { f.LateBy = time.Minute })
	done := fx.start(t.Context(), searchCall())
	fx.waitUntil(func() bool { return fx.first().Stats().Searches == 1 })
	// Two timers: the deadline of the request and the delay of the response.
	if err := fx.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	fx.clock.Advance(time.Minute)
	fx.expectAnswer(<-done, http.StatusOK, "Request-Id", "r1")
}

// TestStragglers guards against service times that differ between runs with the
// same seed, or with a share of stragglers far from the probability.
func TestStragglers(t *testing.T) {
	const seed, draws = 7, 2000
	count := func() (slow int) {
		config := dcstandin.UpstreamConfig{BaseTime: time.Millisecond, StragglerProbability: 0.1, StragglerFactor: 10, Seed: seed}
		for _, duration := range dcstandin.DrawServiceTimes(config, draws) {
			if duration == 10*time.Millisecond {
				slow++
			}
		}
		return slow
	}
	first := count()
	if first < draws/20 || first > draws*3/20 {
		t.Errorf("seed %d: %d of %d are stragglers, want about a tenth", seed, first, draws)
	}
	if second := count(); second != first {
		t.Errorf("seed %d: %d stragglers, then %d", seed, first, second)
	}
}

// TestRepartition guards against a new map epoch that removes the old one
// before it is dropped.
func TestRepartition(t *testing.T) {
	fx := newFixture(t, nil)
	fx.fleet.Repartition("mill", "mill", 2, 6)
	fx.expectAnswer(fx.send(t.Context(), searchCall()), http.StatusOK)
	fx.expectAnswer(fx.send(t.Context(), searchCall("Map-Epoch", "2")), http.StatusOK)
	for _, server := range fx.fleet.Select(dcstandin.Selector{FailureDomain: "a"}) {
		server.DropMap(dcstandin.FirstEpoch)
		server.AddVersion(dcid.IndexVersion("v2"))
		server.DropVersion("v1")
	}
	fx.expectAnswer(fx.send(t.Context(), searchCall()), http.StatusConflict)
	fx.expectAnswer(fx.send(t.Context(), searchCall("Map-Epoch", "2")), http.StatusConflict)
	fx.expectAnswer(fx.send(t.Context(), searchCall("Map-Epoch", "2", "Index-Version", "v2")), http.StatusOK)
}
