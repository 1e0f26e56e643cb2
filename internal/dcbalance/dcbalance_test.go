package dcbalance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
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

// sendRequests sends n requests one after the other, each answered after the
// latency of its server, and returns the number of requests to each server.
func sendRequests(g *Group, n int, now *time.Time, latency map[dcid.ServerID]time.Duration) map[dcid.ServerID]int {
	got := map[dcid.ServerID]int{}
	for range n {
		call, ok := g.Pick(nil, false, *now)
		if !ok {
			continue
		}
		got[call.Server.ID]++
		*now = now.Add(latency[call.Server.ID])
		g.RecordOutcome(call, Answered, typicalLatency, 0, *now)
	}
	return got
}

// TestSlowServer guards against a server that keeps its share of requests
// although it is much slower than the others, and against a server that gets no
// requests after it has recovered.
func TestSlowServer(t *testing.T) {
	g, now := newGroup(threeServers()...), start
	latency := map[dcid.ServerID]time.Duration{"a": 8 * typicalLatency, "b": typicalLatency, "c": typicalLatency}
	if got := sendRequests(g, 200, &now, latency); got["a"] > 20 {
		t.Errorf("the slow server got %d of 200 requests, want at most 20", got["a"])
	}
	now = now.Add(4 * decayTime)
	latency["a"] = typicalLatency
	if got := sendRequests(g, 200, &now, latency); got["a"] < 150 {
		t.Errorf("the recovered server of this domain got %d of 200 requests, want at least 150", got["a"])
	}
}

// TestUnresponsiveServer guards against further requests to a server that leaves
// one unanswered, against more than one probe at a time, and against a server
// that stays avoided after it has answered.
func TestUnresponsiveServer(t *testing.T) {
	g, now := newGroup(threeServers()...), start
	unanswered, _ := g.Pick(nil, false, now)
	if unanswered.Server.ID != "a" {
		t.Fatalf("picked %s instead of the server of this domain", unanswered.Server.ID)
	}
	now = now.Add(3 * typicalLatency)
	g.MarkUnresponsive(unanswered, now)
	if got := sendRequests(g, 20, &now, map[dcid.ServerID]time.Duration{"b": typicalLatency, "c": typicalLatency}); got["a"] != 0 {
		t.Errorf("the unresponsive server got %d requests, want none", got["a"])
	}
	now = now.Add(unresponsiveBackoff)
	probe, _ := g.Pick(nil, false, now)
	if probe.Server.ID != "a" {
		t.Errorf("the server was not probed after the backoff")
	}
	if next, _ := g.Pick(nil, false, now); next.Server.ID == "a" {
		t.Errorf("the server was probed again before the first probe had an answer")
	}
	g.RecordOutcome(probe, Answered, typicalLatency, 0, now.Add(typicalLatency))
	if next, _ := g.Pick(nil, false, now.Add(typicalLatency)); next.Server.ID != "a" {
		t.Errorf("the server is avoided although it answers")
	}
}

// TestFailures guards against a server that fails half of its requests but is
// still rated as healthy, and against backoff of all servers that leaves a
// service without any.
func TestFailures(t *testing.T) {
	for _, outcome := range []Outcome{Refused, Failed, Lost, Unreachable} {
		g, now := newGroup(threeServers()...), start
		got := 0
		for i := range 300 {
			call, _ := g.Pick(nil, false, now)
			now = now.Add(typicalLatency)
			if call.Server.ID == "a" {
				got++
			}
			if call.Server.ID == "a" && i%2 == 0 {
				g.RecordOutcome(call, outcome, typicalLatency, 0, now)
			} else {
				g.RecordOutcome(call, Answered, typicalLatency, 0, now)
			}
		}
		if got > 75 {
			t.Errorf("outcome %d: the failing server got %d of 300 requests, want at most 75", outcome, got)
		}
		for range 20 {
			for _, id := range []dcid.ServerID{"a", "b", "c"} {
				call, ok := g.Pick(otherServers(id), false, now)
				if !ok {
					t.Fatalf("outcome %d: no server is left", outcome)
				}
				g.RecordOutcome(call, outcome, typicalLatency, 0, now)
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

// TestSetServers guards against requests to servers that were removed, are
// leaving or whose address belongs to another server, and against state that is
// kept when the address of a server changes.
func TestSetServers(t *testing.T) {
	g, now := newGroup(threeServers()...), start
	call, _ := g.Pick(nil, false, now)
	g.RecordOutcome(call, Misdirected, typicalLatency, 0, now)
	servers := threeServers()
	servers[1].Leaving = true
	g.SetServers(servers)
	if usable := g.Room(0, 0, now).Usable; usable != 1 {
		t.Errorf("%d servers are usable, want 1", usable)
	}
	if next, _ := g.Pick(nil, false, now); next.Server.ID != "c" {
		t.Errorf("picked %s, want c", next.Server.ID)
	}
	servers[0].Addr = "a:2"
	g.SetServers(servers[:1])
	if next, ok := g.Pick(nil, false, now); !ok || next.Server.Addr != "a:2" {
		t.Errorf("the server at its new address is not used")
	}
	g.SetServers(nil)
	if _, ok := g.Pick(nil, false, now); ok {
		t.Error("picked a server from an empty list")
	}
}

// TestMaxInFlight guards against more requests to a server than this host's
// share of its connections.
func TestMaxInFlight(t *testing.T) {
	g := newGroup(threeServers()[:1]...)
	g.MaxInFlight = 2
	for i := range 3 {
		if _, ok := g.Pick(nil, false, start); ok != (i < 2) {
			t.Errorf("pick %d succeeded: %t, with a limit of 2 calls in flight", i, ok)
		}
	}
}

// TestRoom guards against a time for returning callers that ignores the requests
// that wait already, and against one while a server without a limit has room.
func TestRoom(t *testing.T) {
	g, now := newGroup(threeServers()...), start
	for _, id := range []dcid.ServerID{"a", "b"} {
		for i, server := range g.servers {
			if server.ID == id {
				call := &Call{Server: server.Server, serverState: g.servers[i], started: now}
				g.servers[i].inFlight++
				g.RecordOutcome(call, Answered, typicalLatency, 0, now)
				g.RecordRateLimit(call, Answered, dcratelimit.Statement{Kind: dcratelimit.Named, Rate: 10}, dcratelimit.Place{Hosts: 2}, now)
			}
		}
	}
	if room := g.Room(0, 0, now); room.Usable != 3 || room.Wait != 0 || room.Rate != 0 {
		t.Errorf("%+v, want room at once while a server has no limit", room)
	}
	g.SetServers(threeServers()[:2])
	first, later := g.Room(0, 0, now), g.Room(5, 0, now)
	// Two shares of 5 a second.
	if first.Rate != 10 || first.Wait <= 0 || first.Wait > 200*time.Millisecond {
		t.Errorf("%+v, want room within 200ms at a rate of 10", first)
	}
	if gap := later.Wait - first.Wait; gap != 500*time.Millisecond {
		t.Errorf("five waiting requests add %v, want 500ms", gap)
	}
	now = now.Add(time.Second)
	if room := g.Room(0, 0, now); room.Wait != 0 {
		t.Errorf("%+v a second later, want room at once", room)
	}
	for range 2 {
		if _, ok := g.Pick(nil, false, now); !ok {
			t.Error("no call although the limits have room")
		}
	}
	if call, ok := g.Pick(nil, false, now); ok {
		t.Errorf("a call to %s beyond its limit", call.Server.ID)
	}
}
