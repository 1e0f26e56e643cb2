package dcadmission

import "time"

// Gains of the estimate, after Jacobson and Karels (1988).
const (
	meanDivisor      = 8
	deviationDivisor = 4
	// deviations is the number of mean deviations that a request is expected
	// to stay below. A request started with only the mean left misses its
	// deadline every second time, and its work is wasted.
	boundDeviations = 2
)

// estimate is a running mean and mean deviation of how long requests run.
type durationEstimate struct {
	mean, deviation time.Duration
	known           bool
}

func (e *durationEstimate) add(sample time.Duration) {
	if !e.known {
		e.mean, e.deviation, e.known = sample, sample/2, true
		return
	}
	difference := sample - e.mean
	e.mean += difference / meanDivisor
	e.deviation += (difference.Abs() - e.deviation) / deviationDivisor
}

// bound is the time that a request should have left when it starts.
func (e *durationEstimate) bound() time.Duration {
	return e.mean + boundDeviations*e.deviation
}
