// Package dcbalance selects a server of a service for each request, by the time at
// which each is expected to have done it: the estimated work of the request and of
// those in flight, the speed of the server, its last latencies, failures, refusals
// and unanswered requests.
package dcbalance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dchold"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// sampleWeight is the weight of a new sample in the exponential moving averages,
	// that of a latency at least.
	sampleWeight = 0.2
	// maxSampleWeight is the weight of a sample that comes sampleWeightTime times this
	// or longer after the one before. A host that sends to a server once in some
	// seconds learns of its slowness from one or two answers.
	maxSampleWeight  = 0.5
	sampleWeightTime = 2 * time.Second
	// maxLatencyRatio caps a single latency sample, as a multiple of the typical
	// latency, so that a short pause does not outweigh many ordinary answers.
	maxLatencyRatio = 4.0
	// decayTime is the time constant with which the averages of a server without
	// new samples decay to those of an unknown server, so that it is tried again.
	decayTime = 4 * time.Second
	// coldFactor multiplies the expected time of a server that is warming up.
	coldFactor = 1.6
	// maxFailureRate caps the failure rate, so that the score of a server that
	// always fails stays finite.
	maxFailureRate = 0.95
	// maxBackoff is the maximum time for which a server is avoided before it is
	// probed with a request.
	maxBackoff = 3 * time.Second
)

// Server is an upstream server as the platform lists it.
type Server struct {
	ID     dcid.ServerID
	Addr   dcid.ServerAddr
	Domain dcid.FailureDomain
	// Capacity is the number of requests that the server runs concurrently.
	Capacity int
	// ColdUntil is the end of the warm-up period.
	ColdUntil time.Time
	// Leaving is set if the server must not get new requests.
	Leaving bool
	// Started is the start of the server process, zero if unknown. A server can
	// start again under its ID.
	Started time.Time
}

// SameProcess reports whether two records are of one server process.
func (s *Server) SameProcess(other Server) bool {
	return s.ID == other.ID && s.Addr == other.Addr && s.Started.Equal(other.Started)
}

// Outcome is the result of a call.
type Outcome uint8

// Outcomes of a call.
const (
	// Answered means that the answer is complete.
	Answered Outcome = iota + 1
	// Refused means that the request did not run, because the server is full or
	// is leaving.
	Refused
	// Failed means that the request ran and failed.
	Failed
	// Lost means that the request may have run: the connection broke or the
	// answer was unusable.
	Lost
	// Unreachable means that the request was not sent, because no connection
	// could be opened.
	Unreachable
	// Misdirected means that the request did not run, because another server
	// has the address.
	Misdirected
	// Abandoned means that the caller has disconnected. It does not affect the
	// rating of the server.
	Abandoned
)

// initialBackoff returns how long a server is avoided after a first outcome of
// this kind, 0 for not at all. Each failure in a row doubles the time.
func (o Outcome) initialBackoff() time.Duration {
	switch o {
	case Refused:
		return 50 * time.Millisecond
	case Failed:
		return 100 * time.Millisecond
	case Lost:
		return 200 * time.Millisecond
	case Unreachable:
		return 500 * time.Millisecond
	default:
		return 0
	}
}

// unresponsiveBackoff is how long a server is avoided at first after it left a
// call unanswered for longer than usual.
const unresponsiveBackoff = 300 * time.Millisecond

// Call is a request in flight at a server.
type Call struct {
	Server      Server
	serverState *serverState
	started     time.Time
	// unresponsive is set once MarkUnresponsive was called for the call.
	unresponsive bool
	// work is the estimated work of the request.
	work time.Duration
	// queued is set if the server had as many calls of this host as it can run when
	// the call started.
	queued bool
}

// serverState is what this host has observed of a server.
type serverState struct {
	Server
	inFlight int
	// latencyRatio is the average latency as a multiple of the typical latency at the
	// speed of this server.
	latencyRatio float64
	// failureRate is the average failure rate, from 0 to 1.
	failureRate float64
	// sampledAt is the time of the last update of latencyRatio and failureRate.
	sampledAt time.Time
	// hedgedCallEnd is the end of the last answered call that had been marked
	// unresponsive. Calls that started earlier were delayed by the same pause
	// and are not counted again.
	hedgedCallEnd time.Time
	// backoffUntil is the time until which the server is avoided after failures
	// or unanswered calls. backoff is the length of that time, 0 for a healthy
	// server.
	backoffUntil time.Time
	backoff      time.Duration
	// unresponsive is set from MarkUnresponsive until the server answers again.
	unresponsive bool
	// misdirected is set once another server answered at the address.
	misdirected bool
	// rateLimit is this host's share of the rate limit that the server names.
	rateLimit rateLimit
	// hold is the time for which the server wants no requests of this host.
	hold dchold.Hold
	// window limits the calls in flight while the server is full.
	window window
	// calls holds the calls of this host in flight.
	calls []*Call
	// speed holds what is known of the server's speed.
	speed speed
}

// Group holds the servers of one service. It is not safe for concurrent use; the
// caller must lock it.
type Group struct {
	// Domain is this host's failure domain.
	Domain dcid.FailureDomain
	// MaxInFlight is the maximum number of calls of this host to one server; 0
	// means no limit.
	MaxInFlight int
	// Hosts is the number of hosts that send to the servers, and DomainHosts the
	// number of those in this failure domain; both are 0 while unknown.
	Hosts, DomainHosts int
	Random             *rand.Rand
	// Evacuated holds the failure domains whose servers get no requests.
	Evacuated map[dcid.FailureDomain]bool

	servers []*serverState
}

// SetServers replaces the list of servers. It keeps the state of servers whose
// process is unchanged.
func (g *Group) SetServers(servers []Server) {
	old := g.servers
	g.servers = make([]*serverState, 0, len(servers))
	for _, server := range servers {
		index := slices.IndexFunc(old, func(s *serverState) bool { return s.SameProcess(server) })
		if index < 0 {
			g.servers = append(g.servers, &serverState{Server: server, latencyRatio: 1})
			continue
		}
		old[index].Server = server
		g.servers = append(g.servers, old[index])
	}
}

// Pick starts a call to the best server that is not excluded. Servers that are
// backing off are selected only if no other is left, and servers that want no
// requests for a time are not selected within it. A server that names a rate limit
// is selected only within this host's share of it, and one that is full only within
// its window. extra is set for hedges and retries, which leave the last request of a
// share to first sends. Pick returns false if no server is available.
func (g *Group) Pick(exclude []dcid.ServerID, extra bool, now time.Time) (call *Call, ok bool) {
	return g.PickFor(0, exclude, extra, now)
}

// PickFor is Pick for a request whose work is estimated as work, 0 if unknown.
func (g *Group) PickFor(work time.Duration, exclude []dcid.ServerID, extra bool, now time.Time) (call *Call, ok bool) {
	if work <= 0 {
		work = assumedWork
	}
	best := g.choose(g.candidates(work, exclude, extra, now))
	if best == nil {
		return nil, false
	}
	if best.backoff > 0 {
		// Only one probe at a time: further calls are kept away until it has an
		// answer or the backoff has passed again.
		best.backoffUntil = now.Add(best.backoff)
	}
	best.rateLimit.Take()
	call = &Call{Server: best.Server, serverState: best, started: now, work: work, queued: best.inFlight >= max(best.Capacity, 1)}
	best.inFlight++
	best.calls = append(best.calls, call)
	return call, true
}

// MarkUnresponsive records that a call has been unanswered for longer than
// usual. The server backs off unless it was already unresponsive.
func (g *Group) MarkUnresponsive(call *Call, now time.Time) {
	call.unresponsive = true
	if !call.serverState.unresponsive {
		call.serverState.unresponsive = true
		call.serverState.backOff(unresponsiveBackoff, now)
	}
}

// RecordOutcome ends a call and records its outcome. typical is the typical
// latency of such requests at this service, 0 if unknown. slow is the latency from
// which the server is taken to have more calls than it can run, 0 for none.
func (g *Group) RecordOutcome(call *Call, outcome Outcome, typical, slow time.Duration, now time.Time) {
	server := call.serverState
	server.inFlight--
	server.calls = slices.DeleteFunc(server.calls, func(c *Call) bool { return c == call })
	switch outcome {
	case Abandoned:
		return
	case Misdirected:
		server.misdirected = true
		return
	case Answered:
		server.recordAnswer(call, typical, g.NetworkTime(&call.Server), g.slowness(server, now), now)
	default:
		server.recordFailure(outcome, now)
	}
	switch {
	case outcome == Refused || outcome == Answered && slow > 0 && now.Sub(call.started) >= slow:
		server.window.reduce(server.inFlight+1, server.Capacity, g.Hosts, call.started, now)
	case outcome == Answered:
		server.window.answered(g.maxWindow(), now)
	}
	// Any answer shows that the server responds.
	if outcome == Answered || outcome == Refused || outcome == Failed {
		server.unresponsive = false
	}
	if outcome == Answered {
		server.hold.Accept(call.started)
	}
}

// RecordDelay records for how long the server that answered a call wants no
// further requests of this host. It reports whether that begins now.
func (g *Group) RecordDelay(call *Call, delay time.Duration, now time.Time) (begins bool) {
	hold := &call.serverState.hold
	begins = hold.Remaining(now) == 0
	hold.Refuse(delay, call.started, now)
	return begins && hold.Remaining(now) > 0
}

func (g *Group) full(server *serverState) bool {
	return g.MaxInFlight > 0 && server.inFlight >= g.MaxInFlight || server.window.limited() && server.inFlight >= server.window.limit
}

// unlimitedWindow is the number of calls at which a window ends if there is no
// MaxInFlight.
const unlimitedWindow = 64

func (g *Group) maxWindow() int {
	if g.MaxInFlight > 0 {
		return g.MaxInFlight
	}
	return unlimitedWindow
}

func (g *Group) usable(server *serverState) bool {
	return !server.Leaving && !server.misdirected && !g.Evacuated[server.Domain]
}

// decayedAverages returns the averages after their decay towards those of an
// unknown server, a latency ratio of 1 and no failures, since the last sample.
func (s *serverState) decayedAverages(now time.Time) (latencyRatio, failureRate float64) {
	weight := math.Exp(-float64(now.Sub(s.sampledAt)) / float64(decayTime))
	return 1 + (s.latencyRatio-1)*weight, min(s.failureRate*weight, maxFailureRate)
}

func (s *serverState) recordAnswer(call *Call, typical, network time.Duration, slowness float64, now time.Time) {
	s.backoff, s.backoffUntil = 0, time.Time{}
	if call.started.Before(s.hedgedCallEnd) {
		return
	}
	latency := now.Sub(call.started) - network
	if !call.queued && !call.unresponsive {
		s.speed.record(latency, call.work, now)
	}
	latencyRatio, failureRate := s.decayedAverages(now)
	if typical > 0 {
		sample := min(float64(latency)/(float64(typical)*slowness), maxLatencyRatio)
		weight := float64(now.Sub(s.sampledAt)) / float64(sampleWeightTime)
		latencyRatio += min(max(weight, sampleWeight), maxSampleWeight) * (sample - latencyRatio)
	}
	s.latencyRatio, s.failureRate, s.sampledAt = latencyRatio, failureRate*(1-sampleWeight), now
	if call.unresponsive {
		s.hedgedCallEnd = now
	}
}

func (s *serverState) recordFailure(outcome Outcome, now time.Time) {
	latencyRatio, failureRate := s.decayedAverages(now)
	s.latencyRatio, s.failureRate, s.sampledAt = latencyRatio, failureRate+sampleWeight*(1-failureRate), now
	s.backOff(outcome.initialBackoff(), now)
}

// backOff keeps calls away from the server for the initial backoff, or for twice
// the previous one if that is longer, up to maxBackoff.
func (s *serverState) backOff(initial time.Duration, now time.Time) {
	s.backoff = min(max(2*s.backoff, initial), maxBackoff)
	s.backoffUntil = now.Add(s.backoff)
}
