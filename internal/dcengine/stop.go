package dcengine

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcdrain"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// stopRetryAfter is the retry delay sent to callers that a stopping host refuses.
// Other hosts can serve them at once.
const stopRetryAfter = 10 * time.Millisecond

// unknownLatencyFactor multiplies the latency target of a route to give the longest
// latency that is assumed while too few latencies are known.
const unknownLatencyFactor = 2.5

// stop is the state of the stop of an engine. The zero value is that of a running
// one.
type stop struct {
	window    atomic.Pointer[dcdrain.Window]
	endedOnce sync.Once
	endOnce   sync.Once
	ended     chan struct{}
}

// Stop makes the engine refuse requests that it may not answer until end.
func (e *Engine) Stop(end time.Time) {
	e.stop.window.Store(&dcdrain.Window{End: end})
}

// EndRequests answers the requests in progress at once, and refuses all further
// ones.
func (e *Engine) EndRequests() {
	e.Stop(e.Clock.Now())
	e.stop.endOnce.Do(func() { close(e.stop.endedChannel()) })
}

func (s *stop) endedChannel() chan struct{} {
	s.endedOnce.Do(func() { s.ended = make(chan struct{}) })
	return s.ended
}

// admit reports whether a stopping host takes a request.
func (s *stop) admit(r *run, now time.Time) bool {
	window := s.window.Load()
	if window == nil {
		return true
	}
	longest, known := r.state.longestLatency(now)
	if !known {
		longest = max(longest, time.Duration(float64(r.route.LatencyTarget)*unknownLatencyFactor))
	}
	return window.Admit(dcdrain.Request{Deadline: r.plan.Deadline, Longest: longest}, now)
}

func stopRefusal() Reply {
	return Reply{Status: http.StatusServiceUnavailable, Code: dcreason.HostStopping, RetryAfter: stopRetryAfter}
}

// stopReply is the answer to a request that the end of a stop ends.
func (r *run) stopReply(now time.Time) Reply {
	switch {
	case r.plan.Succeeded():
		return r.finalReply(now)
	case !r.plan.MayHaveRun():
		return stopRefusal()
	}
	return Reply{Status: http.StatusBadGateway, Code: dcreason.OutcomeUnknown}
}
