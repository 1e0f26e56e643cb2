package dcengine

import (
	"slices"
	"sync"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcadmission"
	"github.com/dandelioncart/dandelioncart/internal/dcbudget"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

const (
	// hedgeQuantile is the share of answers that arrive before a hedge is sent.
	hedgeQuantile = 0.9
	// medianQuantile gives the usual latency that servers are compared with.
	medianQuantile = 0.5
	// firstHedgeShare is the part of the latency target after which a hedge is
	// sent while too few latencies are known.
	firstHedgeShare = 4
	// recentSpan and lastingSpan are how long latencies are kept. The longer one
	// is used for routes with too few requests in the shorter one; on the others
	// it would keep hedges late for long after servers were slow.
	recentSpan  = 4 * time.Second
	lastingSpan = 20 * time.Second
	// unrecorded is the number of answers of a route whose latencies are not
	// kept. The histograms of a route take some 180 KB, and most routes of a large
	// configuration get only a few requests.
	unrecorded = 16
	// remainingSamples is the number of requests whose remaining time is kept.
	// The one at fullTimeIndex in rising order stands for a caller that has waited
	// for nothing yet; a few callers that ask for more time do not matter.
	remainingSamples = 32
	fullTimeIndex    = 28
)

// routes holds what is learnt about each route, by name.
type routes struct {
	mu     sync.Mutex
	byName map[dcid.RouteName]*routeState
}

// routeState holds the latencies of one route at its servers, the position in
// its split and how many of its requests fail.
type routeState struct {
	mu sync.Mutex
	// answers counts the answers up to unrecorded. recent and lasting are nil
	// until then.
	answers int
	recent  *dcbudget.LatencyHistogram
	lasting *dcbudget.LatencyHistogram
	credit  map[dcid.ServiceName]float64
	// remaining holds how long the callers of the last requests were still
	// waiting, in a ring.
	remaining [remainingSamples]time.Duration
	requests  int
	// throttle refuses requests while servers are overloaded.
	throttle dcadmission.Throttle
}

func (r *routes) get(name dcid.RouteName) *routeState {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.byName[name]
	if found == nil {
		if r.byName == nil {
			r.byName = make(map[dcid.RouteName]*routeState)
		}
		found = &routeState{credit: make(map[dcid.ServiceName]float64)}
		r.byName[name] = found
	}
	return found
}

// record takes the latency of an answer.
func (r *routeState) record(latency time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers < unrecorded {
		r.answers++
		return
	}
	if r.recent == nil {
		r.recent = dcbudget.NewLatencyHistogram(recentSpan, medianQuantile, hedgeQuantile)
		r.lasting = dcbudget.NewLatencyHistogram(lastingSpan, medianQuantile, hedgeQuantile)
	}
	r.recent.Record(latency, now)
	r.lasting.Record(latency, now)
}

// Places of the quantiles that are kept of latencies.
const (
	median = iota
	hedgePoint
)

// quantile returns a quantile of the latencies, false while too few are known.
func (r *routeState) quantile(index int, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recent == nil {
		return 0, false
	}
	if value, ok := r.recent.Quantile(index, now); ok {
		return value, true
	}
	return r.lasting.Quantile(index, now)
}

// usualLatency returns the median latency at servers, 0 while unknown.
func (r *routeState) usualLatency(now time.Time) time.Duration {
	usual, _ := r.quantile(median, now)
	return usual
}

// hedgeDelay returns the time to wait for an answer before a second send.
func (r *routeState) hedgeDelay(target time.Duration, now time.Time) time.Duration {
	if delay, ok := r.quantile(hedgePoint, now); ok {
		return delay
	}
	return target / firstHedgeShare
}

// spent takes how long the caller of a request still waits, and returns how
// long it has waited before: for a connection, or for an earlier attempt. Callers
// of one route have the same time at first, so what most of them say at most
// is that time. It returns 0 while too few requests are known.
func (r *routeState) spent(left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remaining[r.requests%remainingSamples] = left
	r.requests++
	if r.requests < remainingSamples {
		return 0
	}
	sorted := r.remaining
	slices.Sort(sorted[:])
	return max(sorted[fullTimeIndex]-left, 0)
}

// admit reports whether a request may run.
func (r *routeState) admit(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Admit(now)
}

// overloaded counts a request that failed because servers refused work.
func (r *routeState) overloaded(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throttle.RecordFailure(now)
}

// choose returns the service for the next request of a route. Each service
// collects credit by its weight and the one with the most is chosen, which
// keeps the shares exact over few requests.
func (r *routeState) choose(split []dcroute.WeightedService) dcid.ServiceName {
	if len(split) == 1 {
		return split[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0.0
	best := -1
	for i, share := range split {
		total += share.Weight
		r.credit[share.Service] += share.Weight
		if share.Weight > 0 && (best < 0 || r.credit[share.Service] > r.credit[split[best].Service]) {
			best = i
		}
	}
	if best < 0 {
		return split[0].Service
	}
	r.credit[split[best].Service] -= total
	return split[best].Service
}
