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
	initialHedgeDivisor = 4
	// recentSpan and lastingSpan are how long latencies are kept. The longer one
	// is used for routes with too few requests in the shorter one; on the others
	// it would keep hedges late for long after servers were slow.
	shortWindow = 4 * time.Second
	longWindow  = 20 * time.Second
	// unrecorded is the number of answers of a route whose latencies are not
	// kept. The histograms of a route take some 180 KB, and most routes of a large
	// configuration get only a few requests.
	unrecordedAnswers = 16
	// remainingSamples is the number of requests whose remaining time is kept.
	// The one at fullTimeIndex in rising order stands for a caller that has waited
	// for nothing yet; a few callers that ask for more time do not matter.
	remainingSamples = 32
	fullBudgetIndex  = 28
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
	answerCount  int
	shortTerm    *dcbudget.Latencies
	longTerm     *dcbudget.Latencies
	splitCredits map[dcid.ServiceName]float64
	// remaining holds how long the callers of the last requests were still
	// waiting, in a ring.
	remainingTimes [remainingSamples]time.Duration
	requestCount   int
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
		found = &routeState{splitCredits: make(map[dcid.ServiceName]float64)}
		r.byName[name] = found
	}
	return found
}

// recordLatency takes the latency of an answer.
func (r *routeState) recordLatency(latency time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answerCount < unrecordedAnswers {
		r.answerCount++
		return
	}
	if r.shortTerm == nil {
		r.shortTerm = dcbudget.NewLatencies(shortWindow, medianQuantile, hedgeQuantile)
		r.longTerm = dcbudget.NewLatencies(longWindow, medianQuantile, hedgeQuantile)
	}
	r.shortTerm.Record(latency, now)
	r.longTerm.Record(latency, now)
}

// Places of the quantiles that are kept of latencies.
const (
	medianIndex = iota
	hedgeIndex
)

// quantile returns a quantile of the latencies, false while too few are known.
func (r *routeState) quantile(index int, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shortTerm == nil {
		return 0, false
	}
	if value, ok := r.shortTerm.Quantile(index, now); ok {
		return value, true
	}
	return r.longTerm.Quantile(index, now)
}

// medianLatency returns the median latency at servers, 0 while unknown.
func (r *routeState) medianLatency(now time.Time) time.Duration {
	usual, _ := r.quantile(medianIndex, now)
	return usual
}

// hedgeDelay returns the time to wait for an answer before a second send.
func (r *routeState) hedgeDelay(target time.Duration, now time.Time) time.Duration {
	if delay, ok := r.quantile(hedgeIndex, now); ok {
		return delay
	}
	return target / initialHedgeDivisor
}

// priorWait takes how long the caller of a request still waits, and returns how
// long it has waited before: for a connection, or for an earlier attempt. Callers
// of one route have the same time at first, so what most of them say at most
// is that time. It returns 0 while too few requests are known.
func (r *routeState) priorWait(left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remainingTimes[r.requestCount%remainingSamples] = left
	r.requestCount++
	if r.requestCount < remainingSamples {
		return 0
	}
	sorted := r.remainingTimes
	slices.Sort(sorted[:])
	return max(sorted[fullBudgetIndex]-left, 0)
}

// admit reports whether a request may run.
func (r *routeState) admit(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Admit(now)
}

// recordOverload counts a request that failed because servers refused work.
func (r *routeState) recordOverload(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throttle.Failed(now)
}

// chooseService returns the service for the next request of a route. Each service
// collects credit by its weight and the one with the most is chosen, which
// keeps the shares exact over few requests.
func (r *routeState) chooseService(split []dcroute.Share) dcid.ServiceName {
	if len(split) == 1 {
		return split[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0.0
	best := -1
	for i, share := range split {
		total += share.Weight
		r.splitCredits[share.Service] += share.Weight
		if share.Weight > 0 && (best < 0 || r.splitCredits[share.Service] > r.splitCredits[split[best].Service]) {
			best = i
		}
	}
	if best < 0 {
		return split[0].Service
	}
	r.splitCredits[split[best].Service] -= total
	return split[best].Service
}
