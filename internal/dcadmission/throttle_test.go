package dcadmission

import (
	"testing"
	"time"
)

// overload drives a throttle with servers that have room for a number of
// requests a second; requests that run beyond it all fail.
func sendRequests(throttle *Throttle, now time.Time, span, pause time.Duration, room int) (ran, refused int, end time.Time) {
	second, running := now, 0
	for end = now.Add(span); now.Before(end); now = now.Add(pause) {
		if now.Sub(second) >= time.Second {
			second, running = now, 0
		}
		if !throttle.Admit(now) {
			refused++
			continue
		}
		ran++
		if running++; running > room {
			throttle.RecordFailure(now)
		}
	}
	return ran, refused, now
}

// TestThrottle guards against an overload in which nearly all work is wasted,
// against requests that are refused although most succeed, and against a
// throttle that stays closed after the overload.
func TestThrottle(t *testing.T) {
	const (
		span  = 20 * time.Second
		pause = 10 * time.Millisecond
		rate  = int(time.Second / pause)
	)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		room, leastRefused, mostRefused int
	}{
		"enough room":      {rate, 0, 0},
		"most succeed":     {rate * 6 / 10, 0, 0},
		"a tenth succeeds": {rate / 10, 60, 90},
		"none succeeds":    {0, 70, 80},
	} {
		throttle := &Throttle{}
		ran, refused, end := sendRequests(throttle, start, span, pause, c.room)
		share := 100 * refused / (ran + refused)
		if share < c.leastRefused || share > c.mostRefused {
			t.Errorf("%s: %d of 100 refused", name, share)
		}
		if ran == 0 {
			t.Errorf("%s: nothing ran, so that a recovery goes unnoticed", name)
		}
		_, _, end = sendRequests(throttle, end, 2*throttleSpan, pause, rate)
		if _, refused, _ = sendRequests(throttle, end, span, pause, rate); refused > 0 {
			t.Errorf("%s: %d refused after the recovery", name, refused)
		}
	}
}

// TestThrottleFewRequests guards against a route with few requests that is
// refused for single failures.
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
