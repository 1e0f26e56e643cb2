package dcadmission

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// classLead is the number of requests, summed over the flows, by which a request
// goes ahead of one of the next less urgent priority in another flow. A lead without
// bound would let the urgent requests of one department displace all others.
const classLead = 16

// exceedLead is the number of priorities by which a flow is put back while it exceeds
// its share.
const exceedLead = 4

// flow is the queue of one department. Its queue holds the waiting entries by
// priority, and those of one priority in order of arrival.
type flow struct {
	department dcid.Department
	weight     float64
	// start is the virtual start time of the first request in the queue, valid
	// while the queue is not empty. finish is the virtual finish time of the most
	// recently started request.
	start, finish float64
	queue         *list.List
	// served and servedByClass are the shares of the requests of the department, and
	// of those of each priority, that start.
	served        servedShare
	servedByClass map[int]*servedShare
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
	// served and servedByClass are the shares of all requests and of those of each
	// priority that start, and all that of all queues that compete for room. With all,
	// a department or priority comes first whose share falls far below it.
	all           *servedShare
	served        servedShare
	servedByClass map[int]*servedShare
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

// push inserts a request into its flow, after the requests of the same priority.
func (f *fairQueue) push(arrived *entry) {
	into := arrived.flow
	if into.queue.Len() == 0 {
		into.start = max(f.virtualTime, into.finish)
	}
	last := into.queue.Back()
	for last != nil && last.Value.(*entry).priority > arrived.priority {
		last = last.Prev()
	}
	if last == nil {
		arrived.element = into.queue.PushFront(arrived)
	} else {
		arrived.element = into.queue.InsertAfter(arrived, last)
	}
	f.waiting++
}

// remove removes a waiting request from its flow.
func (f *fairQueue) remove(waiting *entry) {
	waiting.flow.queue.Remove(waiting.element)
	waiting.element = nil
	f.waiting--
}

// next returns the request that starts next and charges its cost to its flow. The
// caller must remove the request. At least one request must be waiting.
func (f *fairQueue) next(now time.Time) *entry {
	first := f.first(now)
	charged := first.flow
	f.virtualTime = max(f.virtualTime, f.lowestStart())
	charged.finish = charged.start + 1/charged.weight
	charged.start = charged.finish
	return first
}

// first returns the request that starts next: one of a department or priority that
// is owed requests, or that with the smallest key.
func (f *fairQueue) first(now time.Time) (first *entry) {
	if owed := f.owed(now); owed != nil {
		return owed
	}
	lead, lowest := f.lead(), 0.0
	for _, candidate := range f.ordered {
		if candidate.queue.Len() == 0 {
			continue
		}
		front := candidate.queue.Front().Value.(*entry)
		if key := candidate.start + f.setBack(candidate, lead, now) + front.handicap(lead, now); first == nil || key < lowest {
			first, lowest = front, key
		}
	}
	return first
}

// lead returns classLead in virtual time.
func (f *fairQueue) lead() float64 {
	total := 0.0
	for _, other := range f.ordered {
		if other.queue.Len() > 0 {
			total += other.weight
		}
	}
	return classLead / total
}

// handicap returns the virtual time that a request is put back for its priority. It
// shrinks to nothing while the request waits, so that requests of a low priority are
// not passed over by those of other departments until they can no longer be answered.
func (e *entry) handicap(lead float64, now time.Time) float64 {
	if e.priority <= 0 {
		return 0
	}
	remaining := 1.0
	if longest := e.deadline.Sub(e.arrived); longest > 0 {
		remaining = max(1-float64(now.Sub(e.arrived))/float64(longest), 0)
	}
	return lead * float64(e.priority) * remaining
}

// setBack returns the virtual time that a flow is put back while it exceeds its share,
// so that its urgent requests do not go ahead of all others.
func (f *fairQueue) setBack(candidate *flow, lead float64, now time.Time) float64 {
	if f.all == nil || candidate.queue.Len() == 0 || !f.exceedsShare(candidate, now) {
		return 0
	}
	return exceedLead * lead
}

// ahead returns the cost of the waiting requests that start before one that waits.
func (f *fairQueue) ahead(waiting *entry, now time.Time) (cost float64) {
	if f.owed(now) == waiting {
		return 0
	}
	lead := f.lead()
	key := keyOf(waiting, lead, now) + f.setBack(waiting.flow, lead, now)
	for _, other := range f.ordered {
		start := other.start + f.setBack(other, lead, now)
		for element := other.queue.Front(); element != nil; element = element.Next() {
			candidate := element.Value.(*entry)
			if candidate != waiting && start+candidate.handicap(lead, now) <= key && (other != waiting.flow || before(element, waiting.element)) {
				cost += candidate.cost
			}
			start += 1 / other.weight
		}
	}
	return cost
}

// before reports whether an element of a flow precedes another one of it.
func before(element, other *list.Element) bool {
	for following := element.Next(); following != nil; following = following.Next() {
		if following == other {
			return true
		}
	}
	return false
}

// keyOf returns the key of a waiting request: its start tag and its handicap.
func keyOf(waiting *entry, lead float64, now time.Time) float64 {
	start := waiting.flow.start
	for element := waiting.element.Prev(); element != nil; element = element.Prev() {
		start += 1 / waiting.flow.weight
	}
	return start + waiting.handicap(lead, now)
}

// lowestStart returns the smallest start tag of the flows with waiting requests.
func (f *fairQueue) lowestStart() (lowest float64) {
	found := false
	for _, candidate := range f.ordered {
		if candidate.queue.Len() > 0 && (!found || candidate.start < lowest) {
			lowest, found = candidate.start, true
		}
	}
	return lowest
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
