package dcadmission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

const (
	// maxRoomQueue is the maximum number of waiting requests of a group.
	maxRoomQueue = 256
	// maxDebt is the number of requests of priority 0 that may start ahead of the pace
	// if they could not be answered in time otherwise. It is one less for each less
	// urgent priority. The rate of all requests stays the same. Without it, a host with
	// few requests a second refuses urgent requests that cannot wait for its next one.
	maxDebt = 3
	// reservedRoom is the number of requests for which a department that exceeds its
	// share must leave room. Otherwise it would use up the room that a department
	// within its share needs a moment later, since requests can wait only shortly.
	// urgentReservedRoom is that number while a more urgent priority of the department
	// is served less often, as it is if its requests can wait less.
	reservedRoom       = 3
	urgentReservedRoom = 4.5
	// minReturn and maxReturn limit the mean time after which a refused caller is told
	// to return.
	minReturn = 150 * time.Millisecond
	maxReturn = time.Second
	// scarceFactor is the fraction of the lowest rate of the services that are needed
	// below which the rate of another one is not waited for. Services whose rates
	// differ less are short of room for the same reason, and are all waited for.
	scarceFactor = 0.5
	// returnSpread is the largest deviation from that mean, as a fraction of it.
	returnSpread = 0.5
)

// RoomRequest is a request that needs room at all of its services.
type RoomRequest struct {
	Department dcid.Department
	// Weight is the weight of the department, 0 for DefaultWeight.
	Weight float64
	// Priority is the priority; 0 is the highest.
	Priority int
	// Cost is what the request costs each service in relation to others, such as the
	// seconds that a server usually takes for it. It is above 0.
	Cost float64
	// Services lists the services at which the request needs room.
	Services []dcid.ServiceName
	// Needed is the number of services without which there is no answer, 0 for all. A
	// service beyond that number does not hold the request up if it is far scarcer than
	// the others.
	Needed int
	// Latest is the time until which the request must start to be answered in time.
	Latest time.Time
}

// PaceChange reports that the rate of the requests to a service is limited
// otherwise than before.
type PaceChange struct {
	Service dcid.ServiceName
	// Rate is in usual requests a second, 0 if it is no longer limited.
	Rate float64
}

// RoomQueue orders the requests of one host that wait for room at the servers of
// their services. Each service has a pace, which is inactive while its servers have
// room. Requests that need the same services form a group with one fair queue. A
// request starts when all its services have room, so it gets room at all of them or
// at none, and the scarcest decides. It is not safe for concurrent use. The decisions
// that a method returns are valid until the next call.
type RoomQueue struct {
	// Random spreads the return of refused callers.
	Random *rand.Rand
	// Changed is called when a pace changes. It may be nil.
	Changed func(PaceChange)

	// served is the share of all requests that compete for room.
	served    servedShare
	paces     map[dcid.ServiceName]*pace
	groups    map[string]*roomGroup
	ordered   []*roomGroup
	lastID    ID
	entries   map[ID]*entry
	deadlines deadlineHeap
	decisions []Decision
}

// roomGroup is the queue of the requests that need the same services.
type roomGroup struct {
	key    string
	paces  []*pace
	needed int
	fair   fairQueue
	// blockedUntil is the time before which no request starts.
	blockedUntil time.Time
	// rates is reused by lowestRate.
	rates []float64
}

// Submit adds a request. The returned decisions may concern this request and
// others. If none concerns this request, it is waiting.
func (q *RoomQueue) Submit(request RoomRequest, now time.Time) (ID, []Decision) {
	q.begin(now)
	q.lastID++
	id := q.lastID
	group := q.group(request.Services, request.Needed)
	if group.free(now) {
		// Nothing is short of room: the request is not counted for its department.
		q.addDecision(id, dcreason.OK)
		return id, q.decisions
	}
	into := group.fair.flow(request.Department)
	if into.weight = DefaultWeight; request.Weight > 0 {
		into.weight = request.Weight
	}
	arrived := &entry{id: id, flow: into, deadline: request.Latest, priority: request.Priority, arrived: now, group: group, cost: request.Cost}
	group.fair.push(arrived)
	group.fair.recordOffered(arrived, now)
	q.entries[id] = arrived
	heap.Push(&q.deadlines, arrived)
	q.dispatch(now)
	if arrived.element == nil {
		return id, q.decisions
	}
	group.setBinding(arrived, now)
	if now.Add(group.expectedWait(arrived, now)).After(request.Latest) && !q.startEarly(arrived, now) {
		q.refuse(arrived, dcreason.WaitExceedsDeadline)
	}
	if group.fair.waiting > maxRoomQueue {
		q.refuse(group.fair.evictionCandidate(into), dcreason.QueueFull)
	}
	return id, q.decisions
}

// Observe counts the outcome of a send to a service.
func (q *RoomQueue) Observe(service dcid.ServiceName, sample RoomSample, now time.Time) []Decision {
	observed := q.pace(service)
	if !observed.observe(sample, now) {
		return nil
	}
	q.reportPace(service, observed)
	return q.Expire(now)
}

// Block keeps requests that need the services of the given one from starting for a
// time, because one of the services has no room. scarcest is that service. Its servers
// take requests of this host at the given rate, in requests a second, 0 if unknown.
func (q *RoomQueue) Block(request RoomRequest, scarcest dcid.ServiceName, wait time.Duration, rate float64, now time.Time) {
	group := q.group(request.Services, request.Needed)
	if until := now.Add(wait); until.After(group.blockedUntil) {
		group.blockedUntil = until
	}
	if limited := q.pace(scarcest); limited.limit(rate, now) {
		q.reportPace(scarcest, limited)
	}
}

// Cancel removes a waiting request whose caller no longer waits for it.
func (q *RoomQueue) Cancel(id ID, now time.Time) []Decision {
	q.begin(now)
	if cancelled := q.entries[id]; cancelled != nil {
		q.dequeue(cancelled)
	}
	q.dispatch(now)
	return q.decisions
}

// Expire starts the requests that have room, and refuses those that can no longer be
// answered in time.
func (q *RoomQueue) Expire(now time.Time) []Decision {
	q.begin(now)
	q.dispatch(now)
	return q.decisions
}

// NextEvent returns the time at which Expire must be called, or the zero time if no
// request is waiting. Any other call may change it.
func (q *RoomQueue) NextEvent(now time.Time) (next time.Time) {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	next = q.deadlines[0].deadline
	for _, group := range q.ordered {
		if group.fair.waiting == 0 {
			continue
		}
		if at := now.Add(group.wait(-group.reserved(group.fair.first(now), now), now)); at.Before(next) {
			next = at
		}
	}
	return next
}

// Waiting returns the number of waiting requests.
func (q *RoomQueue) Waiting() int { return len(q.deadlines) }

// RetryDelay returns after how long a caller may return whose request was refused.
// It is longer the more requests are refused, and differs between callers, so that
// they do not return together.
func (q *RoomQueue) RetryDelay(request RoomRequest, now time.Time) time.Duration {
	group := q.group(request.Services, request.Needed)
	group.fair.served.decay(now)
	mean := minReturn
	if offered, started := group.fair.served.offered, group.fair.served.started; offered > started {
		mean = time.Duration(min(float64(minReturn)*offered/max(started, 1), float64(maxReturn)))
	}
	mean = max(mean, min(group.wait(0, now), maxReturn))
	return time.Duration(float64(mean) * (1 + returnSpread*(2*q.Random.Float64()-1)))
}

// begin clears the previous decisions and refuses the requests that can no longer be
// answered in time.
func (q *RoomQueue) begin(now time.Time) {
	q.decisions = q.decisions[:0]
	for len(q.deadlines) > 0 && now.After(q.deadlines[0].deadline) {
		q.refuse(q.deadlines[0], dcreason.WaitExceedsDeadline)
	}
}

// dispatch starts requests while their services have room. Of the groups with room,
// which may share services, that with the most urgent request comes first.
func (q *RoomQueue) dispatch(now time.Time) {
	for {
		var first *entry
		for _, group := range q.ordered {
			if group.fair.waiting == 0 {
				continue
			}
			candidate := group.fair.first(now)
			if group.wait(-group.reserved(candidate, now), now) > 0 {
				continue
			}
			if first == nil || candidate.priority < first.priority || candidate.priority == first.priority && candidate.arrived.Before(first.arrived) {
				first = candidate
			}
		}
		if first == nil {
			break
		}
		q.start(first.group.fair.next(now), now)
	}
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].deadline) {
		q.refuse(q.deadlines[0], dcreason.WaitExceedsDeadline)
	}
}

// startEarly starts a request ahead of the pace if it is the next one and its
// priority allows that.
func (q *RoomQueue) startEarly(arrived *entry, now time.Time) bool {
	debt := float64(maxDebt - max(arrived.priority, 0))
	if debt <= 0 || arrived.group.fair.first(now) != arrived || arrived.group.reserved(arrived, now) > 0 || arrived.group.wait(debt, now) > 0 {
		return false
	}
	q.start(arrived.group.fair.next(now), now)
	return true
}

func (q *RoomQueue) start(started *entry, now time.Time) {
	started.group.fair.recordStarted(started, now)
	for _, pace := range started.group.paces {
		pace.take(started.cost, maxDebt)
	}
	q.dequeue(started)
	q.addDecision(started.id, dcreason.OK)
}

func (q *RoomQueue) refuse(waiting *entry, code dcreason.Code) {
	q.dequeue(waiting)
	q.addDecision(waiting.id, code)
}

func (q *RoomQueue) dequeue(waiting *entry) {
	waiting.group.fair.remove(waiting)
	heap.Remove(&q.deadlines, waiting.position)
	delete(q.entries, waiting.id)
}

func (q *RoomQueue) addDecision(id ID, code dcreason.Code) {
	q.decisions = append(q.decisions, Decision{ID: id, Code: code})
}

func (q *RoomQueue) reportPace(service dcid.ServiceName, changed *pace) {
	if q.Changed == nil {
		return
	}
	change := PaceChange{Service: service}
	if changed.active {
		change.Rate = changed.rate / changed.cost
	}
	q.Changed(change)
}

func (q *RoomQueue) pace(service dcid.ServiceName) *pace {
	found := q.paces[service]
	if found == nil {
		if q.paces == nil {
			q.paces = make(map[dcid.ServiceName]*pace)
		}
		found = new(pace)
		q.paces[service] = found
	}
	return found
}

// group returns the group of the requests that need the given services.
func (q *RoomQueue) group(services []dcid.ServiceName, needed int) *roomGroup {
	if needed <= 0 || needed > len(services) {
		needed = len(services)
	}
	key := groupKey(services, needed)
	if found := q.groups[key]; found != nil {
		return found
	}
	if q.groups == nil {
		q.groups, q.entries = make(map[string]*roomGroup), make(map[ID]*entry)
	}
	added := &roomGroup{key: key, needed: needed, fair: newFairQueue()}
	added.fair.all = &q.served
	for _, service := range services {
		added.paces = append(added.paces, q.pace(service))
	}
	q.groups[key] = added
	place, _ := slices.BinarySearchFunc(q.ordered, key, func(candidate *roomGroup, key string) int { return strings.Compare(candidate.key, key) })
	q.ordered = slices.Insert(q.ordered, place, added)
	return added
}

func groupKey(services []dcid.ServiceName, needed int) string {
	if len(services) == 1 {
		return string(services[0])
	}
	var key strings.Builder
	key.WriteString(strconv.Itoa(needed))
	for _, service := range services {
		key.WriteString(string(service))
		key.WriteByte(0)
	}
	return key.String()
}

// free reports whether none of the services is short of room.
func (g *roomGroup) free(now time.Time) bool {
	for _, pace := range g.paces {
		if pace.active {
			return false
		}
	}
	return g.fair.waiting == 0 && !now.Before(g.blockedUntil)
}

// wait returns the time until a request may start that may leave the paces with the
// given number of usual requests owed.
func (g *roomGroup) wait(debt float64, now time.Time) (longest time.Duration) {
	longest = max(g.blockedUntil.Sub(now), 0)
	lowest := g.lowestRate()
	for _, pace := range g.paces {
		if pace.active && pace.rate >= lowest {
			longest = max(longest, pace.wait(debt, now))
		}
	}
	return longest
}

// lowestRate returns the lowest rate of a service that requests wait for, infinite if
// no rate is limited.
func (g *roomGroup) lowestRate() float64 {
	g.rates = g.rates[:0]
	for _, pace := range g.paces {
		if pace.active {
			g.rates = append(g.rates, pace.rate)
		}
	}
	if len(g.rates) == 0 {
		return math.Inf(1)
	}
	slices.Sort(g.rates)
	optional := len(g.paces) - g.needed
	if optional == 0 {
		return g.rates[0]
	}
	// Without a limit at the needed services, all limited ones can be left out.
	if optional >= len(g.rates) {
		return math.Inf(1)
	}
	needed := g.rates[optional]
	for _, rate := range g.rates[:optional] {
		if rate >= scarceFactor*needed {
			return rate
		}
	}
	return needed
}

// expectedWait returns the time until a waiting request is expected to start.
func (g *roomGroup) expectedWait(waiting *entry, now time.Time) time.Duration {
	ahead := time.Duration(g.fair.ahead(waiting, now) / g.lowestRate() * float64(time.Second))
	return g.wait(-g.reserved(waiting, now), now) + ahead
}

// reserved returns the number of usual requests for which a request must leave room. It
// is negative if the request may start ahead of the pace.
func (g *roomGroup) reserved(waiting *entry, now time.Time) float64 {
	if g.fair.owed(now) == waiting {
		// Urgent requests that start ahead of the pace would otherwise keep it waiting.
		return -1
	}
	if !g.fair.exceedsShare(waiting.flow, now) {
		return 0
	}
	if g.fair.urgentWorseOff(waiting, now) {
		return urgentReservedRoom
	}
	return reservedRoom
}

// setBinding records that a request had to wait, and for which paces. Those only grow
// for departments within their share: a higher rate is tried until servers are short of
// room, which costs all departments.
func (g *roomGroup) setBinding(waiting *entry, now time.Time) {
	within := g.reserved(waiting, now) <= 0
	for _, pace := range g.paces {
		pace.neededAt = now
		if within && pace.wait(0, now) > 0 {
			pace.binding = true
		}
	}
}
