package dcdrain

import "time"

const (
	// latencyMargin multiplies the longest latency that was seen lately. A request
	// that is cut off costs its caller more than one that another host answers.
	latencyMargin = 1.5
	// deliveryTime is the time before the end of a window that is reserved for timers
	// that fire late and for writing the answer.
	deliveryTime = 50 * time.Millisecond
)

// Window is the time in which a host that stops answers requests. The zero value
// has no end.
type Window struct {
	// End is the time at which the requests in progress are ended.
	End time.Time
}

// Request describes how long a request may take.
type Request struct {
	// Deadline is the time by which the request is answered in any case.
	Deadline time.Time
	// Longest is the longest latency of such requests, 0 if nothing is known of it.
	Longest time.Duration
}

// Admit reports whether a request that arrives now will be answered before the
// window ends. One that may not must be refused before it runs.
func (w Window) Admit(request Request, now time.Time) bool {
	if w.End.IsZero() {
		return true
	}
	last := w.End.Add(-deliveryTime)
	if !request.Deadline.After(last) {
		return true
	}
	expected := time.Duration(float64(request.Longest) * latencyMargin)
	return request.Longest > 0 && !now.Add(expected).After(last)
}
