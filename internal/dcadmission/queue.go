// Package dcadmission implements admission control within one host: weighted fair
// queueing between departments, an adaptive concurrency limit for a service group
// (Queue), adaptive rates for requests that need room at several services at once
// (RoomQueue), and refusal of requests before they start.
package dcadmission

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// ID identifies a waiting or running request within its Queue.
type ID uint64

// DefaultWeight is the weight of a department that the configuration does not
// name.
const DefaultWeight = 1.0

// Config is the configuration of a queue.
type Config struct {
	// Weights holds the weights of the departments.
	Weights map[dcid.Department]float64
	// MaxQueue is the maximum number of waiting requests. When it is exceeded, a
	// request of the department with the most waiting requests relative to its
	// weight is refused.
	MaxQueue int
	// Floor and Ceiling bound the concurrency limit, which starts at Floor.
	Floor, Ceiling int
}

// Decision reports that a request starts or is refused.
type Decision struct {
	ID ID
	// Code is OK if the request starts. Otherwise it is the reason for which the
	// request is refused without running.
	Code dcreason.Code
}

// Sample holds the observations of a finished request.
type Sample struct {
	// QueueTime is the mean time for which the sub-queries were queued in
	// upstreams. A negative value means unknown; the latency above the minimum is
	// used instead.
	QueueTime time.Duration
	// Overloaded is set if an upstream shed a sub-query.
	Overloaded bool
	// Failed is set if the request ended without a useful answer. Its queue time
	// is then treated as unknown.
	Failed bool
}

// Queue is the admission queue of one service group within one host. It is not
// safe for concurrent use. The decisions that a method returns are valid until
// the next call.
type Queue struct {
	config      Config
	fair        fairQueue
	limiter     limiter
	serviceTime durationEstimate
	lastID      ID
	entries     map[ID]*entry
	deadlines   deadlineHeap
	running     int
	decisions   []Decision
}

// entry is a waiting or running request.
type entry struct {
	id       ID
	flow     *flow
	deadline time.Time
	// priority is the priority; 0 is the highest. arrived is the time of arrival.
	priority int
	arrived  time.Time
	// cost is the cost, and group is the group, of a request in a RoomQueue.
	cost  float64
	group *roomGroup
	// element is the position in the queue of the flow, nil once the request has
	// started.
	element *list.Element
	// position is the index in the deadline heap while the request is waiting.
	position int
	started  time.Time
}

// New returns an empty queue.
func New(config Config) *Queue {
	q := &Queue{
		fair:    newFairQueue(),
		entries: make(map[ID]*entry),
	}
	q.Configure(config)
	return q
}

// Configure changes the configuration. Waiting and running requests are kept.
func (q *Queue) Configure(config Config) {
	config.Floor = max(config.Floor, 1)
	config.Ceiling = max(config.Ceiling, config.Floor)
	q.config = config
	q.fair.configure(config.Weights)
	q.limiter.configure(config.Floor, config.Ceiling)
}

// Submit adds a request. The returned decisions may concern this request and
// others. If none concerns this request, it is waiting.
func (q *Queue) Submit(department dcid.Department, deadline, now time.Time) (ID, []Decision) {
	q.expireRequests(now)
	q.lastID++
	id := q.lastID
	if !now.Before(deadline) {
		q.addDecision(id, dcreason.DeadlineExceeded)
		return id, q.decisions
	}
	arrived := &entry{id: id, flow: q.fair.flow(department), deadline: deadline, arrived: now}
	q.enqueue(arrived)
	q.dispatch(now)
	if arrived.element == nil {
		return id, q.decisions
	}
	if q.expectedEnd(arrived.flow, now).After(deadline) {
		q.refuse(arrived, dcreason.WaitExceedsDeadline)
	}
	if q.fair.waiting > q.config.MaxQueue {
		q.refuse(q.fair.evictionCandidate(arrived.flow), dcreason.QueueFull)
	}
	return id, q.decisions
}

// Done removes a started request that has ended, and returns the decisions that
// follow. Other tickets are ignored.
func (q *Queue) Done(id ID, sample Sample, now time.Time) []Decision {
	q.expireRequests(now)
	done := q.entries[id]
	if done == nil || done.element != nil {
		return nil
	}
	elapsed := now.Sub(done.started)
	q.serviceTime.add(elapsed)
	q.limiter.observe(observation{Sample: sample, started: done.started, elapsed: elapsed}, now)
	q.release(done)
	q.dispatch(now)
	return q.decisions
}

// Cancel removes a waiting or running request whose caller no longer waits for
// it. Its duration is not used as an observation.
func (q *Queue) Cancel(id ID, now time.Time) []Decision {
	q.expireRequests(now)
	cancelled := q.entries[id]
	if cancelled == nil {
		return nil
	}
	if cancelled.element != nil {
		q.dequeue(cancelled)
		delete(q.entries, id)
		return q.decisions
	}
	q.release(cancelled)
	q.dispatch(now)
	return q.decisions
}

// Expire refuses the waiting requests that can no longer be answered before
// their deadlines.
func (q *Queue) Expire(now time.Time) []Decision {
	q.expireRequests(now)
	q.dispatch(now)
	return q.decisions
}

// NextExpiry returns the time at which Expire must be called, or the zero time
// if no request is waiting. Any other call may change it.
func (q *Queue) NextExpiry() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].deadline.Add(-q.serviceTime.bound())
}

// Limit returns the concurrency limit.
func (q *Queue) Limit() int {
	return q.limiter.limit()
}

// Running returns the number of running requests.
func (q *Queue) Running() int {
	return q.running
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	return q.fair.waiting
}

// expireRequests clears the previous decisions and refuses the waiting requests
// that can no longer be answered before their deadlines. Each event starts with
// it, so that no slot is spent on such requests.
func (q *Queue) expireRequests(now time.Time) {
	q.decisions = q.decisions[:0]
	for next := q.NextExpiry(); !next.IsZero() && !now.Before(next); next = q.NextExpiry() {
		q.refuse(q.deadlines[0], dcreason.WaitExceedsDeadline)
	}
}

// dispatch starts waiting requests up to the concurrency limit.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.limiter.limit() && q.fair.waiting > 0 {
		started := q.fair.next(now)
		q.dequeue(started)
		started.started = now
		q.running++
		q.addDecision(started.id, dcreason.OK)
	}
	if q.running >= q.limiter.limit() {
		q.limiter.saturated = true
	}
}

// expectedEnd returns the time at which the newest request of a flow is expected
// to be answered. The flow is served at its share of the rate, or faster if the
// other flows run out of requests first.
func (q *Queue) expectedEnd(backlogged *flow, now time.Time) time.Time {
	startInterval := q.serviceTime.mean / time.Duration(q.limiter.limit())
	requestsAhead := min(float64(backlogged.queue.Len())/q.fair.share(backlogged), float64(q.fair.waiting))
	wait := time.Duration(requestsAhead * float64(startInterval))
	return now.Add(wait + q.serviceTime.bound())
}

func (q *Queue) enqueue(arrived *entry) {
	q.fair.push(arrived)
	q.entries[arrived.id] = arrived
	heap.Push(&q.deadlines, arrived)
}

func (q *Queue) dequeue(waiting *entry) {
	q.fair.remove(waiting)
	heap.Remove(&q.deadlines, waiting.position)
}

func (q *Queue) release(running *entry) {
	delete(q.entries, running.id)
	q.running--
}

func (q *Queue) refuse(waiting *entry, code dcreason.Code) {
	q.dequeue(waiting)
	delete(q.entries, waiting.id)
	q.addDecision(waiting.id, code)
}

func (q *Queue) addDecision(id ID, code dcreason.Code) {
	q.decisions = append(q.decisions, Decision{ID: id, Code: code})
}

// deadlineHeap is a min-heap of the waiting requests, ordered by deadline.
type deadlineHeap []*entry

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	added := x.(*entry)
	added.position = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return removed
}
