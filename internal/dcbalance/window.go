package dcbalance

import (
	"math"
	"time"
)

const (
	// queuedPerSlot is the number of calls of all hosts together, for each call that
	// a full server runs, that are in flight to it. More would only wait in its
	// queue, where they can no longer be refused or sent elsewhere.
	queuedPerSlot = 1.5
	// windowGrowTime is the time without a reduction after which a window grows by one
	// call.
	windowGrowTime = 250 * time.Millisecond
)

// window limits the calls of this host that are in flight to a server while the
// server refuses calls, or answers them late, for lack of room. The zero value does
// not limit them.
type window struct {
	limit     int
	changedAt time.Time
}

// limited reports whether the window is in force.
func (w *window) limited() bool { return w.limit > 0 }

// reduce reduces the window to this host's share of what the server can run, after
// a call that was sent under the present window has been refused or has waited for
// long. inFlight is the number of calls that were in flight with that one. If they
// were within the share, lack of room was not the cause.
func (w *window) reduce(inFlight, capacity, hosts int, sent, now time.Time) {
	share := int(math.Ceil(queuedPerSlot * float64(max(capacity, 1)) / float64(max(hosts, 1))))
	if inFlight <= share || sent.Before(w.changedAt) {
		return
	}
	w.limit, w.changedAt = share, now
}

// answered widens the window after an answer, and ends it once it reaches ceiling.
func (w *window) answered(ceiling int, now time.Time) {
	if !w.limited() || now.Sub(w.changedAt) < windowGrowTime {
		return
	}
	w.limit, w.changedAt = w.limit+1, now
	if w.limit >= ceiling {
		w.limit = 0
	}
}
