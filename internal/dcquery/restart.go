package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// mapInterval is how often a query that waits for a newer map asks for it.
const mapInterval = 5 * time.Millisecond

// mapWait is the state of a query with shards that are gone from the pinned
// map while no newer pin is known. Status reports lag behind the change that
// the answers show, so the newer map is often a moment away.
type mapWait struct {
	// parked counts the shards that wait.
	parked int
	// next is when the map is asked for again, zero while no shard waits.
	next time.Time
	// until is when the query stops waiting; it is set once.
	until time.Time
}

// exhausted handles a shard without a further replica. A shard that is gone
// may exist on a newer pin.
func (q *Query) exhausted(sub *subquery, code dcreason.Code, now time.Time) {
	if gone(code) && (q.restart(now) || q.park(sub, code, now)) {
		return
	}
	q.lose(sub, code, now)
}

// restart runs the whole query again on a newer pin, once.
func (q *Query) restart(now time.Time) bool {
	if !q.mayRestart(now) {
		return false
	}
	pin := q.options.PinNewer(q.pin)
	if pin == nil || pin.Total == 0 {
		return false
	}
	q.stats.Restarts++
	q.cancelAll()
	q.load(pin)
	q.scatter(now)
	return true
}

func (q *Query) mayRestart(now time.Time) bool {
	if q.stats.Restarts > 0 || q.options.PinNewer == nil {
		return false
	}
	return q.options.Deadline.Sub(now) >= q.options.RestartTime
}

// park keeps a shard open until a newer pin is known or the wait ends.
func (q *Query) park(sub *subquery, code dcreason.Code, now time.Time) bool {
	if !q.mayRestart(now) {
		return false
	}
	if q.wait.until.IsZero() {
		q.wait.until = now.Add(q.options.MapWait)
	}
	if !now.Before(q.wait.until) {
		return false
	}
	sub.state = parked
	sub.code = code
	q.wait.parked++
	if q.wait.next.IsZero() {
		q.wait.next = now.Add(mapInterval)
	}
	return true
}

// remap asks again for a newer pin, and gives up the shards that wait for it
// when the wait has ended.
func (q *Query) remap(now time.Time) {
	if q.wait.next.IsZero() || now.Before(q.wait.next) || q.restart(now) {
		return
	}
	if q.mayRestart(now) && now.Before(q.wait.until) {
		q.wait.next = now.Add(mapInterval)
		return
	}
	q.wait.next = time.Time{}
	for i := 0; i < len(q.subs) && q.wait.parked > 0 && !q.finished; i++ {
		if sub := &q.subs[i]; sub.state == parked {
			q.wait.parked--
			q.lose(sub, sub.code, now)
		}
	}
}
