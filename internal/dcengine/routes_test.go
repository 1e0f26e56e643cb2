package dcengine

import (
	"testing"
	"time"
)

// TestHedgeDelayRecovers guards against hedges that stay late long after the
// servers have become fast again, and against a route with few requests that
// never learns a delay.
func TestHedgeDelayRecovers(t *testing.T) {
	const (
		target = 200 * time.Millisecond
		slow   = 190 * time.Millisecond
		fast   = 20 * time.Millisecond
		within = 5 * time.Second
		often  = 5 * time.Millisecond
		seldom = 90 * time.Millisecond
	)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, pause := range []time.Duration{often, seldom} {
		state := new(routes).get("r")
		record := func(latency, span time.Duration) {
			for end := now.Add(span); now.Before(end); now = now.Add(pause) {
				state.record(latency, now)
			}
		}
		if got := state.hedgeDelay(target, now); got != target/firstHedgeShare {
			t.Errorf("nothing is known and the delay is %v", got)
		}
		record(slow, lastingSpan)
		if got := state.hedgeDelay(target, now); got < slow/2 {
			t.Errorf("a request each %v: servers are slow and the delay is %v", pause, got)
		}
		record(fast, within)
		if got := state.hedgeDelay(target, now); pause == often && got > 2*fast {
			t.Errorf("servers have been fast for %v and the delay is %v", within, got)
		}
	}
}
