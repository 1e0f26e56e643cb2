package dcadmission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// serviceTime is the mean time that one request occupies a slot of the server.
const serviceTime = 10 * time.Millisecond

// offer is the load of one department in requests for each service time.
type offer struct {
	department dcid.Department
	rate       float64
}

// result counts the requests of one department.
type result struct {
	arrived, good, late int
	refused             map[dcreason.Code]int
}

// rig runs a queue in front of one first-come, first-served server with a
// number of slots, under test time.
type rig struct {
	queue  *Queue
	random *rand.Rand
	// slots may change during a run; 0 is an outage, in which requests end at
	// their deadline without an answer.
	slots    func(at time.Duration) int
	deadline time.Duration
	// reported is set when the server reports its queue time.
	reported bool
	now      time.Time
	agenda   []occurrence
	requests map[Ticket]*request
	// busy counts requests in the server, queued those waiting in it.
	busy    int
	queued  []*request
	results map[dcid.Department]*result
	// maxRunning is the most requests that ran at once.
	maxRunning int
}

type occurrence struct {
	at time.Time
	do func()
}

type request struct {
	ticket      Ticket
	department  dcid.Department
	deadline    time.Time
	sent, begun time.Time
	ended       bool
}

func (r *rig) at(when time.Time, do func()) {
	place, _ := slices.BinarySearchFunc(r.agenda, when, func(o occurrence, t time.Time) int {
		return cmp.Or(o.at.Compare(t), -1)
	})
	r.agenda = slices.Insert(r.agenda, place, occurrence{at: when, do: do})
}

func (r *rig) arrivals(load offer, from, until time.Duration) {
	gap := func() time.Duration {
		return time.Duration(r.random.ExpFloat64() * float64(serviceTime) / load.rate)
	}
	var arrive func()
	next := start.Add(from + gap())
	arrive = func() {
		r.arrive(load.department)
		next = next.Add(gap())
		if next.Before(start.Add(until)) {
			r.at(next, arrive)
		}
	}
	r.at(next, arrive)
}

func (r *rig) arrive(department dcid.Department) {
	r.result(department).arrived++
	deadline := r.now.Add(r.deadline)
	ticket, decisions := r.queue.Arrive(department, deadline, r.now)
	r.requests[ticket] = &request{ticket: ticket, department: department, deadline: deadline}
	r.decided(decisions)
}

func (r *rig) result(department dcid.Department) *result {
	if r.results[department] == nil {
		r.results[department] = &result{refused: make(map[dcreason.Code]int)}
	}
	return r.results[department]
}

func (r *rig) decided(decisions []Decision) {
	for _, decision := range slices.Clone(decisions) {
		one := r.requests[decision.Ticket]
		if decision.Code != dcreason.OK {
			r.result(one.department).refused[decision.Code]++
			delete(r.requests, decision.Ticket)
			continue
		}
		one.sent = r.now
		r.queued = append(r.queued, one)
		r.at(one.deadline, func() { r.expire(one) })
	}
	r.maxRunning = max(r.maxRunning, r.queue.Running())
	r.serve()
}

// serve starts queued requests in free slots of the server.
func (r *rig) serve() {
	for len(r.queued) > 0 && r.busy < r.slots(r.now.Sub(start)) {
		one := r.queued[0]
		r.queued = r.queued[1:]
		if one.ended {
			continue
		}
		r.busy++
		one.begun = r.now
		took := time.Duration((0.5 + r.random.Float64()) * float64(serviceTime))
		r.at(r.now.Add(took), func() {
			r.busy--
			r.finish(one)
			r.serve()
		})
	}
}

// expire ends a request that has no answer at its deadline. One that runs
// keeps its slot: the work is wasted.
func (r *rig) expire(one *request) {
	if one.ended {
		return
	}
	one.ended = true
	r.result(one.department).late++
	r.done(one, Sample{QueueTime: -1, Failed: true})
}

func (r *rig) finish(one *request) {
	if one.ended {
		return
	}
	one.ended = true
	r.result(one.department).good++
	sample := Sample{QueueTime: -1}
	if r.reported {
		sample.QueueTime = one.begun.Sub(one.sent)
	}
	r.done(one, sample)
}

func (r *rig) done(one *request, sample Sample) {
	delete(r.requests, one.ticket)
	r.decided(r.queue.Done(one.ticket, sample, r.now))
}

// run plays the agenda up to a time after the start.
func (r *rig) run(until time.Duration) {
	end := start.Add(until)
	for {
		timer := r.queue.Next()
		if !timer.IsZero() && timer.Before(r.now) {
			timer = r.now
		}
		if len(r.agenda) == 0 || (!timer.IsZero() && timer.Before(r.agenda[0].at)) {
			if timer.IsZero() || timer.After(end) {
				return
			}
			r.now = timer
			r.decided(r.queue.Timer(r.now))
			continue
		}
		if r.agenda[0].at.After(end) {
			return
		}
		next := r.agenda[0]
		r.agenda = r.agenda[1:]
		r.now = next.at
		next.do()
	}
}

// clear forgets the counts so far.
func (r *rig) clear() {
	r.results = make(map[dcid.Department]*result)
}

func (r *rig) good() int {
	sum := 0
	for _, one := range r.results {
		sum += one.good
	}
	return sum
}

func newRig(t *testing.T, seed uint64, config Config, slots int) *rig {
	t.Helper()
	return &rig{
		queue:    New(config),
		random:   rand.New(rand.NewPCG(seed, 0)),
		slots:    func(time.Duration) int { return slots },
		deadline: 10 * serviceTime,
		reported: true,
		now:      start,
		requests: make(map[Ticket]*request),
		results:  make(map[dcid.Department]*result),
	}
}
