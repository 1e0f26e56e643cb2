package dcledger

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// lostLimit is the number of replies lost in a row after which the breaker
// opens. Each lost reply costs a read and a swap, which would otherwise follow
// one another without pause.
const lostReplyThreshold = 3

// segment is this host's view of one segment.
type segment struct {
	key string
	// value is the segment at revision modified; nil when it must be read.
	value    *ledgerv1.Segment
	modified dcstore.Revision
	pending  []*submission
	call     *call
	// lostCommit is the operation id of a swap whose reply was lost, lostBatch
	// its submissions, which are also pending.
	lostCommit string
	lostBatch  []*submission
	lastUsed   time.Time
	// paid is when the swaps so far have used up their share of writes.
	theoreticalArrival time.Time
}

// call is a store call in flight. A swap has next, commit and batch.
type call struct {
	id       CallID
	issued   time.Time
	slow     bool
	newValue *ledgerv1.Segment
	commit   string
	batch    []*submission
}

// due returns when the call must be looked at: first when claims stop waiting
// for it, then when its reply counts as lost.
func (c *call) due(config CommitterConfig) time.Time {
	if c.slow {
		return c.issued.Add(config.CallTimeout)
	}
	return c.issued.Add(config.ClaimTimeout)
}

func (s *segment) waiting() []*submission {
	if s.call == nil {
		return s.pending
	}
	return slices.Concat(s.call.batch, s.pending)
}

func (s *segment) dropAnswered() {
	s.pending = slices.DeleteFunc(s.pending, func(work *submission) bool { return work.answered })
}

// pay accounts for one swap (generic cell rate algorithm).
func (s *segment) chargeSwap(now time.Time, interval time.Duration) {
	if s.theoreticalArrival.Before(now) {
		s.theoreticalArrival = now
	}
	s.theoreticalArrival = s.theoreticalArrival.Add(interval)
}

func (s *segment) idle() bool {
	return s.call == nil && len(s.pending) == 0
}

func (c *Committer) advanceAll(now time.Time) {
	for _, target := range c.segmentsBySlot() {
		c.advance(now, target)
	}
}

// advance takes a segment as far as it goes without a store reply.
func (c *Committer) advance(now time.Time, target *segment) {
	target.dropAnswered()
	if target.call != nil || len(target.pending) == 0 || !c.breaker.allows(now) {
		return
	}
	if target.value == nil {
		c.get(now, target)
		return
	}
	next, changed := applyBatch(target.value, target.pending, now)
	if !changed && c.refuseClaims(target) {
		c.advance(now, target)
		return
	}
	switch {
	case changed && now.Before(c.earliestSwap(target)):
	case changed:
		c.swap(now, target, next)
	case allRead(target.pending):
		c.answerAll(target.pending)
		target.pending = nil
	default:
		// An answer from a kept copy could be older than the submission.
		c.get(now, target)
	}
}

// apply applies the submissions in order to a copy of a segment and keeps each
// one's result, which holds when the copy is committed.
func applyBatch(segment *ledgerv1.Segment, batch []*submission, now time.Time) (next *ledgerv1.Segment, changed bool) {
	next = proto.CloneOf(segment)
	for _, work := range batch {
		var wrote bool
		switch work.kind {
		case kindClaim:
			work.result, wrote = applyClaim(next, work.entry, now)
		case kindRecord:
			work.result, wrote = applyRecord(next, work.entry)
		case kindLookup:
			work.result = applyLookup(next, work.entry)
		}
		changed = changed || wrote
	}
	return next, changed
}

func allRead(batch []*submission) bool {
	return !slices.ContainsFunc(batch, func(work *submission) bool { return !work.read })
}

func (c *Committer) answerAll(batch []*submission) {
	for _, work := range batch {
		result := work.result
		if work.kind == kindClaim && result.Code != dcreason.OK {
			result.MayExist = work.undecided
		}
		c.answer(work, result)
	}
}

// refuseClaims answers claims for which the kept copy has no room. They are not
// written, so an older copy can refuse them, but never make the answer false.
// Reading the store for each of them would cost a call for each refusal.
func (c *Committer) refuseClaims(target *segment) (refused bool) {
	for _, work := range target.pending {
		if work.kind == kindClaim && work.result.Code == dcreason.QueueFull {
			work.result.MayExist = work.undecided
			c.answer(work, work.result)
			refused = true
		}
	}
	return refused
}

func (c *Committer) get(now time.Time, target *segment) {
	for _, work := range target.pending {
		work.read = true
	}
	issued := c.issue(now, target, &call{})
	c.actions = append(c.actions, GetSegment{Call: issued, Key: target.key})
}

func (c *Committer) swap(now time.Time, target *segment, newValue *ledgerv1.Segment) {
	c.commitCount++
	commit := fmt.Sprintf("%s.%x.%d.%d", c.config.Host, c.config.Incarnation, c.config.Partition, c.commitCount)
	newValue.Commits = append(newValue.GetCommits(), commit)
	newValue.Commits = newValue.Commits[max(0, len(newValue.Commits)-maxCommitIDs):]
	value, err := proto.Marshal(newValue)
	if err != nil || len(value) > maxSegmentBytes {
		c.refuseOversized(target)
		return
	}
	for _, work := range target.pending {
		work.inSwap = true
	}
	issued := c.issue(now, target, &call{newValue: newValue, commit: commit, batch: target.pending})
	target.pending = nil
	target.chargeSwap(now, c.config.SwapInterval)
	swap := dcstore.Swap{Key: target.key, Expected: target.modified, Value: value}
	c.actions = append(c.actions, SwapSegment{Call: issued, Swap: swap})
}

// refuseFull answers a batch that does not fit. Claims leave room for their
// results, so only not-run records of absent claims can get here.
func (c *Committer) refuseOversized(target *segment) {
	for _, work := range target.pending {
		work.result = Result{Code: dcreason.QueueFull}
	}
	c.answerAll(target.pending)
	target.pending = nil
}

func (c *Committer) issue(now time.Time, target *segment, issued *call) CallID {
	c.lastCall++
	issued.id = c.lastCall
	issued.issued = now
	target.call = issued
	target.lastUsed = now
	c.calls[issued.id] = target
	c.breaker.probing = c.breaker.open
	return issued.id
}

// StoreReplied takes the reply to a store call. A reply to a call that is no
// longer awaited is ignored.
func (c *Committer) StoreReplied(now time.Time, reply StoreReply) []Action {
	if target, ok := c.calls[reply.Call]; ok {
		c.handleReply(now, target, reply)
	}
	return c.takeActions(now)
}

func (c *Committer) handleReply(now time.Time, target *segment, reply StoreReply) {
	done := target.call
	target.call = nil
	delete(c.calls, done.id)
	wasOpen := c.breaker.open
	if done.newValue == nil {
		c.handleGet(now, target, reply)
	} else {
		c.handleSwap(now, target, done, reply)
	}
	c.advance(now, target)
	if wasOpen && !c.breaker.open {
		c.advanceAll(now)
	}
}

func (c *Committer) handleGet(now time.Time, target *segment, reply StoreReply) {
	value := &ledgerv1.Segment{}
	switch {
	case errors.Is(reply.Err, dcstore.ErrNotFound):
		reply.Record.Modified = 0
	case reply.Err != nil:
		c.storeFailed(now)
		return
	default:
		if err := proto.Unmarshal(reply.Record.Value, value); err != nil {
			c.storeFailed(now)
			return
		}
	}
	c.breaker.reset()
	target.value = value
	target.modified = reply.Record.Modified
	c.resolveLostSwap(target)
}

// decideLost answers the batch of a lost reply when its commit is in the
// segment. Otherwise the batch is applied again: the swap may still be under
// way, and then the next one conflicts with it.
func (c *Committer) resolveLostSwap(target *segment) {
	if target.lostCommit != "" && slices.Contains(target.value.GetCommits(), target.lostCommit) {
		c.answerAll(target.lostBatch)
	}
	target.lostCommit = ""
	target.lostBatch = nil
}

func (c *Committer) handleSwap(now time.Time, target *segment, done *call, reply StoreReply) {
	for _, work := range done.batch {
		work.inSwap = false
	}
	if reply.Err == nil {
		c.breaker.reset()
		c.lostReplies = 0
		target.value = done.newValue
		target.modified = reply.Modified
		c.answerAll(done.batch)
		return
	}
	target.value = nil
	target.pending = slices.Concat(done.batch, target.pending)
	switch {
	case errors.Is(reply.Err, dcstore.ErrConflict):
		c.breaker.reset()
	case errors.Is(reply.Err, dcstore.ErrUnavailable):
		c.storeFailed(now)
	default:
		c.handleLostSwap(now, target, done, reply.Err)
	}
}

func (c *Committer) handleLostSwap(now time.Time, target *segment, done *call, err error) {
	for _, work := range done.batch {
		work.undecided = true
	}
	target.lostCommit = done.commit
	target.lostBatch = done.batch
	c.lostReplies++
	if c.breaker.open || c.lostReplies >= lostReplyThreshold || !errors.Is(err, dcstore.ErrUnknownOutcome) {
		c.storeFailed(now)
	}
}

// storeFailed opens the breaker and answers every claim and lookup that is not
// part of a call in flight. Records stay.
func (c *Committer) storeFailed(now time.Time) {
	c.breaker.trip(now, backoff(c.random, c.breaker.failures, c.config.MinBackoff, c.config.MaxBackoff))
	for _, target := range c.segmentsBySlot() {
		for _, work := range target.pending {
			if work.kind != kindRecord {
				c.abandon(work)
			}
		}
		target.dropAnswered()
	}
}

// checkCall opens the breaker for a call that is slower than claims can wait,
// and gives up a call whose reply is overdue.
func (c *Committer) checkCall(now time.Time, target *segment) {
	current := target.call
	if current == nil || now.Before(current.due(c.config)) {
		return
	}
	if !current.slow {
		current.slow = true
		c.storeFailed(now)
		// The call itself shows when the store answers again.
		c.breaker.probing = true
		return
	}
	err := dcstore.ErrUnavailable
	if current.newValue != nil {
		err = dcstore.ErrUnknownOutcome
	}
	c.handleReply(now, target, StoreReply{Call: current.id, Err: err})
}
