package dccapacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/dandelioncart/dandelioncart/internal/dcledger"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// LedgerCost is the cost of committing a number of claims a second in one
// partition.
type LedgerCost struct {
	// CPUTime time for each claim.
	CPUTime time.Duration
	// SwapsPerSecond and GetsPerSecond are store calls.
	SwapsPerSecond, GetsPerSecond float64
	// SegmentBytes is the size of the largest segment after one minute.
	SegmentBytes int
	// Refused counts claims that were not committed.
	Refused int
}

const (
	ledgerSeconds = 60
	// storeLatency is the time of one store call; the platform answers in
	// milliseconds.
	storeLatency = 3 * time.Millisecond
	// ledgerSwapInterval is that of 16 partitions.
	ledgerSwapInterval = 53 * time.Millisecond
)

// ledgerSimulation drives one Committer against a scripted store that answers every
// call after storeLatency.
type ledgerSimulation struct {
	committer    *dcledger.Committer
	records      map[string]dcstore.Record
	pending      []pendingReply
	cost         LedgerCost
	swaps        int
	gets         int
	lastRevision dcstore.Revision
	wakeAt       time.Time
}

type pendingReply struct {
	at    time.Time
	reply dcledger.StoreReply
}

// MeasureLedger commits claims at a rate for one minute of key time.
func MeasureLedger(rate int, seed uint64) LedgerCost {
	config := dcledger.DefaultCommitterConfig()
	config.Prefix, config.Host, config.Incarnation, config.Retention = "dc/", "h1", 1, time.Hour
	config.SwapInterval = ledgerSwapInterval
	random := rand.New(rand.NewPCG(seed, 0))
	run := &ledgerSimulation{committer: dcledger.NewCommitter(config, random), records: map[string]dcstore.Record{}}
	start := time.Unix(1_700_000_040, 0)
	gap := time.Second / time.Duration(rate)
	total := rate * ledgerSeconds
	cost := measure(func() {
		for index := range total {
			now := start.Add(time.Duration(index) * gap)
			run.advance(now)
			run.handle(now, run.committer.Claim(now, dcledger.SubmissionID(index+1), newClaim(index, now)))
		}
		run.advance(start.Add(ledgerSeconds*time.Second + time.Second))
	})
	run.cost.CPUTime = cost.elapsed / time.Duration(total)
	run.cost.SwapsPerSecond = float64(run.swaps) / ledgerSeconds
	run.cost.GetsPerSecond = float64(run.gets) / ledgerSeconds
	for _, record := range run.records {
		run.cost.SegmentBytes = max(run.cost.SegmentBytes, len(record.Value))
	}
	return run.cost
}

func newClaim(index int, now time.Time) *ledgerv1.Entry {
	return &ledgerv1.Entry{
		Department: "mills", Key: orderKey(index, now), BodyDigest: make([]byte, 32),
		State:              ledgerv1.EntryState_ENTRY_STATE_CLAIMED,
		OperationId:        fmt.Sprintf("op-%08d-%08d-%08d", index, index, index),
		HostId:             "host-0001",
		DispatchDeadlineMs: now.Add(2 * time.Second).UnixMilli(),
		Server:             "10.0.0.1:7000", ServiceGroup: "mill-orders", Service: "mill-orders-01",
	}
}

// orderKey returns a UUIDv7 of a time.
func orderKey(index int, now time.Time) string {
	var id uuid.UUID
	millis := uint64(now.UnixMilli())
	for position := range 6 {
		id[position] = byte(millis >> (40 - 8*position))
	}
	id[6] = 0x70
	id[8] = 0x80
	for position := range 4 {
		id[12+position] = byte(index >> (24 - 8*position))
	}
	return id.String()
}

// advance delivers replies and wake-ups up to a time, in order.
func (r *ledgerSimulation) advance(now time.Time) {
	for {
		replyDue := len(r.pending) > 0 && !r.pending[0].at.After(now)
		wakeDue := !r.wakeAt.IsZero() && !r.wakeAt.After(now)
		switch {
		case replyDue && (!wakeDue || !r.pending[0].at.After(r.wakeAt)):
			next := r.pending[0]
			r.pending = r.pending[1:]
			r.handle(next.at, r.committer.StoreReplied(next.at, next.reply))
		case wakeDue:
			at := r.wakeAt
			r.wakeAt = time.Time{}
			r.handle(at, r.committer.Tick(at))
		default:
			return
		}
	}
}

func (r *ledgerSimulation) handle(now time.Time, actions []dcledger.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dcledger.GetSegment:
			r.gets++
			r.reply(now, r.get(action))
		case dcledger.SwapSegment:
			r.swaps++
			r.reply(now, r.swap(action))
		case dcledger.WakeAt:
			r.wakeAt = action.At
		case dcledger.Answer:
			if action.Result.Code != dcreason.OK {
				r.cost.Refused++
			}
		}
	}
}

func (r *ledgerSimulation) reply(now time.Time, reply dcledger.StoreReply) {
	r.pending = append(r.pending, pendingReply{at: now.Add(storeLatency), reply: reply})
}

func (r *ledgerSimulation) get(action dcledger.GetSegment) dcledger.StoreReply {
	record, ok := r.records[action.Key]
	if !ok {
		return dcledger.StoreReply{Call: action.Call, Err: dcstore.ErrNotFound}
	}
	return dcledger.StoreReply{Call: action.Call, Record: record}
}

func (r *ledgerSimulation) swap(action dcledger.SwapSegment) dcledger.StoreReply {
	if r.records[action.Swap.Key].Modified != action.Swap.Expected {
		return dcledger.StoreReply{Call: action.Call, Err: dcstore.ErrConflict}
	}
	r.lastRevision++
	r.records[action.Swap.Key] = dcstore.Record{Key: action.Swap.Key, Value: action.Swap.Value, Modified: r.lastRevision}
	return dcledger.StoreReply{Call: action.Call, Modified: r.lastRevision}
}
