package dcledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// swapRateRun sends claims at a fixed rate to one committer whose store replies
// after a fixed latency.
type swapRateRun struct {
	committer        *Committer
	value            []byte
	modified         dcstore.Revision
	replies          []delayedReply
	wake             time.Time
	swaps, gets      int
	claimed, refused int
}

type delayedReply struct {
	at    time.Time
	reply StoreReply
}

func (r *swapRateRun) handle(now time.Time, actions []Action) {
	const latency = 3 * time.Millisecond
	for _, action := range actions {
		switch action := action.(type) {
		case GetSegment:
			r.gets++
			reply := StoreReply{Call: action.Call, Record: dcstore.Record{Key: action.Key, Value: r.value, Modified: r.modified}}
			if r.modified == 0 {
				reply = StoreReply{Call: action.Call, Err: dcstore.ErrNotFound}
			}
			r.replies = append(r.replies, delayedReply{now.Add(latency), reply})
		case SwapSegment:
			r.swaps++
			r.modified++
			r.value = action.Swap.Value
			r.replies = append(r.replies, delayedReply{now.Add(latency), StoreReply{Call: action.Call, Modified: r.modified}})
		case Answer:
			if action.Result.Code == dcreason.OK {
				r.claimed++
			} else {
				r.refused++
			}
		case WakeAt:
			r.wake = action.At
		}
	}
}

func (r *swapRateRun) advanceTo(now time.Time) {
	for {
		switch {
		case len(r.replies) > 0 && !r.replies[0].at.After(now):
			next := r.replies[0]
			r.replies = r.replies[1:]
			r.handle(next.at, r.committer.StoreReplied(next.at, next.reply))
		case !r.wake.IsZero() && !r.wake.After(now):
			at := r.wake
			r.wake = time.Time{}
			r.handle(at, r.committer.Tick(at))
		default:
			return
		}
	}
}

func (r *swapRateRun) send(claims int, gap time.Duration) {
	start := time.Unix(1_700_000_000, 0)
	for index := range claims {
		now := start.Add(time.Duration(index) * gap)
		r.advanceTo(now)
		var id uuid.UUID
		for position := range 6 {
			id[position] = byte(uint64(start.UnixMilli()) >> (40 - 8*position))
		}
		id[6], id[8] = 0x70, 0x80
		copy(id[10:], fmt.Sprintf("%06d", index))
		entry := &ledgerv1.Entry{
			Department: "mills", Key: id.String(), OperationId: fmt.Sprint(index), BodyDigest: []byte("d"),
			State: ledgerv1.EntryState_ENTRY_STATE_CLAIMED, DispatchDeadlineMs: now.Add(time.Second).UnixMilli(),
		}
		r.handle(now, r.committer.Claim(now, SubmissionID(index+1), entry))
	}
	r.advanceTo(start.Add(time.Duration(claims)*gap + time.Second))
}

func newSwapRateRun(interval time.Duration) *swapRateRun {
	config := DefaultCommitterConfig()
	config.SwapInterval = interval
	config.Retention = time.Hour
	return &swapRateRun{committer: NewCommitter(config, rand.New(rand.NewPCG(1, 0)))}
}

// TestSwapIntervalBoundsWrites guards against a commit rate that grows with the
// load. Without SwapInterval, a committer writes to the store once per round
// trip, while the store serves only several hundred writes per second to all of
// its users together.
func TestSwapIntervalBoundsWrites(t *testing.T) {
	const claims, gap = 150, 5 * time.Millisecond
	paced, free := newSwapRateRun(50*time.Millisecond), newSwapRateRun(0)
	paced.send(claims, gap)
	free.send(claims, gap)
	if paced.claimed != claims || free.claimed != claims {
		t.Errorf("%d claims accepted with the interval and %d without, want %d", paced.claimed, free.claimed, claims)
	}
	if limit := int(claims*gap/(50*time.Millisecond)) + swapBurst + 2; paced.swaps > limit {
		t.Errorf("%d swaps with the interval, limit %d", paced.swaps, limit)
	}
	if free.swaps < 2*paced.swaps {
		t.Errorf("%d swaps without the interval, %d with it: the load is too low for this test", free.swaps, paced.swaps)
	}
}

// TestFullSegmentRefusesWithoutReading guards against a store read for each
// claim that a full segment refuses.
func TestFullSegmentRefusesWithoutReading(t *testing.T) {
	const claims = 400
	run := newSwapRateRun(0)
	run.send(claims, time.Millisecond)
	if run.refused == 0 || run.claimed+run.refused != claims {
		t.Fatalf("%d claims accepted and %d refused of %d, want some refused by a full segment", run.claimed, run.refused, claims)
	}
	if run.gets > 2 {
		t.Errorf("%d store reads for %d refused claims, want at most 2", run.gets, run.refused)
	}
}
