package dcbudget

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowest and highest latency told apart; longer ones count as highest.
	lowest  = 10 * time.Microsecond
	highest = time.Minute
	// digits of precision of a latency.
	digits = 2
	// windows divide the time for which latencies are kept.
	windows = 4
	// refreshTime is how long computed quantiles are used before they are
	// computed again; merging the windows takes tens of microseconds.
	refreshTime = 100 * time.Millisecond
	// minSamples is the number of latencies from which quantiles are known. The
	// 0.97 quantile of fewer moves with single answers.
	minSamples = 200
)

// Latencies keeps the latencies of a recent span of time and some of their
// quantiles.
type Latencies struct {
	recent    *hdrhistogram.WindowedHistogram
	window    time.Duration
	rotated   time.Time
	quantiles []float64
	samples   int64
	computed  time.Time
	values    []time.Duration
}

// NewLatencies returns an empty record that forgets latencies after a span of
// time, or up to a quarter sooner.
func NewLatencies(span time.Duration, quantiles ...float64) *Latencies {
	return &Latencies{
		recent:    hdrhistogram.NewWindowed(windows, lowest.Microseconds(), highest.Microseconds(), digits),
		window:    span / windows,
		quantiles: quantiles,
		values:    make([]time.Duration, len(quantiles)),
	}
}

// Record takes a latency.
func (l *Latencies) Record(latency time.Duration, now time.Time) {
	l.rotate(now)
	latency = min(max(latency, lowest), highest)
	// The value is within the range of the histogram, the only error there is.
	_ = l.recent.Current.RecordValue(latency.Microseconds())
}

// Quantile returns a quantile by its place in the arguments of NewLatencies, or
// false while too few latencies are known.
func (l *Latencies) Quantile(index int, now time.Time) (time.Duration, bool) {
	l.refresh(now)
	if l.samples < minSamples {
		return 0, false
	}
	return l.values[index], true
}

func (l *Latencies) refresh(now time.Time) {
	l.rotate(now)
	if !l.computed.IsZero() && now.Sub(l.computed) < refreshTime {
		return
	}
	const percent = 100
	merged := l.recent.Merge()
	l.computed = now
	l.samples = merged.TotalCount()
	for i, quantile := range l.quantiles {
		l.values[i] = time.Duration(merged.ValueAtQuantile(quantile*percent)) * time.Microsecond
	}
}

// rotate starts new windows for the time that has passed.
func (l *Latencies) rotate(now time.Time) {
	if l.rotated.IsZero() {
		l.rotated = now
	}
	passed := min(int(now.Sub(l.rotated)/l.window), windows)
	if passed <= 0 {
		return
	}
	for range passed {
		l.recent.Rotate()
	}
	l.rotated = now
}
