package dcengine

import (
	"testing"
	"time"
)

// TestHedgeDelayRecovers guards against a hedge delay that stays high long
// after the servers have become fast again, and against a route with so few
// requests that its delay never follows their latencies.
func TestHedgeDelayRecovers(t *testing.T) {
	const (
		target   = 200 * time.Millisecond
		slow     = 190 * time.Millisecond
		fast     = 20 * time.Millisecond
		within   = 5 * time.Second
		frequent = 5 * time.Millisecond
		rare     = 90 * time.Millisecond
	)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, pause := range []time.Duration{frequent, rare} {
		state := new(routes).get("r")
		recordLatency := func(latency, span time.Duration) {
			for end := now.Add(span); now.Before(end); now = now.Add(pause) {
				state.recordLatency(latency, now)
			}
		}
		if got := state.hedgeDelay(target, now); got != target/initialHedgeDivisor {
			t.Errorf("hedge delay %v without recorded latencies", got)
		}
		recordLatency(slow, longWindow)
		if got := state.hedgeDelay(target, now); got < slow/2 {
			t.Errorf("one request every %v to slow servers: hedge delay %v", pause, got)
		}
		recordLatency(fast, within)
		if got := state.hedgeDelay(target, now); pause == frequent && got > 2*fast {
			t.Errorf("after %v of fast answers the hedge delay is still %v", within, got)
		}
	}
}

// TestPriorWait guards against answers that reach their callers after the
// target because the time before the arrival of the request was not counted,
// and against a few callers with other deadlines that change the prior wait of
// the others.
func TestPriorWait(t *testing.T) {
	const (
		full         = 500 * time.Millisecond
		waited       = 15 * time.Millisecond
		target       = 50 * time.Millisecond
		longDeadline = time.Minute
	)
	state := new(routes).get("r")
	if got := state.priorWait(full - waited); got != 0 {
		t.Errorf("prior wait of %v without recorded requests", got)
	}
	for i := range 2 * remainingSamples {
		left := full
		switch {
		case i%remainingSamples < remainingSamples/2:
			left = full - waited
		case i%remainingSamples == remainingSamples-1:
			left = longDeadline
		}
		state.priorWait(left)
	}
	for left, want := range map[time.Duration]time.Duration{full: 0, full - waited: waited, longDeadline: 0, full / 2: full / 2} {
		if got := state.priorWait(left); got != want {
			t.Errorf("%v left: prior wait of %v, want %v", left, got, want)
		}
	}
	withoutWait := partialAnswerDelay(target, 0)
	if got := partialAnswerDelay(target, waited); got != withoutWait-waited {
		t.Errorf("answer after %v with a prior wait, after %v without one", got, withoutWait)
	}
	if got := partialAnswerDelay(target, full); got != withoutWait {
		t.Errorf("answer after %v for a caller without time left, want the delay without a prior wait", got)
	}
}

// TestNoHistogramsForFewRequests guards against allocating latency histograms
// for each of the many routes that get only a few requests.
func TestNoHistogramsForFewRequests(t *testing.T) {
	state := new(routes).get("r")
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	allocated := testing.AllocsPerRun(1, func() {
		for range unrecordedAnswers / 2 {
			state.recordLatency(time.Millisecond, now)
		}
		state.hedgeDelay(time.Second, now)
		state.medianLatency(now)
	})
	if allocated > 0 {
		t.Errorf("%v allocations for a route with few requests", allocated)
	}
}
