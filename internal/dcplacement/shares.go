package dcplacement

import (
	"math"
	"time"
)

const (
	// selectedShare is the part of a shared quantity that the selected hosts divide.
	// The others divide the rest, since callers with older answers still use them.
	selectedShare = 0.75
	// settleTime is how long a host must have been selected before it uses the share
	// of a selected host. It exceeds the window of the budget of extra sends and the
	// time by which the lists of two hosts differ, so that the host that it replaced
	// has not used its larger share within the same window.
	settleTime = 13 * time.Second
	// replaceTime is settleTime for a host that is selected because another one is
	// gone. One whose lease has expired may use its share for as long.
	replaceTime = 33 * time.Second
)

// Shares decides how a host shares with the others what all hosts together must not
// exceed. The zero value is that of a host that is not selected. It is not safe for
// concurrent use.
type Shares struct {
	// since is the time from which the host counts as selected, zero while it is not.
	since time.Time
	set   Set
	total int
	// largest is the largest number of selected hosts within settleTime, and
	// largestUntil the end of the time for which it counts: the hosts that were
	// deselected have used their shares in the window that ends.
	largest      int
	largestUntil time.Time
}

// Update takes the set of hosts that callers use. total is the number of all hosts,
// selected whether this host is among the set, and lost whether a host that was
// selected before is no longer listed.
func (s *Shares) Update(set Set, total int, selected, lost bool, now time.Time) {
	s.set, s.total = set, total
	if set.Len() >= s.largest || !now.Before(s.largestUntil) {
		s.largest, s.largestUntil = set.Len(), now.Add(settleTime)
	}
	switch {
	case !selected:
		s.since = time.Time{}
	case s.since.IsZero() && lost:
		s.since = now.Add(replaceTime)
	case s.since.IsZero():
		s.since = now.Add(settleTime)
	}
}

// Selected reports whether this host uses the share of a selected host.
func (s *Shares) Selected(now time.Time) bool {
	return !s.since.IsZero() && !now.Before(s.since)
}

// Divisor returns the number by which a shared quantity is divided to give the share
// of this host. hosts is the number by which it would be divided if all hosts were
// equal, 0 if this host may not use a share.
func (s *Shares) Divisor(hosts int, now time.Time) int {
	if s.set.Whole() || hosts == 0 || s.set.Len() == 0 {
		return hosts
	}
	// gone counts the hosts that are not listed any more but may still use a share.
	gone := max(hosts-s.total, 0)
	if s.Selected(now) {
		return int(math.Ceil(float64(s.largest+gone) / selectedShare))
	}
	// Selected hosts that do not use their larger share yet are among these.
	return int(math.Ceil(float64(hosts) / (1 - selectedShare)))
}

// Rank returns the place of this host among as many as Divisor returns, from its
// place among all hosts. Places are spread so that as many of those below a limit are
// taken as the part of the quantity allows.
func (s *Shares) Rank(rank int, now time.Time) int {
	switch {
	case s.set.Whole() || s.set.Len() == 0:
		return rank
	case s.Selected(now):
		return int(float64(rank) / selectedShare)
	}
	return int(float64(rank) / (1 - selectedShare))
}
