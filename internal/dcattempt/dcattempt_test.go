package dcattempt

import (
	"slices"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeServers offers servers a, b and c for each part, in this order.
type fakeServers struct {
	extra        int
	budget       int
	down         bool
	unresponsive int
}

func (f *fakeServers) Pick(_ int, exclude []dcid.ServerID, extra bool, _ time.Time) (*dcbalance.Call, bool) {
	for _, id := range []dcid.ServerID{"a", "b", "c"} {
		if f.down || slices.Contains(exclude, id) {
			continue
		}
		if extra && f.extra >= f.budget {
			return nil, false
		}
		if extra {
			f.extra++
		}
		return &dcbalance.Call{Server: dcbalance.Server{ID: id}}, true
	}
	return nil, false
}

func (f *fakeServers) MarkUnresponsive(int, *dcbalance.Call, time.Time) { f.unresponsive++ }

func testPolicy() Policy {
	return Policy{
		Idempotent: true, MaxAttempts: 2, MinParts: 1,
		Deadline: start.Add(time.Second), HedgeDelay: 30 * time.Millisecond,
	}
}

// TestUnsafeRunsOnce guards against a second send of a request that may have
// run, and against giving up one that a server refused.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for outcome, resent := range map[dcbalance.Outcome]bool{
		dcbalance.Lost: false, dcbalance.Failed: false, dcbalance.Abandoned: false,
		dcbalance.Refused: true, dcbalance.Unreachable: true, dcbalance.Misdirected: true,
	} {
		r := testPolicy()
		r.Idempotent = false
		plan := New(r, 1, &fakeServers{budget: 9})
		sends := plan.Start(start)
		if more := plan.Tick(start.Add(500 * time.Millisecond)); len(more) != 0 {
			t.Error("an unsafe request was hedged")
		}
		next := plan.HandleOutcome(sends[0], outcome, start)
		if (len(next) == 1) != resent || plan.Done(start) == resent {
			t.Errorf("outcome %d: %d further sends, done %t", outcome, len(next), plan.Done(start))
		}
		if !resent && !plan.MayHaveRun() {
			t.Errorf("outcome %d: the request counts as not run", outcome)
		}
	}
}

// TestRefusalIsTruthful guards against a refusal of a request that still runs,
// and against endless sends to servers that refuse.
func TestRefusedRequestDidNotRun(t *testing.T) {
	plan := New(testPolicy(), 1, &fakeServers{budget: 99})
	pending := plan.Start(start)
	now, count := start, 0
	for !plan.Done(now) && count < 50 {
		count++
		if len(pending) == 0 {
			now = plan.NextTick(now)
			pending = plan.Tick(now)
			continue
		}
		if !plan.MayHaveRun() {
			t.Fatal("a running request counts as not run")
		}
		pending = plan.HandleOutcome(pending[0], dcbalance.Refused, now)
	}
	if plan.MayHaveRun() || plan.Succeeded() || count > 12 {
		t.Errorf("may have run %t, succeeded %t after %d steps", plan.MayHaveRun(), plan.Succeeded(), count)
	}
}

// TestHedge guards against a hedge before its time, a second one beyond the
// attempts, and one without budget.
func TestHedge(t *testing.T) {
	servers := &fakeServers{budget: 1}
	r := testPolicy()
	r.MaxAttempts = 3
	plan := New(r, 2, servers)
	first := plan.Start(start)
	if len(first) != 2 {
		t.Fatalf("%d sends for two parts", len(first))
	}
	if more := plan.Tick(start.Add(r.HedgeDelay - 1)); len(more) != 0 {
		t.Error("hedged too early")
	}
	if at := plan.NextTick(start); at != start.Add(r.HedgeDelay) {
		t.Errorf("the next decision is after %v", at.Sub(start))
	}
	now := start.Add(r.HedgeDelay)
	hedges := plan.Tick(now)
	if len(hedges) != 1 || hedges[0].Call.Server.ID != "b" || servers.unresponsive != 2 {
		t.Fatalf("%d hedges, %d silent servers", len(hedges), servers.unresponsive)
	}
	plan.HandleOutcome(hedges[0], dcbalance.Answered, now)
	plan.HandleOutcome(first[0], dcbalance.Answered, now)
	plan.HandleOutcome(first[1], dcbalance.Answered, now)
	if !plan.Done(now) || plan.succeeded != 2 {
		t.Errorf("done %t with %d parts", plan.Done(now), plan.succeeded)
	}
}

// TestAnswerShort guards against waiting for a straggler beyond the latency
// target once enough parts are in, and against answering with too few.
func TestPartialAnswerAtLatencyTarget(t *testing.T) {
	r := testPolicy()
	r.MinParts, r.HedgeDelay = 3, 0
	r.AnswerBy = start.Add(80 * time.Millisecond)
	plan := New(r, 4, &fakeServers{})
	sends := plan.Start(start)
	plan.HandleOutcome(sends[0], dcbalance.Answered, start)
	plan.HandleOutcome(sends[1], dcbalance.Answered, start)
	if plan.Done(r.AnswerBy) {
		t.Error("done with too few parts")
	}
	plan.HandleOutcome(sends[2], dcbalance.Answered, r.AnswerBy)
	if plan.Done(r.AnswerBy.Add(-1)) || !plan.Done(r.AnswerBy) || !plan.Succeeded() {
		t.Error("not done at the latency target with enough parts")
	}
}

// TestTooFewPartsLeft guards against waiting for an answer that cannot succeed.
func TestTooFewPartsLeft(t *testing.T) {
	r := testPolicy()
	r.MinParts, r.MaxAttempts = 2, 1
	plan := New(r, 2, &fakeServers{})
	sends := plan.Start(start)
	plan.HandleOutcome(sends[0], dcbalance.Failed, start)
	if !plan.Done(start) || plan.Succeeded() {
		t.Error("waits for an answer that cannot succeed")
	}
}

// TestNoServer guards against holding back a request for which no server
// exists.
func TestNoServerAvailable(t *testing.T) {
	plan := New(testPolicy(), 1, &fakeServers{down: true})
	now := start
	plan.Start(now)
	for !plan.Done(now) {
		now = plan.NextTick(now)
		plan.Tick(now)
	}
	if now.Sub(start) > 100*time.Millisecond || plan.MayHaveRun() {
		t.Errorf("done after %v, may have run %t", now.Sub(start), plan.MayHaveRun())
	}
}

// TestFirstSendWaitsForRoom guards against a query that fails because one part
// found no room for a moment, although all others are answered, and against
// one that waits although no part has room.
func TestFirstSendWaitsForCapacity(t *testing.T) {
	r := testPolicy()
	r.MinParts, r.HedgeDelay = 2, 0
	r.AnswerBy = start.Add(200 * time.Millisecond)
	for _, room := range []bool{true, false} {
		servers := &fakeServers{down: !room}
		plan := New(r, 2, servers)
		sends := plan.Start(start)
		now := start
		if room {
			// Only the second part is still to be sent.
			plan.parts[1] = part{retryAt: start}
			plan.HandleOutcome(sends[0], dcbalance.Answered, start)
			servers.down = true
		}
		for !plan.Done(now) && now.Before(r.AnswerBy.Add(-2*retryDelay)) {
			now = plan.NextTick(now)
			plan.Tick(now)
		}
		if plan.Done(now) == room {
			t.Errorf("other parts answered %v: done %v after %v", room, plan.Done(now), now.Sub(start))
		}
		if !room {
			continue
		}
		servers.down = false
		if late := plan.Tick(plan.NextTick(now)); len(late) != 1 || late[0].Part != 1 || late[0].Extra {
			t.Errorf("sends once there is room: %v", late)
		}
	}
}
