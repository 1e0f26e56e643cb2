package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

// Response handles the response to a transmission. A response to a transmission
// that has already ended, was cancelled, belongs to an earlier snapshot or was
// never sent is counted as stray and has no other effect.
func (q *Query) Response(id TransmissionID, response dcupstream.Response, now time.Time) []Action {
	q.actions = q.actions[:0]
	if id == 0 || int(id) > len(q.sent) || !q.sent[id-1].inFlight {
		q.stats.Stray++
		return nil
	}
	if q.finishIfExpired(now) {
		q.stats.Stray++
		return q.actions
	}
	sent := &q.sent[id-1]
	sent.inFlight = false
	sent.sub.inFlight--
	q.recordOutcome(response.Outcome)
	if response.Code == dcreason.OK && response.Outcome == dcreason.Ran {
		q.handleAnswer(id, response, now)
	} else {
		q.handleFailure(id, failureCode(response), now)
	}
	q.updateTimer()
	return q.actions
}

// recordOutcome records what the outcome of a transmission proves about the
// whole query.
func (q *Query) recordOutcome(outcome dcreason.Outcome) {
	switch outcome {
	case dcreason.NotRun:
	case dcreason.Ran:
		q.ran = true
	default:
		q.unknown = true
	}
}

// failureCode returns the code of a response that is not an answer. A response
// with the code OK that did not run, or without a code, is malformed.
func failureCode(response dcupstream.Response) dcreason.Code {
	if response.Code == dcreason.OK || response.Code == "" {
		return dcreason.UpstreamMalformed
	}
	return response.Code
}

// handleAnswer accepts an answer if its label is exactly the one sent, and
// treats any other as malformed.
func (q *Query) handleAnswer(id TransmissionID, response dcupstream.Response, now time.Time) {
	sent := &q.sent[id-1]
	if response.Label != q.label(sent) {
		q.stats.Mismatched++
		q.handleFailure(id, dcreason.UpstreamMalformed, now)
		return
	}
	if sent.sendCause == causeFirst {
		q.options.Budget.RecordLatency(now.Sub(sent.sentAt), now)
	}
	sub := sent.sub
	q.cancelOthers(sub, now)
	if len(response.Body) > q.options.MaxBytes-q.bodyBytes {
		q.giveUpShard(sub, dcreason.BodyTooLarge, now)
		return
	}
	q.bodyBytes += len(response.Body)
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

// cancelOthers cancels the transmissions of a shard that still run. Only the
// latencies of first transmissions are recorded: they are a fair sample of the
// servers, while a hedge is sent only when the first transmission is slow.
func (q *Query) cancelOthers(sub *subquery, now time.Time) {
	for id := sub.lastTransmission; id != 0 && sub.inFlight > 0; id = q.sent[id-1].previous {
		sent := &q.sent[id-1]
		if !sent.inFlight {
			continue
		}
		if sent.sendCause == causeFirst {
			q.options.Budget.RecordLatency(now.Sub(sent.sentAt), now)
		}
		q.cancel(id)
	}
}

func (q *Query) cancel(id TransmissionID) {
	sent := &q.sent[id-1]
	sent.inFlight = false
	sent.sub.inFlight--
	q.unknown = true
	q.emit(q.action(Cancel, id))
}

// handleFailure handles a transmission that ended without an answer. If another
// transmission of the shard still runs, the shard waits for that one. A shard
// whose request crashed two servers is given up.
func (q *Query) handleFailure(id TransmissionID, code dcreason.Code, now time.Time) {
	sent := &q.sent[id-1]
	sub := sent.sub
	server := sent.server().Server
	switch code {
	case dcreason.UpstreamShed:
		q.options.Budget.RecordShed(server, now)
	case dcreason.UpstreamCrashed:
		q.emit(q.action(ReportCrash, id))
	}
	if q.canary.active {
		q.handleCanaryFailure(sub, server, code, now)
		return
	}
	crashedBefore := sub.crashed
	sub.crashed = sub.crashed || code == dcreason.UpstreamCrashed
	if sub.inFlight > 0 {
		return
	}
	if crashedBefore && code == dcreason.UpstreamCrashed {
		q.giveUpShard(sub, code, now)
		return
	}
	q.resend(sub, code, now)
}

// resend sends a shard to another replica, or gives it up. It is not charged to
// the budget after an answer that the server does not hold the shard or version,
// or that it is draining: nothing ran, and later queries avoid the server
// because the answer is recorded.
func (q *Query) resend(sub *subquery, code dcreason.Code, now time.Time) {
	cause := causeRetry
	if isUncharged(code) {
		cause = causeReroute
	}
	replica, ok := q.pickReplica(sub, cause, now)
	if !ok {
		q.handleNoReplica(sub, code, now)
		return
	}
	if cause == causeRetry && !q.options.Budget.Take() {
		q.stats.Denied++
		q.giveUpShard(sub, dcreason.BudgetExhausted, now)
		return
	}
	if cause == causeRetry {
		q.stats.Retries++
	} else {
		q.stats.Reroutes++
	}
	q.send(sub, replica, cause, now)
	if delay, hedging := q.options.Budget.HedgeDelay(1, now); hedging {
		q.scheduleHedge(sub, now.Add(delay))
	}
}

// isUncharged reports whether the next transmission after a failure is not
// charged to the budget.
func isUncharged(code dcreason.Code) bool {
	return isGone(code) || code == dcreason.UpstreamDraining
}

// isGone reports whether a server answered that it does not hold the version
// (409) or the shard (410) of the snapshot any more.
func isGone(code dcreason.Code) bool {
	return code == dcreason.VersionGone || code == dcreason.ShardGone
}

func (q *Query) cancelAll() {
	for i := range q.sent {
		if q.sent[i].inFlight {
			q.cancel(TransmissionID(i + 1))
		}
	}
}

// sendHedge sends the sub-query of a slow shard to another replica as well, if
// the budget allows it.
func (q *Query) sendHedge(sub *subquery, now time.Time) {
	if sub.state != running || q.anyShedding(sub, now) {
		return
	}
	replica, ok := q.pickReplica(sub, causeHedge, now)
	if !ok {
		return
	}
	// A hedge that the budget refuses counts as well, so that a shard asks the
	// budget at most maxHedges times while it is empty.
	sub.hedges++
	if q.options.Budget.Take() {
		q.stats.Hedges++
		q.send(sub, replica, causeHedge, now)
	} else {
		q.stats.Denied++
	}
	if delay, hedging := q.options.Budget.HedgeDelay(int(sub.hedges)+1, now); hedging {
		q.scheduleHedge(sub, now.Add(delay))
	}
}
