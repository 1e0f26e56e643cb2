package dcadmission

import "time"

// Parameters of the estimate.
const (
	// meanDivisor and deviationDivisor are the inverse gains of the mean and of
	// the mean deviation, after Jacobson and Karels (1988).
	meanDivisor      = 8
	deviationDivisor = 4
	// boundDeviations is the number of mean deviations above the mean within
	// which a request is expected to end. A request that starts with only the
	// mean left misses its deadline every second time, and its work is wasted.
	boundDeviations = 2
)

// durationEstimate is the moving average and mean deviation of how long requests
// run.
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

// bound returns the time that a request must have left until its deadline when
// it starts.
func (e *durationEstimate) bound() time.Duration {
	return e.mean + boundDeviations*e.deviation
}
