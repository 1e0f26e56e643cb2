// Package dcattempt decides the sends of one request: the first one to each of
// its parts, hedges, retries, and when to stop waiting. A request to one
// service has one part; a query has one for each shard.
package dcattempt

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// refusedTries is the number of sends beyond the attempts of a part that
	// may follow refusals, which do not count as attempts.
	refusalRetries = 2
	// retryPause is the wait before a part without a usable server is tried
	// again.
	retryDelay = 15 * time.Millisecond
)

// MaxSends returns the largest number of sends of one part.
func MaxSends(maxAttempts int) int { return 2*maxAttempts + refusalRetries + 1 }

// Rule says how the parts of a request are sent.
type Policy struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxAttempts bounds the servers that may run a part.
	MaxAttempts int
	// MinParts is the number of parts that an answer needs.
	MinParts int
	// AnswerBy is the time from which an answer with MinParts is preferred to
	// waiting for the rest.
	AnswerBy time.Time
	// Deadline ends the request.
	Deadline time.Time
	// HedgeDelay is the time without an answer after which a part is sent to a
	// second server; 0 turns hedging off.
	HedgeDelay time.Duration
}

// Servers chooses servers for sends.
type Servers interface {
	// Pick starts a send of a part to a server that is not excluded. An extra
	// send also needs room in the budget of the service.
	Pick(part int, exclude []dcid.ServerID, extra bool, now time.Time) (*dcbalance.Call, bool)
	// Silent reports a send that has no answer after the hedge delay.
	MarkUnresponsive(part int, use *dcbalance.Call, now time.Time)
}

// Send is a transmission of a part to a server.
type Send struct {
	Part int
	Call *dcbalance.Call
	// Extra is set for hedges and retries.
	Extra bool
}

// Plan is the state of one request.
type Plan struct {
	Policy
	servers   Servers
	parts     []part
	succeeded int
	failed    int
	// ran is set once any server may have run the request.
	mayHaveRun bool
}

type part struct {
	// tried lists the servers that the part was sent to.
	tried    []dcid.ServerID
	inFlight []*dcbalance.Call
	// attempts counts the sends that may have run.
	attempts int
	refused  int
	hedgeAt  time.Time
	retryAt  time.Time
	state    state
}

type state uint8

const (
	pending state = iota
	succeeded
	failed
)

// New returns the plan of a request with the given number of parts.
func New(rule Policy, parts int, servers Servers) *Plan {
	return &Plan{Policy: rule, servers: servers, parts: make([]part, parts)}
}

// Start returns the first sends.
func (p *Plan) Start(now time.Time) (sends []Send) {
	for i := range p.parts {
		sends = p.send(sends, i, false, now)
	}
	return sends
}

// Ended takes the outcome of a send and returns those that follow it.
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
	default:
		p.mayHaveRun = true
	}
	if part.state != pending {
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

// Tick returns the sends that are due: hedges and delayed retries.
func (p *Plan) Tick(now time.Time) (sends []Send) {
	for i := range p.parts {
		part := &p.parts[i]
		switch {
		case part.state != pending:
		case due(part.retryAt, now):
			part.retryAt = time.Time{}
			sends = p.send(sends, i, len(part.tried) > 0, now)
		case due(part.hedgeAt, now):
			part.hedgeAt = time.Time{}
			for _, use := range part.inFlight {
				p.servers.MarkUnresponsive(i, use, now)
			}
			sends = p.hedge(sends, i, now)
		}
	}
	return sends
}

// Next returns the time of the next decision.
func (p *Plan) NextTick(now time.Time) time.Time {
	next := p.Deadline
	for i := range p.parts {
		part := &p.parts[i]
		if part.state == pending {
			next = earlier(earlier(next, part.retryAt), part.hedgeAt)
		}
	}
	if p.AnswerBy.After(now) {
		next = earlier(next, p.AnswerBy)
	}
	return next
}

// Done reports whether the request has its final answer.
func (p *Plan) Done(now time.Time) bool {
	switch {
	case p.succeeded+p.failed == len(p.parts):
		return true
	case len(p.parts)-p.failed < p.MinParts:
		return true
	case !now.Before(p.Deadline):
		return true
	}
	return p.succeeded >= p.MinParts && !p.AnswerBy.IsZero() && !now.Before(p.AnswerBy)
}

// Succeeded reports whether enough parts have an answer.
func (p *Plan) Succeeded() bool { return p.succeeded >= p.MinParts }

// MayHaveRun reports whether any server may run or have run the request.
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
		return part.refused <= p.MaxAttempts+refusalRetries && part.attempts < p.MaxAttempts
	case !p.Idempotent:
		return false
	}
	return part.attempts < p.MaxAttempts
}

// send starts a send of a part, or plans another try when no server is free.
func (p *Plan) send(sends []Send, index int, extra bool, now time.Time) []Send {
	part := &p.parts[index]
	use, ok := p.servers.Pick(index, part.tried, extra, now)
	if !ok && extra && len(part.inFlight) == 0 {
		// All servers were tried; one of them may have room again.
		use, ok = p.servers.Pick(index, nil, extra, now)
	}
	if !ok {
		// A first send waits for room while an answer without the part is not
		// due, if other parts have cost their servers work already.
		if extra || !now.Before(p.AnswerBy) || !p.MayHaveRun() {
			part.refused++
		}
		if part.refused > p.MaxAttempts+refusalRetries {
			if len(part.inFlight) == 0 {
				p.setFinal(part, failed)
			}
			return sends
		}
		part.retryAt = now.Add(retryDelay)
		return sends
	}
	return append(sends, p.recordSend(index, use, extra, now))
}

// hedge sends a part to a second server while the first one is silent.
func (p *Plan) hedge(sends []Send, index int, now time.Time) []Send {
	part := &p.parts[index]
	if part.attempts >= p.MaxAttempts {
		return sends
	}
	use, ok := p.servers.Pick(index, part.tried, true, now)
	if !ok {
		return sends
	}
	return append(sends, p.recordSend(index, use, true, now))
}

func (p *Plan) recordSend(index int, use *dcbalance.Call, extra bool, now time.Time) Send {
	part := &p.parts[index]
	part.tried = append(part.tried, use.Server.ID)
	part.inFlight = append(part.inFlight, use)
	part.attempts++
	if p.Idempotent && p.HedgeDelay > 0 {
		part.hedgeAt = now.Add(p.HedgeDelay)
	}
	return Send{Part: index, Call: use, Extra: extra}
}

func (p *Plan) setFinal(part *part, state state) {
	if part.state == failed {
		p.failed--
	}
	part.state = state
	if state == succeeded {
		p.succeeded++
	} else {
		p.failed++
	}
}

func (p *part) removeInFlight(use *dcbalance.Call) {
	for i, inFlight := range p.inFlight {
		if inFlight == use {
			p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
			return
		}
	}
}

func due(at, now time.Time) bool { return !at.IsZero() && !at.After(now) }

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
