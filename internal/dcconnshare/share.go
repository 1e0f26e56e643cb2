package dcconnshare

import (
	"cmp"
	"time"
)

// defaultRecoveryInterval is the default of Share.RecoveryInterval.
const defaultRecoveryInterval = 10 * time.Second

// SharePerSeat returns the number of connections to a server that one seat
// allows. The cap is divided by one more than the number of seats, because of
// the spare share. The result is at least 1, so the cap is guaranteed only when
// it is larger than the number of seats.
func SharePerSeat(limit, seats int) int {
	return max(1, limit/(seats+1))
}

// Share is the connection limit of this host for one server.
type Share struct {
	// Cap is the number of connections that the server accepts from all hosts
	// together.
	Cap int
	// Seats is the number of seats in the store.
	Seats int
	// RecoveryInterval is the time without a refused connection after which a
	// reduced limit grows by one. 0 means defaultRecoveryInterval.
	RecoveryInterval time.Duration

	// reducedLimit is the limit after the newest refusal, or 0 when the limit is
	// not reduced.
	reducedLimit int
	refusedAt    time.Time
}

// RecordRefused halves the limit after the server refused a connection. A
// refused connection does not count as a failure of the server.
func (s *Share) RecordRefused(now time.Time) {
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
	interval := cmp.Or(s.RecoveryInterval, defaultRecoveryInterval)
	recovered := int(max(0, now.Sub(s.refusedAt)) / interval)
	if s.reducedLimit+recovered >= full {
		s.reducedLimit = 0
		return full
	}
	return s.reducedLimit + recovered
}
