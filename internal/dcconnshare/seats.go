// Package dcconnshare limits the connections of all hosts together to each
// upstream server.
//
// The connection cap of a server is divided into equal shares. The store holds
// a fixed number of seats, and a host that holds a seat may use one share. There
// is one share more than there are seats: the spare share covers the connections
// that a host may still have after another host took over its seat.
package dcconnshare

import (
	"slices"
	"time"

	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// TakeoverTimeout is the time after which a host whose seat was taken over is
	// assumed to have closed its connections, even without proof that its process
	// has ended.
	TakeoverTimeout = 600 * time.Second
	// IsolationTimeout is how long a host may use its share without hearing from
	// the store or from any peer. The rest of TakeoverTimeout covers
	// MaxProcessPause, during which the process cannot close connections, and
	// 60 s to close them.
	IsolationTimeout = 300 * time.Second
	// MaxProcessPause is the longest pause of a process during which the cap is
	// still guaranteed.
	MaxProcessPause = 240 * time.Second
)

// Seat is a seat as read from the store. A seat without a key in the store is
// free and is not listed.
type Seat struct {
	// Number is from 1 to Seats.Count.
	Number int
	Record *ledgerv1.SeatRecord
	// Modified is the modification revision. Revisions order all writes to the
	// store.
	Modified int64
}

// Membership reports what this host knows about other hosts.
type Membership interface {
	// Gone reports whether this host considers the incarnation gone, which may be
	// wrong.
	Gone(host dcid.HostID, incarnation int64) bool
	// ConfirmedGone reports whether there is proof that the process of the
	// incarnation has ended.
	ConfirmedGone(host dcid.HostID, incarnation int64) bool
	// LastPeerHeartbeat returns the time of the newest heartbeat that came
	// directly from any peer.
	LastPeerHeartbeat() time.Time
}

// ActionKind is the kind of a change to the store.
type ActionKind string

// The kinds of changes to the store.
const (
	None   ActionKind = "none"
	Swap   ActionKind = "swap"
	Delete ActionKind = "delete"
)

// Action is the next change to make to the store. After it, whether it succeeded
// or not, the host must read all seats again and call Observe.
type Action struct {
	Kind   ActionKind
	Number int
	// Expected is the modification revision that the key must have. 0 means that
	// the key must be absent.
	Expected int64
	Record   *ledgerv1.SeatRecord
}

// Seats decides which seat this host holds. The decision stays unchanged while
// the store does not answer.
type Seats struct {
	Self        dcid.HostID
	Incarnation int64
	Count       int
	Membership  Membership

	// heldSeat is the seat that this host holds as far as it knows, or nil.
	heldSeat *Seat
	// confirmedAt is the start of the latest read of the seats.
	confirmedAt time.Time
	// firstSeen holds the time at which this host first saw each takeover.
	firstSeen map[takeover]time.Time
	// waiting is set while an earlier takeover of another seat may still use the
	// spare share.
	waiting bool
	// released is set by Release.
	released bool
}

// Observe handles a complete read of the seats and returns the change to make
// next. The read must have begun at readStart, after the last Action ended. The
// share counts as confirmed at that time, because the process may have been
// paused since then.
func (s *Seats) Observe(seats []Seat, readStart, now time.Time) Action {
	s.confirmedAt = readStart
	s.heldSeat = nil
	s.waiting = false
	s.recordTakeovers(seats, now)
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
	s.heldSeat = own
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

// recordTakeovers stores when this host first saw each takeover. TakeoverTimeout
// counts from then by this host's clock. The time in the record cannot be used,
// because it was taken before the write, and the writer may have been paused in
// between.
func (s *Seats) recordTakeovers(seats []Seat, now time.Time) {
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

// ownSeat returns the seat that this host holds, also when an earlier
// incarnation took it, or nil.
func (s *Seats) ownSeat(seats []Seat) *Seat {
	for _, seat := range seats {
		record := seat.Record
		if record.GetHostId() == string(s.Self) && record.GetIncarnation() <= s.Incarnation {
			return &seat
		}
	}
	return nil
}

// takeEndedSeat takes a seat whose process has certainly ended, which may be an
// earlier incarnation of this host. The record keeps the previous holder, so
// that a takeover which is still unresolved stays recorded.
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

// acquire takes a free seat. If there is none, it takes the seat of a process
// that has certainly ended. Otherwise, if no takeover is unresolved, it takes
// over the seat of a host that this host considers gone.
func (s *Seats) acquire(seats []Seat, now time.Time) Action {
	if number := s.lowestFree(seats); number > 0 {
		return Action{Kind: Swap, Number: number, Record: s.record(now.UnixMilli(), "", 0)}
	}
	endedSeat := s.lowestMatching(seats, s.Membership.ConfirmedGone)
	if endedSeat != nil {
		return s.takeEndedSeat(*endedSeat)
	}
	if slices.ContainsFunc(seats, func(seat Seat) bool { return s.unresolved(seat, seats, now) }) {
		return Action{Kind: None}
	}
	goneSeat := s.lowestMatching(seats, s.Membership.Gone)
	if goneSeat == nil {
		return Action{Kind: None}
	}
	record := s.record(now.UnixMilli(), goneSeat.Record.GetHostId(), goneSeat.Record.GetIncarnation())
	return Action{Kind: Swap, Number: goneSeat.Number, Expected: goneSeat.Modified, Record: record}
}

// lowestFree returns the lowest number of a seat without a record, or 0.
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

// lowestMatching returns the lowest-numbered seat whose holder matches, or nil.
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

// unresolved reports whether the seat was taken over from a previous holder that
// may still have connections.
func (s *Seats) unresolved(seat Seat, seats []Seat, now time.Time) bool {
	record := seat.Record
	previous := dcid.HostID(record.GetPreviousHostId())
	if previous == "" || now.Sub(s.firstSeen[takeoverOf(seat)]) >= TakeoverTimeout {
		return false
	}
	if s.Membership.ConfirmedGone(previous, record.GetPreviousIncarnation()) {
		return false
	}
	// A previous holder that has another seat is counted with that seat.
	return !slices.ContainsFunc(seats, func(other Seat) bool {
		return other.Record.GetHostId() == string(previous) && other.Number != seat.Number
	})
}

// lostTakeoverRace reports whether this host took over its seat and an earlier
// takeover of another seat is still unresolved. The modification revision
// decides which takeover is earlier, because the later writer is certain to see
// the earlier write when it reads the seats again.
func (s *Seats) lostTakeoverRace(seats []Seat, own *Seat, now time.Time) bool {
	if !s.unresolved(*own, seats, now) {
		return false
	}
	return slices.ContainsFunc(seats, func(seat Seat) bool {
		return seat.Number != own.Number && seat.Modified < own.Modified && s.unresolved(seat, seats, now)
	})
}

// clearPreviousHost removes the previous holder from this host's record once the
// takeover is resolved, so that waiting hosts without the proof can proceed.
func (s *Seats) clearPreviousHost(own *Seat, seats []Seat, now time.Time) Action {
	if own.Record.GetPreviousHostId() == "" || s.unresolved(*own, seats, now) {
		return Action{Kind: None}
	}
	record := s.record(own.Record.GetTakenMs(), "", 0)
	return Action{Kind: Swap, Number: own.Number, Expected: own.Modified, Record: record}
}

// ObservePeerSeat handles the seat that a heartbeat reports for a host. It lets
// a host that cannot reach the store learn that another host took its seat.
func (s *Seats) ObservePeerSeat(number int, holder dcid.HostID, taken time.Time) {
	if s.heldSeat == nil || holder == s.Self || s.heldSeat.Number != number {
		return
	}
	if taken.UnixMilli() > s.heldSeat.Record.GetTakenMs() {
		s.heldSeat = nil
	}
}

// HeldSeat returns the number of the seat that this host holds as far as it
// knows, and when the seat was taken. ok is false when it holds none.
func (s *Seats) HeldSeat() (number int, taken time.Time, ok bool) {
	if s.heldSeat == nil {
		return 0, time.Time{}, false
	}
	return s.heldSeat.Number, time.UnixMilli(s.heldSeat.Record.GetTakenMs()), true
}

// Active reports whether this host may open connections. When it changes to
// false, the host must close its connections.
func (s *Seats) Active(now time.Time) bool {
	if s.heldSeat == nil || s.waiting || s.released {
		return false
	}
	lastHeard := s.confirmedAt
	if peer := s.Membership.LastPeerHeartbeat(); peer.After(lastHeard) {
		lastHeard = peer
	}
	return now.Sub(lastHeard) < IsolationTimeout
}

// Release frees the seat. The host must close its last connection before it
// calls Release, because any host may then take the seat immediately.
func (s *Seats) Release() Action {
	s.released = true
	if s.heldSeat == nil {
		return Action{Kind: None}
	}
	return Action{Kind: Delete, Number: s.heldSeat.Number, Expected: s.heldSeat.Modified}
}
