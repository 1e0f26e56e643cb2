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
	serviceTime = 10 * time.Millisecond
	tick        = serviceTime / 40
)

// offer is the load of one department in requests for each service time.
type offer struct {
	department dcid.Department
	rate       float64
}

// rig runs a queue in front of one first-come, first-served server with a
// number of slots, in ticks of test time.
type rig struct {
	queue  *Queue
	random *rand.Rand
	// slots may change during a run; 0 is an outage, in which requests end at
	// their deadline without an answer.
	slots func(at time.Duration) int
	// reported is set when the server reports its queue time.
	reported bool
	offers   []offer
	now      time.Time
	waiting  map[Ticket]*request
	// inside holds the requests in the server in order of arrival.
	inside []*request
	good   map[dcid.Department]int
	late   int
	// most is the largest number of requests that wait or run in the server.
	most int
}

type request struct {
	ticket                     Ticket
	department                 dcid.Department
	deadline, sent, begun, end time.Time
	done                       bool
}

func newRig(seed uint64, slots int, offers ...offer) *rig {
	r := &rig{
		queue:    New(testConfig()),
		random:   rand.New(rand.NewPCG(seed, 0)),
		slots:    func(time.Duration) int { return slots },
		reported: true,
		offers:   offers,
		now:      start,
		waiting:  make(map[Ticket]*request),
	}
	r.clear()
	return r
}

// measure runs for a time and counts only what happens in it.
func (r *rig) measure(over time.Duration) {
	r.clear()
	r.run(r.now.Sub(start) + over)
}

// clear forgets what was counted so far.
func (r *rig) clear() {
	r.good, r.late, r.most = make(map[dcid.Department]int), 0, 0
}

// goodput is the number of requests answered in time for each service time.
func (r *rig) goodput(department dcid.Department, over time.Duration) float64 {
	return float64(r.good[department]) / float64(over/serviceTime)
}

func (r *rig) run(until time.Duration) {
	for ; r.now.Before(start.Add(until)); r.now = r.now.Add(tick) {
		r.serve()
		for _, one := range r.offers {
			// Bernoulli arrivals, at most one in a small part of a tick.
			const parts = 8
			for range parts {
				if r.random.Float64() < one.rate*float64(tick)/float64(serviceTime)/parts {
					r.arrive(one.department)
				}
			}
		}
		if next := r.queue.Next(); !next.IsZero() && !r.now.Before(next) {
			r.decided(r.queue.Timer(r.now))
		}
		r.most = max(r.most, r.queue.Running())
	}
}

func (r *rig) arrive(department dcid.Department) {
	deadline := r.now.Add(10 * serviceTime)
	ticket, decisions := r.queue.Arrive(department, deadline, r.now)
	r.waiting[ticket] = &request{ticket: ticket, department: department, deadline: deadline}
	r.decided(decisions)
}

func (r *rig) decided(decisions []Decision) {
	for _, decision := range decisions {
		one := r.waiting[decision.Ticket]
		delete(r.waiting, decision.Ticket)
		if decision.Code == dcreason.OK {
			one.sent = r.now
			r.inside = append(r.inside, one)
		}
	}
}

// serve begins requests in free slots and ends those that are answered or past
// their deadline. One that runs past it keeps its slot: the work is wasted.
func (r *rig) serve() {
	free := r.slots(r.now.Sub(start))
	for _, one := range slices.Clone(r.inside) {
		if one.begun.IsZero() && free > 0 {
			one.begun = r.now
			one.end = r.now.Add(time.Duration((0.5 + r.random.Float64()) * float64(serviceTime)))
		}
		answered := !one.begun.IsZero() && !r.now.Before(one.end)
		if !one.begun.IsZero() && !answered {
			free--
		}
		if !one.done && (answered || !r.now.Before(one.deadline)) {
			r.end(one, answered)
		}
	}
	r.inside = slices.DeleteFunc(r.inside, func(one *request) bool {
		return one.done && (one.begun.IsZero() || !r.now.Before(one.end))
	})
}

func (r *rig) end(one *request, answered bool) {
	one.done = true
	sample := Sample{QueueTime: -1, Failed: !answered}
	if !answered {
		r.late++
	} else {
		r.good[one.department]++
		if r.reported {
			sample.QueueTime = one.begun.Sub(one.sent)
		}
	}
	r.decided(r.queue.Done(one.ticket, sample, r.now))
}
