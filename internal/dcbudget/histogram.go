package dcbudget

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatency and maxLatency are the bounds of recorded latencies. Values
	// outside count as the nearer bound.
	minLatency = 10 * time.Microsecond
	maxLatency = time.Minute
	// precisionDigits is the number of significant digits of a latency.
	precisionDigits = 2
	// windowCount is the number of windows into which the span of a histogram is
	// divided.
	windowCount = 4
	// quantileCacheTime is how long quantiles are used before they are computed
	// again. Merging the windows takes tens of microseconds.
	quantileCacheTime = 100 * time.Millisecond
	// minSamples is the minimum number of latencies for quantiles. With fewer,
	// single answers move the 0.97 quantile.
	minSamples = 200
)

// LatencyHistogram records the latencies of a recent span of time and computes
// quantiles of them. It is not safe for concurrent use.
type LatencyHistogram struct {
	histogram  *hdrhistogram.WindowedHistogram
	windowTime time.Duration
	rotatedAt  time.Time
	quantiles  []float64
	// samples is the number of latencies and quantileValues holds the latencies at
	// the quantiles, both as of computedAt.
	samples        int64
	computedAt     time.Time
	quantileValues []time.Duration
}

// NewLatencyHistogram returns an empty histogram that drops latencies after span,
// or up to a quarter of it sooner.
func NewLatencyHistogram(span time.Duration, quantiles ...float64) *LatencyHistogram {
	return &LatencyHistogram{
		histogram:      hdrhistogram.NewWindowed(windowCount, minLatency.Microseconds(), maxLatency.Microseconds(), precisionDigits),
		windowTime:     span / windowCount,
		quantiles:      quantiles,
		quantileValues: make([]time.Duration, len(quantiles)),
	}
}

// Record adds a latency.
func (l *LatencyHistogram) Record(latency time.Duration, now time.Time) {
	l.rotate(now)
	latency = min(max(latency, minLatency), maxLatency)
	// The only error is a value outside the range of the histogram, which the
	// line above excludes.
	_ = l.histogram.Current.RecordValue(latency.Microseconds())
}

// Quantile returns a quantile by its index in the arguments of
// NewLatencyHistogram. It returns false if fewer than minSamples latencies are
// recorded. The value may be up to quantileCacheTime old.
func (l *LatencyHistogram) Quantile(index int, now time.Time) (time.Duration, bool) {
	value, samples := l.Value(index, now)
	if samples < minSamples {
		return 0, false
	}
	return value, true
}

// Value returns a quantile like Quantile, whatever the number of latencies, and
// that number.
func (l *LatencyHistogram) Value(index int, now time.Time) (value time.Duration, samples int64) {
	l.refresh(now)
	return l.quantileValues[index], l.samples
}

// refresh computes the quantiles again if they are older than
// quantileCacheTime.
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
		l.quantileValues[i] = time.Duration(merged.ValueAtQuantile(quantile*percent)) * time.Microsecond
	}
}

// rotate starts a new window for each window length that has passed.
func (l *LatencyHistogram) rotate(now time.Time) {
	if l.rotatedAt.IsZero() {
		l.rotatedAt = now
	}
	elapsedWindows := min(int(now.Sub(l.rotatedAt)/l.windowTime), windowCount)
	if elapsedWindows <= 0 {
		return
	}
	for range elapsedWindows {
		l.histogram.Rotate()
	}
	l.rotatedAt = now
}
