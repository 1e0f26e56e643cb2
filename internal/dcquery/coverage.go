package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
)

// Missing is a shard without an answer and the reason for it.
type Missing struct {
	Shard dcid.ShardID
	Code  dcreason.Code
}

// ServiceCoverage is the coverage of one service. Covered and Missing together
// list exactly the shards of the snapshot that the query ran on.
type ServiceCoverage struct {
	Service dcid.ServiceName
	Epoch   dcid.MapEpoch
	Covered []dcid.ShardID
	Missing []Missing
}

// Result is the response body of one shard.
type Result struct {
	Service dcid.ServiceName
	Shard   dcid.ShardID
	Body    []byte
}

// Stats counts what one query did.
type Stats struct {
	// Sent counts all transmissions, hedges and retries included.
	Sent int
	// Hedges and Retries are the transmissions charged to the budget.
	Hedges, Retries int
	// Reroutes counts the transmissions after a 409, 410 or draining answer,
	// which are not charged to the budget.
	Reroutes int
	// Mismatched counts answers whose label differs from the label sent.
	Mismatched int
	// Stray counts responses that were ignored: late ones, duplicates, and those
	// to unknown transmissions.
	Stray int
	// Denied counts the hedges and retries that the budget refused.
	Denied int
	// Restarts is 1 when the query restarted on a newer snapshot, otherwise 0.
	Restarts int
}

// Answer is the result of a query.
type Answer struct {
	// Refused reports that the answer must not be used; Results is then empty.
	Refused bool
	// Outcome says whether any sub-query ran.
	Outcome dcreason.Outcome
	// Code is OK for a complete answer. For a partial answer that the coverage
	// rule accepts, it is the reason why the answer is partial.
	Code dcreason.Code
	// Version is the index version of the snapshot.
	Version  dcid.IndexVersion
	Coverage []ServiceCoverage
	Results  []Result
	Stats    Stats
}

// giveUpShard marks a shard as missing and finishes the query when the coverage
// rule can no longer be met.
func (q *Query) giveUpShard(sub *subquery, code dcreason.Code, now time.Time) {
	q.markMissing(sub, code)
	if q.coverageUnreachable() {
		q.finish(dcreason.CoverageIncomplete)
		return
	}
	if q.canary.active {
		q.tryNextCanary(code, now)
	}
	q.finishIfDone()
}

// tryNextCanary tries the canary on another shard after the servers of one
// shard refused it or answered with errors. After maxCanaryShards it gives up
// all pending shards.
func (q *Query) tryNextCanary(code dcreason.Code, now time.Time) {
	if q.canary.shardsTried < maxCanaryShards {
		q.sendCanary(now)
		return
	}
	q.markPendingMissing(code)
}

// markMissing marks an open shard as missing.
func (q *Query) markMissing(sub *subquery, code dcreason.Code) {
	sub.state = missing
	sub.code = code
	q.missing++
	q.open--
}

// coverageUnreachable reports whether the coverage rule fails even if all open
// shards are answered.
func (q *Query) coverageUnreachable() bool {
	return !q.options.CoverageRule.accepts(len(q.subs)-q.missing, len(q.subs))
}

// accepts reports whether an answer that covers the given number of all shards
// may be used. An answer that covers no shard is never used.
func (r CoverageRule) accepts(covered, total int) bool {
	if r.Complete {
		return covered == total
	}
	return covered > 0 && float64(covered) >= r.MinCoverage*float64(total)
}

func (q *Query) finishIfDone() {
	if !q.finished && q.open == 0 {
		q.finish(dcreason.CoverageIncomplete)
	}
}

// finish ends the query. code is the reason to report when the answer is not
// complete.
func (q *Query) finish(code dcreason.Code) {
	if q.finished {
		return
	}
	q.cancelAll()
	q.finished = true
	q.hedgeQueue = nil
	answer := &Answer{Code: code, Outcome: q.outcome(), Coverage: buildCoverage(q.snapshot, q.subs, code)}
	if q.snapshot != nil {
		answer.Version = q.snapshot.Version
	}
	if len(q.subs) > 0 && q.covered == len(q.subs) {
		answer.Code = dcreason.OK
	}
	answer.Refused = q.refused(code)
	if !answer.Refused {
		answer.Results = q.results()
	}
	answer.Stats = q.stats
	q.emit(Action{Kind: Finish, Answer: answer})
}

// refused reports whether the answer must not be used.
func (q *Query) refused(code dcreason.Code) bool {
	if code == dcreason.Cancelled || q.canary.active {
		return true
	}
	return !q.options.CoverageRule.accepts(q.covered, len(q.subs)) || len(q.subs) == 0
}

// outcome returns NotRun only when every transmission is proven not to have
// run.
func (q *Query) outcome() dcreason.Outcome {
	switch {
	case q.ran:
		return dcreason.Ran
	case q.unknown:
		return dcreason.Unknown
	default:
		return dcreason.NotRun
	}
}

func (q *Query) results() []Result {
	results := make([]Result, 0, q.covered)
	for i := range q.subs {
		if sub := &q.subs[i]; sub.state == covered {
			results = append(results, Result{Service: sub.service.Service, Shard: sub.shard.ID, Body: sub.body})
		}
	}
	return results
}

// buildCoverage builds the coverage of an answer from the snapshot. It is the
// only place that does so. subs has one entry for each shard of the snapshot,
// in the same order. Shards that are still open are missing for endCode, the
// reason why the query ends, except that a shard that waits for a newer map
// keeps its own reason.
func buildCoverage(snapshot *dcshardmap.Snapshot, subs []subquery, endCode dcreason.Code) []ServiceCoverage {
	if snapshot == nil {
		return nil
	}
	all := make([]ServiceCoverage, 0, len(snapshot.Services))
	firstSub := 0
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		entry := ServiceCoverage{
			Service: service.Service,
			Epoch:   service.Epoch,
			Covered: make([]dcid.ShardID, 0, len(service.Shards)),
		}
		for _, sub := range subs[firstSub : firstSub+len(service.Shards)] {
			switch sub.state {
			case covered:
				entry.Covered = append(entry.Covered, sub.shard.ID)
			case missing, waitingForMap:
				entry.Missing = append(entry.Missing, Missing{Shard: sub.shard.ID, Code: sub.code})
			default:
				entry.Missing = append(entry.Missing, Missing{Shard: sub.shard.ID, Code: endCode})
			}
		}
		firstSub += len(service.Shards)
		all = append(all, entry)
	}
	return all
}
