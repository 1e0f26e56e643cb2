package dcload

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"

	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
)

// TestArrivalsHaveConfiguredRate guards against arrival times whose mean rate
// differs from Rate.
func TestArrivalsHaveConfiguredRate(t *testing.T) {
	const seed, rate, seconds = 7, 500.0, 200
	arrivals := Arrivals{Rate: rate, Random: rand.New(rand.NewPCG(seed, 0))}
	count := 0
	for arrivals.Next() < seconds*time.Second {
		count++
	}
	// The tolerance is five standard deviations of a Poisson count.
	want := rate * seconds
	if math.Abs(float64(count)-want) > 5*math.Sqrt(want) {
		t.Errorf("seed %d: got %d arrivals, want about %.0f", seed, count, want)
	}
}

// blockingRequester answers no request until release is closed, like a host
// whose process is paused.
type blockingRequester struct{ release chan struct{} }

func (r blockingRequester) Send(context.Context, *benchv1.Load, *rand.Rand) Sample {
	<-r.release
	return Sample{Outcome: "ran", Reason: "ok", Good: true, Coverage: 1}
}

// TestLatencyCountsFromIntendedSendTime guards against coordinated omission.
// Requests whose intended send times fall into a stall must still be sent, and
// their latency must include the wait since the intended send time.
func TestLatencyCountsFromIntendedSendTime(t *testing.T) {
	const seed = 3
	load := &benchv1.Load{ServiceGroup: "g", Rate: 100, Deadline: durationpb.New(time.Hour)}
	recorder := &Recorder{Load: load, Duration: time.Second}
	clock := clockwork.NewFakeClock()
	requester := blockingRequester{release: make(chan struct{})}
	generator := &Generator{Load: load, Requester: requester, Recorder: recorder, Clock: clock, Seed: seed, Until: time.Second}
	done := make(chan struct{})
	start := clock.Now()
	go func() {
		defer close(done)
		generator.Run(t.Context(), start)
	}()
	// The clock jumps by ten seconds during the first wait, so that every request
	// is sent late.
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(10 * time.Second)
	close(requester.release)
	<-done
	result := recorder.Result()
	if result.GetRequests() < 50 {
		t.Errorf("seed %d: got %d requests, want at least 50", seed, result.GetRequests())
	}
	if result.GetP50Ms() < 9000 {
		t.Errorf("seed %d: got a median of %.0f ms, want at least 9000", seed, result.GetP50Ms())
	}
}

// TestWarmUpKeepsOnlyViolations guards against violations that are dropped
// because they occur in the warm-up, and against other samples of the warm-up
// that change the result.
func TestWarmUpKeepsOnlyViolations(t *testing.T) {
	recorder := &Recorder{Load: &benchv1.Load{}, WarmUp: time.Second, Duration: time.Second}
	recorder.Add(Sample{Intended: 0, Violation: "mixed versions", Good: true})
	for index := range 4 {
		recorder.Add(Sample{Intended: time.Second, Latency: time.Duration(index) * time.Millisecond, Good: index > 0,
			Outcome: "ran", Reason: fmt.Sprint("r", index), Coverage: 0.5})
	}
	result := recorder.Result()
	if result.GetViolations() != 1 || result.GetRequests() != 4 || result.GetGood() != 3 || result.GetCoverage() != 0.5 {
		t.Errorf("got %v", result)
	}
	seconds := MergeSeconds([]*Recorder{recorder, recorder})
	if len(seconds) != 1 || seconds[0].GetSent() != 8 || seconds[0].GetRefused() != 2 {
		t.Errorf("got %v", seconds)
	}
}

// TestCompareUsesMedians guards against a comparison of single runs instead of
// the medians over the repetitions.
func TestCompareUsesMedians(t *testing.T) {
	run := func(variant string, p99 float64) *benchv1.Run {
		return &benchv1.Run{Variant: variant, Loads: []*benchv1.LoadResult{{ServiceGroup: "g", Department: "d", P99Ms: p99}},
			Upstream: &benchv1.UpstreamTotals{}}
	}
	comparisons := Compare([]*benchv1.Run{run("off", 10), run("on", 5), run("off", 30), run("on", 90), run("off", 20), run("on", 10)})
	for _, comparison := range comparisons {
		if comparison.GetFigure() == "g/d p99 ms" && comparison.GetRatio() != 0.5 {
			t.Errorf("got ratio %v, want 0.5", comparison.GetRatio())
		}
	}
	if len(comparisons) != 6 {
		t.Errorf("got %d comparisons, want 6", len(comparisons))
	}
}
