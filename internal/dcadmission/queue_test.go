package dcadmission

import (
	"slices"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

const (
	testSeed    = 11
	testSlots   = 20
	warmUp      = 5 * time.Second
	measureTime = 20 * time.Second
)

func testConfig() Config {
	return Config{
		Weights:  map[dcid.Department]float64{"bakers": 1, "millers": 1, "clerks": 2},
		MaxQueue: 400,
		Floor:    2,
		Ceiling:  400,
	}
}

// TestGoodput guards against goodput that drops beyond saturation because slots
// are spent on requests that miss their deadlines, and against requests queued
// in the server, where they wait without fairness between departments.
func TestGoodput(t *testing.T) {
	for _, reportQueueTime := range []bool{true, false} {
		saturated := 0.0
		for _, load := range []float64{1, 1.5, 2, 4} {
			s := newSimulation(testSeed, testSlots, departmentLoad{"bakers", load * testSlots})
			s.reportQueueTime = reportQueueTime
			s.run(warmUp)
			s.runMeasured(measureTime)
			goodput := s.goodput("bakers", measureTime) / testSlots
			t.Logf("seed %d, queue time reported %t, load %.1f: goodput %.3f of capacity, late %d, limit %d, at most %d in the server",
				testSeed, reportQueueTime, load, goodput, s.late, s.queue.Limit(), s.maxRunning)
			if load == 1 {
				saturated = goodput
			}
			if goodput < 0.9*saturated || goodput < 0.85 || s.maxRunning > 2*testSlots {
				t.Errorf("seed %d, queue time reported %t, load %.1f: goodput %.3f of capacity, at most %d in the server",
					testSeed, reportQueueTime, load, goodput, s.maxRunning)
			}
		}
	}
}

// TestFairShare guards against departments that take the share of others by
// sending more. The loads add up to twice the capacity.
func TestFairShare(t *testing.T) {
	const capacity = float64(testSlots)
	tests := []struct {
		name  string
		loads []departmentLoad
		// fair is the fair share of each load in requests per mean service time.
		fair []float64
	}{
		{"equal", []departmentLoad{{"bakers", capacity}, {"millers", capacity}}, []float64{capacity / 2, capacity / 2}},
		{"one above its share", []departmentLoad{{"bakers", 1.6 * capacity}, {"millers", 0.4 * capacity}}, []float64{0.6 * capacity, 0.4 * capacity}},
		{"weights", []departmentLoad{{"bakers", capacity}, {"clerks", capacity}}, []float64{capacity / 3, capacity * 2 / 3}},
		{"one below its share", []departmentLoad{{"bakers", 0.95 * capacity}, {"millers", 0.1 * capacity}, {"clerks", 0.95 * capacity}},
			[]float64{0.3 * capacity, 0.1 * capacity, 0.6 * capacity}},
	}
	for _, test := range tests {
		s := newSimulation(testSeed, testSlots, test.loads...)
		s.run(warmUp)
		s.runMeasured(measureTime)
		for i, load := range test.loads {
			share := s.goodput(load.department, measureTime) / test.fair[i]
			t.Logf("seed %d, %s: %s gets %.2f of its fair share", testSeed, test.name, load.department, share)
			if share < 0.8 {
				t.Errorf("seed %d, %s: %s gets %.2f of its fair share", testSeed, test.name, load.department, share)
			}
		}
	}
}

// TestRecovery guards against a limit that grows only in small steps after an
// outage, does not use the capacity that a lost peer host frees, or does not
// decrease after the loss of upstreams.
func TestRecovery(t *testing.T) {
	const change = 8 * time.Second
	tests := []struct {
		name          string
		before, after int
		outage        time.Duration
		// within is the time after the change or outage from which goodput is
		// measured.
		within time.Duration
	}{
		{"outage", 200, 200, 3 * time.Second, 300 * time.Millisecond},
		{"lost peer", testSlots * 3 / 4, testSlots, 0, time.Second},
		{"lost upstreams", testSlots, testSlots / 2, 0, time.Second},
	}
	for _, test := range tests {
		s := newSimulation(testSeed, 0, departmentLoad{"bakers", 1.3 * float64(test.after)})
		s.slots = func(at time.Duration) int {
			switch {
			case at < change:
				return test.before
			case at < change+test.outage:
				return 0
			default:
				return test.after
			}
		}
		s.run(change + test.outage + test.within)
		limit := s.queue.Limit()
		s.runMeasured(time.Second)
		goodput := s.goodput("bakers", time.Second) / float64(test.after)
		t.Logf("seed %d, %s: goodput %.3f, limit %d", testSeed, test.name, goodput, limit)
		if goodput < 0.9 || limit < test.after*9/10 || limit > test.after*3/2 {
			t.Errorf("seed %d, %s: goodput %.3f of capacity, limit %d", testSeed, test.name, goodput, limit)
		}
	}
}

// TestSheddingLowersLimit guards against a limit that is not decreased when
// upstreams shed load without reporting a queue time.
func TestSheddingLowersLimit(t *testing.T) {
	var limits limiter
	limits.configure(2, 100)
	now, high := start, 0
	for i := range 4000 {
		now = now.Add(meanServiceTime)
		limits.saturated = true
		shed := i >= 2000
		limits.observe(observation{Sample: Sample{Overloaded: shed}, started: now, elapsed: meanServiceTime}, now)
		high = max(high, limits.limit())
	}
	if high != 100 || limits.limit() != 2 {
		t.Errorf("limit %d before and %d after upstreams shed load, want 100 and 2", high, limits.limit())
	}
}

// newBusyQueue returns a queue that has learned the service time, runs one
// request at a time and has one running.
func newBusyQueue(t *testing.T, maxQueue int) *Queue {
	t.Helper()
	queue := New(Config{Weights: testConfig().Weights, MaxQueue: maxQueue, Floor: 1, Ceiling: 1})
	for range 50 {
		id, _ := queue.Submit("bakers", start.Add(time.Second), start.Add(-meanServiceTime))
		queue.Done(id, Sample{}, start)
	}
	if _, decisions := queue.Submit("bakers", start.Add(time.Second), start); len(decisions) != 1 {
		t.Fatalf("decisions %v, want one that starts the request", decisions)
	}
	return queue
}

func expectDecisions(t *testing.T, name string, got []Decision, want ...Decision) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: decisions %v, want %v", name, got, want)
	}
}

// TestRefusalBeforeStart guards against requests that wait although they cannot
// be answered before their deadlines.
func TestRefusalBeforeStart(t *testing.T) {
	queue := newBusyQueue(t, 100)
	first := queue.lastID + 1
	for i := range 5 {
		_, decisions := queue.Submit("bakers", start.Add(time.Duration(i+2)*meanServiceTime+meanServiceTime/2), start)
		expectDecisions(t, "in time", decisions)
	}
	id, decisions := queue.Submit("bakers", start.Add(5*meanServiceTime), start)
	expectDecisions(t, "too late", decisions, Decision{id, dcreason.WaitExceedsDeadline})
	id, decisions = queue.Submit("bakers", start, start)
	expectDecisions(t, "past", decisions, Decision{id, dcreason.DeadlineExceeded})
	decisions = queue.Expire(queue.NextExpiry())
	expectDecisions(t, "expired while waiting", decisions, Decision{first, dcreason.WaitExceedsDeadline})
}

// TestQueueFull guards against a department that fills the queue and thereby
// excludes departments that are below their share.
func TestQueueFull(t *testing.T) {
	queue := newBusyQueue(t, 4)
	deadline := start.Add(time.Minute)
	var newest ID
	for range 4 {
		newest, _ = queue.Submit("bakers", deadline, start)
	}
	id, decisions := queue.Submit("bakers", deadline, start)
	expectDecisions(t, "above its share", decisions, Decision{id, dcreason.QueueFull})
	_, decisions = queue.Submit("millers", deadline, start)
	expectDecisions(t, "below its share", decisions, Decision{newest, dcreason.QueueFull})
	_, decisions = queue.Submit("clerks", deadline, start)
	expectDecisions(t, "below its share", decisions, Decision{newest - 1, dcreason.QueueFull})
}

// TestCancel guards against cancelled requests that keep their slot or their
// place in the queue.
func TestCancel(t *testing.T) {
	queue := newBusyQueue(t, 4)
	first, _ := queue.Submit("bakers", start.Add(time.Minute), start)
	second, _ := queue.Submit("millers", start.Add(time.Minute), start)
	running := first - 1
	expectDecisions(t, "waiting", queue.Cancel(first, start))
	expectDecisions(t, "running", queue.Cancel(running, start), Decision{second, dcreason.OK})
	for _, id := range []ID{first, running, 9999} {
		expectDecisions(t, "ended", append(queue.Cancel(id, start), queue.Done(id, Sample{}, start)...))
	}
	queue.Done(second, Sample{}, start)
	if queue.Running() != 0 || queue.Waiting() != 0 || len(queue.entries) != 0 || !queue.NextExpiry().IsZero() {
		t.Errorf("%d running, %d waiting, %d entries left, want none", queue.Running(), queue.Waiting(), len(queue.entries))
	}
}

func BenchmarkAdmission(b *testing.B) {
	queue := New(testConfig())
	deadline := start.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		id, _ := queue.Submit("bakers", deadline, start)
		queue.Done(id, Sample{}, start.Add(meanServiceTime))
	}
}
