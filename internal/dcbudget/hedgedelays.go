package dcbudget

import "time"

// Parameters of the latency tracker.
const (
	// windowTime is the age at which the latencies of a group are forgotten,
	// divided by windows.
	trackerWindowTime = 5 * time.Second
	// hedgeShare is the part of the extra load that first hedges may use by
	// themselves. The rest is for second hedges and retries.
	firstHedgeShare = 0.6
	// laterShare is the number of second hedges as a fraction of first ones.
	secondHedgeShare = 0.4
	// laterFloor divides the first delay to give the smallest second one. When
	// all latencies are nearly equal both quantiles are, and the first hedge
	// would not get time to answer.
	minSecondDelayDivisor = 8
)

// tracker keeps recent latencies and the hedge delays that follow from them.
// Cancelled sub-queries are recorded with the time they had been running, so
// a quantile tells how many shards are still open at that time. The second
// hedge is sent at a higher quantile of the same distribution: few but
// stragglers are open then, whatever the spread of ordinary latencies is. A
// delay of the 0.6 quantile after the first hedge gave a tail ratio of 1.69 at
// 310 shards and a spread of 0.2, because a shard with two stragglers waited
// for both delays.
type hedgeDelays struct {
	quantile  float64
	histogram *LatencyHistogram
}

// Indexes of the quantiles of a tracker.
const (
	firstQuantile = iota
	secondQuantile
)

func newHedgeDelays(quantile float64) hedgeDelays {
	return hedgeDelays{
		quantile:  quantile,
		histogram: NewLatencyHistogram(windowCount*trackerWindowTime, quantile, 1-(1-quantile)*secondHedgeShare),
	}
}

func (t *hedgeDelays) delay(hedge int, now time.Time) (time.Duration, bool) {
	if t.quantile == 0 {
		return 0, false
	}
	first, ok := t.histogram.Quantile(firstQuantile, now)
	if !ok || hedge <= 1 {
		return first, ok
	}
	later, _ := t.histogram.Quantile(secondQuantile, now)
	return max(later-first, first/minSecondDelayDivisor), true
}
