package dccapacity

import (
	"math"
	"testing"
)

// TestFitLine guards against a fit that understates the error of the points.
func TestFitLine(t *testing.T) {
	fit := FitLine([]Point{{1, 3}, {2, 5}, {3, 7}})
	if math.Abs(fit.Slope-2) > 1e-9 || math.Abs(fit.Intercept-1) > 1e-9 || fit.MaxError > 1e-9 {
		t.Errorf("got %+v", fit)
	}
	if curve := FitLine([]Point{{1, 1}, {2, 4}, {3, 9}}); curve.MaxError < 0.05 || curve.RSquared >= 1 {
		t.Errorf("got %+v for points on a curve, want a maximum error of at least 0.05 and R² below 1", curve)
	}
}

// TestRevisionReachesHostsInTime guards against a configuration revision that
// takes longer to reach every host than the users' limit of 5 s, at a heartbeat
// interval of 1 s.
func TestRevisionReachesHostsInTime(t *testing.T) {
	const seed = 1
	cost := MeasureMembership(64, seed)
	if limit := int(LimitConfigInForce / HeartbeatInterval); cost.RevisionIntervals > limit {
		t.Errorf("seed %d: a revision took %d intervals to reach every host, want at most %d", seed, cost.RevisionIntervals, limit)
	}
}
