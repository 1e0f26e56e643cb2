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
// its cap, or that never frees a place.
func TestConnectionCap(t *testing.T) {
	b := newFixture(t, func(g *standinv1.Group) { g.Connections = 2 })
	server := b.first().Server
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
	b.waitUntil(func() bool { return server.Stats().Open == 2 })
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
	b.waitUntil(func() bool { return server.Stats().Open == 1 })
	b.expectAnswer(b.send(t.Context(), searchCall()), http.StatusOK)
	if stats := server.Stats(); stats.Peak != 2 || stats.Excess != 1 || stats.Accepted != 3 {
		t.Errorf("counted %+v", stats)
	}
}

// TestConnectTime guards against new connections that cost nothing.
func TestConnectTime(t *testing.T) {
	b := newFixture(t, func(g *standinv1.Group) { g.ConnectTime = durationpb.New(6 * time.Millisecond) })
	done := b.start(t.Context(), searchCall())
	if err := b.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if searches := b.first().Stats().Searches; searches != 0 {
		t.Errorf("%d searches ran before the connection was ready", searches)
	}
	b.clock.Advance(6 * time.Millisecond)
	b.expectAnswer(<-done, http.StatusOK)
	b.expectAnswer(b.send(t.Context(), searchCall()), http.StatusOK)
}

// TestCrash guards against a crash that answers, that leaves the listener open
// or that other bodies cause.
func TestCrash(t *testing.T) {
	b := newFixture(t, withBaseTime(time.Second))
	b.first().SetFaults(func(f *dcstandin.Faults) {
		f.CrashBody = []byte("poison")
		f.RestartAfter = time.Minute
		f.ColdFactor = 3
		f.ColdFor = time.Hour
	})
	poison := orderCall()
	poison.body = "poison"
	b.expectAnswer(b.send(t.Context(), poison), 0)
	expectRuns(b, 1)
	if _, err := net.Dial("tcp", b.first().Server.Addr()); err == nil {
		t.Error("crashed server accepts connections")
	}
	b.clock.Advance(time.Minute)
	b.waitUntil(func() bool {
		conn, err := net.Dial("tcp", b.first().Server.Addr())
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	done := b.start(t.Context(), searchCall("Deadline-Ms", "9000"))
	b.running(1, 0)
	b.clock.Advance(3 * time.Second)
	b.expectAnswer(<-done, http.StatusOK, "Server-Timing", timingHeader(0, 3*time.Second))
	if crashes := b.first().Stats().Crashes; crashes != 1 {
		t.Errorf("counted %d crashes, want 1", crashes)
	}
}

// TestKillEndsRunningRequests guards against requests that survive a kill.
func TestKillEndsRunningRequests(t *testing.T) {
	b := newFixture(t, withBaseTime(time.Hour))
	done := b.start(t.Context(), orderCall())
	b.running(1, 0)
	b.first().Kill()
	b.expectAnswer(<-done, 0)
	b.running(0, 0)
	b.first().Restart()
	b.expectAnswer(b.get("http://"+b.first().Server.Addr()+"/v1/status"), http.StatusOK)
}

// TestFreeze guards against a paused server that forgets an order that it
// received, since a real one runs it when it resumes.
func TestFreeze(t *testing.T) {
	b := newFixture(t, nil)
	b.first().SetFaults(func(f *dcstandin.Faults) { f.Frozen = true; f.LyingStatus = true })
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := net.Dial("tcp", b.first().Server.Addr())
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
	b.expectAnswer(b.get("http://"+b.first().Server.Addr()+"/v1/status"), http.StatusOK)
	cancel()
	conn.Close()
	expectRuns(b, 0)
	b.first().SetFaults(func(f *dcstandin.Faults) { f.Frozen = false })
	b.waitUntil(func() bool { return b.first().Stats().Orders == 1 })
	expectRuns(b, 1)
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
			b := newFixture(t, nil)
			b.first().SetFaults(func(f *dcstandin.Faults) { *f = c.faults })
			b.expectAnswer(b.send(t.Context(), searchCall()), c.status, c.headers...)
		})
	}
}

// TestDuplicateAnswer guards against a duplicate that is not on the wire.
func TestDuplicateAnswer(t *testing.T) {
	b := newFixture(t, nil)
	b.first().SetFaults(func(f *dcstandin.Faults) { f.Duplicate = true })
	conn, err := net.Dial("tcp", b.first().Server.Addr())
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

// TestLateAnswer guards against a late answer that the deadline stops.
func TestLateAnswer(t *testing.T) {
	b := newFixture(t, nil)
	b.first().SetFaults(func(f *dcstandin.Faults) { f.LateBy = time.Minute })
	done := b.start(t.Context(), searchCall())
	b.waitUntil(func() bool { return b.first().Stats().Searches == 1 })
	// The deadline of the request and the delay of the answer.
	if err := b.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	b.clock.Advance(time.Minute)
	b.expectAnswer(<-done, http.StatusOK, "Request-Id", "r1")
}

// TestStragglers guards against a seeded distribution that does not repeat or
// is far from its probability.
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

// TestRepartition guards against a new epoch that takes the old one away
// before it is dropped.
func TestRepartition(t *testing.T) {
	b := newFixture(t, nil)
	b.fleet.Repartition("mill", "mill", 2, 6)
	b.expectAnswer(b.send(t.Context(), searchCall()), http.StatusOK)
	b.expectAnswer(b.send(t.Context(), searchCall("Map-Epoch", "2")), http.StatusOK)
	for _, server := range b.fleet.Select(dcstandin.Selector{FailureDomain: "a"}) {
		server.DropMap(dcstandin.FirstEpoch)
		server.AddVersion(dcid.IndexVersion("v2"))
		server.DropVersion("v1")
	}
	b.expectAnswer(b.send(t.Context(), searchCall()), http.StatusConflict)
	b.expectAnswer(b.send(t.Context(), searchCall("Map-Epoch", "2")), http.StatusConflict)
	b.expectAnswer(b.send(t.Context(), searchCall("Map-Epoch", "2", "Index-Version", "v2")), http.StatusOK)
}
