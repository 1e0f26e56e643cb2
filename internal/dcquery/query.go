// Package dcquery decides one running query: scatter, gather, hedges, retries,
// restart on a newer pin, and coverage.
package dcquery

import (
	"math/rand/v2"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

// Budget limits extra load; *dcbudget.Budget implements it.
type Budget interface {
	// Sent accrues extra load for n first sub-queries.
	Sent(n int)
	// Take spends one extra sub-query, if there is one.
	Take() bool
	// RecordLatency records the latency of a first sub-query, or how long a
	// cancelled one had been running.
	RecordLatency(latency time.Duration, now time.Time)
	// HedgeDelay returns the wait before hedge number hedge, from 1.
	HedgeDelay(hedge int, now time.Time) (time.Duration, bool)
	// RecordShed records that a server refused work for overload.
	RecordShed(server dcid.ServerAddr, now time.Time)
	// Shedding reports whether a server refused work recently.
	Shedding(server dcid.ServerAddr, now time.Time) bool
}

// Servers tells what this host knows of servers at the moment.
type Servers interface {
	// Usable reports whether the server may receive new work.
	Usable(server dcid.ServerAddr) bool
	// InFlight returns the sub-queries of this host at the server.
	InFlight(server dcid.ServerAddr) int
}

// Rule is the coverage rule of a service group.
type CoverageRule struct {
	// Complete refuses an answer that misses a shard.
	Complete bool
	// MinCoverage is the smallest covered fraction of a partial answer.
	MinCoverage float64
}

// Options are the inputs of a query.
type Options struct {
	Request      dcid.RequestID
	Deadline     time.Time
	CoverageRule CoverageRule
	// Budget may be nil: nothing extra is then sent.
	Budget Budget
	// Servers may be nil: every server is then usable and idle.
	Servers Servers
	Rand    *rand.Rand
	// PinNewer returns a pin newer than the given one, or nil. The evidence of
	// a response must be in the shard map before Response is called.
	NewerSnapshot func(than *dcshardmap.Snapshot) *dcshardmap.Snapshot
	// RestartTime is the time left that a restart needs.
	MinRestartTime time.Duration
	// MapWait is how long a shard that is gone everywhere waits for a newer pin;
	// 0 gives it up at once.
	MapWait time.Duration
	// Canary sends one sub-query first and the others after it succeeded.
	Canary bool
	// RetryCanary tells whether a canary that crashed the given server may run
	// on one other server; nil means no. It is called at most once.
	AllowCanaryRetry func(crashed dcid.ServerAddr) bool
	// MaxBytes bounds the bodies kept for the answer; 0 means DefaultMaxBytes.
	MaxBytes int
}

// DefaultMaxBytes bounds the bodies kept for one answer.
const DefaultMaxBytes = 32 << 20

// maxHedges is the number of hedges of one shard. With 310 shards and 1%
// stragglers, 3 queries in 100 have a shard whose first hedge is a straggler
// too, so one hedge does not bound the 99th percentile.
const maxHedges = 2

// Transmission numbers the sub-queries sent by one query, from 1, over all
// shards and both pins. Label.Attempt numbers those of one shard.
type TransmissionID uint32

// Kind is the kind of an action.
type Kind uint8

// Kinds of actions.
const (
	// Send a sub-query: Transmission, Server, Label; Time is its deadline.
	Send Kind = iota + 1
	// Cancel a transmission: Transmission, Server, Label.
	Cancel
	// Wake calls Timer at Time and replaces the earlier wake-up time.
	SetTimer
	// Suspect reports a server that was lost after the request was written:
	// Transmission, Server, Label.
	ReportCrash
	// Finish ends the query: Answer.
	Finish
)

// Action is something the caller must do, in order.
type Action struct {
	Kind           Kind
	TransmissionID TransmissionID
	Server         dcid.ServerAddr
	Label          dcupstream.Label
	Time           time.Time
	Answer         *Answer
}

// Query is one running query. The actions that a method returns are valid
// until the next call.
type Query struct {
	options  Options
	snapshot *dcshardmap.Snapshot
	actions  []Action
	stats    Stats

	subs       []subquery
	sent       []transmission
	hedgeQueue hedgeHeap
	// armed is the wake-up time that the caller holds, zero for none.
	timerAt time.Time

	// open counts the shards that are neither covered nor missing.
	open      int
	missing   int
	covered   int
	bodyBytes int

	// turn rotates the replicas of first choice, from a random start.
	replicaRotation uint
	wait            mapWait
	canary          canary
	// ran and unknown say what the transmissions that ended without a merged
	// answer prove.
	ran      bool
	unknown  bool
	finished bool
}

// New returns a query on a pin; the pin is nil when the map is unknown.
func New(snapshot *dcshardmap.Snapshot, options Options) *Query {
	if options.Budget == nil {
		options.Budget = noBudget{}
	}
	if options.Servers == nil {
		options.Servers = idleServers{}
	}
	if options.MaxBytes == 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	return &Query{
		options:  options,
		snapshot: snapshot,
		canary:   canary{active: options.Canary},
	}
}

// Start begins the query.
func (q *Query) Start(now time.Time) []Action {
	if q.snapshot == nil || q.snapshot.TotalShards == 0 {
		q.finish(dcreason.MapUnknown)
		return q.actions
	}
	q.actions = make([]Action, 0, q.snapshot.TotalShards+spareActions)
	q.loadSnapshot(q.snapshot)
	if !now.Before(q.options.Deadline) {
		q.finish(dcreason.DeadlineExceeded)
		return q.actions
	}
	q.scatter(now)
	q.options.Budget.Sent(q.stats.Sent)
	q.updateTimer()
	return q.actions
}

// Timer handles the wake-up time.
func (q *Query) Timer(now time.Time) []Action {
	q.actions = q.actions[:0]
	if q.finished {
		return nil
	}
	q.timerAt = time.Time{}
	if q.finishIfExpired(now) {
		return q.actions
	}
	q.pollMap(now)
	for len(q.hedgeQueue) > 0 && !now.Before(q.hedgeQueue[0].queueKey) {
		sub := q.hedgeQueue.popFirst()
		if now.Before(sub.hedgeDue) {
			q.scheduleHedge(sub, sub.hedgeDue)
			continue
		}
		q.sendHedge(sub, now)
	}
	q.updateTimer()
	return q.actions
}

// Abandon handles the caller going away.
func (q *Query) Abandon(time.Time) []Action {
	q.actions = q.actions[:0]
	if q.finished {
		return nil
	}
	q.finish(dcreason.Cancelled)
	return q.actions
}

// Finished reports whether the query has finished.
func (q *Query) Finished() bool {
	return q.finished
}

// Stats returns the counts so far, including strays after the end.
func (q *Query) Stats() Stats {
	return q.stats
}

// expire finishes the query when its deadline has passed. First sub-queries
// that still run are recorded as at least this slow.
func (q *Query) finishIfExpired(now time.Time) bool {
	if now.Before(q.options.Deadline) {
		return false
	}
	for i := range q.sent {
		if q.sent[i].inFlight && q.sent[i].sendCause == causeFirst {
			q.options.Budget.RecordLatency(now.Sub(q.sent[i].sentAt), now)
		}
	}
	q.finish(dcreason.DeadlineExceeded)
	return true
}

// arm asks for a wake-up at the next hedge or the deadline. A wake-up that is
// already set for an earlier time is left alone: an extra Timer call costs
// less than setting the timer after each response.
func (q *Query) updateTimer() {
	if q.finished {
		return
	}
	for len(q.hedgeQueue) > 0 && q.hedgeQueue[0].state != running {
		q.hedgeQueue.popFirst()
	}
	next := q.options.Deadline
	if len(q.hedgeQueue) > 0 && q.hedgeQueue[0].queueKey.Before(next) {
		next = q.hedgeQueue[0].queueKey
	}
	if !q.wait.next.IsZero() && q.wait.next.Before(next) {
		next = q.wait.next
	}
	if q.timerAt.IsZero() || next.Before(q.timerAt) {
		q.timerAt = next
		q.emit(Action{Kind: SetTimer, Time: next})
	}
}

func (q *Query) emit(action Action) {
	q.actions = append(q.actions, action)
}

// noBudget allows nothing extra.
type noBudget struct{}

func (noBudget) Sent(int)                                        {}
func (noBudget) Take() bool                                      { return false }
func (noBudget) RecordLatency(time.Duration, time.Time)          {}
func (noBudget) HedgeDelay(int, time.Time) (time.Duration, bool) { return 0, false }
func (noBudget) RecordShed(dcid.ServerAddr, time.Time)           {}
func (noBudget) Shedding(dcid.ServerAddr, time.Time) (shed bool) { return false }

// anyServer takes every server as usable and idle.
type idleServers struct{}

func (idleServers) Usable(dcid.ServerAddr) bool  { return true }
func (idleServers) InFlight(dcid.ServerAddr) int { return 0 }
