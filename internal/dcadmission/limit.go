package dcadmission

import "time"

// Parameters of the limiter.
const (
	// decreaseFactor multiplies the limit after a congested window,
	// shedDecreaseFactor after a window in which upstreams shed load.
	decreaseFactor     = 0.9
	shedDecreaseFactor = 0.8
	// increaseFraction is the fraction of the limit, at least 1, by which it
	// grows after a window that reached the limit and was not congested.
	increaseFraction = 0.05
	// slowStartFactor multiplies a limit that is below the last limit that
	// worked, so that recovery from an outage takes few windows.
	slowStartFactor = 1.25
	// maxQueueShare is the fraction of a request's duration that may be spent
	// queued in upstreams, where queueing is not fair and requests cannot be
	// refused.
	maxQueueShare = 0.2
	// maxExcessShare is the corresponding fraction for the latency above the
	// minimum, which also includes the ordinary spread of latencies.
	maxExcessShare = 0.6
	// maxShedShare is the fraction of requests in a window with a shed sub-query
	// above which the limit is decreased.
	maxShedShare = 0.02
	// minWindowRequests is the minimum number of requests in a window.
	minWindowRequests = 16
	// minLatencyPeriod is the length of a period of minLatency. A minimum is used
	// during its own period and the next.
	minLatencyPeriod = 30 * time.Second
)

// observation is a finished request.
type observation struct {
	Sample
	started time.Time
	elapsed time.Duration
}

// limiter is an AIMD (additive increase, multiplicative decrease) concurrency
// limit that follows the time that requests are queued in upstreams.
type limiter struct {
	floor, ceiling float64
	// value is the limit before it is rounded down.
	value float64
	// threshold is the limit below which slow start applies.
	threshold float64
	// lastDecreased is set if the latest change was a decrease. Further decreases
	// in a row keep the threshold, because they belong to the same outage.
	lastDecreased bool
	// changedAt is the end of the latest window. Requests that started earlier
	// ran under an older limit and are not counted in the window.
	changedAt time.Time
	// saturated is set if the limit was reached within the window.
	saturated  bool
	window     window
	minLatency minLatency
}

// window sums the observations since changedAt.
type window struct {
	requests, shed int
	// queued and total are the queue time and duration of requests with a known
	// queue time. excess and latency are the latency above the minimum and the
	// whole latency of the others.
	queued, total, excess, latency time.Duration
}

func (l *limiter) configure(floor, ceiling int) {
	l.floor, l.ceiling = float64(floor), float64(ceiling)
	if l.value == 0 {
		l.value = l.floor
		l.threshold = l.ceiling
	}
	l.value = min(max(l.value, l.floor), l.ceiling)
}

func (l *limiter) limit() int {
	return int(l.value)
}

func (l *limiter) observe(observed observation, now time.Time) {
	lowest := l.minLatency.update(observed.elapsed, now)
	if observed.started.Before(l.changedAt) {
		return
	}
	l.window.add(observed, lowest)
	if l.window.requests < max(minWindowRequests, l.limit()) {
		return
	}
	l.adjust(now)
}

func (w *window) add(observed observation, lowest time.Duration) {
	w.requests++
	if observed.Overloaded {
		w.shed++
	}
	if observed.QueueTime >= 0 && !observed.Failed {
		w.queued += observed.QueueTime
		w.total += observed.elapsed
		return
	}
	w.excess += observed.elapsed - lowest
	w.latency += observed.elapsed
}

// congested reports whether requests were queued in upstreams for too long.
func (w *window) congested() bool {
	allowed := maxQueueShare*float64(w.total) + maxExcessShare*float64(w.latency)
	return float64(w.queued+w.excess) > allowed
}

func (w *window) shedding() bool {
	return float64(w.shed) > maxShedShare*float64(w.requests)
}

// adjust ends a window and changes the limit.
func (l *limiter) adjust(now time.Time) {
	switch {
	case l.window.shedding():
		l.decrease(shedDecreaseFactor)
	case l.window.congested():
		l.decrease(decreaseFactor)
	case l.saturated:
		l.increase()
	}
	l.window = window{}
	l.saturated = false
	l.changedAt = now
}

func (l *limiter) decrease(factor float64) {
	if !l.lastDecreased {
		l.threshold = l.value * factor
	}
	l.lastDecreased = true
	l.value = max(l.value*factor, l.floor)
}

func (l *limiter) increase() {
	l.lastDecreased = false
	if l.value < l.threshold {
		l.value = min(l.value*slowStartFactor+1, l.threshold)
	} else {
		l.value += max(l.value*increaseFraction, 1)
	}
	l.value = min(l.value, l.ceiling)
}

// minLatency is the minimum latency of the current and of the previous period.
type minLatency struct {
	current, previous time.Duration
	periodStart       time.Time
}

func (m *minLatency) update(latency time.Duration, now time.Time) time.Duration {
	if m.periodStart.IsZero() || now.Sub(m.periodStart) >= minLatencyPeriod {
		m.previous, m.current, m.periodStart = m.current, latency, now
	}
	m.current = min(m.current, latency)
	if m.previous == 0 {
		return m.current
	}
	return min(m.current, m.previous)
}
