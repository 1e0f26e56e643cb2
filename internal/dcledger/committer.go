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
// next swap. Any number of committers, on any hosts, may work on one partition:
// the compare-and-swap alone keeps them apart.
type Committer struct {
	config   CommitterConfig
	random   *rand.Rand
	breaker  breaker
	segments map[int64]*segment
	calls    map[CallID]*segment
	// records finds a waiting record, so that a resent one is not queued twice.
	records       map[recordID]*submission
	waitingClaims int
	lastCall      CallID
	commitCount   int
	lostReplies   int
	actions       []Action
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

// submission is one claim, record or lookup that waits for its answer.
type submission struct {
	kind  kind
	ids   []SubmissionID
	entry *ledgerv1.Entry
	// expires is when a claim or lookup is given up, or a record is dropped
	// because its key has expired; zero for never.
	expires time.Time
	// read tells that the segment was fetched after the submission arrived.
	read bool
	// inSwap tells that a swap with this submission is in flight, undecided that
	// an earlier one lost its reply.
	inSwap    bool
	undecided bool
	answered  bool
	result    Result
}

// NewCommitter returns a Committer without work.
func NewCommitter(config CommitterConfig, random *rand.Rand) *Committer {
	return &Committer{
		config:   config,
		random:   random,
		segments: map[int64]*segment{},
		calls:    map[CallID]*segment{},
		records:  map[recordID]*submission{},
	}
}

// Claim submits a claim. It is answered within ClaimTimeout, at once while the
// store is known to be unavailable.
func (c *Committer) Claim(now time.Time, ticket SubmissionID, entry *ledgerv1.Entry) []Action {
	c.submitWithTimeout(now, &submission{kind: kindClaim, ids: []SubmissionID{ticket}, entry: entry})
	return c.takeActions(now)
}

// Lookup reads a key, with the same bound as a claim.
func (c *Committer) Lookup(now time.Time, ticket SubmissionID, department dcid.Department, key dcid.OrderKey) []Action {
	entry := &ledgerv1.Entry{Department: string(department), Key: string(key)}
	c.submitWithTimeout(now, &submission{kind: kindLookup, ids: []SubmissionID{ticket}, entry: entry})
	return c.takeActions(now)
}

func (c *Committer) submitWithTimeout(now time.Time, work *submission) {
	issued, code := c.checkKey(work.entry)
	if code == dcreason.OK && work.kind == kindClaim && c.config.Retention > 0 {
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
		c.answer(work, Result{Code: code})
		return
	}
	work.expires = now.Add(c.config.ClaimTimeout)
	c.enqueue(now, work, issued)
}

// Record submits an outcome. It is retried until it is written or its key has
// expired; a resent record joins the one that waits.
func (c *Committer) Record(now time.Time, ticket SubmissionID, entry *ledgerv1.Entry) []Action {
	c.submitRecord(now, &submission{kind: kindRecord, ids: []SubmissionID{ticket}, entry: entry})
	return c.takeActions(now)
}

func (c *Committer) submitRecord(now time.Time, work *submission) {
	id := recordIDOf(work.entry)
	if waiting, ok := c.records[id]; ok {
		waiting.ids = append(waiting.ids, work.ids...)
		return
	}
	issued, code := c.checkKey(work.entry)
	if code == dcreason.OK && (!recordable(work.entry) || len(work.entry.GetResult()) > MaxResultBytes) {
		code = dcreason.BadRequest
	}
	if code == dcreason.OK && len(c.records) >= c.config.MaxRecords {
		code = dcreason.QueueFull
	}
	c.records[id] = work
	if code != dcreason.OK {
		c.answer(work, Result{Code: code})
		return
	}
	if c.config.Retention > 0 {
		work.expires = issued.Add(c.config.Retention)
	}
	c.enqueue(now, work, issued)
}

func recordable(entry *ledgerv1.Entry) bool {
	return validTransition(ledgerv1.EntryState_ENTRY_STATE_CLAIMED, entry.GetState()) &&
		entry.GetState() != ledgerv1.EntryState_ENTRY_STATE_UNSPECIFIED
}

func recordIDOf(entry *ledgerv1.Entry) recordID {
	return recordID{entry.GetDepartment(), entry.GetKey(), entry.GetOperationId(), entry.GetState()}
}

// checkKey accepts only canonical keys, because peers send entries as they
// stand in the ledger.
func (c *Committer) checkKey(entry *ledgerv1.Entry) (issued time.Time, code dcreason.Code) {
	key, issued, code := ParseKey(dcid.OrderKey(entry.GetKey()))
	if code == dcreason.OK && string(key) != entry.GetKey() {
		code = dcreason.KeyMalformed
	}
	return issued, code
}

func (c *Committer) enqueue(now time.Time, work *submission, issued time.Time) {
	slot := SlotOf(issued)
	target, ok := c.segments[slot]
	if !ok {
		target = &segment{key: SegmentKey(c.config.Prefix, c.config.Partition, slot)}
		c.segments[slot] = target
	}
	target.pending = append(target.pending, work)
	target.lastUsed = now
	c.advance(now, target)
}

// nextSwap returns when the segment may be written again.
func (c *Committer) earliestSwap(target *segment) time.Time {
	return target.theoreticalArrival.Add(-swapBurst * c.config.SwapInterval)
}

// Tick handles everything that is due.
func (c *Committer) Tick(now time.Time) []Action {
	for _, target := range c.segmentsBySlot() {
		c.expire(now, target)
		c.checkCall(now, target)
	}
	c.advanceAll(now)
	c.evictIdle(now)
	return c.takeActions(now)
}

// ordered returns the segments by age, so that equal events give equal actions.
func (c *Committer) segmentsBySlot() []*segment {
	segments := make([]*segment, 0, len(c.segments))
	for _, slot := range slices.Sorted(maps.Keys(c.segments)) {
		segments = append(segments, c.segments[slot])
	}
	return segments
}

func (c *Committer) expire(now time.Time, target *segment) {
	for _, work := range target.waiting() {
		if work.expires.IsZero() || now.Before(work.expires) {
			continue
		}
		c.abandon(work)
	}
	target.dropAnswered()
}

// giveUp ends a submission without a decision of the store.
func (c *Committer) abandon(work *submission) {
	if work.kind == kindRecord {
		c.answer(work, Result{Code: dcreason.KeyExpired})
		return
	}
	mayExist := work.kind == kindClaim && (work.inSwap || work.undecided)
	c.answer(work, Result{Code: dcreason.StoreUnavailable, MayExist: mayExist})
}

func (c *Committer) answer(work *submission, result Result) {
	if work.answered {
		return
	}
	work.answered = true
	for _, ticket := range work.ids {
		c.actions = append(c.actions, Answer{SubmissionID: ticket, Result: result})
	}
	if work.kind == kindRecord {
		delete(c.records, recordIDOf(work.entry))
		return
	}
	c.waitingClaims--
}

func (c *Committer) evictIdle(now time.Time) {
	maps.DeleteFunc(c.segments, func(_ int64, target *segment) bool {
		return target.idle() && !now.Before(target.lastUsed.Add(c.config.IdleTimeout))
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
	for _, target := range c.segments {
		for _, work := range target.waiting() {
			if !work.answered && !work.expires.IsZero() {
				consider(work.expires)
			}
		}
		switch {
		case target.call != nil:
			consider(target.call.due(c.config))
		case len(target.pending) > 0 && now.Before(c.earliestSwap(target)) && !c.breaker.open:
			consider(c.earliestSwap(target))
		case len(target.pending) > 0 && now.Before(c.breaker.retryAt):
			consider(c.breaker.retryAt)
		case target.idle():
			consider(target.lastUsed.Add(c.config.IdleTimeout))
		}
	}
	return at, ok
}
