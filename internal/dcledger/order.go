package dcledger

import (
	"bytes"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// Instant is a point in time on both clocks of a host. Neither is enough alone:
// the wall clock may jump, and the monotonic clock may stop while the machine is
// suspended.
type Instant struct {
	Wall time.Time
	// Elapsed is the monotonic time since any fixed event, such as the start of
	// the process.
	Elapsed time.Duration
}

// OrderSpec is an order as accepted from a caller.
type OrderSpec struct {
	Request    dcid.RequestID
	Department dcid.Department
	Key        dcid.OrderKey
	Group      dcid.GroupName
	Service    dcid.ServiceName
	Schema     dcid.SchemaVersion
	Body       []byte
	// Deadline is the deadline of the caller.
	Deadline time.Time
	// Operation is unique to this Order. A resent request gets a new one.
	Operation dcid.OperationID
	Host      dcid.HostID
	// Server is the upstream server that the order is sent to.
	Server dcid.ServerAddr
}

type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phaseDispatched
	phaseRecording
	phaseAsking
	phaseDone
)

// Order takes one order through the steps claim, dispatch and record on the host
// that received it. It emits Dispatch at most once, and only while its claim is
// committed and the dispatch deadline has not passed on either clock.
//
// The outcome not-run refers to this request only: it was not dispatched, or the
// upstream refused it before running it. Another request with the same key may
// have run. Use a Lookup to find out.
type Order struct {
	config OrderConfig
	spec   OrderSpec
	random *rand.Rand

	phase     phase
	partition dcid.Partition
	claim     *ledgerv1.Entry
	record    *ledgerv1.Entry
	started   Instant
	// dispatchDeadline is the wall time from which the order must not be
	// dispatched.
	dispatchDeadline time.Time

	answer Respond
	// callerAnswered is set once answer has been emitted.
	callerAnswered bool
	// answerDeadline is the latest time at which the caller is answered.
	answerDeadline time.Time
	// timerAt is when the timer of the current phase fires. It then gives up the
	// claim, submits the record again or asks the upstream. Zero means no timer.
	timerAt  time.Time
	retries  int
	askCount int
	actions  []OrderAction
}

// NewOrder returns an order that has not started.
func NewOrder(config OrderConfig, spec OrderSpec, random *rand.Rand) *Order {
	return &Order{config: config, spec: spec, random: random}
}

// Done reports whether the order has finished.
func (o *Order) Done() bool {
	return o.phase == phaseDone
}

// Start checks the key and submits the claim.
func (o *Order) Start(at Instant) []OrderAction {
	if o.phase != phaseNew {
		return nil
	}
	key, issued, code := ParseKey(o.spec.Key)
	if code == dcreason.OK {
		code = CheckAge(issued, at.Wall, o.config.Retention)
	}
	if code == dcreason.OK && !at.Wall.Before(o.spec.Deadline) {
		code = dcreason.DeadlineExceeded
	}
	if code != dcreason.OK {
		o.finishNotRun(code)
		return o.takeActions()
	}
	o.phase = phaseClaiming
	o.started = at
	o.partition = PartitionOf(o.spec.Department, key, o.config.Partitions)
	o.dispatchDeadline = earlierOf(at.Wall.Add(o.config.DispatchWindow), o.spec.Deadline)
	o.answerDeadline = o.spec.Deadline
	o.timerAt = earlierOf(at.Wall.Add(o.config.ClaimTimeout), o.spec.Deadline)
	o.claim = o.newClaim(key)
	o.emit(SubmitClaim{Partition: o.partition, Entry: o.claim})
	return o.takeActions()
}

func (o *Order) newClaim(key dcid.OrderKey) *ledgerv1.Entry {
	return &ledgerv1.Entry{
		Department:         string(o.spec.Department),
		Key:                string(key),
		Attempt:            1,
		BodyDigest:         BodyDigest(o.spec.Group, o.spec.Service, o.spec.Schema, o.spec.Body),
		State:              ledgerv1.EntryState_ENTRY_STATE_CLAIMED,
		OperationId:        string(o.spec.Operation),
		HostId:             string(o.spec.Host),
		DispatchDeadlineMs: o.dispatchDeadline.UnixMilli(),
		Server:             string(o.spec.Server),
		ServiceGroup:       string(o.spec.Group),
		Service:            string(o.spec.Service),
	}
}

// Claimed handles the result of SubmitClaim. A result that arrives after the
// claim was given up is ignored.
func (o *Order) Claimed(at Instant, result Result) []OrderAction {
	if o.phase != phaseClaiming {
		return nil
	}
	switch {
	case Claimed(o.claim, result):
		o.dispatch(at, result.Entry)
	case result.Code != dcreason.OK && result.MayExist:
		o.abandonClaim(at, result.Code)
	case result.Code != dcreason.OK:
		o.finishNotRun(result.Code)
	case result.Entry == nil:
		o.abandonClaim(at, dcreason.Internal)
	case o.mayClaimNext(result.Entry):
		o.claim = proto.CloneOf(o.claim)
		o.claim.Attempt = result.Entry.GetAttempt() + 1
		o.emit(SubmitClaim{Partition: o.partition, Entry: o.claim})
	default:
		o.answerFromEntry(at, result.Entry)
	}
	return o.takeActions()
}

// mayClaimNext reports whether the entry proves that the order did not run, so
// that the next attempt of the key may be claimed.
func (o *Order) mayClaimNext(entry *ledgerv1.Entry) bool {
	return entry.GetState() == ledgerv1.EntryState_ENTRY_STATE_NOT_RUN &&
		entry.GetOperationId() != o.claim.GetOperationId() &&
		entry.GetAttempt() >= o.claim.GetAttempt() &&
		bytes.Equal(entry.GetBodyDigest(), o.claim.GetBodyDigest())
}

// dispatch checks the dispatch deadline on both clocks and sends the order.
func (o *Order) dispatch(at Instant, entry *ledgerv1.Entry) {
	window := o.dispatchDeadline.Sub(o.started.Wall)
	late := !at.Wall.Before(o.dispatchDeadline) || at.Elapsed-o.started.Elapsed >= window
	if late {
		o.abandonClaim(at, dcreason.DeadlineExceeded)
		return
	}
	o.phase = phaseDispatched
	o.timerAt = time.Time{}
	o.emit(Dispatch{Order: dcupstream.Order{
		Server:     o.spec.Server,
		Request:    o.spec.Request,
		Department: o.spec.Department,
		Key:        dcid.OrderKey(o.claim.GetKey()),
		Schema:     o.spec.Schema,
		Deadline:   o.spec.Deadline,
		Attempt:    dcid.Attempt(entry.GetAttempt()),
		Body:       o.spec.Body,
	}})
}

// answerFromEntry answers from the entry that another operation wrote.
func (o *Order) answerFromEntry(at Instant, entry *ledgerv1.Entry) {
	if !bytes.Equal(entry.GetBodyDigest(), o.claim.GetBodyDigest()) {
		o.finishNotRun(dcreason.KeyBodyMismatch)
		return
	}
	o.phase = phaseDone
	o.answer = responseFor(entry, at.Wall)
	o.reply()
}

// abandonClaim answers not-run for an order that will never be dispatched. It
// records not-run in the background, so that the key does not stay claimed.
func (o *Order) abandonClaim(at Instant, code dcreason.Code) {
	o.answer = Respond{Outcome: dcreason.NotRun, Code: code}
	o.reply()
	o.beginRecording(at, ledgerv1.EntryState_ENTRY_STATE_NOT_RUN, nil)
}

func (o *Order) finishNotRun(code dcreason.Code) {
	o.phase = phaseDone
	o.answer = Respond{Outcome: dcreason.NotRun, Code: code}
	o.reply()
}

// Responded handles the upstream's response to Dispatch.
func (o *Order) Responded(at Instant, response dcupstream.Response) []OrderAction {
	if o.phase != phaseDispatched {
		return nil
	}
	o.answer = Respond{Outcome: response.Outcome, Code: response.Code, Body: response.Body}
	state := ledgerv1.EntryState_ENTRY_STATE_UNKNOWN
	switch response.Outcome {
	case dcreason.Ran:
		state = ledgerv1.EntryState_ENTRY_STATE_RAN
	case dcreason.NotRun:
		state = ledgerv1.EntryState_ENTRY_STATE_NOT_RUN
	default:
		o.answer.Outcome = dcreason.Unknown
	}
	if isFinal(state) {
		o.answerDeadline = earlierOf(at.Wall.Add(o.config.RecordWait), o.answerDeadline)
	}
	o.beginRecording(at, state, response.Body)
	return o.takeActions()
}

// Tick processes the timer of the current phase and the caller's deadline when
// they are due.
func (o *Order) Tick(at Instant) []OrderAction {
	if o.timerDue(at) {
		o.onTimer(at)
	}
	if o.phase > phaseNew && !o.callerAnswered && !at.Wall.Before(o.answerDeadline) {
		o.answerOverdue()
	}
	return o.takeActions()
}

func (o *Order) timerDue(at Instant) bool {
	return !o.timerAt.IsZero() && !at.Wall.Before(o.timerAt)
}

func (o *Order) onTimer(at Instant) {
	switch o.phase {
	case phaseClaiming:
		o.abandonClaim(at, dcreason.StoreUnavailable)
	case phaseRecording:
		o.submitRecord(at)
	case phaseAsking:
		o.askUpstream(at)
	}
}

// answerOverdue answers a caller whose deadline has passed, or whose outcome is
// known but could not be recorded in time.
func (o *Order) answerOverdue() {
	if o.answer.Outcome == "" {
		o.answer = Respond{Outcome: dcreason.Unknown, Code: dcreason.DeadlineExceeded}
	}
	o.reply()
}

func (o *Order) reply() {
	if o.callerAnswered {
		return
	}
	o.callerAnswered = true
	o.emit(o.answer)
}

func (o *Order) emit(action OrderAction) {
	o.actions = append(o.actions, action)
}

func (o *Order) takeActions() []OrderAction {
	actions := o.actions
	o.actions = nil
	wake := o.timerAt
	if !o.callerAnswered && (wake.IsZero() || o.answerDeadline.Before(wake)) {
		wake = o.answerDeadline
	}
	if o.phase != phaseDone && !wake.IsZero() {
		actions = append(actions, WakeAt{At: wake})
	}
	return actions
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
