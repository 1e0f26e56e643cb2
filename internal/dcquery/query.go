// Package dcquery is the state machine of one fan-out query. It decides which
// sub-queries are sent, hedged, retried and cancelled, when the query restarts
// on a newer snapshot of the shard map, and which shards the answer covers. It
// sends nothing itself: its methods return the actions that the caller takes.
package dcquery

import (
	"math/rand/v2"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

// Budget limits the extra load of hedges and retries. *dcbudget.Budget
// implements it.
type Budget interface {
	// Sent adds the fraction of a token for extra load that each of n first
	// sub-queries earns.
	Sent(n int)
	// Take spends a token on one extra sub-query, and returns false when there
	// is none.
	Take() bool
	// RecordLatency records the latency of a first sub-query, or the time that
	// a first sub-query had been running when it was cancelled or the deadline
	// of the query passed.
	RecordLatency(latency time.Duration, now time.Time)
	// HedgeDelay returns the wait before the given hedge of a shard, counted
	// from 1. It returns false when hedging is off or too little is known about
	// latencies.
	HedgeDelay(hedge int, now time.Time) (time.Duration, bool)
	// RecordShed records that a server refused work because of overload.
	RecordShed(server dcid.ServerAddr, now time.Time)
	// Shedding reports whether a server refused work recently.
	Shedding(server dcid.ServerAddr, now time.Time) bool
}

// Servers reports what this host currently knows about servers.
type Servers interface {
	// Usable reports whether the server may receive new work.
	Usable(server dcid.ServerAddr) bool
	// InFlight returns the number of sub-queries of this host that run on the
	// server.
	InFlight(server dcid.ServerAddr) int
}

// CoverageRule is the rule of a service group for partial answers.
type CoverageRule struct {
	// Complete refuses an answer in which a shard is missing.
	Complete bool
	// MinCoverage is the smallest fraction of covered shards, from 0 to 1, of a
	// partial answer that may be used.
	MinCoverage float64
}

// Options are the inputs of a query.
type Options struct {
	Request      dcid.RequestID
	Deadline     time.Time
	CoverageRule CoverageRule
	// Budget may be nil: no hedges and no charged retries are then sent.
	Budget Budget
	// Servers may be nil: every server is then taken as usable and idle.
	Servers Servers
	Rand    *rand.Rand
	// NewerSnapshot returns a snapshot that is newer than the given one, or nil.
	// The caller records in the shard map what a response proves about it before
	// it calls Response.
	NewerSnapshot func(base *dcshardmap.Snapshot) *dcshardmap.Snapshot
	// MinRestartTime is the smallest time before the deadline at which the query
	// still restarts.
	MinRestartTime time.Duration
	// MapWait is how long a query waits for a newer snapshot when no server holds
	// one of its shards any more; 0 gives such a shard up at once.
	MapWait time.Duration
	// Canary sends one sub-query first, and the others after it succeeded.
	Canary bool
	// AllowCanaryRetry reports whether a canary that crashed the given server may
	// be sent to one other server; nil means no. It is called at most once.
	AllowCanaryRetry func(crashed dcid.ServerAddr) bool
	// MaxBytes limits the total size of the bodies kept for the answer; 0 means
	// DefaultMaxBytes.
	MaxBytes int
}

// DefaultMaxBytes is the default limit for the total size of the bodies kept
// for one answer, 32 MiB.
const DefaultMaxBytes = 32 << 20

// maxHedges is the largest number of hedges of one shard. With 310 shards and
// 1% stragglers, 3 queries in 100 have a shard whose first hedge is a straggler
// too, so one hedge does not bound the 99th percentile.
const maxHedges = 2

// TransmissionID numbers the transmissions (sub-queries sent) of one query from
// 1, over all shards and also over a restart. Label.Attempt numbers those of
// one shard.
type TransmissionID uint32

// Kind is the type of an action.
type Kind uint8

// The kinds of actions and the fields of Action that each of them sets.
const (
	// Send sends a sub-query: TransmissionID, Server, Label, and Time as its
	// deadline.
	Send Kind = iota + 1
	// Cancel cancels a transmission: TransmissionID, Server, Label.
	Cancel
	// SetTimer asks for a call of Timer at Time, which replaces the time set
	// before.
	SetTimer
	// ReportCrash reports that the connection to a server was lost after the
	// request was written: TransmissionID, Server, Label.
	ReportCrash
	// Finish ends the query: Answer.
	Finish
)

// Action is a step that the caller must take. Actions are taken in the order in
// which they are returned.
type Action struct {
	Kind           Kind
	TransmissionID TransmissionID
	Server         dcid.ServerAddr
	Label          dcupstream.Label
	Time           time.Time
	Answer         *Answer
}

// Query is one running query. The actions that a method returns are valid only
// until the next call. A Query is not safe for concurrent use.
type Query struct {
	options  Options
	snapshot *dcshardmap.Snapshot
	actions  []Action
	stats    Stats

	subs       []subquery
	sent       []transmission
	hedgeQueue hedgeHeap
	// timerAt is the time at which the caller calls Timer, zero for none.
	timerAt time.Time

	// open counts the shards that are neither covered nor missing.
	open      int
	missing   int
	covered   int
	bodyBytes int

	// replicaRotation selects the first of the two replicas that pickLessLoaded
	// compares. It is 0 until the first use, which sets it to a random number.
	replicaRotation uint
	wait            mapWait
	canary          canary
	// ran is set when any transmission ran, unknown when it is not known of one
	// of them whether it ran, as after a cancellation.
	ran      bool
	unknown  bool
	finished bool
}

// New returns a query on a snapshot of the shard map. The snapshot is nil when
// the map is unknown.
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

// Start starts the query. It is called once, before all other methods.
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

// Timer handles the time that a SetTimer action asked for: it finishes the
// query at its deadline, looks for a newer snapshot and sends the hedges that
// are due.
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

// Abandon ends the query because its caller is gone.
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

// Stats returns the counts so far, including the stray responses that arrived
// after the query finished.
func (q *Query) Stats() Stats {
	return q.stats
}

// finishIfExpired finishes the query when its deadline has passed. First
// sub-queries that still run are recorded with the time that they have taken
// so far, which is a lower bound of their latency.
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

// updateTimer asks for a call of Timer at the next hedge, the next look-up of
// a newer snapshot or the deadline, whichever comes first. A timer that is set
// to an earlier time stays: an extra call of Timer costs less than setting the
// timer after each response.
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

// noBudget is a Budget that allows no extra sub-queries.
type noBudget struct{}

func (noBudget) Sent(int)                                        {}
func (noBudget) Take() bool                                      { return false }
func (noBudget) RecordLatency(time.Duration, time.Time)          {}
func (noBudget) HedgeDelay(int, time.Time) (time.Duration, bool) { return 0, false }
func (noBudget) RecordShed(dcid.ServerAddr, time.Time)           {}
func (noBudget) Shedding(dcid.ServerAddr, time.Time) (shed bool) { return false }

// idleServers takes every server as usable and idle.
type idleServers struct{}

func (idleServers) Usable(dcid.ServerAddr) bool  { return true }
func (idleServers) InFlight(dcid.ServerAddr) int { return 0 }
