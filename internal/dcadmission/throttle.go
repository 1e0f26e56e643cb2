package dcadmission

import "time"

const (
	// throttleSpan is the time over which a throttle compares requests with
	// successes.
	throttleSpan = 2 * time.Second
	// throttleSteps is the number of steps that the span is divided into.
	throttleSteps = 6
	// throttleFactor is the number of requests that may be run for each one that
	// succeeds. At most half of what runs is wasted, and enough runs to notice
	// that the servers have room again.
	throttleFactor = 2
	// throttleFloor is the number of requests in the span that always run.
	throttleFloor = 2
	// maxRefused is the largest part of the requests that is refused. The rest
	// shows within two spans that the overload is over.
	maxRefused = 0.75
)

// Throttle refuses requests of a route before they run, while most of those
// that run fail because servers refuse work. A query that fails has cost most
// of its servers the work, so that running all queries lowers the number that
// succeeds. The rule is that of "Handling Overload" in Site Reliability
// Engineering (O'Reilly, 2016). The zero value is ready to use.
type Throttle struct {
	steps   [throttleSteps]throttleStep
	current int64
	// origin is the time of the first step. Steps are counted from it, since
	// the time of day can jump.
	origin time.Time
	// due is the part of a refusal that is due. Refusing when it reaches one
	// spreads refusals evenly.
	due float64
}

type throttleStep struct {
	requests, failed float64
}

// Admit counts a request and reports whether it may run.
func (t *Throttle) Admit(now time.Time) bool {
	step := t.step(now)
	var requests, failed float64
	for _, each := range t.steps {
		requests += each.requests
		failed += each.failed
	}
	step.requests++
	excess := requests - throttleFactor*(requests-failed) - throttleFloor
	if excess <= 0 {
		t.due = 0
		return true
	}
	if t.due += min(excess/(requests+1), maxRefused); t.due < 1 {
		return true
	}
	t.due--
	step.failed++
	return false
}

// Failed counts an admitted request that failed because servers refused work.
func (t *Throttle) Failed(now time.Time) {
	t.step(now).failed++
}

// step returns the step of now and clears those that have left the span.
func (t *Throttle) step(now time.Time) *throttleStep {
	if t.origin.IsZero() {
		t.origin = now
	}
	number := int64(now.Sub(t.origin) / (throttleSpan / throttleSteps))
	if number > t.current {
		for old := max(t.current+1, number-throttleSteps+1); old <= number; old++ {
			t.steps[old%throttleSteps] = throttleStep{}
		}
		t.current = number
	}
	return &t.steps[t.current%throttleSteps]
}
