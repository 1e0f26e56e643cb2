package dcbudget

import "time"

const (
	// windowSteps is the number of steps that a window is divided into.
	windowBuckets = 20
	// windowMargin is the part of the ratio that is used. The rest covers the
	// error of a step.
	ratioShare = 0.93
	// slackShare is the part of the slack that is used. The rest covers a host
	// that is not in the list of the others but still sends.
	slackShare = 0.75
)

// Window limits the extra sends to a service over a sliding span of time, in
// sum over all hosts: at most a ratio of the requests, and a slack that the
// hosts share evenly. Each host applies the ratio to its own requests.
type SlidingWindow struct {
	Span  time.Duration
	Ratio float64
	Slack float64
	// Started is the start of the process. Until a span later only the ratio
	// counts, because the process may have spent its slack before a restart.
	Started time.Time

	buckets [windowBuckets + 1]windowBucket
	current int64
	// origin is the time of the first step. Steps are counted from it, since
	// the time of day can jump.
	origin time.Time
}

type windowBucket struct {
	requests, extra float64
}

// Request counts the first send of a request.
func (w *SlidingWindow) RecordRequest(now time.Time) {
	w.bucket(now).requests++
}

// Extra counts an extra send.
func (w *SlidingWindow) RecordExtra(now time.Time) {
	w.bucket(now).extra++
}

// Level returns the number of extra sends that are left. hosts is the number of
// hosts that share the slack, 0 when unknown: then only the ratio counts.
func (w *SlidingWindow) Available(hosts int, now time.Time) float64 {
	w.bucket(now)
	var used, requests float64
	for _, bucket := range w.buckets {
		used += bucket.extra
		requests += bucket.requests
	}
	allowed := w.Ratio * requests * ratioShare
	if hosts > 0 && now.Sub(w.Started) >= w.Span {
		allowed += w.Slack * slackShare / float64(hosts)
	}
	return allowed - used
}

// step returns the step of now and clears those that have left the window.
func (w *SlidingWindow) bucket(now time.Time) *windowBucket {
	if w.origin.IsZero() {
		w.origin = now
	}
	number := int64(now.Sub(w.origin) / (w.Span / windowBuckets))
	count := int64(len(w.buckets))
	if number > w.current {
		for old := max(w.current+1, number-count+1); old <= number; old++ {
			w.buckets[old%count] = windowBucket{}
		}
		w.current = number
	}
	return &w.buckets[w.current%count]
}
