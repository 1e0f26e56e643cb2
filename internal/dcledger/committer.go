package dcledger

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// Committer commits the claims and outcomes of one partition. Entries that
// arrive while a swap of their segment is in flight are written together by the
// next swap (group commit). Any number of committers on any hosts may write to
// the same partition: correctness depends only on the compare-and-swap.
type Committer struct {
	config   CommitterConfig
	random   *rand.Rand
	breaker  breaker
	segments map[int64]*segment
	calls    map[CallID]*segment
	// records indexes the waiting records, so that a resent record is not queued
	// twice.
	records map[recordID]*submission
	// waitingClaims counts the waiting claims and lookups.
	waitingClaims int
	lastCall      CallID
	// commitCount numbers the group commits for their operation ids.
	commitCount int
	// lostReplies counts the lost replies to swaps since the last successful one.
	lostReplies int
	actions     []Action
}

type recordID struct {
	department, key, operation string
	state                      ledgerv1.EntryState
}

type kind int

const (
	kindClaim kind = iota
	kindRecord
	kindLookup
)

// submission is a claim, record or lookup that waits for its answer.
type submission struct {
	kind  kind
	ids   []SubmissionID
	entry *ledgerv1.Entry
	// expires is when a claim or lookup times out, or when a record is dropped
	// because its key has expired. Zero means never.
	expires time.Time
	// read reports that the segment was read after the submission arrived.
	read bool
	// inSwap reports that a swap with this submission is in flight. undecided
	// reports that the reply to an earlier swap with it was lost.
	inSwap    bool
	undecided bool
	answered  bool
	result    Result
}

// NewCommitter returns a Committer without submissions.
func NewCommitter(config CommitterConfig, random *rand.Rand) *Committer {
	return &Committer{
		config:   config,
		random:   random,
		segments: map[int64]*segment{},
		calls:    map[CallID]*segment{},
		records:  map[recordID]*submission{},
	}
}

// Claim submits a claim. It is answered within ClaimTimeout, and immediately
// while the store is known to be unavailable.
func (c *Committer) Claim(now time.Time, id SubmissionID, entry *ledgerv1.Entry) []Action {
	c.submitWithTimeout(now, &submission{kind: kindClaim, ids: []SubmissionID{id}, entry: entry})
	return c.takeActions(now)
}

// Lookup reads the entry of a key. It is answered within the same time as a
// claim.
func (c *Committer) Lookup(now time.Time, id SubmissionID, department dcid.Department, key dcid.OrderKey) []Action {
	entry := &ledgerv1.Entry{Department: string(department), Key: string(key)}
	c.submitWithTimeout(now, &submission{kind: kindLookup, ids: []SubmissionID{id}, entry: entry})
	return c.takeActions(now)
}

func (c *Committer) submitWithTimeout(now time.Time, sub *submission) {
	issued, code := c.checkKey(sub.entry)
	if code == dcreason.OK && sub.kind == kindClaim && c.config.Retention > 0 {
		code = CheckAge(issued, now, c.config.Retention)
	}
	switch {
	case code != dcreason.OK:
	case c.waitingClaims >= c.config.MaxClaims:
		code = dcreason.QueueFull
	case !c.breaker.allows(now):
		code = dcreason.StoreUnavailable
	}
	c.waitingClaims++
	if code != dcreason.OK {
		c.answer(sub, Result{Code: code})
		return
	}
	sub.expires = now.Add(c.config.ClaimTimeout)
	c.enqueue(now, sub, issued)
}

// Record submits an outcome. It is retried until it is written or its key has
// expired. A resent record is merged with the copy that is still waiting.
func (c *Committer) Record(now time.Time, id SubmissionID, entry *ledgerv1.Entry) []Action {
	c.submitRecord(now, &submission{kind: kindRecord, ids: []SubmissionID{id}, entry: entry})
	return c.takeActions(now)
}

func (c *Committer) submitRecord(now time.Time, sub *submission) {
	id := recordIDOf(sub.entry)
	if waiting, ok := c.records[id]; ok {
		waiting.ids = append(waiting.ids, sub.ids...)
		return
	}
	issued, code := c.checkKey(sub.entry)
	if code == dcreason.OK && (!recordable(sub.entry) || len(sub.entry.GetResult()) > MaxResultBytes) {
		code = dcreason.BadRequest
	}
	if code == dcreason.OK && len(c.records) >= c.config.MaxRecords {
		code = dcreason.QueueFull
	}
	c.records[id] = sub
	if code != dcreason.OK {
		c.answer(sub, Result{Code: code})
		return
	}
	if c.config.Retention > 0 {
		sub.expires = issued.Add(c.config.Retention)
	}
	c.enqueue(now, sub, issued)
}

func recordable(entry *ledgerv1.Entry) bool {
	return validTransition(ledgerv1.EntryState_ENTRY_STATE_CLAIMED, entry.GetState()) &&
		entry.GetState() != ledgerv1.EntryState_ENTRY_STATE_UNSPECIFIED
}

func recordIDOf(entry *ledgerv1.Entry) recordID {
	return recordID{entry.GetDepartment(), entry.GetKey(), entry.GetOperationId(), entry.GetState()}
}

// checkKey accepts only canonical keys, because peers send entries in the form
// in which the ledger stores them.
func (c *Committer) checkKey(entry *ledgerv1.Entry) (issued time.Time, code dcreason.Code) {
	key, issued, code := ParseKey(dcid.OrderKey(entry.GetKey()))
	if code == dcreason.OK && string(key) != entry.GetKey() {
		code = dcreason.KeyMalformed
	}
	return issued, code
}

func (c *Committer) enqueue(now time.Time, sub *submission, issued time.Time) {
	slot := SlotOf(issued)
	seg, ok := c.segments[slot]
	if !ok {
		seg = &segment{key: SegmentKey(c.config.Prefix, c.config.Partition, slot)}
		c.segments[slot] = seg
	}
	seg.pending = append(seg.pending, sub)
	seg.lastUsed = now
	c.advance(now, seg)
}

// earliestSwap returns when the rate limit next allows a swap of the segment.
func (c *Committer) earliestSwap(seg *segment) time.Time {
	return seg.theoreticalArrival.Add(-swapBurst * c.config.SwapInterval)
}

// Tick processes all time-outs and retries that are due.
func (c *Committer) Tick(now time.Time) []Action {
	for _, seg := range c.segmentsBySlot() {
		c.expire(now, seg)
		c.checkCall(now, seg)
	}
	c.advanceAll(now)
	c.evictIdle(now)
	return c.takeActions(now)
}

// segmentsBySlot returns the segments from oldest to newest. The fixed order
// makes the actions deterministic.
func (c *Committer) segmentsBySlot() []*segment {
	segments := make([]*segment, 0, len(c.segments))
	for _, slot := range slices.Sorted(maps.Keys(c.segments)) {
		segments = append(segments, c.segments[slot])
	}
	return segments
}

func (c *Committer) expire(now time.Time, seg *segment) {
	for _, sub := range seg.waiting() {
		if sub.expires.IsZero() || now.Before(sub.expires) {
			continue
		}
		c.abandon(sub)
	}
	seg.dropAnswered()
}

// abandon answers a submission for which the store returned no result.
func (c *Committer) abandon(sub *submission) {
	if sub.kind == kindRecord {
		c.answer(sub, Result{Code: dcreason.KeyExpired})
		return
	}
	mayExist := sub.kind == kindClaim && (sub.inSwap || sub.undecided)
	c.answer(sub, Result{Code: dcreason.StoreUnavailable, MayExist: mayExist})
}

func (c *Committer) answer(sub *submission, result Result) {
	if sub.answered {
		return
	}
	sub.answered = true
	for _, id := range sub.ids {
		c.actions = append(c.actions, Answer{SubmissionID: id, Result: result})
	}
	if sub.kind == kindRecord {
		delete(c.records, recordIDOf(sub.entry))
		return
	}
	c.waitingClaims--
}

func (c *Committer) evictIdle(now time.Time) {
	maps.DeleteFunc(c.segments, func(_ int64, seg *segment) bool {
		return seg.idle() && !now.Before(seg.lastUsed.Add(c.config.IdleTimeout))
	})
}

func (c *Committer) takeActions(now time.Time) []Action {
	actions := c.actions
	c.actions = nil
	if at, ok := c.nextWake(now); ok {
		actions = append(actions, WakeAt{At: at})
	}
	return actions
}

func (c *Committer) nextWake(now time.Time) (at time.Time, ok bool) {
	consider := func(due time.Time) {
		if !ok || due.Before(at) {
			at, ok = due, true
		}
	}
	for _, seg := range c.segments {
		for _, sub := range seg.waiting() {
			if !sub.answered && !sub.expires.IsZero() {
				consider(sub.expires)
			}
		}
		switch {
		case seg.call != nil:
			consider(seg.call.due(c.config))
		case len(seg.pending) > 0 && now.Before(c.earliestSwap(seg)) && !c.breaker.open:
			consider(c.earliestSwap(seg))
		case len(seg.pending) > 0 && now.Before(c.breaker.retryAt):
			consider(c.breaker.retryAt)
		case seg.idle():
			consider(seg.lastUsed.Add(c.config.IdleTimeout))
		}
	}
	return at, ok
}
