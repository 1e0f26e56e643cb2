package dcengine

import (
	"slices"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/dandelioncart/dandelioncart/internal/dcadmission"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcbudget"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

const (
	// hedgeQuantile is the share of answers that arrive before a hedge is sent.
	hedgeQuantile = 0.9
	// medianQuantile gives the typical latency that servers are compared with.
	medianQuantile = 0.5
	// maxQuantile gives the longest latency.
	maxQuantile = 1.0
	// minLongestSamples is the number of latencies of which the longest shows how
	// long requests of a route take.
	minLongestSamples = 20
	// initialHedgeDivisor divides the latency target to give the hedge delay
	// while too few latencies are known.
	initialHedgeDivisor = 4
	// shortWindow and longWindow are how long latencies are kept. The long window
	// is used for routes with too few requests in the short one; for other routes
	// it would keep the hedge delay high long after servers were slow.
	shortWindow = 4 * time.Second
	longWindow  = 20 * time.Second
	// unrecordedAnswers is the number of initial answers of a route whose
	// latencies are not recorded. The histograms of a route take some 180 KB, and
	// most routes of a large configuration get only a few requests.
	unrecordedAnswers = 16
	// remainingSamples is the number of requests whose remaining time is kept.
	// The one at fullBudgetIndex in ascending order is taken as the time limit of
	// a caller that has not waited yet, so that a few callers that allow more
	// time have no effect.
	remainingSamples = 32
	fullBudgetIndex  = 28
)

// routes holds the state of each route by name, created on first use.
type routes struct {
	mu     sync.Mutex
	byName map[dcid.RouteName]*routeState
}

// routeState holds the latencies of the servers of one route, the position in
// its split, the remaining times of its callers and how many of its requests
// fail.
type routeState struct {
	mu sync.Mutex
	// answerCount counts the answers up to unrecordedAnswers. shortTerm and
	// longTerm are nil until then.
	answerCount  int
	shortTerm    *dcbudget.LatencyHistogram
	longTerm     *dcbudget.LatencyHistogram
	splitCredits map[dcid.ServiceName]float64
	// remainingTimes is a ring buffer of how long the callers of the last
	// requests were still going to wait.
	remainingTimes [remainingSamples]time.Duration
	requestCount   int
	// throttle refuses requests while servers are overloaded.
	throttle dcadmission.Throttle
	// work estimates the work of the requests.
	work dcbalance.Work
	// workGauge shows the estimate of work, nil if it is not shown.
	workGauge tally.Gauge
	// returnAt is the time at which the caller may return that was last refused
	// because of rate limits.
	returnAt time.Time
	// usual is the lowest median latency, which servers with room have.
	usual dcadmission.UsualLatency
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

// recordLatency records the latency of an answer, except for the first
// unrecordedAnswers.
func (r *routeState) recordLatency(latency time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answerCount < unrecordedAnswers {
		r.answerCount++
		return
	}
	if r.shortTerm == nil {
		r.shortTerm = dcbudget.NewLatencyHistogram(shortWindow, medianQuantile, hedgeQuantile)
		r.longTerm = dcbudget.NewLatencyHistogram(longWindow, medianQuantile, hedgeQuantile, maxQuantile)
	}
	r.shortTerm.Record(latency, now)
	r.longTerm.Record(latency, now)
}

// Indexes of the quantiles in the arguments of dcbudget.NewLatencyHistogram.
const (
	medianIndex = iota
	hedgeIndex
	// longestIndex is one of the long window only.
	longestIndex
)

// quantile returns a quantile of the latencies by its index, or false while too
// few latencies are known.
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

// medianLatency returns the median latency of the servers, 0 while unknown.
func (r *routeState) medianLatency(now time.Time) time.Duration {
	latency, _ := r.quantile(medianIndex, now)
	return latency
}

// longestLatency returns the longest latency of the servers within longWindow, 0 for
// none, and whether enough are known to tell how long requests take.
func (r *routeState) longestLatency(now time.Time) (longest time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longTerm == nil {
		return 0, false
	}
	longest, samples := r.longTerm.Value(longestIndex, now)
	return longest, samples >= minLongestSamples
}

// hedgeDelay returns how long to wait for an answer before a hedge is sent.
func (r *routeState) hedgeDelay(target time.Duration, now time.Time) time.Duration {
	if delay, ok := r.quantile(hedgeIndex, now); ok {
		return delay
	}
	return target / initialHedgeDivisor
}

// priorWait records how long the caller of a request is still going to wait,
// and returns how long it has already waited: for a connection, or for an
// earlier attempt. The callers of a route are taken to start with the same time
// limit, which is estimated as the longest time that most of them have left. It
// returns 0 while too few requests are known.
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

// admit reports whether a request may run; it may not while servers are
// overloaded.
func (r *routeState) admit(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Admit(now)
}

// recordOverload counts a request that failed because servers refused it.
func (r *routeState) recordOverload(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throttle.RecordFailure(now)
}

// chooseService returns the service for the next request of a route, by smooth
// weighted round robin: each service gains credit by its weight, and the one
// with the most credit is chosen and pays the sum of the weights. This keeps
// the shares exact over few requests.
func (r *routeState) chooseService(split []dcroute.WeightedService) dcid.ServiceName {
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
