package dcbudget

import "time"

const (
	// windowBuckets is the number of buckets into which a span is divided.
	windowBuckets = 20
	// ratioShare is the fraction of the ratio that is used. The rest covers the
	// error of one bucket.
	ratioShare = 0.93
	// slackShare is the fraction of the slack that is used. The rest covers a
	// host that the other hosts do not list but that still sends.
	slackShare = 0.75
)

// SlidingWindow limits the extra sends to a service within any span of time,
// summed over all hosts, to a ratio of the requests plus a fixed slack. Each
// host applies the ratio to its own requests; the hosts share the slack evenly.
// It is not safe for concurrent use.
type SlidingWindow struct {
	Span  time.Duration
	Ratio float64
	Slack float64
	// Started is the start of the process. For one span after it only the ratio
	// counts, because the process may have spent its slack before a restart.
	Started time.Time

	buckets [windowBuckets + 1]windowBucket
	current int64
	// origin is the start of the first bucket. Buckets are numbered from it,
	// since the time of day can jump.
	origin time.Time
}

// windowBucket counts the requests and the extra sends of a part of the span.
type windowBucket struct {
	requests, extra float64
}

// RecordRequest counts the first send of a request.
func (w *SlidingWindow) RecordRequest(now time.Time) {
	w.bucket(now).requests++
}

// RecordExtra counts an extra send.
func (w *SlidingWindow) RecordExtra(now time.Time) {
	w.bucket(now).extra++
}

// Available returns the number of extra sends that are left; it may be negative.
// hosts is the number of hosts that share the slack. If it is 0, unknown, only
// the ratio counts.
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

// bucket returns the bucket of now and clears those that have left the window.
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
