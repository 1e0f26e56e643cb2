package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
)

// Missing is a shard without an answer.
type Missing struct {
	Shard dcid.ShardID
	Code  dcreason.Code
}

// ServiceCoverage is the coverage of one service. Covered and Missing together
// are exactly the shards of the pinned map.
type ServiceCoverage struct {
	Service dcid.ServiceName
	Epoch   dcid.MapEpoch
	Covered []dcid.ShardID
	Missing []Missing
}

// Result is the body of one shard.
type Result struct {
	Service dcid.ServiceName
	Shard   dcid.ShardID
	Body    []byte
}

// Stats counts what one query did.
type Stats struct {
	// Sent counts all transmissions.
	Sent int
	// Hedges and Retries are the transmissions charged to the budget.
	Hedges, Retries int
	// Moves are the transmissions after a 409, 410 or draining answer, which
	// are not charged.
	Reroutes int
	// Mismatched counts answers whose label differs from the one sent.
	Mismatched int
	// Stray counts late and duplicate responses and unknown transmissions.
	Stray int
	// Denied counts hedges and retries that the budget refused.
	Denied int
	// Restarts is 1 when the query moved to a newer pin.
	Restarts int
}

// Answer is the end of a query.
type Answer struct {
	// Refused reports that the answer must not be used; Results is then empty.
	Refused bool
	// Outcome tells whether any sub-query ran.
	Outcome dcreason.Outcome
	// Code is OK for a complete answer. A partial answer that the rule accepts
	// carries the reason why it is partial.
	Code dcreason.Code
	// Version is the pinned index version.
	Version  dcid.IndexVersion
	Coverage []ServiceCoverage
	Results  []Result
	Stats    Stats
}

// lose gives up a shard and finishes the query when the coverage rule can no
// longer be met.
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

// nextCanary tries the canary on another shard after the servers of one
// refused it or answered with errors.
func (q *Query) tryNextCanary(code dcreason.Code, now time.Time) {
	if q.canary.shardsTried < maxCanaryShards {
		q.sendCanary(now)
		return
	}
	q.markPendingMissing(code)
}

// drop marks a shard as missing.
func (q *Query) markMissing(sub *subquery, code dcreason.Code) {
	sub.state = missing
	sub.code = code
	q.missing++
	q.open--
}

// hopeless reports whether the coverage rule fails even if all open shards
// are answered.
func (q *Query) coverageUnreachable() bool {
	return !q.options.CoverageRule.accepts(len(q.subs)-q.missing, len(q.subs))
}

// accepts reports whether an answer that covers so many of all shards may be
// used. An answer that covers nothing is never used.
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

// finish ends the query; code says why when it is not complete.
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

// outcome is NotRun only when every transmission was proven not to have run.
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

// coverage builds the coverage of an answer from the pinned map; nothing else
// does. subs has one entry for each shard of the pin, in the same order. Shards
// that are still open are missing for the reason that the query ends.
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
