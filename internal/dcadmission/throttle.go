package dcadmission

import "time"

const (
	// throttleSpan is the time over which a throttle compares requests with
	// successes.
	throttleSpan = 2 * time.Second
	// throttleSteps is the number of steps that the span is divided into.
	throttleBuckets = 6
	// throttleFactor is the number of requests that may be run for each one that
	// succeeds. At most half of what runs is wasted, and enough runs to notice
	// that the servers have room again.
	throttleFactor = 2
	// throttleFloor is the number of requests in the span that always run.
	throttleMinRequests = 2
	// maxRefused is the largest part of the requests that is refused. The rest
	// shows within two spans that the overload is over.
	maxRefusedShare = 0.75
)

// Throttle refuses requests of a route before they run, while most of those
// that run fail because servers refuse work. A query that fails has cost most
// of its servers the work, so that running all queries lowers the number that
// succeeds. The rule is that of "Handling Overload" in Site Reliability
// Engineering (O'Reilly, 2016). The zero value is ready to use.
type Throttle struct {
	buckets [throttleBuckets]throttleBucket
	current int64
	// origin is the time of the first step. Steps are counted from it, since
	// the time of day can jump.
	origin time.Time
	// due is the part of a refusal that is due. Refusing when it reaches one
	// spreads refusals evenly.
	refusalCredit float64
}

type throttleBucket struct {
	requests, failed float64
}

// Admit counts a request and reports whether it may run.
func (t *Throttle) Admit(now time.Time) bool {
	bucket := t.bucket(now)
	var requests, failed float64
	for _, each := range t.buckets {
		requests += each.requests
		failed += each.failed
	}
	bucket.requests++
	excess := requests - throttleFactor*(requests-failed) - throttleMinRequests
	if excess <= 0 {
		t.refusalCredit = 0
		return true
	}
	if t.refusalCredit += min(excess/(requests+1), maxRefusedShare); t.refusalCredit < 1 {
		return true
	}
	t.refusalCredit--
	bucket.failed++
	return false
}

// Failed counts an admitted request that failed because servers refused work.
func (t *Throttle) RecordFailure(now time.Time) {
	t.bucket(now).failed++
}

// step returns the step of now and clears those that have left the span.
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
