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
	// seatInterval is the interval at which a host that holds a seat confirms it.
	seatInterval      = 10 * time.Second
	seatRetryInterval = 250 * time.Millisecond
	// maxSeatChanges limits the number of changes that one call of syncSeat makes.
	maxSeatChanges = 4
)

// seatState holds the seat decision, which mu guards.
type seatState struct {
	// syncMu serializes the reads and changes of the seats in the store.
	syncMu sync.Mutex

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

// observePeerSeat handles the seat of a host as reported in a heartbeat.
func (s *seatState) observePeerSeat(member *peerv1.Member) {
	if member.GetSeat() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seats.ObservePeerSeat(int(member.GetSeat()), dcid.HostID(member.GetHostId()), time.UnixMilli(member.GetSeatTakenMs()))
}

// maintainSeat acquires a seat, once there is a configuration, and confirms it
// periodically.
func (h *Host) maintainSeat(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := seatRetryInterval
		if h.view.Load().accepted != nil && h.syncSeat(ctx) {
			wait = h.scaleByHosts(seatInterval)
			h.setLimits()
		}
		h.sleep(ctx, h.jitter(wait))
	}
	return nil
}

// syncSeat reads the seats from the store and makes changes until none are
// needed. It reports whether this host holds a seat.
func (h *Host) syncSeat(ctx context.Context) bool {
	h.seats.syncMu.Lock()
	defer h.seats.syncMu.Unlock()
	for range maxSeatChanges {
		readStart := h.Clock.Now()
		seats, err := h.readSeats(ctx)
		if err != nil {
			return false
		}
		h.seats.mu.Lock()
		action := h.seats.seats.Observe(seats, readStart, h.Clock.Now())
		number, seatTaken, held := h.seats.seats.HeldSeat()
		h.seats.mu.Unlock()
		h.members.updateSelf(func() { h.members.seat, h.members.seatTaken = number, seatTaken })
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

// releaseSeat gives up the seat, after the last connection has been closed. It
// reports whether this host no longer holds a seat.
func (h *Host) releaseSeat(ctx context.Context) bool {
	h.seats.syncMu.Lock()
	h.seats.mu.Lock()
	action := h.seats.seats.Release()
	h.seats.mu.Unlock()
	var err error
	if action.Kind != dcconnshare.None {
		err = h.changeSeat(ctx, action)
	}
	h.seats.syncMu.Unlock()
	if err == nil {
		return true
	}
	h.syncSeat(ctx)
	h.seats.mu.Lock()
	defer h.seats.mu.Unlock()
	_, _, held := h.seats.seats.HeldSeat()
	return !held
}
