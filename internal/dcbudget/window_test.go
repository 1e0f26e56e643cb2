package dcbudget

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	if len(extras) < len(requests)/10 {
		t.Errorf("seed %d: only %d extra sends for %d requests", seed, len(extras), len(requests))
	}
	checkWindowBound(t, fmt.Sprintf("seed %d", seed), requests, extras, span, ratio, slack)
}

// checkWindowBound fails the test if more extra sends lie within a span of time
// than the ratio of the requests within that span, the one before it or the one
// half a span before it, whichever has most, plus the slack.
func checkWindowBound(t *testing.T, name string, requests, extras []time.Time, span time.Duration, ratio, slack float64) {
	t.Helper()
	countWithin := func(times []time.Time, from time.Time) int {
		first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(times, from.Add(span), time.Time.Compare)
		return end - first
	}
	for _, from := range extras {
		most := 0
		for _, earlier := range []time.Duration{0, span / 2, span} {
			most = max(most, countWithin(requests, from.Add(-earlier)))
		}
		if got, bound := float64(countWithin(extras, from)), ratio*float64(most)+slack; got > bound {
			t.Fatalf("%s: %.0f extra sends within %v from %v on, bound %.0f", name, got, span, from.Sub(start), bound)
		}
	}
}

// TestWindowMovingTraffic guards against extra sends above the limit, summed
// over hosts, while the requests move from some hosts to others: when hosts are
// cut off from their callers and return, when they restart, and in a burst.
// Each host sends as many extras as it may at the time at which that does most
// harm, and requests are counted at the host that received them only.
func TestWindowMovingTraffic(t *testing.T) {
	const (
		hosts        = 4
		span         = 10 * time.Second
		ratio, slack = 0.2, 56.0
		requestGap   = 5 * time.Millisecond
		length       = 60 * time.Second
	)
	for name, c := range map[string]struct {
		// share returns the share of the requests that a host receives.
		share func(host int, at time.Duration) float64
		// trouble reports whether the hosts send extras.
		trouble func(at time.Duration) bool
		// restart is the time at which the first hosts restart, as many as
		// restarted; 0 for never.
		restart   time.Duration
		restarted int
		burst     float64
	}{
		"host cut off": {
			share: func(host int, at time.Duration) float64 {
				if at > 13500*time.Millisecond && at < 23*time.Second {
					return []float64{0, 1. / 3, 1. / 3, 1. / 3}[host]
				}
				return 0.25
			},
			trouble: func(at time.Duration) bool { return at > 12*time.Second },
		},
		"all requests move to one host": {
			share: func(host int, at time.Duration) float64 {
				if at < 20*time.Second == (host == 0) {
					return 0
				}
				return []float64{1, 1. / 3, 1. / 3, 1. / 3}[host]
			},
			trouble: func(at time.Duration) bool { return at > 19*time.Second },
		},
		"requests move to and fro": {
			share: func(host int, at time.Duration) float64 {
				if int(at/(4*time.Second))%hosts == host {
					return 1
				}
				return 0
			},
			trouble: func(time.Duration) bool { return true },
		},
		"host restarts": {
			share:   func(int, time.Duration) float64 { return 0.25 },
			trouble: func(at time.Duration) bool { return at > 20*time.Second },
			restart: 21 * time.Second, restarted: 1,
		},
		"all hosts restart": {
			share:   func(int, time.Duration) float64 { return 0.25 },
			trouble: func(at time.Duration) bool { return at > 11*time.Second },
			restart: 13 * time.Second, restarted: hosts,
		},
		"burst": {
			share:   func(int, time.Duration) float64 { return 0.25 },
			trouble: func(at time.Duration) bool { return at > 15*time.Second },
			burst:   5,
		},
	} {
		windows := make([]SlidingWindow, hosts)
		for i := range windows {
			windows[i] = SlidingWindow{Span: span, Ratio: ratio, Slack: slack, Started: start.Add(-span)}
		}
		var requests, extras []time.Time
		credits := make([]float64, hosts)
		for at := time.Duration(0); at < length; at += requestGap {
			now := start.Add(at)
			for i := range c.restarted {
				if at == c.restart {
					windows[i] = SlidingWindow{Span: span, Ratio: ratio, Slack: slack, Started: now}
				}
			}
			rate := 1.0
			if c.burst > 0 && at > 20*time.Second && at < 30*time.Second {
				rate = c.burst
			}
			for i := range windows {
				for credits[i] += rate * c.share(i, at); credits[i] >= 1; credits[i]-- {
					windows[i].RecordRequest(now)
					requests = append(requests, now)
				}
				for c.trouble(at) && takeExtra(&windows[i], hosts, now) {
					extras = append(extras, now)
				}
			}
		}
		if len(extras) == 0 {
			t.Errorf("%s: no extra send was granted", name)
		}
		checkWindowBound(t, name, requests, extras, span, ratio, slack)
	}
}

// TestWindowShare guards against a limit that gives away more than it must: in
// steady traffic nine tenths of the ratio are granted in the long run, and half
// of that is there at once when trouble begins.
func TestWindowShare(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		gap   = 10 * time.Millisecond
	)
	w := &SlidingWindow{Span: span, Ratio: ratio, MaxDelay: 500 * time.Millisecond, Started: start}
	now, extras := start, 0
	for ; now.Sub(start) < 3*span; now = now.Add(gap) {
		w.RecordRequest(now)
	}
	perSpan := ratio * float64(span/gap)
	if got := w.Available(0, now); got < 0.45*perSpan {
		t.Errorf("%.0f extra sends are available at once, want 45%% of those of a span, which are %.0f", got, perSpan)
	}
	const spans = 10
	for end := now.Add(spans * span); now.Before(end); now = now.Add(gap) {
		w.RecordRequest(now)
		for takeExtra(w, 0, now) {
			extras++
		}
	}
	if float64(extras) < 0.9*spans*perSpan {
		t.Errorf("%d extra sends in %d spans, want 90%% of %.0f", extras, spans, spans*perSpan)
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

// TestWindowLateArrivals guards against extra sends above the limit at the
// servers when those of one burst arrive late and those of the next one at once.
func TestWindowLateArrivals(t *testing.T) {
	const (
		hosts        = 4
		span         = 10 * time.Second
		maxDelay     = 500 * time.Millisecond
		ratio, slack = 0.2, 56.0
		requestGap   = 5 * time.Millisecond
		trouble      = 15 * time.Second
		length       = 60 * time.Second
	)
	windows := make([]SlidingWindow, hosts)
	for i := range windows {
		windows[i] = SlidingWindow{Span: span, Ratio: ratio, Slack: slack, MaxDelay: maxDelay, Started: start.Add(-span)}
	}
	var requests, arrivals []time.Time
	for at := time.Duration(0); at < length; at += requestGap {
		now := start.Add(at)
		requests = append(requests, now)
		windows[len(requests)%hosts].RecordRequest(now)
		if at < trouble {
			continue
		}
		delay := time.Duration(0)
		if (at-trouble)%(2*span) < span/2 {
			delay = maxDelay
		}
		for i := range windows {
			for takeExtra(&windows[i], hosts, now) {
				arrivals = append(arrivals, now.Add(delay))
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	checkWindowBound(t, "late arrivals", requests, arrivals, span, ratio, slack)
}
