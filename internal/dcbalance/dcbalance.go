// Package dcbalance chooses a server of a service by what this host has seen of
// each: latency against its peers, failures, refusals and silence.
package dcbalance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// smoothing is the weight of a new sample in the moving averages.
	sampleWeight = 0.2
	// slowestRatio bounds one latency sample, as a multiple of the usual
	// latency. A short pause must not outweigh many ordinary answers.
	maxLatencyRatio = 4.0
	// forgetTime is the time constant with which a server without new samples
	// returns to the average, so that it is tried again.
	decayTime = 4 * time.Second
	// remoteFactor is the latency by which a server of another failure domain
	// must be better. Traffic between domains is slower and costs money.
	crossDomainFactor = 1.4
	// coldFactor is the latency of a server that warms up.
	coldFactor = 1.6
	// jitter spreads requests over servers that are equally good.
	jitter = 0.1
	// maxFailureRate keeps the score of a server that always fails finite.
	maxFailureRate = 0.95
	// maxHold bounds the time for which a server is avoided without a trial.
	maxBackoff = 3 * time.Second
)

// Server is an upstream server as the platform lists it.
type Server struct {
	ID       dcid.ServerID
	Addr     dcid.ServerAddr
	Domain   dcid.FailureDomain
	Capacity int
	// ColdUntil is the end of the warm-up.
	ColdUntil time.Time
	// Leaving servers get no new requests.
	Leaving bool
}

// Outcome is what became of a request at a server.
type Outcome uint8

// Outcomes.
const (
	// Answered is a complete answer.
	Answered Outcome = iota + 1
	// Refused was not run, because the server is full or leaves.
	Refused
	// Failed ran and failed.
	Failed
	// Lost may have run; the connection ended or the answer was unusable.
	Lost
	// Unreachable was not sent, because no connection could be opened.
	Unreachable
	// Misdirected was not run, because another server has the address.
	Misdirected
	// Abandoned says nothing about the server: the caller has left.
	Abandoned
)

// hold is the first time for which a server is avoided after an outcome; each
// one in a row doubles it.
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

// silenceHold is the first time for which a server is avoided that lets a
// request wait for longer than usual.
const unresponsiveBackoff = 300 * time.Millisecond

// Use is a request that runs at a server.
type Call struct {
	Server       Server
	serverState  *serverState
	started      time.Time
	unresponsive bool
}

type serverState struct {
	Server
	inFlight int
	// ratio is the average latency as a multiple of the usual one.
	ratio     float64
	failures  float64
	sampledAt time.Time
	// slowEnd is the end of the last request that was hedged. Requests that
	// began earlier met the same pause and are not counted again.
	hedgedCallEnd time.Time
	// avoidUntil and hold keep requests away after failures or silence.
	backoffUntil time.Time
	backoff      time.Duration
	// silent is set while a request waits for longer than usual.
	unresponsive bool
	// misdirected is set once another server answered at the address.
	misdirected bool
}

// Group holds the servers of one service. Its user locks it.
type Group struct {
	// Domain is this host's failure domain.
	Domain dcid.FailureDomain
	// MaxRunning bounds the requests of this host at one server; 0 for none.
	MaxInFlight int
	Random      *rand.Rand

	servers []*serverState
}

// Set replaces the list of servers and keeps what is known of those that stay.
func (g *Group) SetServers(servers []Server) {
	old := g.servers
	g.servers = make([]*serverState, 0, len(servers))
	for _, server := range servers {
		index := slices.IndexFunc(old, func(s *serverState) bool { return s.ID == server.ID && s.Addr == server.Addr })
		if index < 0 {
			g.servers = append(g.servers, &serverState{Server: server, ratio: 1})
			continue
		}
		old[index].Server = server
		g.servers = append(g.servers, old[index])
	}
}

// Len returns the number of servers that are not leaving.
func (g *Group) UsableServers() (count int) {
	for _, server := range g.servers {
		if server.usable() {
			count++
		}
	}
	return count
}

// rank orders how well a server is expected to serve.
type rank struct {
	backingOff bool
	score      float64
}

func (r rank) better(other rank) bool {
	if r.backingOff != other.backingOff {
		return !r.backingOff
	}
	return r.score < other.score
}

// Pick starts a request at the best server that is not excluded. Servers that
// are avoided are used only when no other is left.
func (g *Group) Pick(exclude []dcid.ServerID, now time.Time) (use *Call, ok bool) {
	var best *serverState
	var bestRank rank
	for _, server := range g.servers {
		if !server.usable() || g.full(server) || slices.Contains(exclude, server.ID) {
			continue
		}
		if candidate := g.rank(server, now); best == nil || candidate.better(bestRank) {
			best, bestRank = server, candidate
		}
	}
	if best == nil {
		return nil, false
	}
	if best.backoff > 0 {
		// One trial at a time: others wait until it has an answer.
		best.backoffUntil = now.Add(best.backoff)
	}
	best.inFlight++
	return &Call{Server: best.Server, serverState: best, started: now}, true
}

// Silent records that a request has waited for longer than usual.
func (g *Group) MarkUnresponsive(use *Call, now time.Time) {
	use.unresponsive = true
	if !use.serverState.unresponsive {
		use.serverState.unresponsive = true
		use.serverState.backOff(unresponsiveBackoff, now)
	}
}

// End records the outcome of a request. usual is the usual latency of such
// requests at this service, 0 when unknown.
func (g *Group) RecordOutcome(use *Call, outcome Outcome, usual time.Duration, now time.Time) {
	server := use.serverState
	server.inFlight--
	switch outcome {
	case Abandoned:
		return
	case Misdirected:
		server.misdirected = true
		return
	case Answered:
		server.recordAnswer(use, usual, now)
	default:
		server.recordFailure(outcome, now)
	}
	// Any answer shows that the server is not silent.
	if outcome == Answered || outcome == Refused || outcome == Failed {
		server.unresponsive = false
	}
}

func (g *Group) full(server *serverState) bool {
	return g.MaxInFlight > 0 && server.inFlight >= g.MaxInFlight
}

func (g *Group) rank(server *serverState, now time.Time) rank {
	ratio, failures := server.decayedAverages(now)
	score := ratio * (1 + float64(server.inFlight)/float64(max(server.Capacity, 1)))
	score /= (1 - failures) * (1 - failures)
	if server.Domain != g.Domain {
		score *= crossDomainFactor
	}
	if now.Before(server.ColdUntil) {
		score *= coldFactor
	}
	return rank{backingOff: now.Before(server.backoffUntil), score: score * (1 + jitter*g.Random.Float64())}
}

func (s *serverState) usable() bool { return !s.Leaving && !s.misdirected }

// aged returns the averages, moved towards those of an unknown server with the
// time since the last sample.
func (s *serverState) decayedAverages(now time.Time) (ratio, failures float64) {
	weight := math.Exp(-float64(now.Sub(s.sampledAt)) / float64(decayTime))
	return 1 + (s.ratio-1)*weight, min(s.failures*weight, maxFailureRate)
}

func (s *serverState) recordAnswer(use *Call, usual time.Duration, now time.Time) {
	s.backoff, s.backoffUntil = 0, time.Time{}
	if use.started.Before(s.hedgedCallEnd) {
		return
	}
	ratio, failures := s.decayedAverages(now)
	if usual > 0 {
		sample := min(float64(now.Sub(use.started))/float64(usual), maxLatencyRatio)
		ratio += sampleWeight * (sample - ratio)
	}
	s.ratio, s.failures, s.sampledAt = ratio, failures*(1-sampleWeight), now
	if use.unresponsive {
		s.hedgedCallEnd = now
	}
}

func (s *serverState) recordFailure(outcome Outcome, now time.Time) {
	ratio, failures := s.decayedAverages(now)
	s.ratio, s.failures, s.sampledAt = ratio, failures+sampleWeight*(1-failures), now
	s.backOff(outcome.initialBackoff(), now)
}

// avoid keeps requests away from the server, for twice as long each time in a
// row.
func (s *serverState) backOff(first time.Duration, now time.Time) {
	s.backoff = min(max(2*s.backoff, first), maxBackoff)
	s.backoffUntil = now.Add(s.backoff)
}
