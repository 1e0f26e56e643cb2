// Package dcload generates open-loop load, measures answers from their
// intended send time, checks them against the promises, and compares runs.
package dcload

import (
	"math/rand/v2"
	"time"
)

// Arrivals is a Poisson process.
type Arrivals struct {
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Random is the source of the gaps.
	Random *rand.Rand

	next time.Duration
}

// Next returns the time of the next arrival, counted from the start.
func (a *Arrivals) Next() time.Duration {
	gap := a.Random.ExpFloat64() / a.Rate
	a.next += time.Duration(gap * float64(time.Second))
	return a.next
}

// skipTo leaves out the arrivals before a time.
func (a *Arrivals) skipTo(at time.Duration) {
	a.next = max(a.next, at)
}
