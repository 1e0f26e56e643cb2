package dccapacity

import (
	"math"
	"testing"
)

// Guards against a fit that reports a smaller error than the points have.
func TestFitLine(t *testing.T) {
	fit := FitLine([]Point{{1, 3}, {2, 5}, {3, 7}})
	if math.Abs(fit.Slope-2) > 1e-9 || math.Abs(fit.Intercept-1) > 1e-9 || fit.MaxError > 1e-9 {
		t.Errorf("got %+v", fit)
	}
	if bent := FitLine([]Point{{1, 1}, {2, 4}, {3, 9}}); bent.MaxError < 0.05 || bent.RSquared >= 1 {
		t.Errorf("a curve fits without error: %+v", bent)
	}
}

// Guards against news that do not reach every host within the users' limit of
// 5 s at a heartbeat interval of 1 s.
func TestRevisionSpreadsInTime(t *testing.T) {
	const seed = 1
	cost := MeasureMembership(64, seed)
	if limit := int(LimitConfigInForce / HeartbeatInterval); cost.RevisionIntervals > limit {
		t.Errorf("seed %d: a revision took %d intervals, limit %d", seed, cost.RevisionIntervals, limit)
	}
}
