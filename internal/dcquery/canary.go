package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// maxCanaries is the number of shards on which a canary is tried when servers
// refuse it or answer with errors.
const maxCanaryShards = 3

// canary is the state of a query that goes to one server first.
type canary struct {
	// active is set until a canary succeeds.
	active bool
	// shards counts the shards tried.
	shardsTried int
	// crashed is the server that the canary crashed.
	crashedServer dcid.ServerAddr
}

// crashedBy reports whether the request crashed the server.
func (c *canary) crashedBy(server dcid.ServerAddr) bool {
	return c.crashedServer != "" && c.crashedServer == server
}

// sendCanary sends the first sub-query of one shard, from a random place so
// that canaries spread over the servers.
func (q *Query) sendCanary(now time.Time) {
	offset := q.options.Rand.IntN(len(q.subs))
	for i := range q.subs {
		sub := &q.subs[(offset+i)%len(q.subs)]
		if sub.state == pending {
			q.send(sub, int(sub.firstReplica), causeFirst, now)
			q.canary.shardsTried++
			return
		}
	}
	q.finishIfDone()
}

// scatterAfterCanary sends the other shards and accrues budget for them.
func (q *Query) scatterAfterCanary(now time.Time) {
	before := q.stats.Sent
	q.scatter(now)
	if q.stats.Restarts == 0 {
		q.options.Budget.Sent(q.stats.Sent - before)
	}
}

// canaryFailed handles the loss of the canary. Without proof that the server
// survived the request, it goes to no further server, except one after a crash
// that the caller allows.
func (q *Query) handleCanaryFailure(sub *subquery, server dcid.ServerAddr, code dcreason.Code, now time.Time) {
	switch {
	case code == dcreason.UpstreamCrashed:
		if q.canary.crashedServer != "" || !q.retryCanary(sub, server, now) {
			q.stopCanary(sub, code)
		}
	case q.canary.crashedServer != "" || q.unknown:
		q.stopCanary(sub, code)
	default:
		q.resend(sub, code, now)
	}
}

// retryCanary sends the canary that crashed a server to one other server.
func (q *Query) retryCanary(sub *subquery, crashedServer dcid.ServerAddr, now time.Time) bool {
	q.canary.crashedServer = crashedServer
	if q.options.AllowCanaryRetry == nil || !q.options.AllowCanaryRetry(crashedServer) {
		return false
	}
	replica, ok := q.pickReplica(sub, causeRetry, now)
	if !ok {
		return false
	}
	if !q.options.Budget.Take() {
		q.stats.Denied++
		return false
	}
	q.stats.Retries++
	q.send(sub, replica, causeRetry, now)
	return true
}

// stopCanary refuses the query. The shards that were not asked are missing
// because the request is suspected.
func (q *Query) stopCanary(sub *subquery, code dcreason.Code) {
	q.markMissing(sub, code)
	if q.canary.crashedServer != "" {
		q.markPendingMissing(dcreason.RequestSuspected)
		q.finish(dcreason.UpstreamCrashed)
		return
	}
	q.markPendingMissing(code)
	q.finish(code)
}

// loseWaiting gives up the shards that were not sent yet.
func (q *Query) markPendingMissing(code dcreason.Code) {
	for i := range q.subs {
		if q.subs[i].state == pending {
			q.markMissing(&q.subs[i], code)
		}
	}
}
