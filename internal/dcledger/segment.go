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

// lostReplyThreshold is the number of consecutive lost replies at which the
// breaker opens. Each lost reply costs a read and a swap, which would otherwise
// follow one another without a pause.
const lostReplyThreshold = 3

// segment is the state that a Committer keeps for one segment.
type segment struct {
	key string
	// value is the copy of the segment at revision modified. It is nil when the
	// segment must be read.
	value    *ledgerv1.Segment
	modified dcstore.Revision
	// known is the newest value that was committed or read, nil before that.
	known   *ledgerv1.Segment
	pending []*submission
	call    *call
	// lostCommit is the operation id of a swap whose reply was lost. lostBatch
	// holds the submissions of that swap, which are also in pending.
	lostCommit string
	lostBatch  []*submission
	lastUsed   time.Time
	// theoreticalArrival is the state of the rate limiter of swaps: the
	// theoretical arrival time of the generic cell rate algorithm.
	theoreticalArrival time.Time
}

// call is a store call in flight. newValue, commit and batch are set for a swap
// only.
type call struct {
	id     CallID
	issued time.Time
	// slow is set once the call has taken longer than ClaimTimeout.
	slow     bool
	newValue *ledgerv1.Segment
	commit   string
	batch    []*submission
}

// due returns the next time-out of the call: first ClaimTimeout, after which
// claims no longer wait for it, then CallTimeout, after which its reply counts
// as lost.
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
	s.pending = slices.DeleteFunc(s.pending, func(sub *submission) bool { return sub.answered })
}

// chargeSwap counts one swap against the rate limit (generic cell rate
// algorithm).
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
	for _, seg := range c.segmentsBySlot() {
		c.advance(now, seg)
	}
}

// advance processes the pending submissions of a segment until it needs a reply
// of the store or has to wait.
func (c *Committer) advance(now time.Time, seg *segment) {
	seg.dropAnswered()
	if seg.call != nil || len(seg.pending) == 0 || !c.breaker.allows(now) {
		return
	}
	if seg.value == nil {
		c.get(now, seg)
		return
	}
	next, changed := applyBatch(seg.value, seg.pending, now)
	if !changed && c.refuseClaims(seg) {
		c.advance(now, seg)
		return
	}
	switch {
	case changed && now.Before(c.earliestSwap(seg)):
	case changed:
		c.swap(now, seg, next)
	case allRead(seg.pending):
		c.answerAll(seg.pending)
		seg.pending = nil
	default:
		// The local copy may be older than the submissions, so it is read again
		// before they are answered.
		c.get(now, seg)
	}
}

// applyBatch applies the submissions in order to a copy of a segment. It stores
// the result of each submission, which is valid once the copy is committed.
func applyBatch(segment *ledgerv1.Segment, batch []*submission, now time.Time) (next *ledgerv1.Segment, changed bool) {
	next = proto.CloneOf(segment)
	for _, sub := range batch {
		var wrote bool
		switch sub.kind {
		case kindClaim:
			sub.result, wrote = applyClaim(next, sub.entry, now)
		case kindRecord:
			sub.result, wrote = applyRecord(next, sub.entry)
		case kindLookup:
			sub.result = applyLookup(next, sub.entry)
		}
		changed = changed || wrote
	}
	return next, changed
}

func allRead(batch []*submission) bool {
	return !slices.ContainsFunc(batch, func(sub *submission) bool { return !sub.read })
}

func (c *Committer) answerAll(batch []*submission) {
	for _, sub := range batch {
		result := sub.result
		if sub.kind == kindClaim && result.Code != dcreason.OK {
			result.MayExist = sub.undecided
		}
		c.answer(sub, result)
	}
}

// refuseClaims answers the claims that do not fit into the local copy of the
// segment. A stale copy may refuse a claim needlessly, but the answer is never
// wrong, because a refused claim is not written. Reading the store first would
// cost a store call for each refusal.
func (c *Committer) refuseClaims(seg *segment) (refused bool) {
	for _, sub := range seg.pending {
		if sub.kind == kindClaim && sub.result.Code == dcreason.QueueFull {
			sub.result.MayExist = sub.undecided
			c.answer(sub, sub.result)
			refused = true
		}
	}
	return refused
}

func (c *Committer) get(now time.Time, seg *segment) {
	for _, sub := range seg.pending {
		sub.read = true
	}
	issued := c.issue(now, seg, &call{})
	c.actions = append(c.actions, GetSegment{Call: issued, Key: seg.key})
}

func (c *Committer) swap(now time.Time, seg *segment, newValue *ledgerv1.Segment) {
	c.commitCount++
	commit := fmt.Sprintf("%s.%x.%d.%d", c.config.Host, c.config.Incarnation, c.config.Partition, c.commitCount)
	newValue.Commits = append(newValue.GetCommits(), commit)
	newValue.Commits = newValue.Commits[max(0, len(newValue.Commits)-maxCommitIDs):]
	value, err := proto.Marshal(newValue)
	if err != nil || len(value) > maxSegmentBytes {
		c.refuseOversized(seg)
		return
	}
	for _, sub := range seg.pending {
		sub.inSwap = true
	}
	issued := c.issue(now, seg, &call{newValue: newValue, commit: commit, batch: seg.pending})
	seg.pending = nil
	seg.chargeSwap(now, c.config.SwapInterval)
	swap := dcstore.Swap{Key: seg.key, Expected: seg.modified, Value: value}
	c.actions = append(c.actions, SwapSegment{Call: issued, Swap: swap})
}

// refuseOversized answers a batch that does not fit into the segment. Claims
// reserve space for their results, so only not-run records of absent claims can
// cause this.
func (c *Committer) refuseOversized(seg *segment) {
	for _, sub := range seg.pending {
		sub.result = Result{Code: dcreason.QueueFull}
	}
	c.answerAll(seg.pending)
	seg.pending = nil
}

func (c *Committer) issue(now time.Time, seg *segment, issued *call) CallID {
	c.lastCall++
	issued.id = c.lastCall
	issued.issued = now
	seg.call = issued
	seg.lastUsed = now
	c.calls[issued.id] = seg
	c.breaker.probing = c.breaker.open
	return issued.id
}

// StoreReplied handles the reply to a store call. A reply to a call that has
// timed out or was already answered is ignored.
func (c *Committer) StoreReplied(now time.Time, reply StoreReply) []Action {
	if seg, ok := c.calls[reply.Call]; ok {
		c.handleReply(now, seg, reply)
	}
	return c.takeActions(now)
}

func (c *Committer) handleReply(now time.Time, seg *segment, reply StoreReply) {
	done := seg.call
	seg.call = nil
	delete(c.calls, done.id)
	wasOpen := c.breaker.open
	if done.newValue == nil {
		c.handleGet(now, seg, reply)
	} else {
		c.handleSwap(now, seg, done, reply)
	}
	c.advance(now, seg)
	if wasOpen && !c.breaker.open {
		c.advanceAll(now)
	}
}

func (c *Committer) handleGet(now time.Time, seg *segment, reply StoreReply) {
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
	restoreEntries(value, seg.known)
	seg.value, seg.known = value, value
	seg.modified = reply.Record.Modified
	c.resolveLostSwap(seg)
}

// restoreEntries adds to a segment what is known of it and missing there. A store
// that was restored from an older copy has lost acknowledged entries; without them
// an order would run again. Otherwise entries are never removed and only advance.
func restoreEntries(segment, known *ledgerv1.Segment) {
	for _, entry := range known.GetEntries() {
		index := findEntry(segment, entry.GetDepartment(), entry.GetKey())
		switch {
		case index < 0:
			segment.Entries = append(segment.Entries, proto.CloneOf(entry))
		case advances(segment.GetEntries()[index], entry):
			segment.Entries[index] = proto.CloneOf(entry)
		}
	}
}

// advances reports whether an entry is a later state of another one of its key.
func advances(entry, later *ledgerv1.Entry) bool {
	if entry.GetOperationId() != later.GetOperationId() {
		return later.GetAttempt() > entry.GetAttempt()
	}
	return entry.GetState() != later.GetState() && validTransition(entry.GetState(), later.GetState())
}

// resolveLostSwap answers the batch of a swap whose reply was lost when the
// segment lists its commit. Otherwise the batch is applied again. If the lost
// swap is still in progress, it and the next swap conflict.
func (c *Committer) resolveLostSwap(seg *segment) {
	if seg.lostCommit != "" && slices.Contains(seg.value.GetCommits(), seg.lostCommit) {
		c.answerAll(seg.lostBatch)
	}
	seg.lostCommit = ""
	seg.lostBatch = nil
}

func (c *Committer) handleSwap(now time.Time, seg *segment, done *call, reply StoreReply) {
	for _, sub := range done.batch {
		sub.inSwap = false
	}
	if reply.Err == nil {
		c.breaker.reset()
		c.lostReplies = 0
		seg.value, seg.known = done.newValue, done.newValue
		seg.modified = reply.Modified
		c.answerAll(done.batch)
		return
	}
	seg.value = nil
	seg.pending = slices.Concat(done.batch, seg.pending)
	switch {
	case errors.Is(reply.Err, dcstore.ErrConflict):
		c.breaker.reset()
	case errors.Is(reply.Err, dcstore.ErrUnavailable):
		c.storeFailed(now)
	default:
		c.handleLostSwap(now, seg, done, reply.Err)
	}
}

func (c *Committer) handleLostSwap(now time.Time, seg *segment, done *call, err error) {
	for _, sub := range done.batch {
		sub.undecided = true
	}
	seg.lostCommit = done.commit
	seg.lostBatch = done.batch
	c.lostReplies++
	if c.breaker.open || c.lostReplies >= lostReplyThreshold || !errors.Is(err, dcstore.ErrUnknownOutcome) {
		c.storeFailed(now)
	}
}

// storeFailed opens the breaker and answers every claim and lookup that is not
// part of a call in flight. Records keep waiting.
func (c *Committer) storeFailed(now time.Time) {
	c.breaker.trip(now, backoff(c.random, c.breaker.failures, c.config.MinBackoff, c.config.MaxBackoff))
	for _, seg := range c.segmentsBySlot() {
		for _, sub := range seg.pending {
			if sub.kind != kindRecord {
				c.abandon(sub)
			}
		}
		seg.dropAnswered()
	}
}

// checkCall opens the breaker when a call takes longer than ClaimTimeout, and
// treats its reply as lost after CallTimeout.
func (c *Committer) checkCall(now time.Time, seg *segment) {
	current := seg.call
	if current == nil || now.Before(current.due(c.config)) {
		return
	}
	if !current.slow {
		current.slow = true
		c.storeFailed(now)
		// This call serves as the probe: its reply shows that the store answers
		// again.
		c.breaker.probing = true
		return
	}
	err := dcstore.ErrUnavailable
	if current.newValue != nil {
		err = dcstore.ErrUnknownOutcome
	}
	c.handleReply(now, seg, StoreReply{Call: current.id, Err: err})
}
