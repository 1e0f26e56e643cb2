package dcadmission

import "time"

// Parameters of the limiter.
const (
	// decrease multiplies the limit after a congested window, shedDecrease
	// after one in which upstreams shed load.
	decreaseFactor     = 0.9
	shedDecreaseFactor = 0.8
	// increase is added as a fraction of the limit, at least one, after a
	// window that used the limit and was not congested.
	increaseFraction = 0.05
	// slowStart multiplies the limit below the last limit that worked, so that
	// recovery from an outage takes few windows.
	slowStartFactor = 1.25
	// queueShare is the part of a request's time that may be spent waiting in
	// upstreams, where waiting is neither fair nor able to be refused.
	maxQueueShare = 0.2
	// excessShare is the same for the latency above the minimum, which also
	// contains the ordinary spread of latencies.
	maxExcessShare = 0.6
	// shedShare is the part of requests in a window with a shed sub-query above
	// which the limit falls.
	maxShedShare = 0.02
	// minWindow is the smallest number of requests in a window.
	minWindowRequests = 16
	// minimumTime is how long a minimum latency is remembered.
	minLatencyPeriod = 30 * time.Second
)

// observation is a finished request.
type observation struct {
	Sample
	started time.Time
	elapsed time.Duration
}

// limiter is an AIMD concurrency limit driven by the time that requests wait
// in upstreams.
type limiter struct {
	floor, ceiling float64
	value          float64
	// threshold is the limit below which slow start applies.
	threshold float64
	// fell reports that the newest change was a decrease. Falls in a row keep
	// the threshold: they belong to one outage.
	lastDecreased bool
	// changed is the time of the newest change; requests started earlier say
	// nothing about it.
	changedAt  time.Time
	saturated  bool
	window     window
	minLatency minLatency
}

// window sums the observations since the newest change.
type window struct {
	requests, shed int
	// queued and total are for requests with a known queue time, excess and
	// latency for the others.
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

func (l *limiter) observe(seen observation, now time.Time) {
	least := l.minLatency.update(seen.elapsed, now)
	if seen.started.Before(l.changedAt) {
		return
	}
	l.window.add(seen, least)
	if l.window.requests < max(minWindowRequests, l.limit()) {
		return
	}
	l.adjust(now)
}

func (w *window) add(seen observation, least time.Duration) {
	w.requests++
	if seen.Overloaded {
		w.shed++
	}
	if seen.QueueTime >= 0 && !seen.Failed {
		w.queued += seen.QueueTime
		w.total += seen.elapsed
		return
	}
	w.excess += seen.elapsed - least
	w.latency += seen.elapsed
}

// congested reports whether requests waited too long in upstreams.
func (w *window) congested() bool {
	allowed := maxQueueShare*float64(w.total) + maxExcessShare*float64(w.latency)
	return float64(w.queued+w.excess) > allowed
}

func (w *window) shedding() bool {
	return float64(w.shed) > maxShedShare*float64(w.requests)
}

// adjust ends a window.
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

// minimum is the smallest latency of the current and the previous period.
type minLatency struct {
	current, previous time.Duration
	since             time.Time
}

func (m *minLatency) update(latency time.Duration, now time.Time) time.Duration {
	if m.since.IsZero() || now.Sub(m.since) >= minLatencyPeriod {
		m.previous, m.current, m.since = m.current, latency, now
	}
	m.current = min(m.current, latency)
	if m.previous == 0 {
		return m.current
	}
	return min(m.current, m.previous)
}
