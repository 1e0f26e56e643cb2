package dcbalance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const typicalLatency = 10 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newGroup(servers ...Server) *Group {
	g := &Group{Domain: "z1", Random: rand.New(rand.NewPCG(1, 0))}
	g.SetServers(servers)
	return g
}

func threeServers() []Server {
	return []Server{
		{ID: "a", Addr: "a:1", Domain: "z1", Capacity: 5},
		{ID: "b", Addr: "b:1", Domain: "z2", Capacity: 5},
		{ID: "c", Addr: "c:1", Domain: "z3", Capacity: 5},
	}
}

// counts sends n requests one after the other, each answered after the latency
// of its server, and returns how many each server got.
func sendRequests(g *Group, n int, now *time.Time, latency map[dcid.ServerID]time.Duration) map[dcid.ServerID]int {
	got := map[dcid.ServerID]int{}
	for range n {
		use, ok := g.Pick(nil, *now)
		if !ok {
			continue
		}
		got[use.Server.ID]++
		*now = now.Add(latency[use.Server.ID])
		g.RecordOutcome(use, Answered, typicalLatency, *now)
	}
	return got
}

// TestSlowServer guards against a server that keeps its share of requests
// although it answers much later than its peers, and against one that never
// gets another after it has recovered.
func TestSlowServer(t *testing.T) {
	g, now := newGroup(threeServers()...), start
	latency := map[dcid.ServerID]time.Duration{"a": 8 * typicalLatency, "b": typicalLatency, "c": typicalLatency}
	if got := sendRequests(g, 200, &now, latency); got["a"] > 20 {
		t.Errorf("the slow server got %d of 200 requests", got["a"])
	}
	now = now.Add(4 * decayTime)
	latency["a"] = typicalLatency
	if got := sendRequests(g, 200, &now, latency); got["a"] < 150 {
		t.Errorf("the recovered server of this domain got %d of 200 requests", got["a"])
	}
}

// TestSilentServer guards against more requests to a server that leaves one
// unanswered, and against trials without end.
func TestUnresponsiveServer(t *testing.T) {
	g, now := newGroup(threeServers()...), start
	stuck, _ := g.Pick(nil, now)
	if stuck.Server.ID != "a" {
		t.Fatalf("picked %s instead of the server of this domain", stuck.Server.ID)
	}
	now = now.Add(3 * typicalLatency)
	g.MarkUnresponsive(stuck, now)
	if got := sendRequests(g, 20, &now, map[dcid.ServerID]time.Duration{"b": typicalLatency, "c": typicalLatency}); got["a"] != 0 {
		t.Errorf("the silent server got %d requests", got["a"])
	}
	now = now.Add(unresponsiveBackoff)
	trial, _ := g.Pick(nil, now)
	if trial.Server.ID != "a" {
		t.Errorf("no trial after the hold")
	}
	if next, _ := g.Pick(nil, now); next.Server.ID == "a" {
		t.Errorf("a second trial before the first has an answer")
	}
	g.RecordOutcome(trial, Answered, typicalLatency, now.Add(typicalLatency))
	if next, _ := g.Pick(nil, now.Add(typicalLatency)); next.Server.ID != "a" {
		t.Errorf("the server is avoided although it answers")
	}
}

// TestFailures guards against servers that fail part of their requests with
// good health, and against a service without any server by judgement alone.
func TestFailures(t *testing.T) {
	for _, outcome := range []Outcome{Refused, Failed, Lost, Unreachable} {
		g, now := newGroup(threeServers()...), start
		got := 0
		for i := range 300 {
			use, _ := g.Pick(nil, now)
			now = now.Add(typicalLatency)
			if use.Server.ID == "a" {
				got++
			}
			if use.Server.ID == "a" && i%2 == 0 {
				g.RecordOutcome(use, outcome, typicalLatency, now)
			} else {
				g.RecordOutcome(use, Answered, typicalLatency, now)
			}
		}
		if got > 75 {
			t.Errorf("outcome %d: the failing server got %d of 300 requests", outcome, got)
		}
		for range 20 {
			for _, id := range []dcid.ServerID{"a", "b", "c"} {
				use, ok := g.Pick(otherServers(id), now)
				if !ok {
					t.Fatalf("outcome %d: no server is left", outcome)
				}
				g.RecordOutcome(use, outcome, typicalLatency, now)
			}
		}
	}
}

func otherServers(id dcid.ServerID) (ids []dcid.ServerID) {
	for _, server := range threeServers() {
		if server.ID != id {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// TestSet guards against requests to servers that left, are leaving or have
// lost their address to another, and against state that outlives an address.
func TestSetServers(t *testing.T) {
	g, now := newGroup(threeServers()...), start
	use, _ := g.Pick(nil, now)
	g.RecordOutcome(use, Misdirected, typicalLatency, now)
	servers := threeServers()
	servers[1].Leaving = true
	g.SetServers(servers)
	if g.UsableServers() != 1 {
		t.Errorf("%d servers are usable, want 1", g.UsableServers())
	}
	if next, _ := g.Pick(nil, now); next.Server.ID != "c" {
		t.Errorf("picked %s", next.Server.ID)
	}
	servers[0].Addr = "a:2"
	g.SetServers(servers[:1])
	if next, ok := g.Pick(nil, now); !ok || next.Server.Addr != "a:2" {
		t.Errorf("the server at its new address is not used")
	}
	g.SetServers(nil)
	if _, ok := g.Pick(nil, now); ok {
		t.Error("picked a server from an empty list")
	}
}

// TestMaxRunning guards against more requests to a server than this host's
// share of its connections.
func TestMaxInFlight(t *testing.T) {
	g := newGroup(threeServers()[:1]...)
	g.MaxInFlight = 2
	for i := range 3 {
		if _, ok := g.Pick(nil, start); ok != (i < 2) {
			t.Errorf("pick %d: %t", i, ok)
		}
	}
}
