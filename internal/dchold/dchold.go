// Package dchold keeps requests away from a server for as long as the server asks
// for. It opens no sockets and reads no clock.
package dchold

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcfield"
)

const (
	// firstLimit is the longest time for which a first refusal keeps requests away.
	// A server that needs longer says so again in the answer to the request that
	// follows, and is then given twice the time. A wrong value so takes a server
	// out for seconds, not for hours.
	firstLimit = 10 * time.Second
	// maxLimit is the longest time for which a refusal keeps requests away.
	maxLimit = 10 * time.Minute
)

// ParseDelay reads the values of a field that holds a delay in seconds, as
// dcfield.Decimal reads numbers. A date is malformed, since the clocks of servers
// and hosts differ.
func ParseDelay(values []string) (delay time.Duration, presence dcfield.Presence) {
	seconds, presence := dcfield.Decimal(values)
	return time.Duration(min(seconds, maxLimit.Seconds()) * float64(time.Second)), presence
}

// Hold is the time for which one server gets no requests of this host. The zero
// value lets all requests pass. It is not safe for concurrent use.
type Hold struct {
	// since is the time of the last refusal that named a delay, and until the end
	// of the delay, both zero without one.
	since, until time.Time
	// limit is the longest delay that is followed.
	limit time.Duration
}

// Refuse follows the delay that a refusal names. sent is the time at which the
// refused request was sent. The end of the delay never moves to an earlier time,
// because answers to requests in flight arrive in any order.
func (h *Hold) Refuse(delay time.Duration, sent, now time.Time) {
	if delay <= 0 {
		return
	}
	switch {
	case h.limit == 0:
		h.limit = firstLimit
	case !sent.Before(h.until):
		h.limit = min(2*h.limit, maxLimit)
	}
	if until := now.Add(min(delay, h.limit)); until.After(h.until) {
		h.until = until
	}
	h.since = now
}

// Accept ends the delay after an answer to a request that was sent after the last
// refusal. An answer to an earlier one says nothing newer.
func (h *Hold) Accept(sent time.Time) {
	if !sent.Before(h.since) {
		*h = Hold{}
	}
}

// Remaining returns how long the server still gets no requests, 0 if it gets them
// now.
func (h *Hold) Remaining(now time.Time) time.Duration {
	return max(h.until.Sub(now), 0)
}
