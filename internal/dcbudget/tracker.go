package dcbudget

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency tracker.
const (
	// lowest and highest latency told apart; longer ones count as highest.
	lowest  = 10 * time.Microsecond
	highest = time.Minute
	// digits of precision of a latency.
	digits = 2
	// windows and windowTime give the age at which a latency is forgotten.
	windows    = 4
	windowTime = 5 * time.Second
	// refreshTime is how long computed delays are used before they are
	// computed again; merging the windows takes tens of microseconds.
	refreshTime = 100 * time.Millisecond
	// minSamples is the number of latencies before hedging starts. The 0.97
	// quantile of fewer moves with single answers.
	minSamples = 200
	// hedgeShare is the part of the extra load that first hedges may use by
	// themselves. The rest is for second hedges and retries.
	hedgeShare = 0.6
	// laterShare is the number of second hedges as a fraction of first ones.
	laterShare = 0.4
	// laterFloor divides the first delay to give the smallest second one. When
	// all latencies are nearly equal both quantiles are, and the first hedge
	// would not get time to answer.
	laterFloor = 8
)

// tracker keeps recent latencies and the hedge delays that follow from them.
// Cancelled sub-queries are recorded with the time they had been running, so
// a quantile tells how many shards are still open at that time. The second
// hedge is sent at a higher quantile of the same distribution: few but
// stragglers are open then, whatever the spread of ordinary latencies is. A
// delay of the 0.6 quantile after the first hedge gave a tail ratio of 1.69 at
// 310 shards and a spread of 0.2, because a shard with two stragglers waited
// for both delays.
type tracker struct {
	quantile float64
	recent   *hdrhistogram.WindowedHistogram
	rotated  time.Time
	samples  int64
	computed time.Time
	first    time.Duration
	later    time.Duration
}

func newTracker(quantile float64) tracker {
	return tracker{
		quantile: quantile,
		recent:   hdrhistogram.NewWindowed(windows, lowest.Microseconds(), highest.Microseconds(), digits),
	}
}

func (t *tracker) record(latency time.Duration, now time.Time) {
	t.rotate(now)
	latency = min(max(latency, lowest), highest)
	// The value is within the range of the histogram, the only error there is.
	_ = t.recent.Current.RecordValue(latency.Microseconds())
}

func (t *tracker) delay(hedge int, now time.Time) (time.Duration, bool) {
	if t.quantile == 0 {
		return 0, false
	}
	t.refresh(now)
	if t.samples < minSamples {
		return 0, false
	}
	if hedge > 1 {
		return t.later, true
	}
	return t.first, true
}

func (t *tracker) refresh(now time.Time) {
	t.rotate(now)
	if !t.computed.IsZero() && now.Sub(t.computed) < refreshTime {
		return
	}
	merged := t.recent.Merge()
	t.computed = now
	t.samples = merged.TotalCount()
	t.first = quantileOf(merged, t.quantile)
	t.later = max(quantileOf(merged, 1-(1-t.quantile)*laterShare)-t.first, t.first/laterFloor)
}

// rotate starts new windows for the time that has passed.
func (t *tracker) rotate(now time.Time) {
	if t.rotated.IsZero() {
		t.rotated = now
	}
	passed := min(int(now.Sub(t.rotated)/windowTime), windows)
	if passed <= 0 {
		return
	}
	for range passed {
		t.recent.Rotate()
	}
	t.rotated = now
}

func quantileOf(histogram *hdrhistogram.Histogram, quantile float64) time.Duration {
	const percent = 100
	return time.Duration(histogram.ValueAtQuantile(quantile*percent)) * time.Microsecond
}
