package dcengine

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
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
)

// partRoom is the room that the servers of a part have.
type partRoom struct {
	dcbalance.Room
	part int
}

// admit decides whether a request may run, before anything is sent. It refuses
// requests for which too few services have a server, those for which the rate
// limits of the servers have no room, and those that servers would refuse because
// of overload. Parts without room that the request can do without are left out.
func (r *run) admit(now time.Time) (refusal Reply, ok bool) {
	minParts := r.plan.MinParts
	rooms := make([]partRoom, 0, len(r.services))
	for part, service := range r.services {
		if room := service.room(now); room.Usable > 0 {
			rooms = append(rooms, partRoom{room, part})
		}
	}
	if len(rooms) < minParts {
		return refusalReply(dcreason.NoServer), false
	}
	slices.SortStableFunc(rooms, func(a, b partRoom) int { return cmp.Compare(a.Wait, b.Wait) })
	// The longest wait among the services that are needed.
	scarcest := rooms[minParts-1]
	if maxWait := min(maxRoomWait, time.Duration(float64(r.route.LatencyTarget)*maxRoomWaitShare)); scarcest.Wait > maxWait {
		refusal = refusalReply(dcreason.RateLimited)
		refusal.RetryAfter = r.state.returnAfter(scarcest.Room, now)
		return refusal, false
	}
	if !r.state.admit(now) {
		return refusalReply(dcreason.Overloaded), false
	}
	r.leaveOut(rooms[minParts:], now)
	return Reply{}, true
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
