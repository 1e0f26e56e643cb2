package dcadmission

import (
	"container/list"
	"slices"
	"strings"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// flow is the queue of one department.
type flow struct {
	department dcid.Department
	weight     float64
	// start is the virtual start time of the head, valid while the queue is not
	// empty; finish is the virtual finish time of the newest started request.
	start, finish float64
	queue         *list.List
}

// fairQueue is start-time fair queueing (Goyal, Vin and Cheng, 1996) between
// departments, at a cost of one for each request. Tags belong to departments
// rather than requests, so that requests may leave from any place.
type fairQueue struct {
	flows map[dcid.Department]*flow
	// ordered lists the flows by department, so that ties are decided the same
	// way in each run.
	ordered     []*flow
	weights     map[dcid.Department]float64
	virtualTime float64
	waiting     int
}

func newFairQueue() fairQueue {
	return fairQueue{flows: make(map[dcid.Department]*flow)}
}

// configure sets the weights and forgets departments that are idle.
func (f *fairQueue) configure(weights map[dcid.Department]float64) {
	f.weights = weights
	f.ordered = slices.DeleteFunc(f.ordered, func(idle *flow) bool {
		if idle.queue.Len() > 0 || idle.finish > f.virtualTime {
			return false
		}
		delete(f.flows, idle.department)
		return true
	})
	for _, kept := range f.ordered {
		kept.weight = f.weight(kept.department)
	}
}

func (f *fairQueue) weight(department dcid.Department) float64 {
	if weight := f.weights[department]; weight > 0 {
		return weight
	}
	return DefaultWeight
}

func (f *fairQueue) flow(department dcid.Department) *flow {
	if known := f.flows[department]; known != nil {
		return known
	}
	added := &flow{department: department, weight: f.weight(department), queue: list.New()}
	f.flows[department] = added
	place, _ := slices.BinarySearchFunc(f.ordered, department, func(one *flow, name dcid.Department) int {
		return strings.Compare(string(one.department), string(name))
	})
	f.ordered = slices.Insert(f.ordered, place, added)
	return added
}

// push adds a request at the end of its flow.
func (f *fairQueue) push(arrived *entry) {
	into := arrived.flow
	if into.queue.Len() == 0 {
		into.start = max(f.virtualTime, into.finish)
	}
	arrived.element = into.queue.PushBack(arrived)
	f.waiting++
}

// remove takes a request out of its flow.
func (f *fairQueue) remove(waiting *entry) {
	waiting.flow.queue.Remove(waiting.element)
	waiting.element = nil
	f.waiting--
}

// next charges the request with the smallest start tag to its flow and returns
// it; the caller removes it. At least one request must wait.
func (f *fairQueue) next() *entry {
	var first *flow
	for _, candidate := range f.ordered {
		if candidate.queue.Len() == 0 {
			continue
		}
		if first == nil || candidate.start < first.start {
			first = candidate
		}
	}
	f.virtualTime = first.start
	first.finish = first.start + 1/first.weight
	first.start = first.finish
	return first.queue.Front().Value.(*entry)
}

// share is the part of the rate that a flow with waiting requests gets.
func (f *fairQueue) share(of *flow) float64 {
	total := 0.0
	for _, one := range f.ordered {
		if one.queue.Len() > 0 {
			total += one.weight
		}
	}
	return of.weight / total
}

// furthestAboveShare returns the newest request of the flow that holds the
// most of the queue for its weight; the arriving flow among equals.
func (f *fairQueue) evictionCandidate(arriving *flow) *entry {
	worst := arriving
	for _, candidate := range f.ordered {
		if weightedQueueLength(candidate) > weightedQueueLength(worst) {
			worst = candidate
		}
	}
	return worst.queue.Back().Value.(*entry)
}

func weightedQueueLength(by *flow) float64 {
	return float64(by.queue.Len()) / by.weight
}
