package dcbalance

import (
	"math"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// crossDomainTime is the time that a request and its answer take between failure
	// domains, beyond the time within one. One way takes 0.5 to 1.4 ms.
	crossDomainTime = 2 * time.Millisecond
	// nearTolerance is the multiple of the expected time in other failure domains, in
	// addition to crossDomainTime, up to which the servers of this one are preferred.
	// A smaller difference is within the error of the estimates, and traffic between
	// domains costs money.
	nearTolerance = 0.15
	// fewHosts is the number of hosts up to which the calls of each show well enough
	// which servers are loaded.
	fewHosts = 4.0
	// sharpness sets how strictly a host avoids a server that has work to do or has
	// answered late. The probability of a server is proportional to its speed, and to
	// the power -sharpness of its expected time as a multiple of that without other
	// work. So hosts that know the same speeds divide the requests in proportion to the
	// speeds, and do not all choose the fastest server.
	sharpness = 16.0
	// minLatencyRatio is the lowest latency ratio that counts. A server that happened to
	// get cheap requests must not attract all requests of a host.
	minLatencyRatio = 0.8
)

// rank orders servers for selection. Servers that are not backing off come first,
// then those with an earlier expected completion.
type rank struct {
	server     *serverState
	backingOff bool
	near       bool
	slowness   float64
	// expected is the expected time from the send to the end of the work, in seconds, if
	// the work in flight delays the request by its share of a slot. It is weighted by
	// failures and by the warm-up.
	expected float64
	// delay is the same with the chance that all slots are in use. It tells whether the
	// time on the network to another failure domain is worth it; a free slot is not
	// worth it.
	delay float64
}

// candidates ranks the servers that a request may be sent to.
func (g *Group) candidates(work time.Duration, exclude []dcid.ServerID, extra bool, now time.Time) []rank {
	all := g.allSpeeds(now)
	ranks := make([]rank, 0, len(g.servers))
	for _, server := range g.servers {
		if !g.usable(server) || server.hold.Remaining(now) > 0 || g.full(server) || slices.Contains(exclude, server.ID) {
			continue
		}
		if !server.rateLimit.Available(extra, now) {
			server.rateLimit.PassedOver++
			continue
		}
		ranks = append(ranks, g.rank(server, work, all, now))
	}
	return ranks
}

func (g *Group) rank(server *serverState, work time.Duration, all speed, now time.Time) rank {
	latencyRatio, failureRate := server.decayedAverages(now)
	slowness := server.speed.slowness(all)
	slots := float64(max(server.Capacity, 1))
	queue := float64(server.pending(slowness, now)) / slots
	factor := max(latencyRatio, minLatencyRatio) / ((1 - failureRate) * (1 - failureRate))
	if now.Before(server.ColdUntil) {
		factor *= coldFactor
	}
	return rank{
		server:     server,
		backingOff: now.Before(server.backoffUntil),
		near:       server.Domain == g.Domain,
		slowness:   slowness,
		expected:   (float64(work)*slowness + queue) * factor / float64(time.Second),
		delay:      (float64(work)*slowness + queue*min(float64(server.inFlight)/slots, 1)) * factor / float64(time.Second),
	}
}

// choose returns the server for a request, nil if there is no candidate. Servers
// that are backing off are chosen only if there is no other.
func (g *Group) choose(ranks []rank) *serverState {
	if healthy := slices.DeleteFunc(slices.Clone(ranks), func(r rank) bool { return r.backingOff }); len(healthy) > 0 {
		ranks = healthy
	}
	var near, far []rank
	for _, candidate := range ranks {
		if candidate.near {
			near = append(near, candidate)
		} else {
			far = append(far, candidate)
		}
	}
	if len(near) == 0 || len(far) == 0 || g.Random.Float64() >= g.nearShare(near, far) || lowest(near) > mean(far)*(1+nearTolerance*g.unseen())+crossDomainTime.Seconds() {
		return g.draw(ranks)
	}
	return g.draw(near)
}

// nearShare returns the share of this host's requests for which the servers of its
// own failure domain are preferred, so that the servers of all domains are loaded
// alike: a domain with a third of the hosts and a seventh of the servers keeps three
// sevenths of its requests. Requests without the preference go to these servers as
// well. With few hosts, each sees by its own calls which servers are loaded, and
// prefers the near ones for as long as they are not. It is 1 while the number of hosts is not known.
func (g *Group) nearShare(near, far []rank) float64 {
	if g.Hosts == 0 || g.DomainHosts == 0 {
		return 1
	}
	own := capacity(near) / (capacity(near) + capacity(far))
	kept := min(own*float64(g.Hosts)/float64(g.DomainHosts), 1)
	preferred := (kept - own) / (1 - own)
	return 1 - (1-preferred)*g.unseen()
}

// unseen returns the share of the load that this host cannot judge by its own calls.
func (g *Group) unseen() float64 {
	return max(0, 1-fewHosts/float64(max(g.Hosts, 1)))
}

// draw draws a server, one with an earlier expected completion more often.
func (g *Group) draw(ranks []rank) (drawn *serverState) {
	best := math.Inf(1)
	for _, candidate := range ranks {
		// The smallest of exponential variables divided by weights is that of a server
		// with a probability in proportion to its weight.
		key := sharpness*math.Log(candidate.expected/candidate.slowness) + math.Log(candidate.slowness) + math.Log(g.Random.ExpFloat64())
		if key < best {
			best, drawn = key, candidate.server
		}
	}
	return drawn
}

// lowest returns the lowest delay of the candidates, mean their average.
func lowest(ranks []rank) float64 {
	value := math.Inf(1)
	for _, candidate := range ranks {
		value = min(value, candidate.delay)
	}
	return value
}

func mean(ranks []rank) float64 {
	sum := 0.0
	for _, candidate := range ranks {
		sum += candidate.delay
	}
	return sum / float64(len(ranks))
}

func capacity(ranks []rank) (sum float64) {
	for _, candidate := range ranks {
		sum += float64(max(candidate.server.Capacity, 1))
	}
	return sum
}
