package dcbudget

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowest and highest latency told apart; longer ones count as highest.
	minLatency = 10 * time.Microsecond
	maxLatency = time.Minute
	// digits of precision of a latency.
	precisionDigits = 2
	// windows divide the time for which latencies are kept.
	windowCount = 4
	// refreshTime is how long computed quantiles are used before they are
	// computed again; merging the windows takes tens of microseconds.
	quantileCacheTime = 100 * time.Millisecond
	// minSamples is the number of latencies from which quantiles are known. The
	// 0.97 quantile of fewer moves with single answers.
	minSamples = 200
)

// Latencies keeps the latencies of a recent span of time and some of their
// quantiles.
type LatencyHistogram struct {
	histogram  *hdrhistogram.WindowedHistogram
	windowTime time.Duration
	rotatedAt  time.Time
	quantiles  []float64
	samples    int64
	computedAt time.Time
	values     []time.Duration
}

// NewLatencies returns an empty record that forgets latencies after a span of
// time, or up to a quarter sooner.
func NewLatencyHistogram(span time.Duration, quantiles ...float64) *LatencyHistogram {
	return &LatencyHistogram{
		histogram:  hdrhistogram.NewWindowed(windowCount, minLatency.Microseconds(), maxLatency.Microseconds(), precisionDigits),
		windowTime: span / windowCount,
		quantiles:  quantiles,
		values:     make([]time.Duration, len(quantiles)),
	}
}

// Record takes a latency.
func (l *LatencyHistogram) Record(latency time.Duration, now time.Time) {
	l.rotate(now)
	latency = min(max(latency, minLatency), maxLatency)
	// The value is within the range of the histogram, the only error there is.
	_ = l.histogram.Current.RecordValue(latency.Microseconds())
}

// Quantile returns a quantile by its place in the arguments of NewLatencies, or
// false while too few latencies are known.
func (l *LatencyHistogram) Quantile(index int, now time.Time) (time.Duration, bool) {
	l.refresh(now)
	if l.samples < minSamples {
		return 0, false
	}
	return l.values[index], true
}

func (l *LatencyHistogram) refresh(now time.Time) {
	l.rotate(now)
	if !l.computedAt.IsZero() && now.Sub(l.computedAt) < quantileCacheTime {
		return
	}
	const percent = 100
	merged := l.histogram.Merge()
	l.computedAt = now
	l.samples = merged.TotalCount()
	for i, quantile := range l.quantiles {
		l.values[i] = time.Duration(merged.ValueAtQuantile(quantile*percent)) * time.Microsecond
	}
}

// rotate starts new windows for the time that has passed.
func (l *LatencyHistogram) rotate(now time.Time) {
	if l.rotatedAt.IsZero() {
		l.rotatedAt = now
	}
	passed := min(int(now.Sub(l.rotatedAt)/l.windowTime), windowCount)
	if passed <= 0 {
		return
	}
	for range passed {
		l.histogram.Rotate()
	}
	l.rotatedAt = now
}
