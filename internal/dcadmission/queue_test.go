package dcadmission

import (
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

const (
	testSeed  = 11
	testSlots = 20
	warmUp    = 5 * time.Second
	measured  = 20 * time.Second
)

func testConfig() Config {
	return Config{
		Weights:  map[dcid.Department]float64{"bakers": 1, "millers": 1, "clerks": 2},
		MaxQueue: 400,
		Floor:    2,
		Ceiling:  400,
	}
}

// overload runs departments at a multiple of the server's capacity.
func overload(t *testing.T, r *rig, offers []offer) {
	t.Helper()
	for _, one := range offers {
		r.arrivals(one, 0, warmUp+measured)
	}
	r.run(warmUp)
	r.clear()
	r.run(warmUp + measured)
}

// TestGoodput guards against goodput that falls past saturation, because slots
// are spent on requests that miss their deadlines.
func TestGoodput(t *testing.T) {
	for _, reported := range []bool{true, false} {
		goodput := make(map[float64]float64)
		for _, load := range []float64{1, 1.5, 2, 4} {
			r := newRig(t, testSeed, testConfig(), testSlots)
			r.reported = reported
			overload(t, r, []offer{{"bakers", load * testSlots / 2}, {"millers", load * testSlots / 2}})
			capacity := float64(testSlots) * float64(measured/serviceTime)
			goodput[load] = float64(r.good()) / capacity
			t.Logf("seed %d, reported %t, load %.1f: goodput %.3f of capacity, limit %d, bakers %+v",
				testSeed, reported, load, goodput[load], r.queue.Limit(), *r.results["bakers"])
			if goodput[load] < 0.9*goodput[1] || goodput[load] < 0.85 {
				t.Errorf("seed %d, reported %t, load %.1f: goodput %.3f, at load 1 %.3f",
					testSeed, reported, load, goodput[load], goodput[1])
			}
		}
	}
}

// TestFairShare guards against departments that take the share of others by
// sending more.
func TestFairShare(t *testing.T) {
	const capacity = float64(testSlots)
	tests := []struct {
		name   string
		offers []offer
		// fair is the fair share of each offer in requests per service time.
		fair []float64
	}{
		{"equal", []offer{{"bakers", capacity}, {"millers", capacity}}, []float64{capacity / 2, capacity / 2}},
		{"one floods", []offer{{"bakers", 1.6 * capacity}, {"millers", 0.4 * capacity}}, []float64{0.6 * capacity, 0.4 * capacity}},
		{"weights", []offer{{"bakers", capacity}, {"clerks", capacity}}, []float64{capacity / 3, capacity * 2 / 3}},
		{"small among floods", []offer{{"bakers", 0.95 * capacity}, {"millers", 0.1 * capacity}, {"clerks", 0.95 * capacity}},
			[]float64{0.3 * capacity, 0.1 * capacity, 0.6 * capacity}},
	}
	for _, test := range tests {
		r := newRig(t, testSeed, testConfig(), testSlots)
		overload(t, r, test.offers)
		for i, one := range test.offers {
			got := float64(r.results[one.department].good) / float64(measured/serviceTime)
			t.Logf("seed %d, %s: %s gets %.2f of its fair share", testSeed, test.name, one.department, got/test.fair[i])
			if got < 0.8*test.fair[i] {
				t.Errorf("seed %d, %s: %s gets %.2f of its fair share", testSeed, test.name, one.department, got/test.fair[i])
			}
		}
	}
}

// TestRecovery guards against a queue that stays slow after an outage, and one
// that does not use the capacity that a lost peer leaves.
func TestRecovery(t *testing.T) {
	const change, recovered = 10 * time.Second, 15 * time.Second
	tests := []struct {
		name          string
		before, after int
		outage        time.Duration
	}{
		{"outage", testSlots, testSlots, 3 * time.Second},
		{"lost peer", testSlots * 3 / 4, testSlots, 0},
		{"lost upstreams", testSlots, testSlots / 2, 0},
	}
	for _, test := range tests {
		r := newRig(t, testSeed, testConfig(), 0)
		r.slots = func(at time.Duration) int {
			switch {
			case at < change:
				return test.before
			case at < change+test.outage:
				return 0
			default:
				return test.after
			}
		}
		r.arrivals(offer{"bakers", 1.3 * testSlots}, 0, recovered+measured)
		r.run(recovered)
		r.clear()
		r.run(recovered + measured)
		goodput := float64(r.good()) / float64(test.after) / float64(measured/serviceTime)
		t.Logf("seed %d, %s: goodput %.3f, limit %d", testSeed, test.name, goodput, r.queue.Limit())
		if goodput < 0.85 {
			t.Errorf("seed %d, %s: goodput %.3f of capacity after recovery", testSeed, test.name, goodput)
		}
	}
}

// steady returns a queue that knows the service time, runs one request at a
// time and has one running.
func steady(t *testing.T, maxQueue int) *Queue {
	t.Helper()
	queue := New(Config{Weights: testConfig().Weights, MaxQueue: maxQueue, Floor: 1, Ceiling: 1})
	for range 50 {
		ticket, _ := queue.Arrive("bakers", start.Add(time.Second), start.Add(-serviceTime))
		queue.Done(ticket, Sample{}, start)
	}
	if _, decisions := queue.Arrive("bakers", start.Add(time.Second), start); len(decisions) != 1 {
		t.Fatalf("decisions %v", decisions)
	}
	return queue
}

// TestRefusalBeforeStart guards against requests that wait although they
// cannot be answered in time.
func TestRefusalBeforeStart(t *testing.T) {
	queue := steady(t, 100)
	for i := range 5 {
		_, decisions := queue.Arrive("bakers", start.Add(time.Duration(i+2)*serviceTime+serviceTime/2), start)
		if len(decisions) != 0 {
			t.Errorf("request %d is decided: %v", i, decisions)
		}
	}
	if _, decisions := queue.Arrive("bakers", start.Add(5*serviceTime), start); len(decisions) != 1 || decisions[0].Code != dcreason.WaitExceedsDeadline {
		t.Errorf("decisions %v", decisions)
	}
	if _, decisions := queue.Arrive("bakers", start, start); len(decisions) != 1 || decisions[0].Code != dcreason.DeadlineExceeded {
		t.Errorf("decisions %v", decisions)
	}
	next := queue.Next()
	if decisions := queue.Timer(next); len(decisions) != 1 || decisions[0].Code != dcreason.WaitExceedsDeadline {
		t.Errorf("decisions %v at %v", decisions, next.Sub(start))
	}
}

// TestQueueFull guards against a department that fills the queue and so shuts
// out those below their share.
func TestQueueFull(t *testing.T) {
	queue := steady(t, 4)
	deadline := start.Add(time.Minute)
	var newest Ticket
	for range 4 {
		newest, _ = queue.Arrive("bakers", deadline, start)
	}
	ticket, decisions := queue.Arrive("bakers", deadline, start)
	if len(decisions) != 1 || decisions[0] != (Decision{ticket, dcreason.QueueFull}) {
		t.Errorf("department above its share: %v", decisions)
	}
	for _, department := range []dcid.Department{"millers", "clerks"} {
		_, decisions = queue.Arrive(department, deadline, start)
		if len(decisions) != 1 || decisions[0] != (Decision{newest, dcreason.QueueFull}) {
			t.Errorf("%s below its share: %v, want %d pushed out", department, decisions, newest)
		}
		newest--
	}
}

// TestCancel guards against slots and places that cancelled requests keep.
func TestCancel(t *testing.T) {
	queue := steady(t, 4)
	deadline := start.Add(time.Minute)
	one, _ := queue.Arrive("bakers", deadline, start)
	two, _ := queue.Arrive("millers", deadline, start)
	running := one - 1
	if decisions := queue.Cancel(one, start); len(decisions) != 0 || queue.Waiting() != 1 {
		t.Errorf("waiting request: %v, %d waiting", decisions, queue.Waiting())
	}
	if decisions := queue.Cancel(running, start); len(decisions) != 1 || decisions[0] != (Decision{two, dcreason.OK}) {
		t.Errorf("running request: %v", decisions)
	}
	for _, ticket := range []Ticket{one, running, 9999} {
		if queue.Cancel(ticket, start) != nil || queue.Done(ticket, Sample{}, start) != nil {
			t.Errorf("ticket %d is still known", ticket)
		}
	}
	queue.Done(two, Sample{}, start)
	if queue.Running() != 0 || queue.Waiting() != 0 || len(queue.entries) != 0 || !queue.Next().IsZero() {
		t.Errorf("%d running, %d waiting, %d kept", queue.Running(), queue.Waiting(), len(queue.entries))
	}
}

func BenchmarkAdmission(b *testing.B) {
	queue := New(testConfig())
	deadline := start.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		ticket, _ := queue.Arrive("bakers", deadline, start)
		queue.Done(ticket, Sample{}, start.Add(serviceTime))
	}
}
