package dcquota

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Shares counts the requests that used the guaranteed share of this host. The zero
// value has used none. It is not safe for concurrent use.
type Shares struct {
	// used holds the times of the requests of each department, oldest first.
	used map[dcid.Department][]time.Time
}

// Take uses the share of a department, which allows a number of requests in any
// window, and half of it in any half window, so that a process that starts needs to
// wait for half a window only (see Choice.Share). It uses the monotonic clock, which
// says less than the time of day after a pause, so that no request is forgotten too
// early.
func (s *Shares) Take(department dcid.Department, share int, window time.Duration, now time.Time) bool {
	used := s.used[department]
	for len(used) > 0 && elapsedAtLeast(used[0], now) > window+dispatchDelay {
		used = used[1:]
	}
	recent := 0
	for i := len(used) - 1; i >= 0 && elapsedAtLeast(used[i], now) <= window/2+dispatchDelay; i-- {
		recent++
	}
	ok := len(used) < share && recent < max(share/2, 1)
	if ok {
		used = append(used, now)
	}
	if s.used == nil {
		s.used = make(map[dcid.Department][]time.Time)
	}
	if s.used[department] = used; len(used) == 0 {
		delete(s.used, department)
	}
	return ok
}
