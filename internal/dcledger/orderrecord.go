package dcledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// outcomeRecord returns the record of a claim's outcome. The result is truncated
// to MaxResultBytes.
func outcomeRecord(claim *ledgerv1.Entry, state ledgerv1.EntryState, result []byte) *ledgerv1.Entry {
	record := proto.CloneOf(claim)
	record.State = state
	if state == ledgerv1.EntryState_ENTRY_STATE_RAN {
		record.Result = result[:min(len(result), MaxResultBytes)]
		record.ResultTruncated = len(result) > MaxResultBytes
	}
	return record
}

// beginRecording starts to record an outcome.
func (o *Order) beginRecording(at Instant, state ledgerv1.EntryState, result []byte) {
	o.phase = phaseRecording
	o.record = outcomeRecord(o.claim, state, result)
	o.retries = 0
	o.submitRecord(at)
}

func (o *Order) submitRecord(at Instant) {
	o.timerAt = at.Wall.Add(o.config.RecordTimeout)
	o.emit(SubmitRecord{Partition: o.partition, Entry: o.record})
}

// Recorded handles the result of SubmitRecord. A record that failed is submitted
// again until it is written or the key has expired.
func (o *Order) Recorded(at Instant, result Result) []OrderAction {
	if o.phase != phaseRecording {
		return nil
	}
	if result.Code != dcreason.OK && result.Code != dcreason.KeyExpired {
		wait := backoff(o.random, o.retries, o.config.MinBackoff, o.config.MaxBackoff)
		o.retries++
		o.timerAt = at.Wall.Add(wait)
		return o.takeActions()
	}
	o.outcomeRecorded(at, result.Entry)
	return o.takeActions()
}

// outcomeRecorded continues after an outcome was recorded. It asks the upstream
// for an unknown outcome, unless another host has meanwhile recorded that the
// order ran.
func (o *Order) outcomeRecorded(at Instant, recorded *ledgerv1.Entry) {
	if o.record.GetState() != ledgerv1.EntryState_ENTRY_STATE_UNKNOWN {
		o.finish()
		return
	}
	sameOperation := recorded.GetOperationId() == o.record.GetOperationId()
	if sameOperation && recorded.GetState() == ledgerv1.EntryState_ENTRY_STATE_RAN {
		o.answer = responseFor(recorded, at.Wall)
		o.finish()
		return
	}
	o.phase = phaseAsking
	o.askUpstream(at)
}

// askUpstream asks the upstream for the outcome, at most AskLimit times. Requests
// that get no answer count towards the limit.
func (o *Order) askUpstream(at Instant) {
	if o.askCount >= o.config.AskLimit {
		o.finish()
		return
	}
	o.askCount++
	o.timerAt = at.Wall.Add(o.config.AskInterval)
	o.emit(AskUpstream{
		Server:     o.spec.Server,
		Department: o.spec.Department,
		Key:        dcid.OrderKey(o.claim.GetKey()),
	})
}

// UpstreamAnswered handles the response to AskUpstream. Only the outcome ran is
// conclusive: a server that does not know the key may still receive the order.
func (o *Order) UpstreamAnswered(at Instant, response dcupstream.Response) []OrderAction {
	if o.phase != phaseAsking {
		return nil
	}
	switch {
	case response.Outcome == dcreason.Ran:
		o.answer = Respond{Outcome: dcreason.Ran, Code: dcreason.OK, Body: response.Body}
		o.answerDeadline = earlierOf(at.Wall.Add(o.config.RecordWait), o.answerDeadline)
		o.beginRecording(at, ledgerv1.EntryState_ENTRY_STATE_RAN, response.Body)
	case o.askCount >= o.config.AskLimit:
		o.finish()
	}
	return o.takeActions()
}

func (o *Order) finish() {
	o.phase = phaseDone
	o.timerAt = time.Time{}
	o.reply()
}
