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

// Guards against bursts or gaps that would make the offered rate differ from
// the stated one.
func TestArrivalsHaveTheStatedRate(t *testing.T) {
	const seed, rate, seconds = 7, 500.0, 200
	arrivals := Arrivals{Rate: rate, Random: rand.New(rand.NewPCG(seed, 0))}
	count := 0
	for arrivals.Next() < seconds*time.Second {
		count++
	}
	// Five standard deviations of a Poisson count.
	want := rate * seconds
	if math.Abs(float64(count)-want) > 5*math.Sqrt(want) {
		t.Errorf("seed %d: got %d arrivals, want about %.0f", seed, count, want)
	}
}

// blockingRequester answers all requests only when released, like a host that
// is stopped for a while.
type blockingRequester struct{ release chan struct{} }

func (r blockingRequester) Send(context.Context, *benchv1.Load, *rand.Rand) Sample {
	<-r.release
	return Sample{Outcome: "ran", Reason: "ok", Good: true, Coverage: 1}
}

// Guards against coordinated omission: requests planned during a stall must
// be sent and must count the whole wait from their planned time.
func TestStallCountsFromIntendedSendTime(t *testing.T) {
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
	// The clock is ten seconds late from the first wait on, so every request
	// is sent late.
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(10 * time.Second)
	close(requester.release)
	<-done
	result := recorder.Result()
	if result.GetRequests() < 50 {
		t.Errorf("seed %d: only %d requests were sent", seed, result.GetRequests())
	}
	if result.GetP50Ms() < 9000 {
		t.Errorf("seed %d: median is %.0f ms, want at least 9000", seed, result.GetP50Ms())
	}
}

// Guards against violations in the warm-up being dropped and against warm-up
// samples changing the figures.
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

// Guards against comparisons that use another run than the median.
func TestCompareUsesMedians(t *testing.T) {
	run := func(variant string, p99 float64) *benchv1.Run {
		return &benchv1.Run{Variant: variant, Loads: []*benchv1.LoadResult{{ServiceGroup: "g", Department: "d", P99Ms: p99}},
			Upstream: &benchv1.UpstreamTotals{}}
	}
	comparisons := Compare([]*benchv1.Run{run("off", 10), run("on", 5), run("off", 30), run("on", 90), run("off", 20), run("on", 10)})
	for _, comparison := range comparisons {
		if comparison.GetFigure() == "g/d p99 ms" && comparison.GetRatio() != 0.5 {
			t.Errorf("ratio is %v, want 0.5", comparison.GetRatio())
		}
	}
	if len(comparisons) != 6 {
		t.Errorf("got %d comparisons, want 6", len(comparisons))
	}
}
