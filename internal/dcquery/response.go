package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

// Response handles what became of a transmission. One that has already ended,
// lost to a hedge, belongs to an earlier pin or was never sent has no effect.
func (q *Query) Response(id Transmission, response dcupstream.Response, now time.Time) []Action {
	q.actions = q.actions[:0]
	if id == 0 || int(id) > len(q.sent) || !q.sent[id-1].live {
		q.stats.Stray++
		return nil
	}
	if q.expire(now) {
		q.stats.Stray++
		return q.actions
	}
	sent := &q.sent[id-1]
	sent.live = false
	sent.sub.live--
	q.note(response.Outcome)
	if response.Code == dcreason.OK && response.Outcome == dcreason.Ran {
		q.answered(id, response, now)
	} else {
		q.failed(id, failureCode(response), now)
	}
	q.arm()
	return q.actions
}

// note keeps what an outcome proves about the whole query.
func (q *Query) note(outcome dcreason.Outcome) {
	switch outcome {
	case dcreason.NotRun:
	case dcreason.Ran:
		q.ran = true
	default:
		q.unknown = true
	}
}

// failureCode is the code of a response that is not an answer. One that calls
// itself OK without having run is malformed.
func failureCode(response dcupstream.Response) dcreason.Code {
	if response.Code == dcreason.OK || response.Code == "" {
		return dcreason.UpstreamMalformed
	}
	return response.Code
}

// answered merges an answer whose label is exactly the one sent.
func (q *Query) answered(id Transmission, response dcupstream.Response, now time.Time) {
	sent := &q.sent[id-1]
	if response.Label != q.label(sent) {
		q.stats.Mismatched++
		q.failed(id, dcreason.UpstreamMalformed, now)
		return
	}
	if sent.cause == first {
		q.options.Budget.RecordLatency(now.Sub(sent.at), now)
	}
	sub := sent.sub
	q.cancelOthers(sub, now)
	if len(response.Body) > q.options.MaxBytes-q.bytes {
		q.lose(sub, dcreason.BodyTooLarge, now)
		return
	}
	q.bytes += len(response.Body)
	sub.body = response.Body
	sub.state = covered
	q.covered++
	q.open--
	if q.canary.active {
		q.canary.active = false
		q.scatterAfterCanary(now)
	}
	q.finishIfDone()
}

// cancelOthers cancels the transmissions of a shard that still run. Only first
// ones are recorded as latencies: they are a fair sample of the servers, while
// a hedge runs only when the first one is slow.
func (q *Query) cancelOthers(sub *subquery, now time.Time) {
	for id := sub.last; id != 0 && sub.live > 0; id = q.sent[id-1].previous {
		sent := &q.sent[id-1]
		if !sent.live {
			continue
		}
		if sent.cause == first {
			q.options.Budget.RecordLatency(now.Sub(sent.at), now)
		}
		q.cancel(id)
	}
}

func (q *Query) cancel(id Transmission) {
	sent := &q.sent[id-1]
	sent.live = false
	sent.sub.live--
	q.unknown = true
	q.emit(q.action(Cancel, id))
}

// failed handles a transmission that ended without an answer. A shard with
// another transmission still running waits for that one.
func (q *Query) failed(id Transmission, code dcreason.Code, now time.Time) {
	sent := &q.sent[id-1]
	sub := sent.sub
	server := sent.server().Server
	switch code {
	case dcreason.UpstreamShed:
		q.options.Budget.RecordShed(server, now)
	case dcreason.UpstreamCrashed:
		q.emit(q.action(Suspect, id))
	}
	if q.canary.active {
		q.canaryFailed(sub, server, code, now)
		return
	}
	crashedBefore := sub.crashed
	sub.crashed = sub.crashed || code == dcreason.UpstreamCrashed
	if sub.live > 0 {
		return
	}
	if crashedBefore && code == dcreason.UpstreamCrashed {
		q.lose(sub, code, now)
		return
	}
	q.again(sub, code, now)
}

// again sends a shard to another replica, or gives it up. An answer that the
// server does not hold the shard or version, or is draining, is not charged to
// the budget: nothing ran, and the evidence keeps later queries away.
func (q *Query) again(sub *subquery, code dcreason.Code, now time.Time) {
	why := retried
	if free(code) {
		why = moved
	}
	replica, ok := q.pick(sub, why, now)
	if !ok {
		q.exhausted(sub, code, now)
		return
	}
	if why == retried && !q.options.Budget.Take() {
		q.stats.Denied++
		q.lose(sub, dcreason.BudgetExhausted, now)
		return
	}
	if why == retried {
		q.stats.Retries++
	} else {
		q.stats.Moves++
	}
	q.send(sub, replica, why, now)
	if delay, hedging := q.options.Budget.HedgeDelay(1, now); hedging {
		q.schedule(sub, now.Add(delay))
	}
}

// free reports whether a failure is answered without charge to the budget.
func free(code dcreason.Code) bool {
	return gone(code) || code == dcreason.UpstreamDraining
}

// gone reports whether the pinned version or shard does not exist any more.
func gone(code dcreason.Code) bool {
	return code == dcreason.VersionGone || code == dcreason.ShardGone
}

func (q *Query) cancelAll() {
	for i := range q.sent {
		if q.sent[i].live {
			q.cancel(Transmission(i + 1))
		}
	}
}

// hedge sends a slow shard to another replica as well.
func (q *Query) hedge(sub *subquery, now time.Time) {
	if sub.state != running || q.anyShedding(sub, now) {
		return
	}
	replica, ok := q.pick(sub, hedged, now)
	if !ok {
		return
	}
	// A hedge that the budget refuses counts too, so that a shard asks at most
	// maxHedges times while the budget is empty.
	sub.hedges++
	if q.options.Budget.Take() {
		q.stats.Hedges++
		q.send(sub, replica, hedged, now)
	} else {
		q.stats.Denied++
	}
	if delay, hedging := q.options.Budget.HedgeDelay(int(sub.hedges)+1, now); hedging {
		q.schedule(sub, now.Add(delay))
	}
}
