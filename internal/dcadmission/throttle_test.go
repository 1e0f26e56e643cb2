package dcadmission

import (
	"testing"
	"time"
)

// sendRequests sends requests at an interval through a throttle to servers that
// have capacity for a number of requests per second. All further requests that
// run within the second fail.
func sendRequests(throttle *Throttle, now time.Time, span, interval time.Duration, capacity int) (ran, refused int, end time.Time) {
	second, running := now, 0
	for end = now.Add(span); now.Before(end); now = now.Add(interval) {
		if now.Sub(second) >= time.Second {
			second, running = now, 0
		}
		if !throttle.Admit(now) {
			refused++
			continue
		}
		ran++
		if running++; running > capacity {
			throttle.RecordFailure(now)
		}
	}
	return ran, refused, now
}

// TestThrottle guards against nearly all work being wasted in an overload,
// against refusals while most requests succeed, and against a throttle that
// keeps refusing after the overload.
func TestThrottle(t *testing.T) {
	const (
		span     = 20 * time.Second
		interval = 10 * time.Millisecond
		rate     = int(time.Second / interval)
	)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		capacity, minRefused, maxRefused int
	}{
		"enough capacity":  {rate, 0, 0},
		"most succeed":     {rate * 6 / 10, 0, 0},
		"a tenth succeeds": {rate / 10, 60, 90},
		"none succeeds":    {0, 70, 80},
	} {
		throttle := &Throttle{}
		ran, refused, end := sendRequests(throttle, start, span, interval, c.capacity)
		share := 100 * refused / (ran + refused)
		if share < c.minRefused || share > c.maxRefused {
			t.Errorf("%s: %d%% of the requests were refused", name, share)
		}
		if ran == 0 {
			t.Errorf("%s: no request ran, so that a recovery would not be detected", name)
		}
		_, _, end = sendRequests(throttle, end, 2*throttleSpan, interval, rate)
		if _, refused, _ = sendRequests(throttle, end, span, interval, rate); refused > 0 {
			t.Errorf("%s: %d refused after the recovery", name, refused)
		}
	}
}

// TestThrottleFewRequests guards against refusals on a route with few requests
// because of single failures.
func TestThrottleFewRequests(t *testing.T) {
	throttle := &Throttle{}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 20 {
		if !throttle.Admit(now) {
			t.Fatal("refused")
		}
		throttle.RecordFailure(now)
		now = now.Add(throttleSpan / throttleMinRequests)
	}
}
