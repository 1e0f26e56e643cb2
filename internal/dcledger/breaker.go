package dcledger

import (
	"math/rand/v2"
	"time"
)

// backoff returns the delay before a retry, where attempt counts from 0. The
// delay doubles with each attempt, from shortest up to longest. Its upper half
// is random, so that hosts do not retry at the same time.
func backoff(random *rand.Rand, attempt int, shortest, longest time.Duration) time.Duration {
	const maxDoublings = 20
	wait := min(shortest<<min(attempt, maxDoublings), longest)
	return wait/2 + time.Duration(random.Int64N(int64(wait/2)+1))
}

// breaker is a circuit breaker around the store calls of one Committer. While
// it is open, calls are sent to probe the store: one at a time, each after a
// backoff.
type breaker struct {
	open     bool
	retryAt  time.Time
	probing  bool
	failures int
}

func (b *breaker) allows(now time.Time) bool {
	return !b.open || !now.Before(b.retryAt) && !b.probing
}

func (b *breaker) trip(now time.Time, wait time.Duration) {
	b.open = true
	b.retryAt = now.Add(wait)
	b.probing = false
	b.failures++
}

func (b *breaker) reset() {
	*b = breaker{}
}
