package dcbalance

import (
	"math"
	"time"
)

const (
	// assumedWork is the work of a request while nothing is known of its route.
	assumedWork = 10 * time.Millisecond
	// workQuantile is the share of latencies below the estimate of the work of a
	// request. It is below the median because queueing only adds to latencies.
	workQuantile = 0.4
	// minWorkStep is the step of the estimate of work, in natural logarithms, once
	// many latencies are known. Before that the step is 1 divided by their number.
	minWorkStep = 0.05
	// workDoublingTime is the shortest time in which the estimate of work doubles.
	// A queue that builds up in seconds must not count as work.
	workDoublingTime = 10 * time.Second
	// freeWorkSamples is the number of first latencies for which workDoublingTime
	// does not hold.
	freeWorkSamples = 20
	// minWorkSamples is the number of latencies from which the work is known.
	minWorkSamples = 5

	// speedDecayTime is the time constant with which the samples of a server's
	// speed lose weight. It is long because a host of many sends to one server only
	// once in some seconds, and the speed of a machine rarely changes.
	speedDecayTime = 60 * time.Second
	// speedPriorSamples is the number of samples that the mean of the service
	// counts for in the speed of a server.
	speedPriorSamples = 8.0
	// maxSpeedRatio limits a single sample of a server's speed, in both directions.
	maxSpeedRatio = 4.0

	// minRemaining is the share of its work that a call that is due is taken to
	// have left.
	minRemaining = 0.5
	// overdueFactor is the multiple of its expected time after which a call shows
	// that its server is slow or paused. It then counts by the time that it has taken,
	// up to maxOverdue times its work.
	overdueFactor = 2.0
	maxOverdue    = 4.0
)

// Work estimates the work of a request of one route: the time in which a server of
// ordinary speed answers it when nothing else waits. It is a quantile of the
// latencies that rises slowly, because a latency that rises suddenly is a queue. It
// is not safe for concurrent use.
type Work struct {
	logSeconds float64
	samples    int
	recordedAt time.Time
}

// Record adds the latency of a call that this host did not queue behind its own
// calls, without the time on the network.
func (w *Work) Record(latency time.Duration, now time.Time) {
	if latency <= 0 {
		return
	}
	sample := math.Log(latency.Seconds())
	w.samples++
	elapsed := now.Sub(w.recordedAt)
	w.recordedAt = now
	if w.samples == 1 {
		w.logSeconds = sample
		return
	}
	step := max(1/float64(w.samples), minWorkStep)
	if sample < w.logSeconds {
		w.logSeconds -= min(step*(1-workQuantile), w.logSeconds-sample)
		return
	}
	rise := min(step*workQuantile, sample-w.logSeconds)
	if w.samples > freeWorkSamples {
		rise = min(rise, math.Ln2*max(elapsed, 0).Seconds()/workDoublingTime.Seconds())
	}
	w.logSeconds += rise
}

// Estimate returns the estimated work, 0 while it is unknown.
func (w *Work) Estimate() time.Duration {
	if w.samples < minWorkSamples {
		return 0
	}
	return time.Duration(math.Exp(w.logSeconds) * float64(time.Second))
}

// speed holds samples of the time that a server takes, as logarithms of multiples of
// the estimated work. Old samples lose weight.
type speed struct {
	sum, weight float64
	sampledAt   time.Time
}

func (s *speed) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(s.sampledAt)) / float64(speedDecayTime))
	s.sum, s.weight, s.sampledAt = s.sum*factor, s.weight*factor, now
}

// record adds the latency of a call whose work was estimated as work.
func (s *speed) record(latency, work time.Duration, now time.Time) {
	if latency <= 0 || work <= 0 {
		return
	}
	s.decay(now)
	ratio := float64(latency) / float64(work)
	s.sum += math.Log(min(max(ratio, 1/maxSpeedRatio), maxSpeedRatio))
	s.weight++
}

// slowness returns the time that a server takes as a multiple of what its peers take,
// whose samples are in all, those of the server included. A server of which little
// is known is taken to be like its peers.
func (s *speed) slowness(all speed) float64 {
	if s.weight == 0 || all.weight == 0 {
		return 1
	}
	mean := all.sum / all.weight
	return math.Exp((s.sum - mean*s.weight) / (s.weight + speedPriorSamples))
}

// allSpeeds returns the samples of all servers together.
func (g *Group) allSpeeds(now time.Time) (all speed) {
	for _, server := range g.servers {
		if server.speed.weight > 0 {
			server.speed.decay(now)
			all.sum += server.speed.sum
			all.weight += server.speed.weight
		}
	}
	return all
}

// Estimate is what is known of the work of a server.
type Estimate struct {
	// Slowness is the time that the server takes as a multiple of what its peers take.
	Slowness float64
	// LatencyRatio is the average of its last latencies as a multiple of what is
	// usual for it.
	LatencyRatio float64
	// Pending is the work of this host's calls in flight.
	Pending time.Duration
}

// Estimate returns the estimates of the server of a call.
func (g *Group) Estimate(call *Call, now time.Time) Estimate {
	slowness := g.slowness(call.serverState, now)
	latencyRatio, _ := call.serverState.decayedAverages(now)
	return Estimate{Slowness: slowness, LatencyRatio: latencyRatio, Pending: call.serverState.pending(slowness, now)}
}

// slowness returns the time that a server takes as a multiple of what its peers take.
func (g *Group) slowness(server *serverState, now time.Time) float64 {
	return server.speed.slowness(g.allSpeeds(now))
}

// NetworkTime returns the time that the answer of a server takes on the network,
// beyond that of one in this failure domain.
func (g *Group) NetworkTime(server *Server) time.Duration {
	if server.Domain == g.Domain {
		return 0
	}
	return crossDomainTime
}

// remaining returns the work that a call still has, given the slowness of its
// server. A call that is overdue shows that the server has more work than this host
// knows of. For an unresponsive call the backoff of the server accounts for that.
func (c *Call) remaining(slowness float64, now time.Time) time.Duration {
	elapsed := now.Sub(c.started)
	expected := time.Duration(float64(c.work) * slowness)
	if float64(elapsed) > overdueFactor*float64(expected) && !c.unresponsive {
		return min(elapsed, time.Duration(maxOverdue*float64(expected)))
	}
	return max(expected-elapsed, time.Duration(minRemaining*float64(expected)))
}

// pending returns the work of this host's calls in flight.
func (s *serverState) pending(slowness float64, now time.Time) (work time.Duration) {
	for _, call := range s.calls {
		work += call.remaining(slowness, now)
	}
	return work
}

// Queued reports whether the server had as many calls of this host as it can run
// when the call started. Its latency then says little of the work of its request.
func (c *Call) Queued() bool { return c.queued }
