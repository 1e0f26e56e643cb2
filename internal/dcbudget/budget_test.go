package dcbudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBudgetFraction guards against extra load above its fraction for any
// pattern of sends, and against one department that spends the budget of
// another.
func TestBudgetFraction(t *testing.T) {
	const seed, fraction = 5, 0.05
	random := rand.New(rand.NewPCG(seed, 0))
	group := NewGroup(0.95, fraction)
	budget, other := group.NewBudget(), group.NewBudget()
	sent, extra := 0, 0
	for range 10000 {
		n := random.IntN(310)
		budget.Sent(n)
		sent += n
		for range random.IntN(100) {
			if budget.Take() {
				extra++
			}
		}
	}
	if limit := fraction*float64(sent) + Burst; float64(extra) > limit || float64(extra) < 0.9*limit {
		t.Errorf("seed %d: %d extra sub-queries for %d first ones, want at least 90%% of the limit of %.0f and no more than it", seed, extra, sent, limit)
	}
	if other.Available() != Burst {
		t.Errorf("another department has %.1f tokens left, want the burst", other.Available())
	}
	budget.Sent(1 << 30)
	if budget.Available() != Burst {
		t.Errorf("%.1f tokens in a full budget, want the burst", budget.Available())
	}
	none := NewGroup(0.95, 0).NewBudget()
	none.Sent(1000)
	if none.Take() {
		t.Error("a group that allows no extra load granted some")
	}
}

// TestHedgeDelay guards against hedge delays that are computed from too few or
// outdated latencies.
func TestHedgeDelay(t *testing.T) {
	group := NewGroup(0.5, 0.05)
	now := start
	if _, ok := group.HedgeDelay(1, now); ok {
		t.Error("a hedge delay is returned without latencies")
	}
	for i := range 1000 {
		group.RecordLatency(time.Duration(i)*time.Millisecond/10, now)
	}
	now = now.Add(quantileCacheTime)
	delay, ok := group.HedgeDelay(1, now)
	// The quantile of 0.5 would spend half of the load and is raised to 0.97.
	if !ok || delay < 96*time.Millisecond || delay > 98*time.Millisecond {
		t.Errorf("first hedge delay %v, known %t, want 96ms to 98ms", delay, ok)
	}
	if later, _ := group.HedgeDelay(2, now); later != delay/minSecondDelayDivisor {
		t.Errorf("second hedge delay %v after a first of %v, want the minimum", later, delay)
	}
	now = now.Add((windowCount + 1) * groupWindowTime)
	for range minSamples {
		group.RecordLatency(time.Millisecond, now)
	}
	if delay, _ := group.HedgeDelay(1, now); delay > 2*time.Millisecond {
		t.Errorf("hedge delay %v is computed from expired latencies", delay)
	}
	group.RecordLatency(-time.Second, now)
	group.RecordLatency(time.Hour, now)
	if _, ok := NewGroup(0, 0.05).HedgeDelay(1, now); ok {
		t.Error("a hedge delay is returned although hedging is off")
	}
}

// TestShedding guards against extra load on a server that sheds load, and
// against a single refusal that excludes a server permanently.
func TestShedding(t *testing.T) {
	group := NewGroup(0.95, 0.05)
	group.RecordShed("a1", start)
	if !group.Shedding("a1", start) || !group.Shedding("a1", start.Add(SheddingTime-1)) {
		t.Error("the server does not count as shedding after its refusal")
	}
	if group.Shedding("a1", start.Add(SheddingTime)) || group.Shedding("a2", start) {
		t.Error("a server counts as shedding without a recent refusal")
	}
}
