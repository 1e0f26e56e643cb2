package dcbudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// takeExtra counts one extra send if at least one is available.
func takeExtra(w *SlidingWindow, hosts int, now time.Time) bool {
	if w.Available(hosts, now) < 1 {
		return false
	}
	w.RecordExtra(now)
	return true
}

// TestWindowBound guards against extra sends above the limit in any span of
// time, summed over hosts, for any pattern of requests.
func TestWindowBound(t *testing.T) {
	const (
		seed, hosts  = 11, 4
		span         = 10 * time.Second
		ratio, slack = 0.2, 52.0
	)
	random := rand.New(rand.NewPCG(seed, 0))
	windows := make([]SlidingWindow, hosts)
	for i := range windows {
		windows[i] = SlidingWindow{Span: span, Ratio: ratio, Slack: slack, Started: start.Add(-span)}
	}
	var requests, extras []time.Time
	now := start
	for range 40000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(2*time.Millisecond)))
		w := &windows[random.IntN(hosts)]
		// Every 21 s the requests stop for 7 s, as in an outage.
		if now.Sub(start)/(7*time.Second)%3 != 1 {
			w.RecordRequest(now)
			requests = append(requests, now)
		}
		if takeExtra(w, hosts, now) {
			extras = append(extras, now)
		}
	}
	countWithin := func(times []time.Time, from, to time.Time) (count int) {
		for _, at := range times {
			if at.After(from) && !at.After(to) {
				count++
			}
		}
		return count
	}
	if len(extras) < len(requests)/10 {
		t.Errorf("seed %d: only %d extra sends for %d requests", seed, len(extras), len(requests))
	}
	for end := start.Add(span); end.Before(now); end = end.Add(170 * time.Millisecond) {
		from := end.Add(-span)
		maxRequests := 0
		for _, earlier := range []time.Duration{0, span / 2, span} {
			maxRequests = max(maxRequests, countWithin(requests, from.Add(-earlier), end.Add(-earlier)))
		}
		if got, bound := float64(countWithin(extras, from, end)), ratio*float64(maxRequests)+slack; got > bound {
			t.Fatalf("seed %d: %.0f extra sends until %v, bound %.0f", seed, got, end.Sub(start), bound)
		}
	}
}

// TestWindowUnknownHostCount guards against use of the shared slack while the
// number of hosts is unknown.
func TestWindowUnknownHostCount(t *testing.T) {
	w := &SlidingWindow{Span: 10 * time.Second, Ratio: 0.2, Slack: 52, Started: start.Add(-10 * time.Second)}
	if takeExtra(w, 0, start) {
		t.Error("an extra send was granted without requests and with an unknown number of hosts")
	}
	if !takeExtra(w, 4, start) {
		t.Error("this host's share of the slack was not granted")
	}
}

// TestWindowAfterRestart guards against a host that spends its slack twice
// within one span by restarting.
func TestWindowAfterRestart(t *testing.T) {
	w := &SlidingWindow{Span: 10 * time.Second, Ratio: 0.2, Slack: 52, Started: start}
	if takeExtra(w, 4, start.Add(9*time.Second)) {
		t.Error("the slack was granted within one span after the start")
	}
	if !takeExtra(w, 4, start.Add(10*time.Second)) {
		t.Error("the slack was not granted one span after the start")
	}
}
