package dcadmission

import "time"

// Gains of the estimate, after Jacobson and Karels (1988).
const (
	meanGain      = 8
	deviationGain = 4
	// deviations is the number of mean deviations that a request is expected
	// to stay below. A request started with only the mean left misses its
	// deadline every second time, and its work is wasted.
	deviations = 2
)

// estimate is a running mean and mean deviation of how long requests run.
type estimate struct {
	mean, deviation time.Duration
	known           bool
}

func (e *estimate) add(sample time.Duration) {
	if !e.known {
		e.mean, e.deviation, e.known = sample, sample/2, true
		return
	}
	difference := sample - e.mean
	e.mean += difference / meanGain
	e.deviation += (difference.Abs() - e.deviation) / deviationGain
}

// bound is the time that a request should have left when it starts.
func (e *estimate) bound() time.Duration {
	return e.mean + deviations*e.deviation
}
