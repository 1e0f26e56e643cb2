package dcadmission

import (
	"container/list"
	"slices"
	"strings"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// flow is the queue of one department. Its queue holds the waiting entries in
// order of arrival.
type flow struct {
	department dcid.Department
	weight     float64
	// start is the virtual start time of the first request in the queue, valid
	// while the queue is not empty. finish is the virtual finish time of the most
	// recently started request.
	start, finish float64
	queue         *list.List
}

// fairQueue implements start-time fair queueing (Goyal, Vin and Cheng, 1996)
// between departments, with a cost of 1 for each request. Start and finish tags
// belong to departments rather than requests, so that requests can be removed
// from any position.
type fairQueue struct {
	flows map[dcid.Department]*flow
	// ordered lists the flows by department, so that ties are resolved
	// deterministically.
	ordered     []*flow
	weights     map[dcid.Department]float64
	virtualTime float64
	waiting     int
}

func newFairQueue() fairQueue {
	return fairQueue{flows: make(map[dcid.Department]*flow)}
}

// configure sets the weights and removes the flows of idle departments.
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
	place, _ := slices.BinarySearchFunc(f.ordered, department, func(candidate *flow, name dcid.Department) int {
		return strings.Compare(string(candidate.department), string(name))
	})
	f.ordered = slices.Insert(f.ordered, place, added)
	return added
}

// push appends a request to its flow.
func (f *fairQueue) push(arrived *entry) {
	into := arrived.flow
	if into.queue.Len() == 0 {
		into.start = max(f.virtualTime, into.finish)
	}
	arrived.element = into.queue.PushBack(arrived)
	f.waiting++
}

// remove removes a waiting request from its flow.
func (f *fairQueue) remove(waiting *entry) {
	waiting.flow.queue.Remove(waiting.element)
	waiting.element = nil
	f.waiting--
}

// next returns the request with the smallest start tag and charges its cost to
// its flow. The caller must remove the request. At least one request must be
// waiting.
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

// share returns the fraction of the rate that a flow with waiting requests gets.
func (f *fairQueue) share(backlogged *flow) float64 {
	total := 0.0
	for _, other := range f.ordered {
		if other.queue.Len() > 0 {
			total += other.weight
		}
	}
	return backlogged.weight / total
}

// evictionCandidate returns the newest request of the flow with the most waiting
// requests relative to its weight. The flow of the arriving request wins ties.
func (f *fairQueue) evictionCandidate(arriving *flow) *entry {
	worst := arriving
	for _, candidate := range f.ordered {
		if weightedQueueLength(candidate) > weightedQueueLength(worst) {
			worst = candidate
		}
	}
	return worst.queue.Back().Value.(*entry)
}

// weightedQueueLength returns the number of waiting requests divided by the
// weight.
func weightedQueueLength(f *flow) float64 {
	return float64(f.queue.Len()) / f.weight
}
