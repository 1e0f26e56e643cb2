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
	smoothing = 0.2
	// slowestRatio bounds one latency sample, as a multiple of the usual
	// latency. A short pause must not outweigh many ordinary answers.
	slowestRatio = 4.0
	// forgetTime is the time constant with which a server without new samples
	// returns to the average, so that it is tried again.
	forgetTime = 4 * time.Second
	// remoteFactor is the latency by which a server of another failure domain
	// must be better. Traffic between domains is slower and costs money.
	remoteFactor = 1.4
	// coldFactor is the latency of a server that warms up.
	coldFactor = 1.6
	// jitter spreads requests over servers that are equally good.
	jitter = 0.1
	// maxFailureRate keeps the score of a server that always fails finite.
	maxFailureRate = 0.95
	// maxHold bounds the time for which a server is avoided without a trial.
	maxHold = 3 * time.Second
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
func (o Outcome) hold() time.Duration {
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
const silenceHold = 300 * time.Millisecond

// Use is a request that runs at a server.
type Use struct {
	Server  Server
	state   *state
	started time.Time
	silent  bool
}

type state struct {
	Server
	running int
	// ratio is the average latency as a multiple of the usual one.
	ratio    float64
	failures float64
	sampled  time.Time
	// slowEnd is the end of the last request that was hedged. Requests that
	// began earlier met the same pause and are not counted again.
	slowEnd time.Time
	// avoidUntil and hold keep requests away after failures or silence.
	avoidUntil time.Time
	hold       time.Duration
	// silent is set while a request waits for longer than usual.
	silent bool
	// misdirected is set once another server answered at the address.
	misdirected bool
}

// Group holds the servers of one service. Its user locks it.
type Group struct {
	// Domain is this host's failure domain.
	Domain dcid.FailureDomain
	// MaxRunning bounds the requests of this host at one server; 0 for none.
	MaxRunning int
	Random     *rand.Rand

	servers []*state
}

// Set replaces the list of servers and keeps what is known of those that stay.
func (g *Group) Set(servers []Server) {
	old := g.servers
	g.servers = make([]*state, 0, len(servers))
	for _, server := range servers {
		index := slices.IndexFunc(old, func(s *state) bool { return s.ID == server.ID && s.Addr == server.Addr })
		if index < 0 {
			g.servers = append(g.servers, &state{Server: server, ratio: 1})
			continue
		}
		old[index].Server = server
		g.servers = append(g.servers, old[index])
	}
}

// Len returns the number of servers that are not leaving.
func (g *Group) Len() (count int) {
	for _, server := range g.servers {
		if server.usable() {
			count++
		}
	}
	return count
}

// rank orders how well a server is expected to serve.
type rank struct {
	avoided bool
	score   float64
}

func (r rank) better(other rank) bool {
	if r.avoided != other.avoided {
		return !r.avoided
	}
	return r.score < other.score
}

// Pick starts a request at the best server that is not excluded. Servers that
// are avoided are used only when no other is left.
func (g *Group) Pick(exclude []dcid.ServerID, now time.Time) (use *Use, ok bool) {
	var best *state
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
	if best.hold > 0 {
		// One trial at a time: others wait until it has an answer.
		best.avoidUntil = now.Add(best.hold)
	}
	best.running++
	return &Use{Server: best.Server, state: best, started: now}, true
}

// Silent records that a request has waited for longer than usual.
func (g *Group) Silent(use *Use, now time.Time) {
	use.silent = true
	if !use.state.silent {
		use.state.silent = true
		use.state.avoid(silenceHold, now)
	}
}

// End records the outcome of a request. usual is the usual latency of such
// requests at this service, 0 when unknown.
func (g *Group) End(use *Use, outcome Outcome, usual time.Duration, now time.Time) {
	server := use.state
	server.running--
	switch outcome {
	case Abandoned:
		return
	case Misdirected:
		server.misdirected = true
		return
	case Answered:
		server.answered(use, usual, now)
	default:
		server.failed(outcome, now)
	}
	// Any answer shows that the server is not silent.
	if outcome == Answered || outcome == Refused || outcome == Failed {
		server.silent = false
	}
}

func (g *Group) full(server *state) bool {
	return g.MaxRunning > 0 && server.running >= g.MaxRunning
}

func (g *Group) rank(server *state, now time.Time) rank {
	ratio, failures := server.aged(now)
	score := ratio * (1 + float64(server.running)/float64(max(server.Capacity, 1)))
	score /= (1 - failures) * (1 - failures)
	if server.Domain != g.Domain {
		score *= remoteFactor
	}
	if now.Before(server.ColdUntil) {
		score *= coldFactor
	}
	return rank{avoided: now.Before(server.avoidUntil), score: score * (1 + jitter*g.Random.Float64())}
}

func (s *state) usable() bool { return !s.Leaving && !s.misdirected }

// aged returns the averages, moved towards those of an unknown server with the
// time since the last sample.
func (s *state) aged(now time.Time) (ratio, failures float64) {
	weight := math.Exp(-float64(now.Sub(s.sampled)) / float64(forgetTime))
	return 1 + (s.ratio-1)*weight, min(s.failures*weight, maxFailureRate)
}

func (s *state) answered(use *Use, usual time.Duration, now time.Time) {
	s.hold, s.avoidUntil = 0, time.Time{}
	if use.started.Before(s.slowEnd) {
		return
	}
	ratio, failures := s.aged(now)
	if usual > 0 {
		sample := min(float64(now.Sub(use.started))/float64(usual), slowestRatio)
		ratio += smoothing * (sample - ratio)
	}
	s.ratio, s.failures, s.sampled = ratio, failures*(1-smoothing), now
	if use.silent {
		s.slowEnd = now
	}
}

func (s *state) failed(outcome Outcome, now time.Time) {
	ratio, failures := s.aged(now)
	s.ratio, s.failures, s.sampled = ratio, failures+smoothing*(1-failures), now
	s.avoid(outcome.hold(), now)
}

// avoid keeps requests away from the server, for twice as long each time in a
// row.
func (s *state) avoid(first time.Duration, now time.Time) {
	s.hold = min(max(2*s.hold, first), maxHold)
	s.avoidUntil = now.Add(s.hold)
}
