package dcquery

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// The penalties rank the replicas of a shard: the one with the lowest sum is
// preferred.
const (
	coldPenalty       = 1
	sameDomainPenalty = 2
	sheddingPenalty   = 4
)

// pickReplica chooses the replica for the next transmission of a shard, and
// returns false when no usable one is left. Replicas that were tried already
// are excluded. It prefers a failure domain to which this shard was not sent
// yet, and a warm server to a cold one. Of several equally good replicas it
// compares two and takes the less loaded. Hedges and retries never go to a
// server that sheds load.
func (q *Query) pickReplica(sub *subquery, cause sendCause, now time.Time) (replica int, ok bool) {
	var best [maxReplicas]uint8
	count, lowest := 0, 0
	for i := range min(len(sub.shard.Replicas), maxReplicas) {
		if sub.triedReplicas&(1<<i) != 0 {
			continue
		}
		penalty, usable := q.penalty(sub, i, cause, now)
		if !usable {
			continue
		}
		if count == 0 || penalty < lowest {
			count, lowest = 0, penalty
		}
		if penalty == lowest {
			best[count] = uint8(i)
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return q.pickLessLoaded(sub, best[:count]), true
}

// penalty returns the sum of the penalties of a replica. usable is false if
// nothing may be sent to its server.
func (q *Query) penalty(sub *subquery, replica int, cause sendCause, now time.Time) (penalty int, usable bool) {
	candidate := &sub.shard.Replicas[replica]
	if !q.options.Servers.Usable(candidate.Server) || q.canary.crashedBy(candidate.Server) {
		return 0, false
	}
	if q.options.Budget.Shedding(candidate.Server, now) {
		if cause == causeHedge || cause == causeRetry {
			return 0, false
		}
		penalty += sheddingPenalty
	}
	if q.triedDomain(sub, candidate.Domain) {
		penalty += sameDomainPenalty
	}
	if candidate.Cold {
		penalty += coldPenalty
	}
	return penalty, true
}

// triedDomain reports whether the shard was sent to a server in the failure
// domain.
func (q *Query) triedDomain(sub *subquery, domain dcid.FailureDomain) bool {
	if sub.triedReplicas == 0 {
		return false
	}
	for i := range min(len(sub.shard.Replicas), maxReplicas) {
		if sub.triedReplicas&(1<<i) != 0 && sub.shard.Replicas[i].Domain == domain {
			return true
		}
	}
	return false
}

// pickLessLoaded returns the less loaded of two replicas (power of two choices).
// The first is taken by rotation, the second at random. Rotation spreads the
// shards of one query evenly over the servers of a service: their load only
// changes when the query is sent, so the load alone can't do it.
func (q *Query) pickLessLoaded(sub *subquery, replicas []uint8) int {
	if len(replicas) == 1 {
		return int(replicas[0])
	}
	if q.replicaRotation == 0 {
		q.replicaRotation = uint(q.options.Rand.Uint32())
	}
	q.replicaRotation++
	a := int(q.replicaRotation % uint(len(replicas)))
	b := q.options.Rand.IntN(len(replicas) - 1)
	if b >= a {
		b++
	}
	one, other := int(replicas[a]), int(replicas[b])
	if q.serverInFlight(sub, other) < q.serverInFlight(sub, one) {
		return other
	}
	return one
}

func (q *Query) serverInFlight(sub *subquery, replica int) int {
	return q.options.Servers.InFlight(sub.shard.Replicas[replica].Server)
}

// anyShedding reports whether any server of the shard sheds load. A slow answer
// of another server is then a sign of overload, to which a hedge would add.
func (q *Query) anyShedding(sub *subquery, now time.Time) bool {
	for i := range sub.shard.Replicas {
		if q.options.Budget.Shedding(sub.shard.Replicas[i].Server, now) {
			return true
		}
	}
	return false
}
