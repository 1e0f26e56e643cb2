package dcbudget

import "time"

const (
	// spanBuckets is the number of buckets into which a span is divided. A window
	// that starts within a bucket is limited to the requests of the buckets that
	// it contains whole, which costs about two buckets of the ratio.
	spanBuckets = 50
	// windowBuckets is the number of buckets that are kept: those of the window
	// that ends now, of the span before it, and of extras that arrive late.
	windowBuckets = 3 * spanBuckets
	// ratioShare is the fraction of the ratio that is used. The rest covers
	// requests that callers sent on a route that was being changed, and the time
	// from a caller to a host and from a host to a server.
	ratioShare = 0.97
	// slackShare is the fraction of the slack that is used. The rest covers hosts
	// that are cut off and do not know of hosts that were added since: up to a
	// third of the hosts.
	slackShare = 0.75
)

// SlidingWindow limits the extra sends to a service within any span of time,
// summed over all hosts, to a ratio of the requests plus a fixed slack. It is
// not safe for concurrent use.
//
// For every window of one span, a host sends at most ratio * (w + p) / 2 extras
// plus its share of the slack, where w is the number of its own requests in the
// window and p that in the span before the window. The limit is a sum over
// requests, each of which one host has received. So the sum over all hosts is at
// most the ratio of the mean of all requests in the two spans, however the
// requests move between hosts, and whether hosts are cut off, restart or are not
// listed. A host that counted the larger of the two spans would not keep that: a
// request that moved away would count at one host before it moved and another
// would count at the other host after it moved.
//
// Servers count extras when they arrive, up to MaxDelay after they were recorded
// here. Extras therefore count for that much longer than a span. Otherwise a
// burst that arrives late and the one that is granted a span after it would lie
// within the same span at the servers.
type SlidingWindow struct {
	Span  time.Duration
	Ratio float64
	Slack float64
	// MaxDelay is the longest time from the decision to send an extra to its
	// arrival at a server, at most Span.
	MaxDelay time.Duration
	// Started is the start of the process. For one span after it only the ratio
	// counts, because the process may have spent its slack before a restart.
	Started time.Time

	buckets [windowBuckets]windowBucket
	// current is the number of the newest bucket, since origin.
	current int64
	// origin is the start of the first bucket. Buckets are numbered from it,
	// since the time of day can jump.
	origin time.Time
}

// windowBucket counts the requests and the extra sends of a part of the span.
type windowBucket struct {
	requests, extra uint32
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
	// The requests and extras from the start of each window to now, for windows
	// that start in ever older buckets.
	var extra, requests uint32
	for age := range spanBuckets {
		requests += w.aged(age).requests
	}
	// A window that starts within the oldest bucket has ended within the newest
	// one, so the requests of the newest one do not count for it.
	newest := w.aged(0)
	left := 0.0
	for age := range spanBuckets + w.lateBuckets() + 1 {
		extra += w.aged(age).extra
		counted := requests
		if age >= spanBuckets {
			counted -= newest.requests
		}
		allowed := w.Ratio * ratioShare / 2 * float64(counted)
		if atStart := allowed - float64(extra); age == 0 || atStart < left {
			left = atStart
		}
		if next := age + spanBuckets; next < 2*spanBuckets {
			requests += w.aged(next).requests
		}
	}
	if hosts > 0 && now.Sub(w.Started) >= w.Span {
		left += w.Slack * slackShare / float64(hosts)
	}
	return left
}

// lateBuckets returns the number of buckets that cover MaxDelay.
func (w *SlidingWindow) lateBuckets() int {
	width := w.Span / spanBuckets
	return int(min((w.MaxDelay+width-1)/width, spanBuckets))
}

// aged returns the bucket that is the given number of buckets older than the
// newest one.
func (w *SlidingWindow) aged(age int) windowBucket {
	number := w.current - int64(age)
	if number < 0 {
		return windowBucket{}
	}
	return w.buckets[number%windowBuckets]
}

// bucket returns the bucket of now and clears those that are too old. If the
// time of day was set back, it returns the newest bucket.
func (w *SlidingWindow) bucket(now time.Time) *windowBucket {
	if w.origin.IsZero() {
		w.origin = now
	}
	number := int64(now.Sub(w.origin) / (w.Span / spanBuckets))
	if number > w.current {
		for old := max(w.current+1, number-windowBuckets+1); old <= number; old++ {
			w.buckets[old%windowBuckets] = windowBucket{}
		}
		w.current = number
	}
	return &w.buckets[w.current%windowBuckets]
}
