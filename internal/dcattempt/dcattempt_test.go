package dcattempt

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeServers picks servers a, b and c for each part, in this order.
type fakeServers struct {
	extra        int
	budget       int
	down         bool
	unresponsive int
	wait         time.Duration
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

func (f *fakeServers) Wait(int, time.Time) time.Duration { return f.wait }

func (f *fakeServers) MarkUnresponsive(int, *dcbalance.Call, time.Time) { f.unresponsive++ }

func testPolicy() Policy {
	return Policy{
		Idempotent: true, MaxAttempts: 2, MinParts: 1,
		Deadline: start.Add(time.Second), HedgeDelay: 30 * time.Millisecond, MaxWait: 100 * time.Millisecond,
	}
}

// TestNonIdempotentRunsOnce guards against resending a non-idempotent request
// that may have run, and against failing one that the server did not run
// instead of sending it again.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for outcome, resent := range map[dcbalance.Outcome]bool{
		dcbalance.Lost: false, dcbalance.Failed: false, dcbalance.Abandoned: false,
		dcbalance.Refused: true, dcbalance.Unreachable: true, dcbalance.Misdirected: true,
	} {
		policy := testPolicy()
		policy.Idempotent = false
		plan := New(policy, 1, &fakeServers{budget: 9})
		sends := plan.Start(start)
		if more := plan.Tick(start.Add(500 * time.Millisecond)); len(more) != 0 {
			t.Error("a non-idempotent request was hedged")
		}
		next := plan.HandleOutcome(sends[0], outcome, start)
		if (len(next) == 1) != resent || plan.Done(start) == resent {
			t.Errorf("outcome %d: %d resends, done %t", outcome, len(next), plan.Done(start))
		}
		if !resent && !plan.MayHaveRun() {
			t.Errorf("outcome %d: MayHaveRun returned false for a request that may have run", outcome)
		}
	}
}

// TestRefusedRequestDidNotRun guards against reporting a request as not run
// while a send is in flight, and against endless resends to servers that refuse.
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
			t.Fatal("MayHaveRun returned false with a send in flight")
		}
		pending = plan.HandleOutcome(pending[0], dcbalance.Refused, now)
	}
	if plan.MayHaveRun() || plan.Succeeded() || count > 12 {
		t.Errorf("may have run %t, succeeded %t after %d steps, want false for both after at most 12", plan.MayHaveRun(), plan.Succeeded(), count)
	}
}

// TestHedge guards against a hedge before the hedge delay, one beyond the
// maximum number of attempts, and one without budget.
func TestHedge(t *testing.T) {
	servers := &fakeServers{budget: 1}
	policy := testPolicy()
	policy.MaxAttempts = 3
	plan := New(policy, 2, servers)
	first := plan.Start(start)
	if len(first) != 2 {
		t.Fatalf("%d sends for two parts, want 2", len(first))
	}
	if more := plan.Tick(start.Add(policy.HedgeDelay - 1)); len(more) != 0 {
		t.Error("a part was hedged before the hedge delay")
	}
	if at := plan.NextTick(start); at != start.Add(policy.HedgeDelay) {
		t.Errorf("next tick after %v, want the hedge delay", at.Sub(start))
	}
	now := start.Add(policy.HedgeDelay)
	hedges := plan.Tick(now)
	if len(hedges) != 1 || hedges[0].Call.Server.ID != "b" || servers.unresponsive != 2 {
		t.Fatalf("%d hedges and %d unresponsive calls, want one hedge to server b and 2 unresponsive calls", len(hedges), servers.unresponsive)
	}
	plan.HandleOutcome(hedges[0], dcbalance.Answered, now)
	plan.HandleOutcome(first[0], dcbalance.Answered, now)
	plan.HandleOutcome(first[1], dcbalance.Answered, now)
	if !plan.Done(now) || plan.succeeded != 2 {
		t.Errorf("done %t with %d answered parts, want true with 2", plan.Done(now), plan.succeeded)
	}
}

// TestPartialAnswerAtLatencyTarget guards against waiting for a slow part
// beyond the latency target once MinParts are answered, and against answering
// with fewer.
func TestPartialAnswerAtLatencyTarget(t *testing.T) {
	policy := testPolicy()
	policy.MinParts, policy.HedgeDelay = 3, 0
	policy.AnswerBy = start.Add(80 * time.Millisecond)
	plan := New(policy, 4, &fakeServers{})
	sends := plan.Start(start)
	plan.HandleOutcome(sends[0], dcbalance.Answered, start)
	plan.HandleOutcome(sends[1], dcbalance.Answered, start)
	if plan.Done(policy.AnswerBy) {
		t.Error("done with fewer than MinParts")
	}
	plan.HandleOutcome(sends[2], dcbalance.Answered, policy.AnswerBy)
	if plan.Done(policy.AnswerBy.Add(-1)) || !plan.Done(policy.AnswerBy) || !plan.Succeeded() {
		t.Error("not done exactly at the latency target with MinParts answered")
	}
}

// TestTooFewPartsLeft guards against waiting when so many parts have failed that
// the request cannot succeed.
func TestTooFewPartsLeft(t *testing.T) {
	policy := testPolicy()
	policy.MinParts, policy.MaxAttempts = 2, 1
	plan := New(policy, 2, &fakeServers{})
	sends := plan.Start(start)
	plan.HandleOutcome(sends[0], dcbalance.Failed, start)
	if !plan.Done(start) || plan.Succeeded() {
		t.Error("the request is not done, or succeeded, with too few parts left")
	}
}

// TestNoServerAvailable guards against delaying a request by more than 100 ms
// when no server is available.
func TestNoServerAvailable(t *testing.T) {
	plan := New(testPolicy(), 1, &fakeServers{down: true})
	now := start
	plan.Start(now)
	for !plan.Done(now) {
		now = plan.NextTick(now)
		plan.Tick(now)
	}
	if now.Sub(start) > 100*time.Millisecond || plan.MayHaveRun() {
		t.Errorf("done after %v, may have run %t, want at most 100ms and false", now.Sub(start), plan.MayHaveRun())
	}
}

// TestFirstSendWaitsForCapacity guards against a query that fails because one
// part finds no server with capacity for a moment although all others are
// answered, and against a query that waits although no part finds one.
func TestFirstSendWaitsForCapacity(t *testing.T) {
	policy := testPolicy()
	policy.MinParts, policy.HedgeDelay = 2, 0
	policy.AnswerBy = start.Add(200 * time.Millisecond)
	for _, hasCapacity := range []bool{true, false} {
		servers := &fakeServers{down: !hasCapacity}
		plan := New(policy, 2, servers)
		sends := plan.Start(start)
		now := start
		if hasCapacity {
			// Only the second part remains to be sent.
			plan.parts[1] = part{retryAt: start}
			plan.HandleOutcome(sends[0], dcbalance.Answered, start)
			servers.down = true
		}
		for !plan.Done(now) && now.Before(policy.AnswerBy.Add(-2*RetryDelay)) {
			now = plan.NextTick(now)
			plan.Tick(now)
		}
		if plan.Done(now) == hasCapacity {
			t.Errorf("other part answered %t: done %t after %v", hasCapacity, plan.Done(now), now.Sub(start))
		}
		if !hasCapacity {
			continue
		}
		servers.down = false
		if late := plan.Tick(plan.NextTick(now)); len(late) != 1 || late[0].Part != 1 || late[0].Extra {
			t.Errorf("sends once a server has capacity: %v, want the first send of part 1", late)
		}
	}
}

// TestAttemptLimit guards against running a part on more than MaxAttempts
// servers, for any order of outcomes, hedges and denied retries.
func TestAttemptLimit(t *testing.T) {
	const (
		seed     = 21
		requests = 5000
		maxPause = 20 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 0))
	outcomes := []dcbalance.Outcome{dcbalance.Answered, dcbalance.Failed, dcbalance.Failed, dcbalance.Lost, dcbalance.Refused, dcbalance.Unreachable}
	for request := range requests {
		servers := &fakeServers{}
		policy := testPolicy()
		plan := New(policy, 2, servers)
		now := start
		pending := plan.Start(now)
		// mayRun counts the sends of each part that run, or that may run.
		mayRun := make([]int, 2)
		for !plan.Done(now) {
			servers.budget = servers.extra + random.IntN(2)
			var sends []Send
			if len(pending) > 0 && random.IntN(2) == 0 {
				index := random.IntN(len(pending))
				ended := pending[index]
				pending = slices.Delete(pending, index, index+1)
				outcome := outcomes[random.IntN(len(outcomes))]
				if outcome != dcbalance.Refused && outcome != dcbalance.Unreachable {
					mayRun[ended.Part]++
				}
				sends = plan.HandleOutcome(ended, outcome, now)
			} else {
				now = now.Add(time.Duration(random.Int64N(int64(maxPause))))
				sends = plan.Tick(now)
			}
			pending = append(pending, sends...)
			running := slices.Clone(mayRun)
			for _, send := range pending {
				running[send.Part]++
			}
			if most := slices.Max(running); most > policy.MaxAttempts {
				t.Fatalf("seed %d, request %d: %d sends of a part run or may run, want at most %d", seed, request, most, policy.MaxAttempts)
			}
		}
	}
}

// TestLeaveOut guards against sends of a part that was left out, and against
// leaving out a part that the request needs.
func TestLeaveOut(t *testing.T) {
	policy := testPolicy()
	policy.MinParts = 2
	plan := New(policy, 3, &fakeServers{})
	if !plan.LeaveOut(1) || plan.LeaveOut(2) {
		t.Error("not exactly one of three parts can be left out with two needed")
	}
	sends := plan.Start(start)
	if len(sends) != 2 || sends[0].Part != 0 || sends[1].Part != 2 {
		t.Fatalf("sends %v, want one each of parts 0 and 2", sends)
	}
	for _, send := range sends {
		plan.HandleOutcome(send, dcbalance.Answered, start)
	}
	if !plan.Done(start) || !plan.Succeeded() {
		t.Errorf("done %t, succeeded %t once the other parts are answered, want true for both", plan.Done(start), plan.Succeeded())
	}
}

// TestServersWantNoSends guards against holding a request, or a query until its
// partial answer, when all servers of a part want no sends for longer, and against
// giving up when they take some in time.
func TestServersWantNoSends(t *testing.T) {
	for name, c := range map[string]struct {
		answerBy time.Duration
		wait     time.Duration
		atOnce   bool
	}{
		"for long":                       {0, 101 * time.Millisecond, true},
		"until after the partial answer": {80 * time.Millisecond, 90 * time.Millisecond, true},
		"for a moment":                   {80 * time.Millisecond, 70 * time.Millisecond, false},
	} {
		policy := testPolicy()
		policy.HedgeDelay = 0
		if c.answerBy > 0 {
			policy.AnswerBy = start.Add(c.answerBy)
		}
		servers := &fakeServers{budget: 9}
		plan := New(policy, 2, servers)
		sends := plan.Start(start)
		servers.down, servers.wait = true, c.wait
		if next := plan.HandleOutcome(sends[1], dcbalance.Refused, start); len(next) > 0 {
			t.Errorf("%s: %d sends to servers that want none", name, len(next))
		}
		plan.HandleOutcome(sends[0], dcbalance.Answered, start)
		if plan.Done(start) != c.atOnce {
			t.Errorf("%s: done %t, want %t", name, plan.Done(start), c.atOnce)
		}
		if next := plan.NextTick(start); !c.atOnce && !next.Equal(start.Add(c.wait)) {
			t.Errorf("%s: next try after %v, want %v", name, next.Sub(start), c.wait)
		}
	}
}

// TestRefusingServerIsNotAskedAtOnce guards against sends of a part to a server
// that has just refused it, which use up the budget of other requests, and against
// a part that never returns to it.
func TestRefusingServerIsNotAskedAtOnce(t *testing.T) {
	policy := testPolicy()
	policy.HedgeDelay, policy.MinParts = 0, 2
	plan := New(policy, 2, &fakeServers{budget: 99})
	pending := plan.Start(start)[:1]
	now := start
	lastRefusal := make(map[dcid.ServerID]time.Time)
	again := false
	for !plan.Done(now) {
		if len(pending) == 0 {
			now = plan.NextTick(now)
			pending = plan.Tick(now)
			continue
		}
		server := pending[0].Call.Server.ID
		if at, refused := lastRefusal[server]; refused {
			again = true
			if now.Sub(at) < refusalPause {
				t.Fatalf("sent to server %s %v after it refused", server, now.Sub(at))
			}
		}
		lastRefusal[server] = now
		pending = plan.HandleOutcome(pending[0], dcbalance.Refused, now)
	}
	if !again {
		t.Error("no server was asked again")
	}
}
