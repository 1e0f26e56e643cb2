// Package dcconnshare decides this host's share of the connections to each
// upstream server.
package dcconnshare

import (
	"time"

	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Seat is one seat as read from the store.
type Seat struct {
	Number   int
	Record   *ledgerv1.SeatRecord
	Modified int64
}

// View is what the seat decision asks of the membership.
type View interface {
	// Gone reports that this host believes the other one to be gone.
	Gone(host dcid.HostID, incarnation int64) bool
	// ConfirmedGone reports proof that the process has ended.
	ConfirmedGone(host dcid.HostID, incarnation int64) bool
	// PeerHeard is the time of the newest direct heartbeat of any peer.
	PeerHeard() time.Time
}

// ActionKind is a change of the store.
type ActionKind string

// Changes of the store.
const (
	None   ActionKind = "none"
	Swap   ActionKind = "swap"
	Delete ActionKind = "delete"
)

// Action is the change of the store that the host must make next, followed by
// a new read of all seats.
type Action struct {
	Kind     ActionKind
	Number   int
	Expected int64
	Record   *ledgerv1.SeatRecord
}

// Seats decides which seat this host holds.
type Seats struct {
	Self        dcid.HostID
	Incarnation int64
	Count       int
	View        View
}

func (s *Seats) Observe(seats []Seat, now time.Time) Action { panic("todo") }
func (s *Seats) PeerSeat(number int, holder dcid.HostID, incarnation int64, taken time.Time) {
	panic("todo")
}
func (s *Seats) Held() (number int, taken time.Time, ok bool) { panic("todo") }
func (s *Seats) Active(now time.Time) bool                    { panic("todo") }
func (s *Seats) Release() Action                              { panic("todo") }

// Share is the connection limit of this host towards one server.
type Share struct {
	Cap, Seats int
	Quiet      time.Duration
}

func (s *Share) Refused(now time.Time)   { panic("todo") }
func (s *Share) Limit(now time.Time) int { panic("todo") }
