package dcconnshare

import (
	"cmp"
	"time"
)

// defaultQuiet is the time without a refused connection after which a reduced
// limit grows by one.
const defaultRecoveryInterval = 10 * time.Second

// PerServer returns the share of one seat of a server's connection cap. One
// share more than there are seats is kept spare. It is at least 1, so the cap
// holds only when it is above the number of seats.
func SharePerSeat(limit, seats int) int {
	return max(1, limit/(seats+1))
}

// Share is the connection limit of this host towards one server.
type Share struct {
	// Cap is the number of connections that the server accepts in all.
	Cap int
	// Seats is the number of seats in the store.
	Seats int
	// Quiet is the time without a refusal after which the limit recovers by one.
	RecoveryInterval time.Duration

	// reduced is the limit after the newest refusal, 0 when there was none.
	reducedLimit int
	refusedAt    time.Time
}

// Refused halves the limit. It is no failure of the server.
func (s *Share) Refused(now time.Time) {
	limit := s.Limit(now)
	s.reducedLimit = max(1, limit/2)
	s.refusedAt = now
}

// Limit returns how many connections this host may hold while its seat is
// active.
func (s *Share) Limit(now time.Time) int {
	full := SharePerSeat(s.Cap, s.Seats)
	if s.reducedLimit == 0 {
		return full
	}
	quiet := cmp.Or(s.RecoveryInterval, defaultRecoveryInterval)
	recovered := int(max(0, now.Sub(s.refusedAt)) / quiet)
	if s.reducedLimit+recovered >= full {
		s.reducedLimit = 0
		return full
	}
	return s.reducedLimit + recovered
}
