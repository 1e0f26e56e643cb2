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
	// meanServiceTime is the mean time for which a request occupies a slot.
	meanServiceTime = 10 * time.Millisecond
	// tick is the time step of a simulation.
	tick = meanServiceTime / 40
)

// departmentLoad is the load of one department. Its rate is in requests per mean
// service time.
type departmentLoad struct {
	department dcid.Department
	rate       float64
}

// simulation runs a queue in front of one first-come, first-served server with a
// number of slots, in ticks of simulated time.
type simulation struct {
	queue  *Queue
	random *rand.Rand
	// slots returns the number of slots at a time since the start. 0 is an outage,
	// in which requests end at their deadline without an answer.
	slots func(at time.Duration) int
	// reportQueueTime is set if the server reports queue times.
	reportQueueTime bool
	loads           []departmentLoad
	now             time.Time
	waiting         map[ID]*simulatedRequest
	// inServer holds the requests in the server in order of arrival.
	inServer       []*simulatedRequest
	answeredInTime map[dcid.Department]int
	late           int
	// maxRunning is the maximum number of requests that were queued or running in
	// the server at once.
	maxRunning int
}

type simulatedRequest struct {
	id                         ID
	department                 dcid.Department
	deadline, sent, begun, end time.Time
	done                       bool
}

func newSimulation(seed uint64, slots int, loads ...departmentLoad) *simulation {
	s := &simulation{
		queue:           New(testConfig()),
		random:          rand.New(rand.NewPCG(seed, 0)),
		slots:           func(time.Duration) int { return slots },
		reportQueueTime: true,
		loads:           loads,
		now:             start,
		waiting:         make(map[ID]*simulatedRequest),
	}
	s.resetCounts()
	return s
}

// runMeasured resets the counts and runs for a time.
func (s *simulation) runMeasured(span time.Duration) {
	s.resetCounts()
	s.run(s.now.Sub(start) + span)
}

// resetCounts resets the counts of answered and late requests and the maximum.
func (s *simulation) resetCounts() {
	s.answeredInTime, s.late, s.maxRunning = make(map[dcid.Department]int), 0, 0
}

// goodput returns the number of requests answered in time per mean service time.
func (s *simulation) goodput(department dcid.Department, span time.Duration) float64 {
	return float64(s.answeredInTime[department]) / float64(span/meanServiceTime)
}

func (s *simulation) run(until time.Duration) {
	for ; s.now.Before(start.Add(until)); s.now = s.now.Add(tick) {
		s.serveRequests()
		for _, load := range s.loads {
			// Bernoulli arrivals: at most one in each eighth of a tick.
			const parts = 8
			for range parts {
				if s.random.Float64() < load.rate*float64(tick)/float64(meanServiceTime)/parts {
					s.arrive(load.department)
				}
			}
		}
		if next := s.queue.NextExpiry(); !next.IsZero() && !s.now.Before(next) {
			s.applyDecisions(s.queue.Expire(s.now))
		}
		s.maxRunning = max(s.maxRunning, s.queue.Running())
	}
}

func (s *simulation) arrive(department dcid.Department) {
	deadline := s.now.Add(10 * meanServiceTime)
	id, decisions := s.queue.Submit(department, deadline, s.now)
	s.waiting[id] = &simulatedRequest{id: id, department: department, deadline: deadline}
	s.applyDecisions(decisions)
}

func (s *simulation) applyDecisions(decisions []Decision) {
	for _, decision := range decisions {
		request := s.waiting[decision.ID]
		delete(s.waiting, decision.ID)
		if decision.Code == dcreason.OK {
			request.sent = s.now
			s.inServer = append(s.inServer, request)
		}
	}
}

// serveRequests starts requests in free slots and ends those that are answered
// or past their deadline. A request that is still running at its deadline keeps
// its slot until it is finished, which is wasted work.
func (s *simulation) serveRequests() {
	free := s.slots(s.now.Sub(start))
	for _, request := range slices.Clone(s.inServer) {
		if request.begun.IsZero() && free > 0 {
			request.begun = s.now
			request.end = s.now.Add(time.Duration((0.5 + s.random.Float64()) * float64(meanServiceTime)))
		}
		answered := !request.begun.IsZero() && !s.now.Before(request.end)
		if !request.begun.IsZero() && !answered {
			free--
		}
		if !request.done && (answered || !s.now.Before(request.deadline)) {
			s.end(request, answered)
		}
	}
	s.inServer = slices.DeleteFunc(s.inServer, func(request *simulatedRequest) bool {
		return request.done && (request.begun.IsZero() || !s.now.Before(request.end))
	})
}

func (s *simulation) end(request *simulatedRequest, answered bool) {
	request.done = true
	sample := Sample{QueueTime: -1, Failed: !answered}
	if !answered {
		s.late++
	} else {
		s.answeredInTime[request.department]++
		if s.reportQueueTime {
			sample.QueueTime = request.begun.Sub(request.sent)
		}
	}
	s.applyDecisions(s.queue.Done(request.id, sample, s.now))
}
