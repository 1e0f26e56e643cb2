package dcengine

import (
	"sync"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

const (
	// minHedgeWork is the multiple of the estimated work before which no hedge is
	// sent. A call that takes a little more than its work is not delayed.
	minHedgeWork = 1.5
	// hedgeWork is the multiple of the estimated work after which a hedge is sent while
	// too few latencies are known for a quantile.
	hedgeWork = 2.5
	// maxLateHedgeMedian is the multiple of the estimated work up to which the median
	// latency may be if hedges are sent earlier for the latency target. Above it the
	// servers have queues, and earlier hedges would hit servers that are full.
	maxLateHedgeMedian = 2.0
	// lateHedgeShare is the share of the time until the answer within which a hedge has
	// to be sent and answered. It is not sent before hedgeWork for that.
	lateHedgeShare = 0.5
	// patienceShare is the share of the latency target before which a query is not
	// answered without its missing parts. An earlier answer is not worth more.
	patienceShare = 0.5
	// patienceHedges and patienceWork are the multiples of the hedge delay and of the
	// estimated work, the greater of which is how long a part is worth its wait after
	// its last send. A server that has not answered by then is paused or has a queue.
	patienceHedges = 2.0
	patienceWork   = 4.0

	// maxAdvanceShare is the share of the latency target by which queries are answered
	// earlier at most because this host is late.
	maxAdvanceShare = 0.2
	// latenessRise and latenessFall are the weights of a new sample that is above or
	// below the average lateness.
	latenessRise = 0.25
	latenessFall = 0.05
	// latenessDecayTime is the time in which the average lateness of a host halves
	// that has no new samples.
	latenessDecayTime = 10 * time.Second
)

// recordWork adds the latency of an answered call to the estimate of work, unless
// the call had to wait for earlier ones of this host.
func (r *run) recordWork(service *service, call *dcbalance.Call, elapsed time.Duration, now time.Time) {
	if call.Queued() {
		return
	}
	work := elapsed - service.networkTime(call)
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.work.Record(work, now)
	if r.state.workGauge == nil && r.engine.Meter.takeEstimate() {
		r.state.workGauge = r.engine.Meter.routeWork(r.route.Name)
	}
	if r.state.workGauge != nil {
		r.state.workGauge.Update(r.state.work.Estimate().Seconds())
	}
}

// networkTime returns how much longer the answer of the server of a call takes on the
// network than that of a server in this failure domain.
func (s *service) networkTime(call *dcbalance.Call) time.Duration {
	return s.group.NetworkTime(&call.Server)
}

// estimatedWork returns the estimated work of a request, 0 while it is unknown.
func (r *routeState) estimatedWork() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work.Estimate()
}

// setDelays sets the hedge delay of a request, and for a query the time from which
// it is answered without its missing parts.
func (r *routeState) setDelays(policy *dcattempt.Policy, arrived time.Time, route *dcroute.Route, now time.Time) {
	if !route.Idempotent {
		return
	}
	work := r.estimatedWork()
	answerBy := policy.AnswerBy
	if answerBy.IsZero() {
		answerBy = arrived.Add(partialAnswerDelay(route.LatencyTarget, 0))
	}
	policy.HedgeDelay = boundedHedgeDelay(r.hedgeDelay(route.LatencyTarget, now), work, r.medianLatency(now), answerBy.Sub(arrived))
	if len(route.Shards) == 0 || work == 0 {
		return
	}
	policy.Patience = max(time.Duration(patienceHedges*float64(policy.HedgeDelay)), time.Duration(patienceWork*float64(work)))
	policy.PatienceFrom = arrived.Add(time.Duration(patienceShare * float64(route.LatencyTarget)))
}

// boundedHedgeDelay returns a hedge delay within what the estimated work and the time
// until the answer make useful. delay is a quantile of the latencies if median is known.
// work and median are 0 while they are unknown.
func boundedHedgeDelay(delay, work, median, answer time.Duration) time.Duration {
	if work == 0 {
		return delay
	}
	usual := time.Duration(hedgeWork * float64(work))
	if median == 0 {
		return usual
	}
	if float64(median) <= maxLateHedgeMedian*float64(work) {
		delay = min(delay, max(time.Duration(lateHedgeShare*float64(answer))-work, usual))
	}
	return max(delay, time.Duration(minHedgeWork*float64(work)))
}

// typicalLatency returns the latency that servers are compared with: the median, or
// the estimated work while too few latencies are known, 0 if neither is. A host of many
// gets a few answers of a route in the time for which latencies are kept.
func (r *routeState) typicalLatency(now time.Time) time.Duration {
	if median := r.medianLatency(now); median > 0 {
		return median
	}
	return r.estimatedWork()
}

// lateness is the average time by which this host is late with answers that it
// sends at a set time. A host with a small share of a core is late by more than the
// margin for the network.
type lateness struct {
	mu         sync.Mutex
	average    time.Duration
	recordedAt time.Time
}

// record adds the answer to a query that is sent now. Only one that was due is
// evidence.
func (l *lateness) record(plan *dcattempt.Plan, now time.Time) {
	due := plan.AnswerAt()
	if due.IsZero() || now.Before(due) || !plan.Waiting() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	average, weight := l.decayed(now), latenessFall
	sample := now.Sub(due)
	if sample > average {
		weight = latenessRise
	}
	l.average, l.recordedAt = average+time.Duration(weight*float64(sample-average)), now
}

// decayed returns the average after the time without samples. The caller holds the
// lock.
func (l *lateness) decayed(now time.Time) time.Duration {
	halvings := now.Sub(l.recordedAt) / latenessDecayTime
	return l.average >> min(max(halvings, 0), 62)
}

// advance returns the time at which an answer is due that is to be sent after delay.
func (l *lateness) advance(delay, target time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return delay - min(l.decayed(now), time.Duration(maxAdvanceShare*float64(target)))
}

// reportEstimates shows the estimates of the server of a call. The caller holds the
// lock.
func (s *service) reportEstimates(call *dcbalance.Call, now time.Time) {
	meter := s.estimateMeters[call.Server.ID]
	if meter == nil {
		s.removeEstimateMeters()
		if !s.meter.takeEstimate() {
			return
		}
		if s.estimateMeters == nil {
			s.estimateMeters = make(map[dcid.ServerID]*estimateMeter)
		}
		meter = s.meter.estimate(s.name, call.Server.ID)
		s.estimateMeters[call.Server.ID] = meter
	}
	meter.update(s.group.Estimate(call, now))
}

// removeEstimateMeters makes room for the estimates of other servers once a server is
// not listed any more. Its last values remain visible as 0.
func (s *service) removeEstimateMeters() {
	for id, meter := range s.estimateMeters {
		if !s.lists(id) {
			meter.update(dcbalance.Estimate{})
			delete(s.estimateMeters, id)
			s.meter.releaseEstimate()
		}
	}
}

// lists reports whether a server is listed. The caller holds the lock.
func (s *service) lists(id dcid.ServerID) bool {
	for i := range s.servers {
		if s.servers[i].ID == id {
			return true
		}
	}
	return false
}
