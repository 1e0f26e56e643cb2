// Package dcload generates open-loop load, measures the latency of each request
// from its intended send time, checks the answers against the guarantees of the
// tier, and compares runs.
package dcload

import (
	"math/rand/v2"
	"time"
)

// Arrivals generates the arrival times of a Poisson process.
type Arrivals struct {
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Random generates the intervals between arrivals.
	Random *rand.Rand

	next time.Duration
}

// Next returns the time of the next arrival, relative to the start of the
// process.
func (a *Arrivals) Next() time.Duration {
	interval := a.Random.ExpFloat64() / a.Rate
	a.next += time.Duration(interval * float64(time.Second))
	return a.next
}

// skipTo skips the arrivals before at. at is relative to the start.
func (a *Arrivals) skipTo(at time.Duration) {
	a.next = max(a.next, at)
}
