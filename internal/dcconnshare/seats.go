// Package dcconnshare decides this host's share of the connections to each
// upstream server. The store holds a fixed number of seats; each seat stands
// for one share and one more share is spare, for a host that was replaced and
// may still hold its connections.
package dcconnshare

import (
	"slices"
	"time"

	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// TakeoverWait is the time after which a replaced host counts as having
	// closed its connections without proof.
	TakeoverTimeout = 600 * time.Second
	// ConfirmLimit is the time for which a host keeps its share without hearing
	// from the store or from any peer. The rest of TakeoverWait covers LongestPause,
	// in which the process cannot close anything, and 60 s to close.
	IsolationTimeout = 300 * time.Second
	// LongestPause is the longest pause of a process that the cap allows for.
	MaxProcessPause = 240 * time.Second
)

// Seat is one seat as read from the store; seats without a key are left out.
type Seat struct {
	// Number is from 1 to Count.
	Number int
	Record *ledgerv1.SeatRecord
	// Modified is the modification revision, which orders all writes of the
	// store.
	Modified int64
}

// View is what the seat decision asks of the membership.
type Membership interface {
	// Gone reports that this host believes the incarnation to be gone. It may
	// be wrong.
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

// Action is the change of the store to make next. After it, whatever its
// result, the host reads all seats again and calls Observe.
type Action struct {
	Kind   ActionKind
	Number int
	// Expected is the modification revision, 0 for absent.
	Expected int64
	Record   *ledgerv1.SeatRecord
}

// Seats decides which seat this host holds. It is unchanged while the store
// does not answer.
type Seats struct {
	Self        dcid.HostID
	Incarnation int64
	Count       int
	Membership  Membership

	held        *Seat
	confirmedAt time.Time
	firstSeen   map[takeover]time.Time
	// waiting is set while an earlier takeover may still use the spare share.
	waiting  bool
	released bool
}

// Observe takes a complete read of the seats, which began at read and after the
// last Action ended, and returns what to change. The share counts as confirmed
// at the begin of the read, since the process may have been paused after it.
func (s *Seats) Observe(seats []Seat, read, now time.Time) Action {
	s.confirmedAt = read
	s.held = nil
	s.waiting = false
	s.noteTakeovers(seats, now)
	own := s.ownSeat(seats)
	switch {
	case own == nil && s.released:
		return Action{Kind: None}
	case own == nil:
		return s.acquire(seats, now)
	case s.released:
		return Action{Kind: Delete, Number: own.Number, Expected: own.Modified}
	case own.Record.GetIncarnation() != s.Incarnation:
		return s.takeEndedSeat(*own)
	}
	s.held = own
	s.waiting = s.lostTakeoverRace(seats, own, now)
	return s.clearPreviousHost(own, seats, now)
}

// takeover identifies one takeover of a seat.
type takeover struct {
	number   int
	takenMS  int64
	previous string
}

func takeoverOf(seat Seat) takeover {
	return takeover{number: seat.Number, takenMS: seat.Record.GetTakenMs(), previous: seat.Record.GetPreviousHostId()}
}

// remember notes when each takeover was first seen. TakeoverWait is measured
// from then by this host's clock: the time in the record was taken before the
// write, and its writer may have been paused in between.
func (s *Seats) noteTakeovers(seats []Seat, now time.Time) {
	firstSeen := make(map[takeover]time.Time, len(seats))
	for _, seat := range seats {
		key := takeoverOf(seat)
		first, ok := s.firstSeen[key]
		if !ok {
			first = now
		}
		firstSeen[key] = first
	}
	s.firstSeen = firstSeen
}

// find returns the seat of this host, that of an earlier incarnation included.
func (s *Seats) ownSeat(seats []Seat) *Seat {
	for _, seat := range seats {
		record := seat.Record
		if record.GetHostId() == string(s.Self) && record.GetIncarnation() <= s.Incarnation {
			return &seat
		}
	}
	return nil
}

// inherit takes a seat whose process has ended for certain, that of this host's
// earlier incarnation included. The takeover that the seat came from stays
// recorded.
func (s *Seats) takeEndedSeat(seat Seat) Action {
	old := seat.Record
	record := s.record(old.GetTakenMs(), old.GetPreviousHostId(), old.GetPreviousIncarnation())
	return Action{Kind: Swap, Number: seat.Number, Expected: seat.Modified, Record: record}
}

func (s *Seats) record(takenMS int64, previous string, previousIncarnation int64) *ledgerv1.SeatRecord {
	return &ledgerv1.SeatRecord{
		HostId:              string(s.Self),
		Incarnation:         s.Incarnation,
		TakenMs:             takenMS,
		PreviousHostId:      previous,
		PreviousIncarnation: previousIncarnation,
	}
}

// acquire takes a free seat, else the seat of a process that has ended for
// certain, else that of a host believed gone when no other takeover is
// unresolved.
func (s *Seats) acquire(seats []Seat, now time.Time) Action {
	if number := s.lowestFree(seats); number > 0 {
		return Action{Kind: Swap, Number: number, Record: s.record(now.UnixMilli(), "", 0)}
	}
	ended := s.lowestMatching(seats, s.Membership.ConfirmedGone)
	if ended != nil {
		return s.takeEndedSeat(*ended)
	}
	if slices.ContainsFunc(seats, func(seat Seat) bool { return s.unresolved(seat, seats, now) }) {
		return Action{Kind: None}
	}
	gone := s.lowestMatching(seats, s.Membership.Gone)
	if gone == nil {
		return Action{Kind: None}
	}
	record := s.record(now.UnixMilli(), gone.Record.GetHostId(), gone.Record.GetIncarnation())
	return Action{Kind: Swap, Number: gone.Number, Expected: gone.Modified, Record: record}
}

// free returns the lowest seat without a record, 0 for none.
func (s *Seats) lowestFree(seats []Seat) int {
	taken := make(map[int]bool, len(seats))
	for _, seat := range seats {
		taken[seat.Number] = true
	}
	for number := 1; number <= s.Count; number++ {
		if !taken[number] {
			return number
		}
	}
	return 0
}

// first returns the lowest seat whose holder matches.
func (s *Seats) lowestMatching(seats []Seat, match func(dcid.HostID, int64) bool) *Seat {
	var found *Seat
	for _, seat := range seats {
		holder := dcid.HostID(seat.Record.GetHostId())
		lower := found == nil || seat.Number < found.Number
		if seat.Number <= s.Count && lower && match(holder, seat.Record.GetIncarnation()) {
			found = &seat
		}
	}
	return found
}

// unresolved reports a takeover whose former holder may still have connections.
func (s *Seats) unresolved(seat Seat, seats []Seat, now time.Time) bool {
	record := seat.Record
	previous := dcid.HostID(record.GetPreviousHostId())
	if previous == "" || now.Sub(s.firstSeen[takeoverOf(seat)]) >= TakeoverTimeout {
		return false
	}
	if s.Membership.ConfirmedGone(previous, record.GetPreviousIncarnation()) {
		return false
	}
	// A former holder that has another seat counts there.
	return !slices.ContainsFunc(seats, func(other Seat) bool {
		return other.Record.GetHostId() == string(previous) && other.Number != seat.Number
	})
}

// blocked reports that this host's seat came from a takeover that lost a race
// with another takeover. The modification revision decides, since the later
// writer is certain to see the earlier write when it reads again.
func (s *Seats) lostTakeoverRace(seats []Seat, own *Seat, now time.Time) bool {
	if !s.unresolved(*own, seats, now) {
		return false
	}
	return slices.ContainsFunc(seats, func(seat Seat) bool {
		return seat.Number != own.Number && seat.Modified < own.Modified && s.unresolved(seat, seats, now)
	})
}

// tidy removes the former holder from the record once it has ended, so that
// waiting hosts that lack the proof go on.
func (s *Seats) clearPreviousHost(own *Seat, seats []Seat, now time.Time) Action {
	if own.Record.GetPreviousHostId() == "" || s.unresolved(*own, seats, now) {
		return Action{Kind: None}
	}
	record := s.record(own.Record.GetTakenMs(), "", 0)
	return Action{Kind: Swap, Number: own.Number, Expected: own.Modified, Record: record}
}

// PeerSeat takes what heartbeats say of a host's seat. It tells a host that is
// cut off from the store that its seat went to another one.
func (s *Seats) ObservePeerSeat(number int, holder dcid.HostID, taken time.Time) {
	if s.held == nil || holder == s.Self || s.held.Number != number {
		return
	}
	if taken.UnixMilli() > s.held.Record.GetTakenMs() {
		s.held = nil
	}
}

// Held returns the seat that this host believes to hold.
func (s *Seats) Held() (number int, taken time.Time, ok bool) {
	if s.held == nil {
		return 0, time.Time{}, false
	}
	return s.held.Number, time.UnixMilli(s.held.Record.GetTakenMs()), true
}

// Active reports whether this host may open connections. When it turns false,
// the host closes the connections that it has.
func (s *Seats) Active(now time.Time) bool {
	if s.held == nil || s.waiting || s.released {
		return false
	}
	heard := s.confirmedAt
	if peer := s.Membership.PeerHeard(); peer.After(heard) {
		heard = peer
	}
	return now.Sub(heard) < IsolationTimeout
}

// Release gives the seat up. The host calls it after its last connection is
// closed; the seat is free for anyone at once.
func (s *Seats) Release() Action {
	s.released = true
	if s.held == nil {
		return Action{Kind: None}
	}
	return Action{Kind: Delete, Number: s.held.Number, Expected: s.held.Modified}
}
