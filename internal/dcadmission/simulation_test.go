package dcadmission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// serviceTime is the mean time that one request occupies a slot.
	meanServiceTime = 10 * time.Millisecond
	tick            = meanServiceTime / 40
)

// offer is the load of one department in requests for each service time.
type departmentLoad struct {
	department dcid.Department
	rate       float64
}

// rig runs a queue in front of one first-come, first-served server with a
// number of slots, in ticks of test time.
type simulation struct {
	queue  *Queue
	random *rand.Rand
	// slots may change during a run; 0 is an outage, in which requests end at
	// their deadline without an answer.
	slots func(at time.Duration) int
	// reported is set when the server reports its queue time.
	reportQueueTime bool
	loads           []departmentLoad
	now             time.Time
	waiting         map[Ticket]*simulatedRequest
	// inside holds the requests in the server in order of arrival.
	inServer []*simulatedRequest
	good     map[dcid.Department]int
	late     int
	// most is the largest number of requests that wait or run in the server.
	maxRunning int
}

type simulatedRequest struct {
	ticket                     Ticket
	department                 dcid.Department
	deadline, sent, begun, end time.Time
	done                       bool
}

func newSimulation(seed uint64, slots int, loads ...departmentLoad) *simulation {
	r := &simulation{
		queue:           New(testConfig()),
		random:          rand.New(rand.NewPCG(seed, 0)),
		slots:           func(time.Duration) int { return slots },
		reportQueueTime: true,
		loads:           loads,
		now:             start,
		waiting:         make(map[Ticket]*simulatedRequest),
	}
	r.resetCounts()
	return r
}

// measure runs for a time and counts only what happens in it.
func (r *simulation) runMeasured(over time.Duration) {
	r.resetCounts()
	r.run(r.now.Sub(start) + over)
}

// clear forgets what was counted so far.
func (r *simulation) resetCounts() {
	r.good, r.late, r.maxRunning = make(map[dcid.Department]int), 0, 0
}

// goodput is the number of requests answered in time for each service time.
func (r *simulation) goodput(department dcid.Department, over time.Duration) float64 {
	return float64(r.good[department]) / float64(over/meanServiceTime)
}

func (r *simulation) run(until time.Duration) {
	for ; r.now.Before(start.Add(until)); r.now = r.now.Add(tick) {
		r.serveRequests()
		for _, one := range r.loads {
			// Bernoulli arrivals, at most one in a small part of a tick.
			const parts = 8
			for range parts {
				if r.random.Float64() < one.rate*float64(tick)/float64(meanServiceTime)/parts {
					r.arrive(one.department)
				}
			}
		}
		if next := r.queue.NextExpiry(); !next.IsZero() && !r.now.Before(next) {
			r.applyDecisions(r.queue.Expire(r.now))
		}
		r.maxRunning = max(r.maxRunning, r.queue.Running())
	}
}

func (r *simulation) arrive(department dcid.Department) {
	deadline := r.now.Add(10 * meanServiceTime)
	ticket, decisions := r.queue.Submit(department, deadline, r.now)
	r.waiting[ticket] = &simulatedRequest{ticket: ticket, department: department, deadline: deadline}
	r.applyDecisions(decisions)
}

func (r *simulation) applyDecisions(decisions []Decision) {
	for _, decision := range decisions {
		one := r.waiting[decision.Ticket]
		delete(r.waiting, decision.Ticket)
		if decision.Code == dcreason.OK {
			one.sent = r.now
			r.inServer = append(r.inServer, one)
		}
	}
}

// serve begins requests in free slots and ends those that are answered or past
// their deadline. One that runs past it keeps its slot: the work is wasted.
func (r *simulation) serveRequests() {
	free := r.slots(r.now.Sub(start))
	for _, one := range slices.Clone(r.inServer) {
		if one.begun.IsZero() && free > 0 {
			one.begun = r.now
			one.end = r.now.Add(time.Duration((0.5 + r.random.Float64()) * float64(meanServiceTime)))
		}
		answered := !one.begun.IsZero() && !r.now.Before(one.end)
		if !one.begun.IsZero() && !answered {
			free--
		}
		if !one.done && (answered || !r.now.Before(one.deadline)) {
			r.end(one, answered)
		}
	}
	r.inServer = slices.DeleteFunc(r.inServer, func(one *simulatedRequest) bool {
		return one.done && (one.begun.IsZero() || !r.now.Before(one.end))
	})
}

func (r *simulation) end(one *simulatedRequest, answered bool) {
	one.done = true
	sample := Sample{QueueTime: -1, Failed: !answered}
	if !answered {
		r.late++
	} else {
		r.good[one.department]++
		if r.reportQueueTime {
			sample.QueueTime = one.begun.Sub(one.sent)
		}
	}
	r.applyDecisions(r.queue.Done(one.ticket, sample, r.now))
}
