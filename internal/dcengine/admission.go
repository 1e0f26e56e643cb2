package dcengine

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

const (
	// maxRoomWait is the longest time for which a request waits for the rate limits
	// of its servers. It is at most maxRoomWaitShare of the latency target, so that
	// a refused caller can return in time.
	maxRoomWait      = 50 * time.Millisecond
	maxRoomWaitShare = 0.25
	// minReturnDelay and maxReturnDelay limit the retry delay that is sent to
	// callers refused because of rate limits. Callers do not wait for longer than a
	// part of the time that they have, so a longer delay has no effect.
	minReturnDelay = 20 * time.Millisecond
	maxReturnDelay = 2 * time.Second
	// returnRate is the number of callers a second of one host that return after
	// the servers wanted no requests for a time.
	returnRate = 100
)

// partRoom is the room that the servers of a part have.
type partRoom struct {
	dcbalance.Room
	part int
}

// admit decides whether a request may run, before anything is sent. It refuses
// requests that a stopping host may not answer in time, those for which too few
// services have a server, those for which the servers have no room or want no
// requests, and those that servers would refuse because of overload. Parts without
// room that the request can do without are left out.
func (r *run) admit(now time.Time) (refusal Reply, ok bool) {
	rooms, refusal, ok := r.neededRooms(now)
	if !ok {
		return refusal, false
	}
	// The longest wait among the services that are needed.
	scarcest := rooms[r.plan.MinParts-1]
	if scarcest.Wait > r.plan.MaxWait {
		return r.roomRefusal(scarcest, now), false
	}
	if !r.state.admit(now) {
		return refusalReply(dcreason.Overloaded), false
	}
	r.leaveOut(rooms[r.plan.MinParts:], now)
	return Reply{}, true
}

// neededRooms returns the room of the parts, those with the shortest wait first, or
// the reply to a request that a stopping host may not answer in time, or for which too
// few services have a server.
func (r *run) neededRooms(now time.Time) (rooms []partRoom, refusal Reply, ok bool) {
	if !r.engine.stop.admit(r, now) {
		return nil, stopRefusal(), false
	}
	if rooms = r.rooms(now); len(rooms) < r.plan.MinParts {
		return nil, refusalReply(dcreason.NoServer), false
	}
	return rooms, Reply{}, true
}

// roomRefusal returns the reply to a request for which a service has no room.
func (r *run) roomRefusal(scarcest partRoom, now time.Time) Reply {
	refusal := refusalReply(refusalCode(scarcest.Cause))
	refusal.RetryAfter = r.state.returnAfter(scarcest.Room, now)
	return refusal
}

// maxWait returns the longest time for which a request of a route waits for room.
func maxWait(route *dcroute.Route) time.Duration {
	return min(maxRoomWait, time.Duration(float64(route.LatencyTarget)*maxRoomWaitShare))
}

// rooms returns the room of the parts that have a usable server, those with the
// shortest wait first.
func (r *run) rooms(now time.Time) []partRoom {
	rooms := make([]partRoom, 0, len(r.services))
	typical := r.state.medianLatency(now)
	for part, service := range r.services {
		if room := service.room(typical, now); room.Usable > 0 {
			rooms = append(rooms, partRoom{room, part})
		}
	}
	slices.SortStableFunc(rooms, func(a, b partRoom) int { return cmp.Compare(a.Wait, b.Wait) })
	return rooms
}

// refusalCode returns the reason of a refusal for lack of room.
func refusalCode(cause dcbalance.Cause) dcreason.Code {
	switch cause {
	case dcbalance.Holds:
		return dcreason.UpstreamShed
	case dcbalance.Windows:
		return dcreason.Overloaded
	}
	return dcreason.RateLimited
}

// leaveOut leaves out the parts whose servers will not have room in time for an
// answer. Waiting for them would only delay the answer.
func (r *run) leaveOut(rooms []partRoom, now time.Time) {
	if r.plan.AnswerBy.IsZero() {
		return
	}
	// A part that waits notices room up to RetryDelay late.
	maxWait := r.plan.AnswerBy.Sub(now) - dcattempt.RetryDelay - r.state.medianLatency(now)
	for _, room := range rooms {
		if room.Wait > 0 && room.Wait >= maxWait && r.plan.LeaveOut(room.part) {
			r.leftOut = append(r.leftOut, string(r.services[room.part].name))
		}
	}
}
