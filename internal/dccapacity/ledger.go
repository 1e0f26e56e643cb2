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

// LedgerCost is the cost of committing claims in one partition at a given rate.
type LedgerCost struct {
	// CPUTime is the mean processor time per claim.
	CPUTime time.Duration
	// SwapsPerSecond and GetsPerSecond are the store calls per second.
	SwapsPerSecond, GetsPerSecond float64
	// SegmentBytes is the size of the largest segment after one minute.
	SegmentBytes int
	// Refused is the number of claims that were not committed.
	Refused int
}

const (
	// ledgerSeconds is the simulated time in seconds during which claims arrive.
	ledgerSeconds = 60
	// storeLatency is the latency of one store call. The store of the platform
	// answers within milliseconds.
	storeLatency = 3 * time.Millisecond
	// ledgerSwapInterval is the swap interval of a host at 16 partitions, which
	// together may cause 300 store writes per second.
	ledgerSwapInterval = 53 * time.Millisecond
)

// ledgerSimulation drives one Committer with a simulated store that answers
// every call after storeLatency.
type ledgerSimulation struct {
	committer *dcledger.Committer
	records   map[string]dcstore.Record
	// pending holds the replies that are not delivered yet, in order of time.
	pending      []pendingReply
	cost         LedgerCost
	swaps        int
	gets         int
	lastRevision dcstore.Revision
	// wakeAt is the time of the next Tick, or the zero time for none.
	wakeAt time.Time
}

// pendingReply is a reply of the store and the time of its delivery.
type pendingReply struct {
	at    time.Time
	reply dcledger.StoreReply
}

// MeasureLedger commits claims at rate claims per second for one minute of
// simulated time. The keys of the claims have the times at which they arrive.
func MeasureLedger(rate int, seed uint64) LedgerCost {
	config := dcledger.DefaultCommitterConfig()
	config.Prefix, config.Host, config.Incarnation, config.Retention = "dc/", "h1", 1, time.Hour
	config.SwapInterval = ledgerSwapInterval
	random := rand.New(rand.NewPCG(seed, 0))
	simulation := &ledgerSimulation{committer: dcledger.NewCommitter(config, random), records: map[string]dcstore.Record{}}
	start := time.Unix(1_700_000_040, 0)
	claimInterval := time.Second / time.Duration(rate)
	total := rate * ledgerSeconds
	cost := measure(func() {
		for index := range total {
			now := start.Add(time.Duration(index) * claimInterval)
			simulation.advance(now)
			simulation.handle(now, simulation.committer.Claim(now, dcledger.SubmissionID(index+1), newClaim(index, now)))
		}
		simulation.advance(start.Add(ledgerSeconds*time.Second + time.Second))
	})
	simulation.cost.CPUTime = cost.elapsed / time.Duration(total)
	simulation.cost.SwapsPerSecond = float64(simulation.swaps) / ledgerSeconds
	simulation.cost.GetsPerSecond = float64(simulation.gets) / ledgerSeconds
	for _, record := range simulation.records {
		simulation.cost.SegmentBytes = max(simulation.cost.SegmentBytes, len(record.Value))
	}
	return simulation.cost
}

// newClaim returns the claim of an order that arrives at now.
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

// orderKey returns a UUIDv7 with the timestamp now. index makes it unique.
func orderKey(index int, now time.Time) string {
	var id uuid.UUID
	milliseconds := uint64(now.UnixMilli())
	for position := range 6 {
		id[position] = byte(milliseconds >> (40 - 8*position))
	}
	id[6] = 0x70
	id[8] = 0x80
	for position := range 4 {
		id[12+position] = byte(index >> (24 - 8*position))
	}
	return id.String()
}

// advance delivers the store replies and ticks that are due by now, in order of
// time. At equal times, the reply comes first.
func (s *ledgerSimulation) advance(now time.Time) {
	for {
		replyDue := len(s.pending) > 0 && !s.pending[0].at.After(now)
		wakeDue := !s.wakeAt.IsZero() && !s.wakeAt.After(now)
		switch {
		case replyDue && (!wakeDue || !s.pending[0].at.After(s.wakeAt)):
			next := s.pending[0]
			s.pending = s.pending[1:]
			s.handle(next.at, s.committer.StoreReplied(next.at, next.reply))
		case wakeDue:
			at := s.wakeAt
			s.wakeAt = time.Time{}
			s.handle(at, s.committer.Tick(at))
		default:
			return
		}
	}
}

// handle performs the actions of the committer.
func (s *ledgerSimulation) handle(now time.Time, actions []dcledger.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dcledger.GetSegment:
			s.gets++
			s.reply(now, s.get(action))
		case dcledger.SwapSegment:
			s.swaps++
			s.reply(now, s.swap(action))
		case dcledger.WakeAt:
			s.wakeAt = action.At
		case dcledger.Answer:
			if action.Result.Code != dcreason.OK {
				s.cost.Refused++
			}
		}
	}
}

// reply schedules the reply to a store call that was made at now.
func (s *ledgerSimulation) reply(now time.Time, reply dcledger.StoreReply) {
	s.pending = append(s.pending, pendingReply{at: now.Add(storeLatency), reply: reply})
}

func (s *ledgerSimulation) get(action dcledger.GetSegment) dcledger.StoreReply {
	record, ok := s.records[action.Key]
	if !ok {
		return dcledger.StoreReply{Call: action.Call, Err: dcstore.ErrNotFound}
	}
	return dcledger.StoreReply{Call: action.Call, Record: record}
}

// swap performs a compare-and-swap on the records of the store.
func (s *ledgerSimulation) swap(action dcledger.SwapSegment) dcledger.StoreReply {
	if s.records[action.Swap.Key].Modified != action.Swap.Expected {
		return dcledger.StoreReply{Call: action.Call, Err: dcstore.ErrConflict}
	}
	s.lastRevision++
	s.records[action.Swap.Key] = dcstore.Record{Key: action.Swap.Key, Value: action.Swap.Value, Modified: s.lastRevision}
	return dcledger.StoreReply{Call: action.Call, Modified: s.lastRevision}
}
