package dcbudget

import "time"

// Parameters of the hedge delays.
const (
	// groupWindowTime is the length of one of the windowCount windows in which
	// the latencies of a group are kept.
	groupWindowTime = 5 * time.Second
	// firstHedgeShare is the fraction of the extra load that first hedges may
	// use. The rest is for second hedges and retries.
	firstHedgeShare = 0.6
	// secondHedgeShare is the number of second hedges as a fraction of the first
	// ones.
	secondHedgeShare = 0.4
	// minSecondDelayDivisor divides the first delay to give the minimum second
	// delay. If all latencies are nearly equal, so are the two quantiles, and the
	// first hedge would get no time to answer.
	minSecondDelayDivisor = 8
)

// hedgeDelays computes hedge delays from recent latencies. Cancelled
// sub-queries are recorded with the time they had been running, so a quantile
// shows how many shards are still unanswered at that time. The second hedge is
// sent at a higher quantile of the same distribution: by then few shards other
// than stragglers are unanswered, for any spread of ordinary latencies. A second
// delay of the 0.6 quantile, counted from the first hedge, gave a tail ratio of
// 1.69 at 310 shards and a spread of 0.2, because a shard with two stragglers
// waited for both delays.
type hedgeDelays struct {
	quantile  float64
	histogram *LatencyHistogram
}

// Indexes of the quantiles in the histogram of hedgeDelays.
const (
	firstQuantile = iota
	secondQuantile
)

func newHedgeDelays(quantile float64) hedgeDelays {
	return hedgeDelays{
		quantile:  quantile,
		histogram: NewLatencyHistogram(windowCount*groupWindowTime, quantile, 1-(1-quantile)*secondHedgeShare),
	}
}

func (h *hedgeDelays) delay(hedge int, now time.Time) (time.Duration, bool) {
	if h.quantile == 0 {
		return 0, false
	}
	first, ok := h.histogram.Quantile(firstQuantile, now)
	if !ok || hedge <= 1 {
		return first, ok
	}
	later, _ := h.histogram.Quantile(secondQuantile, now)
	return max(later-first, first/minSecondDelayDivisor), true
}
