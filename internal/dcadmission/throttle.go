package dcadmission

import "time"

const (
	// throttleSpan is the period over which a throttle compares the number of
	// requests with the number of successes.
	throttleSpan = 2 * time.Second
	// throttleBuckets is the number of buckets into which the span is divided.
	throttleBuckets = 6
	// throttleFactor is the number of requests that may run for each request that
	// succeeds. At most half of the work is wasted, and enough requests run to
	// detect that the servers have capacity again.
	throttleFactor = 2
	// throttleMinRequests is the number of requests within the span that always
	// run.
	throttleMinRequests = 2
	// maxRefusedShare is the maximum fraction of requests that are refused. The
	// others show within two spans that the overload has ended.
	maxRefusedShare = 0.75
)

// Throttle refuses requests of a route before they run while most of those that
// run fail because servers refuse work. A query that fails has still cost most
// of its servers their work, so running all queries would lower the number that
// succeed. The rule is the one of the chapter "Handling Overload" in Site
// Reliability Engineering (O'Reilly, 2016). The zero value is ready to use. A
// Throttle is not safe for concurrent use.
type Throttle struct {
	buckets [throttleBuckets]throttleBucket
	current int64
	// origin is the start of the first bucket. Buckets are numbered from it,
	// since the time of day can jump.
	origin time.Time
	// pendingRefusals sums the fractions to refuse of the requests so far. A
	// request is refused when the sum reaches 1, which spreads refusals evenly.
	pendingRefusals float64
}

// throttleBucket counts the requests of a part of the span, and those of them
// that failed or were refused.
type throttleBucket struct {
	requests, failed float64
}

// Admit counts a request and reports whether it may run.
func (t *Throttle) Admit(now time.Time) bool {
	bucket := t.bucket(now)
	var requests, failed float64
	for _, counted := range t.buckets {
		requests += counted.requests
		failed += counted.failed
	}
	bucket.requests++
	excess := requests - throttleFactor*(requests-failed) - throttleMinRequests
	if excess <= 0 {
		t.pendingRefusals = 0
		return true
	}
	if t.pendingRefusals += min(excess/(requests+1), maxRefusedShare); t.pendingRefusals < 1 {
		return true
	}
	t.pendingRefusals--
	bucket.failed++
	return false
}

// RecordFailure counts an admitted request that failed because servers refused
// work.
func (t *Throttle) RecordFailure(now time.Time) {
	t.bucket(now).failed++
}

// bucket returns the bucket of now and clears those that have left the span.
func (t *Throttle) bucket(now time.Time) *throttleBucket {
	if t.origin.IsZero() {
		t.origin = now
	}
	number := int64(now.Sub(t.origin) / (throttleSpan / throttleBuckets))
	if number > t.current {
		for old := max(t.current+1, number-throttleBuckets+1); old <= number; old++ {
			t.buckets[old%throttleBuckets] = throttleBucket{}
		}
		t.current = number
	}
	return &t.buckets[t.current%throttleBuckets]
}
