// Package dcattempt plans the sends of one request: the first send of each
// part, hedges and retries, and when to stop waiting for answers. A request to
// a single service has one part; a query has one part per shard.
package dcattempt

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// refusalRetries is the number of sends that may follow refusals in
	// addition to the attempts of a part. A refused send does not count as an
	// attempt.
	refusalRetries = 2
	// RetryDelay is the wait before the next try of a part for which no server
	// was available.
	RetryDelay = 15 * time.Millisecond
	// refusalPause is the time after a refusal within which a part is not sent to
	// the same server again. A send at once would be refused as well, and use up
	// the budget that helps other requests.
	refusalPause = RetryDelay
)

// Policy sets how the parts of a request are sent.
type Policy struct {
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// MaxAttempts is the maximum number of servers that may run a part. Sends
	// that did not run, such as refused ones, do not count.
	MaxAttempts int
	// MinParts is the minimum number of answered parts for a response.
	MinParts int
	// AnswerBy is the time from which the request is answered with MinParts
	// instead of waiting for the remaining parts. The zero time turns this off.
	AnswerBy time.Time
	// Patience is how long after its last send a part is worth its wait. The request
	// is answered with MinParts before AnswerBy, but not before PatienceFrom, when no
	// missing part is worth its wait. 0 turns this off.
	Patience     time.Duration
	PatienceFrom time.Time
	// Deadline is the time at which the request ends.
	Deadline time.Time
	// HedgeDelay is the time without an answer after which a part is also sent
	// to another server; 0 turns hedging off.
	HedgeDelay time.Duration
	// MaxWait is the longest wait for servers of a part that want no sends for a
	// time; the part fails if they want none for longer. It is also the longest wait
	// for a server while no server may have run any part.
	MaxWait time.Duration
}

// Servers selects the servers to send to.
type Servers interface {
	// Pick selects a server that is not excluded and starts a call to it. An
	// extra send also needs budget of the service. It returns false if no
	// server or no budget is available.
	Pick(part int, exclude []dcid.ServerID, extra bool, now time.Time) (*dcbalance.Call, bool)
	// Wait returns how long all servers of a part want no sends, 0 if one of them
	// takes some.
	Wait(part int, now time.Time) time.Duration
	// MarkUnresponsive reports a call without an answer after the hedge delay.
	MarkUnresponsive(part int, call *dcbalance.Call, now time.Time)
}

// Send is one transmission of a part to a server.
type Send struct {
	Part int
	Call *dcbalance.Call
	// Extra is set for hedges and retries.
	Extra bool
}

// Plan is the state of one request. It is not safe for concurrent use.
type Plan struct {
	Policy
	// canary is set while the request goes to one server only, which is none of
	// avoid. canaryPart is the part that is sent.
	canary     bool
	canaryPart int
	avoid      []dcid.ServerID
	// held is set while hedges and retries wait for the first answer.
	held bool
	// aborted is set once nothing more is sent.
	aborted   bool
	servers   Servers
	parts     []part
	succeeded int
	failed    int
	// mayHaveRun is set once an outcome shows that a server ran, or may have
	// run, the request.
	mayHaveRun bool
}

type part struct {
	// tried lists the servers to which the part was sent.
	tried []dcid.ServerID
	// refusals holds the last refusal of each server that refused the part.
	refusals map[dcid.ServerID]time.Time
	// waitingSince is the time from which the part has been without a server, zero
	// when it has not.
	waitingSince time.Time
	inFlight     []*dcbalance.Call
	// sentAt is the time of the last send.
	sentAt time.Time
	// attempts counts the sends that may have run.
	attempts int
	// refused counts the sends that did not run and the tries for which no
	// server was available.
	refused int
	hedgeAt time.Time
	retryAt time.Time
	// retryHeld is set if a retry waits for the end of a hold.
	retryHeld bool
	state     state
}

type state uint8

const (
	pending state = iota
	succeeded
	failed
)

// New returns the plan for a request with the given number of parts.
func New(policy Policy, parts int, servers Servers) *Plan {
	return &Plan{Policy: policy, servers: servers, parts: make([]part, parts)}
}

// Start returns the first send of each part.
func (p *Plan) Start(now time.Time) (sends []Send) {
	for i := range p.parts {
		if part := &p.parts[i]; part.state == pending && len(part.tried) == 0 {
			sends = p.send(sends, i, false, now)
		}
	}
	return sends
}

// StartCanary returns the only send of a request that may crash servers, to a
// server that is none of avoid, or no send if there is no such server. EndCanary
// must be called once a server has answered the request.
func (p *Plan) StartCanary(avoid []dcid.ServerID, now time.Time) (sends []Send) {
	p.canary, p.avoid = true, avoid
	for i := range p.parts {
		if p.parts[i].state != pending {
			continue
		}
		if call, ok := p.servers.Pick(i, avoid, false, now); ok {
			p.canaryPart = i
			return append(sends, p.recordSend(i, call, false, now))
		}
	}
	return nil
}

// EndCanary returns the first sends of the other parts.
func (p *Plan) EndCanary(now time.Time) []Send {
	p.canary, p.avoid = false, nil
	if part := &p.parts[p.canaryPart]; part.state == pending && len(part.inFlight) > 0 && p.HedgeDelay > 0 && p.Idempotent {
		part.hedgeAt = now.Add(p.HedgeDelay)
	}
	return p.Start(now)
}

// Hold holds back hedges and retries until Release, because servers may end under
// the request. It aborts the request if no server is left that may answer it.
func (p *Plan) Hold() {
	p.held = true
	p.abortIfIdle()
}

// Release ends a hold and returns the sends that waited for it.
func (p *Plan) Release(now time.Time) (sends []Send) {
	if !p.held {
		return nil
	}
	p.held = false
	for i := range p.parts {
		part := &p.parts[i]
		if !part.retryHeld {
			continue
		}
		part.retryHeld = false
		if part.state == pending && part.attempts < p.MaxAttempts {
			sends = p.send(sends, i, true, now)
		}
	}
	return sends
}

// abortIfIdle aborts a request on hold if no send is in flight, because no answer
// can end the hold then.
func (p *Plan) abortIfIdle() {
	for i := range p.parts {
		if len(p.parts[i].inFlight) > 0 {
			return
		}
	}
	p.aborted = p.aborted || p.held
}

// Abort ends the request: nothing more is sent.
func (p *Plan) Abort() { p.aborted = true }

// LeaveOut ends a part before Start, because no server will have room for it in
// time. It returns false, and changes nothing, if the request needs the part.
func (p *Plan) LeaveOut(index int) bool {
	if len(p.parts)-p.failed-1 < p.MinParts {
		return false
	}
	p.setFinal(&p.parts[index], failed)
	return true
}

// HandleOutcome records the outcome of a send and returns the retry that
// follows it, if any.
func (p *Plan) HandleOutcome(ended Send, outcome dcbalance.Outcome, now time.Time) (sends []Send) {
	part := &p.parts[ended.Part]
	part.removeInFlight(ended.Call)
	notRun := outcome == dcbalance.Refused || outcome == dcbalance.Unreachable || outcome == dcbalance.Misdirected
	switch {
	case outcome == dcbalance.Answered:
		p.mayHaveRun = true
		if part.state != succeeded {
			p.setFinal(part, succeeded)
		}
		return nil
	case notRun:
		part.attempts--
		part.refused++
		if outcome == dcbalance.Refused {
			if part.refusals == nil {
				part.refusals = make(map[dcid.ServerID]time.Time)
			}
			part.refusals[ended.Call.Server.ID] = now
		}
	default:
		p.mayHaveRun = true
	}
	if part.state != pending || p.aborted {
		return nil
	}
	if p.held {
		part.retryHeld = p.mayRetry(part, notRun)
		p.abortIfIdle()
		if !part.retryHeld && len(part.inFlight) == 0 {
			p.setFinal(part, failed)
		}
		return nil
	}
	if p.mayRetry(part, notRun) {
		return p.send(nil, ended.Part, true, now)
	}
	if len(part.inFlight) == 0 {
		p.setFinal(part, failed)
	}
	return nil
}

// Tick returns the sends that are due: hedges and delayed retries. A call whose
// hedge is due is also reported as unresponsive.
func (p *Plan) Tick(now time.Time) (sends []Send) {
	if p.aborted || p.held {
		return nil
	}
	for i := range p.parts {
		part := &p.parts[i]
		switch {
		case part.state != pending:
		case due(part.retryAt, now):
			part.retryAt = time.Time{}
			sends = p.send(sends, i, len(part.tried) > 0, now)
		case due(part.hedgeAt, now):
			part.hedgeAt = time.Time{}
			for _, call := range part.inFlight {
				p.servers.MarkUnresponsive(i, call, now)
			}
			sends = p.hedge(sends, i, now)
		}
	}
	return sends
}

// NextTick returns the time at which Tick or Done must be called next.
func (p *Plan) NextTick(now time.Time) time.Time {
	next := p.Deadline
	if p.held {
		if answerAt := p.AnswerAt(); answerAt.After(now) {
			next = earlier(next, answerAt)
		}
		return next
	}
	for i := range p.parts {
		part := &p.parts[i]
		if part.state == pending {
			next = earlier(earlier(next, part.retryAt), part.hedgeAt)
		}
	}
	if answerAt := p.AnswerAt(); answerAt.After(now) {
		next = earlier(next, answerAt)
	}
	return next
}

// Done reports whether the request is over: all parts are final, too few parts
// are left to succeed, the deadline has passed, or at least MinParts are answered
// and the others are not worth their wait.
func (p *Plan) Done(now time.Time) bool {
	switch {
	case p.aborted || p.succeeded+p.failed == len(p.parts):
		return true
	case len(p.parts)-p.failed < p.MinParts:
		return true
	case !now.Before(p.Deadline):
		return true
	}
	return p.succeeded >= p.MinParts && !p.AnswerBy.IsZero() && !now.Before(p.AnswerAt())
}

// AnswerAt returns the time from which the request is answered with MinParts, as far
// as is known now: AnswerBy, or earlier if no missing part is worth its wait then. A
// part without a send in flight may still get one and is worth its wait.
func (p *Plan) AnswerAt() time.Time {
	if p.Patience == 0 || p.held || p.succeeded < p.MinParts {
		return p.AnswerBy
	}
	answerAt := p.PatienceFrom
	for i := range p.parts {
		part := &p.parts[i]
		switch {
		case part.state != pending:
		case len(part.inFlight) == 0:
			return p.AnswerBy
		default:
			answerAt = later(answerAt, part.sentAt.Add(p.Patience))
		}
	}
	return earlier(p.AnswerBy, answerAt)
}

// Succeeded reports whether at least MinParts parts are answered.
func (p *Plan) Succeeded() bool { return p.succeeded >= p.MinParts }

// MayHaveRun reports whether any server may be running or may have run the
// request.
func (p *Plan) MayHaveRun() bool {
	if p.mayHaveRun {
		return true
	}
	for i := range p.parts {
		if len(p.parts[i].inFlight) > 0 {
			return true
		}
	}
	return false
}

func (p *Plan) mayRetry(part *part, notRun bool) bool {
	switch {
	case notRun:
		return part.refused-refusalRetries <= p.MaxAttempts && part.attempts < p.MaxAttempts
	case !p.Idempotent:
		return false
	}
	return part.attempts < p.MaxAttempts
}

// send starts a send of a part, or schedules another try if no server is
// available.
func (p *Plan) send(sends []Send, index int, extra bool, now time.Time) []Send {
	part := &p.parts[index]
	call, ok := p.servers.Pick(index, append(p.avoid[:len(p.avoid):len(p.avoid)], part.tried...), extra, now)
	if !ok && extra && len(part.inFlight) == 0 && !p.canary {
		// All servers were tried; one of them may have capacity again.
		call, ok = p.servers.Pick(index, part.recentRefusers(now), extra, now)
	}
	if !ok {
		// The first send of a part keeps waiting for capacity until AnswerBy,
		// provided that servers may already have worked on other parts, whose
		// work would be wasted if this part failed.
		if extra || !now.Before(p.AnswerBy) || !p.MayHaveRun() {
			part.refused++
		}
		if part.waitingSince.IsZero() {
			part.waitingSince = now
		}
		wait := p.servers.Wait(index, now)
		retryAt := now.Add(max(wait, RetryDelay))
		waitsTooLong := wait > p.MaxWait || !p.MayHaveRun() && retryAt.Sub(part.waitingSince) > p.MaxWait
		if part.refused-refusalRetries > p.MaxAttempts || waitsTooLong || p.tooLate(now.Add(wait)) {
			if len(part.inFlight) == 0 {
				p.setFinal(part, failed)
			}
			return sends
		}
		part.retryAt = retryAt
		return sends
	}
	return append(sends, p.recordSend(index, call, extra, now))
}

// tooLate reports whether a send at the given time comes too late for the answer:
// after the deadline, or after AnswerBy if the request can do without a part.
func (p *Plan) tooLate(at time.Time) bool {
	canLeaveOut := len(p.parts)-p.failed > p.MinParts
	return !at.Before(p.Deadline) || canLeaveOut && !p.AnswerBy.IsZero() && !at.Before(p.AnswerBy)
}

// hedge sends a part to another server while earlier calls are unanswered.
func (p *Plan) hedge(sends []Send, index int, now time.Time) []Send {
	part := &p.parts[index]
	if part.attempts >= p.MaxAttempts {
		return sends
	}
	call, ok := p.servers.Pick(index, part.tried, true, now)
	if !ok {
		return sends
	}
	return append(sends, p.recordSend(index, call, true, now))
}

// recordSend adds a call to the state of its part, cancels a waiting retry and
// sets the time of the next hedge.
func (p *Plan) recordSend(index int, call *dcbalance.Call, extra bool, now time.Time) Send {
	part := &p.parts[index]
	part.tried = append(part.tried, call.Server.ID)
	part.inFlight = append(part.inFlight, call)
	part.attempts++
	part.sentAt = now
	part.waitingSince = time.Time{}
	// A hedge takes the place of a retry that waits for a server or for budget.
	part.retryAt = time.Time{}
	if p.Idempotent && p.HedgeDelay > 0 && !p.canary {
		part.hedgeAt = now.Add(p.HedgeDelay)
	}
	return Send{Part: index, Call: call, Extra: extra}
}

// setFinal moves a part to succeeded or failed and updates the counts.
func (p *Plan) setFinal(part *part, state state) {
	if part.state == failed {
		p.failed--
	}
	part.state = state
	if state == succeeded {
		p.succeeded++
	} else {
		p.failed++
		// Without a canary nothing tells whether the other parts may be sent.
		p.aborted = p.aborted || p.canary
	}
}

// recentRefusers returns the servers that have just refused the part.
func (p *part) recentRefusers(now time.Time) (servers []dcid.ServerID) {
	for server, at := range p.refusals {
		if now.Sub(at) < refusalPause {
			servers = append(servers, server)
		}
	}
	return servers
}

func (p *part) removeInFlight(call *dcbalance.Call) {
	for i, inFlight := range p.inFlight {
		if inFlight == call {
			p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
			return
		}
	}
}

func due(at, now time.Time) bool { return !at.IsZero() && !at.After(now) }

// Waiting reports whether parts are missing that may still be answered.
func (p *Plan) Waiting() bool { return p.succeeded+p.failed < len(p.parts) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
