package dcengine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcadmission"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcdepartment"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

const (
	// maxTurnShare is the largest part of the time until the answer is due that a
	// request waits for room. The rest is for the servers.
	maxTurnShare = 0.5
	// maxTurnWait is the longest time for which a request waits for room. The bound on the
	// quotas of departments allows for half a second between the decision on a request
	// and its start at a server.
	maxTurnWait = 400 * time.Millisecond
	// serviceMargin multiplies the latency that most sends stay below to give the time
	// that is reserved for the servers.
	serviceMargin = 1.25
	// minTurnShare is the smallest part. The latencies that are known are those of
	// servers that were short of room, and shrink once requests wait here instead.
	minTurnShare = 0.25
	// unknownCostDivisor divides the latency target to give the cost of a request
	// while the usual latency is not known, and maxCostDivisor to give the highest
	// cost. A host that starts while servers are short of room sees high latencies
	// first.
	unknownCostDivisor = 8
	maxCostDivisor     = 4
)

// fairRoom holds the requests that wait for room. It is used only while the
// configuration has departments.
type fairRoom struct {
	mu    sync.Mutex
	queue *dcadmission.RoomQueue
	// waiters holds a channel for each waiting request, which receives the decision.
	waiters map[dcadmission.ID]chan dcreason.Code
	// limited holds the services whose rate is limited.
	limited map[dcid.ServiceName]bool
	timer   clockwork.Timer
	// timerAt is the time for which the timer was last set; zero once it has fired.
	timerAt time.Time
}

// admitByTable decides whether a request may run, before anything is sent. With
// departments, it waits for its turn.
func (r *run) admitByTable(ctx context.Context, table *dcroute.Table, department *dcdepartment.Department) (refusal Reply, ok bool) {
	if !table.RequiresKeys() {
		return r.admit(r.engine.Clock.Now())
	}
	r.sharesRoom = true
	wanted := dcadmission.RoomRequest{
		Department: r.request.Department,
		Priority:   r.priority,
		Cost:       r.state.usualCost(r.route.LatencyTarget),
		Needed:     r.plan.MinParts,
		Latest:     r.latestStart(r.engine.Clock.Now()),
	}
	if department != nil {
		wanted.Weight = department.Quota.Rate
	}
	for _, service := range r.services {
		wanted.Services = append(wanted.Services, service.name)
	}
	return r.admitInTurn(ctx, table, wanted)
}

// latestStart returns the time until which a request must start to be answered in
// time.
func (r *run) latestStart(now time.Time) time.Time {
	due := r.plan.AnswerBy
	if due.IsZero() {
		due = r.request.Arrived.Add(partialAnswerDelay(r.route.LatencyTarget, 0))
	}
	if due.After(r.plan.Deadline) {
		due = r.plan.Deadline
	}
	left := due.Sub(now)
	reserved := time.Duration(float64(r.state.hedgeDelay(r.route.LatencyTarget, now)) * serviceMargin)
	share := func(part float64) time.Duration { return time.Duration(float64(left) * part) }
	return now.Add(min(max(min(left-reserved, share(maxTurnShare)), share(minTurnShare), 0), maxTurnWait))
}

// admitInTurn waits until the services of a request have room for it.
func (r *run) admitInTurn(ctx context.Context, table *dcroute.Table, wanted dcadmission.RoomRequest) (refusal Reply, ok bool) {
	for turned := false; ; turned = true {
		now := r.engine.Clock.Now()
		rooms, refusal, ok := r.neededRooms(now)
		if !ok {
			return refusal, false
		}
		scarcest, rest := rooms[r.plan.MinParts-1], rooms[r.plan.MinParts:]
		short := scarcest.Wait > r.plan.MaxWait
		switch {
		case short && now.Add(scarcest.Wait).After(wanted.Latest):
			r.engine.Meter.roomRefused(refusalCode(scarcest.Cause))
			return r.roomRefusal(scarcest, now), false
		case short:
			r.engine.blockRoom(wanted, r.services[scarcest.part].name, scarcest.Room, now)
		case turned:
			r.leaveOut(rest, now)
			return Reply{}, true
		}
		code, waited := r.engine.waitForRoom(ctx, wanted)
		r.roomWait += waited
		if waited > 0 {
			if refusal, ok := r.recheck(table); !ok {
				return refusal, false
			}
		}
		switch {
		case code != dcreason.OK:
			return r.turnRefusal(code, wanted), false
		case waited == 0 && !short:
			r.leaveOut(rest, now)
			return Reply{}, true
		}
	}
}

// turnRefusal returns the reply to a request that got no turn. Nothing was sent.
func (r *run) turnRefusal(code dcreason.Code, wanted dcadmission.RoomRequest) Reply {
	r.engine.Meter.roomRefused(code)
	switch code {
	case dcreason.HostStopping:
		return stopRefusal()
	case dcreason.Cancelled:
		return Reply{Status: http.StatusServiceUnavailable, Code: code}
	}
	refusal := refusalReply(code)
	refusal.RetryAfter = r.engine.roomRetryDelay(wanted)
	return refusal
}

// recheck checks a request that has waited by the newest configuration. pinned is the
// one in force at its arrival, by which it is sent.
func (r *run) recheck(pinned *dcroute.Table) (refusal Reply, ok bool) {
	newest := r.engine.table.Load()
	if newest == pinned {
		return Reply{}, true
	}
	route := newest.Find(r.request.Host, r.request.Path)
	if route == nil {
		return Reply{Status: http.StatusNotFound, Code: dcreason.RouteUnknown}, false
	}
	if !newest.RequiresKeys() {
		return Reply{}, true
	}
	_, refusal, ok = authorize(newest, route, r.request)
	return refusal, ok
}

// waitForRoom waits for the turn of a request. It returns OK, or the reason for which
// the request must not run, and how long it has waited.
func (e *Engine) waitForRoom(ctx context.Context, wanted dcadmission.RoomRequest) (code dcreason.Code, waited time.Duration) {
	room, decided := &e.fairRoom, make(chan dcreason.Code, 1)
	now := e.Clock.Now()
	room.mu.Lock()
	id, decisions := e.roomQueue().Submit(wanted, now)
	room.waiters[id] = decided
	e.deliver(decisions, now)
	room.mu.Unlock()
	select {
	case code := <-decided:
		return code, 0
	default:
	}
	select {
	case code = <-decided:
	case <-ctx.Done():
		code = e.leaveRoomQueue(id, dcreason.Cancelled)
	case <-e.stop.endedChannel():
		code = e.leaveRoomQueue(id, dcreason.HostStopping)
	}
	waited = e.Clock.Since(now)
	e.Meter.roomWait(wanted.Priority, waited)
	return code, max(waited, 1)
}

// leaveRoomQueue removes a waiting request and returns the reason.
func (e *Engine) leaveRoomQueue(id dcadmission.ID, code dcreason.Code) dcreason.Code {
	room := &e.fairRoom
	room.mu.Lock()
	defer room.mu.Unlock()
	delete(room.waiters, id)
	now := e.Clock.Now()
	e.deliver(e.roomQueue().Cancel(id, now), now)
	return code
}

// blockRoom keeps requests waiting while a service has no room.
func (e *Engine) blockRoom(wanted dcadmission.RoomRequest, scarcest dcid.ServiceName, known dcbalance.Room, now time.Time) {
	room := &e.fairRoom
	room.mu.Lock()
	defer room.mu.Unlock()
	e.roomQueue().Block(wanted, scarcest, known.Wait, float64(known.Rate), now)
}

// roomRetryDelay returns after how long a caller may return whose request got no turn.
func (e *Engine) roomRetryDelay(wanted dcadmission.RoomRequest) time.Duration {
	room := &e.fairRoom
	room.mu.Lock()
	defer room.mu.Unlock()
	return e.roomQueue().RetryDelay(wanted, e.Clock.Now())
}

// observeRoom counts the outcome of a send for the room of its service.
func (r *run) observeRoom(service dcid.ServiceName, sent time.Time, answer *dcforward.Answer, now time.Time) {
	if !r.sharesRoom {
		return
	}
	sample := dcadmission.RoomSample{Sent: sent, Priority: r.priority, Cost: r.state.usualCost(r.route.LatencyTarget)}
	slow := now.Sub(sent) >= r.state.slowLatency(r.route.LatencyTarget, now)
	switch answer.Outcome {
	case dcbalance.Answered, dcbalance.Failed:
		sample.Answered, sample.Slow = true, slow
	case dcbalance.Refused:
		if answer.Leaving {
			return
		}
		sample.Refused = true
	case dcbalance.Lost, dcbalance.Abandoned:
		if !slow {
			return
		}
		sample.Slow = true
	default:
		return
	}
	room := &r.engine.fairRoom
	room.mu.Lock()
	defer room.mu.Unlock()
	if decisions := r.engine.roomQueue().Observe(service, sample, now); len(decisions) > 0 {
		r.engine.deliver(decisions, now)
	}
}

// slowLatency returns the latency from which an answer shows that its server is short
// of room.
func (r *routeState) slowLatency(target time.Duration, now time.Time) time.Duration {
	median := r.medianLatency(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usual.Slow(median, target, now)
}

// usualCost returns the seconds that a server with room usually takes for a request.
func (r *routeState) usualCost(target time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if usual := r.usual.Lowest(); usual > 0 {
		return min(usual, target/maxCostDivisor).Seconds()
	}
	return target.Seconds() / unknownCostDivisor
}

// roomQueue returns the queue and creates it if necessary. The caller holds the lock.
func (e *Engine) roomQueue() *dcadmission.RoomQueue {
	room := &e.fairRoom
	if room.queue == nil {
		room.queue = &dcadmission.RoomQueue{Random: rand.New(rand.NewPCG(e.Seed, 0)), Changed: e.roomChanged}
		room.waiters = make(map[dcadmission.ID]chan dcreason.Code)
		room.limited = make(map[dcid.ServiceName]bool)
	}
	return room.queue
}

// roomChanged reports the rate to which requests to a service are limited. The caller
// holds the lock.
func (e *Engine) roomChanged(change dcadmission.PaceChange) {
	e.Meter.roomRate(change.Service, change.Rate)
	limited := change.Rate > 0
	if e.fairRoom.limited[change.Service] == limited {
		return
	}
	if !limited {
		delete(e.fairRoom.limited, change.Service)
		e.Log.Info("service has room again", zap.String("service", string(change.Service)))
		return
	}
	e.fairRoom.limited[change.Service] = true
	e.Log.Info("service is short of room, requests wait", zap.String("service", string(change.Service)), zap.Float64("rate", change.Rate))
}

// deliver passes decisions to the waiting requests and sets the timer for the next
// one. The caller holds the lock.
func (e *Engine) deliver(decisions []dcadmission.Decision, now time.Time) {
	room := &e.fairRoom
	for _, decision := range decisions {
		if decided, ok := room.waiters[decision.ID]; ok {
			delete(room.waiters, decision.ID)
			decided <- decision.Code
		}
	}
	e.Meter.roomWaiting.Update(float64(room.queue.Waiting()))
	next := room.queue.NextEvent(now)
	if next.IsZero() || next.Equal(room.timerAt) {
		return
	}
	room.timerAt = next
	if room.timer == nil {
		room.timer = e.Clock.AfterFunc(next.Sub(now), e.nextTurn)
		return
	}
	room.timer.Reset(next.Sub(now))
}

// nextTurn starts the requests that have room.
func (e *Engine) nextTurn() {
	room := &e.fairRoom
	room.mu.Lock()
	defer room.mu.Unlock()
	room.timerAt = time.Time{}
	now := e.Clock.Now()
	e.deliver(room.queue.Expire(now), now)
}
