package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// maxCanaryShards is the number of shards on which a canary is tried when
// servers refuse it or answer with errors.
const maxCanaryShards = 3

// canary is the state of the canary of a query: the sub-query that is sent
// alone, to one server, before all others.
type canary struct {
	// active is set until a canary succeeds. It is never set for a query without
	// a canary.
	active bool
	// shardsTried counts the shards on which the canary was tried.
	shardsTried int
	// crashedServer is the server that the canary crashed, empty for none.
	crashedServer dcid.ServerAddr
}

// crashedBy reports whether the canary crashed the server.
func (c *canary) crashedBy(server dcid.ServerAddr) bool {
	return c.crashedServer != "" && c.crashedServer == server
}

// sendCanary sends the first sub-query of one pending shard. The search starts
// at a random shard so that canaries spread over the servers.
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

// scatterAfterCanary sends the sub-queries of the other shards and adds the
// tokens that they earn to the budget, except after a restart.
func (q *Query) scatterAfterCanary(now time.Time) {
	before := q.stats.Sent
	q.scatter(now)
	if q.stats.Restarts == 0 {
		q.options.Budget.Sent(q.stats.Sent - before)
	}
}

// handleCanaryFailure handles a canary that ended without an answer. Unless it
// is proven that the server survived the request, the request goes to no other
// server. The exception is one other server after a crash, if the caller allows
// it.
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

// retryCanary sends the canary that crashed a server to one other server. It
// returns false when the caller or the budget does not allow it, or when no
// other server is usable.
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

// stopCanary refuses the query. After a crash, the shards that were not sent
// are missing because the request is suspected, otherwise because of code.
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

// markPendingMissing marks the shards that were not sent yet as missing.
func (q *Query) markPendingMissing(code dcreason.Code) {
	for i := range q.subs {
		if q.subs[i].state == pending {
			q.markMissing(&q.subs[i], code)
		}
	}
}
