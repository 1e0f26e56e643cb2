package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// mapInterval is how often a query that waits for a newer map asks for it.
const mapPollInterval = 5 * time.Millisecond

// mapWait is the state of a query with shards that are gone from the pinned
// map while no newer pin is known. Status reports lag behind the change that
// the answers show, so the newer map is often a moment away.
type mapWait struct {
	// parked counts the shards that wait.
	waitingForMap int
	// next is when the map is asked for again, zero while no shard waits.
	next time.Time
	// until is when the query stops waiting; it is set once.
	deadline time.Time
}

// exhausted handles a shard without a further replica. A shard that is gone
// may exist on a newer pin.
func (q *Query) handleNoReplica(sub *subquery, code dcreason.Code, now time.Time) {
	if isGone(code) && (q.restart(now) || q.waitForMap(sub, code, now)) {
		return
	}
	q.giveUpShard(sub, code, now)
}

// restart runs the whole query again on a newer pin, once.
func (q *Query) restart(now time.Time) bool {
	if !q.mayRestart(now) {
		return false
	}
	snapshot := q.options.NewerSnapshot(q.snapshot)
	if snapshot == nil || snapshot.TotalShards == 0 {
		return false
	}
	q.stats.Restarts++
	q.cancelAll()
	q.loadSnapshot(snapshot)
	q.scatter(now)
	return true
}

func (q *Query) mayRestart(now time.Time) bool {
	if q.stats.Restarts > 0 || q.options.NewerSnapshot == nil {
		return false
	}
	return q.options.Deadline.Sub(now) >= q.options.MinRestartTime
}

// park keeps a shard open until a newer pin is known or the wait ends.
func (q *Query) waitForMap(sub *subquery, code dcreason.Code, now time.Time) bool {
	if !q.mayRestart(now) {
		return false
	}
	if q.wait.deadline.IsZero() {
		q.wait.deadline = now.Add(q.options.MapWait)
	}
	if !now.Before(q.wait.deadline) {
		return false
	}
	sub.state = waitingForMap
	sub.code = code
	q.wait.waitingForMap++
	if q.wait.next.IsZero() {
		q.wait.next = now.Add(mapPollInterval)
	}
	return true
}

// remap asks again for a newer pin, and gives up the shards that wait for it
// when the wait has ended.
func (q *Query) pollMap(now time.Time) {
	if q.wait.next.IsZero() || now.Before(q.wait.next) || q.restart(now) {
		return
	}
	if q.mayRestart(now) && now.Before(q.wait.deadline) {
		q.wait.next = now.Add(mapPollInterval)
		return
	}
	q.wait.next = time.Time{}
	for i := 0; i < len(q.subs) && q.wait.waitingForMap > 0 && !q.finished; i++ {
		if sub := &q.subs[i]; sub.state == waitingForMap {
			q.wait.waitingForMap--
			q.giveUpShard(sub, sub.code, now)
		}
	}
}
