package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// mapPollInterval is the interval at which a query that waits for a newer
// snapshot of the shard map looks for one.
const mapPollInterval = 5 * time.Millisecond

// mapWait is the state of a query that waits for a newer snapshot because no
// server holds some of its shards any more. Status reports arrive later than
// the answers that show the change, so a newer snapshot often follows within a
// short time.
type mapWait struct {
	// waitingForMap counts the shards in the state waitingForMap.
	waitingForMap int
	// next is when the query looks for a newer snapshot again, zero while no
	// shard waits.
	next time.Time
	// deadline is when the query stops waiting. It is set once, by the first
	// shard that waits.
	deadline time.Time
}

// handleNoReplica handles a shard for which no replica is left. If the shard is
// gone, it may exist in a newer snapshot: the query restarts, or waits for one.
func (q *Query) handleNoReplica(sub *subquery, code dcreason.Code, now time.Time) {
	if isGone(code) && (q.restart(now) || q.waitForMap(sub, code, now)) {
		return
	}
	q.giveUpShard(sub, code, now)
}

// restart runs the whole query again on a newer snapshot, at most once. It
// returns false when it may not restart or there is no newer snapshot.
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

// waitForMap keeps a shard open until a newer snapshot is known or the wait
// ends. It returns false when the query must not wait any more.
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

// pollMap looks for a newer snapshot when that is due. When the wait has ended,
// it gives up the shards that wait.
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
