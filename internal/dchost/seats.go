package dchost

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcconnshare"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	seatPrefix = "seats/"
	// seatPeriod is how often a host that holds a seat confirms it.
	seatPeriod = 10 * time.Second
	seatRetry  = 250 * time.Millisecond
	// seatSteps bounds the changes of one round.
	seatSteps = 4
)

type seatState struct {
	// rounds serialises reads and changes of the store.
	rounds sync.Mutex

	mu    sync.Mutex
	seats dcconnshare.Seats
}

func (s *seatState) init(h *Host) {
	s.seats = dcconnshare.Seats{Self: h.self.ID, Incarnation: h.self.Incarnation, Membership: &h.members}
}

func (s *seatState) setCount(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seats.Count = count
}

func (s *seatState) active(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seats.Active(now)
}

// heard takes the seat in what a heartbeat says of a host.
func (s *seatState) heard(member *peerv1.Member) {
	if member.GetSeat() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seats.ObservePeerSeat(int(member.GetSeat()), dcid.HostID(member.GetHostId()), time.UnixMilli(member.GetSeatTakenMs()))
}

// keepSeat takes a seat and confirms it.
func (h *Host) keepSeat(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := seatRetry
		if h.view.Load().accepted != nil && h.seatRound(ctx) {
			wait = h.scaled(seatPeriod)
			h.setLimits()
		}
		h.pause(ctx, h.jitter(wait))
	}
	return nil
}

// seatRound reads the seats and makes changes until nothing is to be done. It
// reports whether this host holds a seat.
func (h *Host) seatRound(ctx context.Context) bool {
	h.seats.rounds.Lock()
	defer h.seats.rounds.Unlock()
	for range seatSteps {
		read := h.Clock.Now()
		seats, err := h.readSeats(ctx)
		if err != nil {
			return false
		}
		h.seats.mu.Lock()
		action := h.seats.seats.Observe(seats, read, h.Clock.Now())
		number, taken, held := h.seats.seats.Held()
		h.seats.mu.Unlock()
		h.members.set(func() { h.members.seat, h.members.taken = number, taken })
		if action.Kind == dcconnshare.None {
			return held
		}
		if err := h.changeSeat(ctx, action); err != nil {
			h.Log.Info("seat is not changed", zap.Int("seat", action.Number), zap.Error(err))
		}
	}
	return false
}

func (h *Host) readSeats(ctx context.Context) (seats []dcconnshare.Seat, err error) {
	records, err := h.Store.List(ctx, seatPrefix, 0, false)
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		number, err := strconv.Atoi(strings.TrimPrefix(record.Key, seatPrefix))
		if err != nil {
			continue
		}
		seat := &ledgerv1.SeatRecord{}
		if err := proto.Unmarshal(record.Value, seat); err != nil {
			return nil, err
		}
		seats = append(seats, dcconnshare.Seat{Number: number, Record: seat, Modified: int64(record.Modified)})
		h.members.mu.Lock()
		h.members.members.ObserveSeat(dcid.HostID(seat.GetHostId()), number, time.UnixMilli(seat.GetTakenMs()))
		h.members.mu.Unlock()
	}
	return seats, nil
}

func seatKey(number int) string {
	return fmt.Sprintf("%s%04d", seatPrefix, number)
}

func (h *Host) changeSeat(ctx context.Context, action dcconnshare.Action) error {
	key, expected := seatKey(action.Number), dcstore.Revision(action.Expected)
	if action.Kind == dcconnshare.Delete {
		return h.Store.Delete(ctx, key, expected)
	}
	value, err := proto.Marshal(action.Record)
	if err != nil {
		return err
	}
	_, err = h.Store.CompareAndSwap(ctx, dcstore.Swap{Key: key, Expected: expected, Value: value})
	return err
}

// releaseSeat gives the seat up, after the last connection is closed.
func (h *Host) releaseSeat(ctx context.Context) bool {
	h.seats.rounds.Lock()
	h.seats.mu.Lock()
	action := h.seats.seats.Release()
	h.seats.mu.Unlock()
	var err error
	if action.Kind != dcconnshare.None {
		err = h.changeSeat(ctx, action)
	}
	h.seats.rounds.Unlock()
	if err == nil {
		return true
	}
	h.seatRound(ctx)
	h.seats.mu.Lock()
	defer h.seats.mu.Unlock()
	_, _, held := h.seats.seats.Held()
	return !held
}
