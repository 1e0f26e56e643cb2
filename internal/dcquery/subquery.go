package dcquery

import (
	"container/heap"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

const (
	// spareActions is the capacity that the list of actions of one call has
	// besides that for the first transmissions. The list of transmissions has the
	// same spare capacity.
	spareActions = 8
	// spareTransmissionDivisor sets the capacity reserved for hedges and
	// retries: one for each 16 shards.
	spareTransmissionDivisor = 16
	// maxReplicas is the number of replicas of a shard that are considered. It is
	// the number of bits in subquery.triedReplicas.
	maxReplicas = 64
)

// state is the state of one shard in a query. Shards that are neither covered
// nor missing count as open.
type state uint8

const (
	// pending shards were not sent yet.
	pending state = iota
	// running shards have a transmission without a response.
	running
	// covered shards have an accepted answer.
	covered
	// missing shards were given up.
	missing
	// waitingForMap shards wait for a newer snapshot.
	waitingForMap
)

// subquery is the state of one shard of the snapshot.
type subquery struct {
	service *dcshardmap.ServiceSnapshot
	shard   *dcshardmap.Shard
	state   state
	// crashed is set when a transmission after the canary crashed its server.
	crashed bool
	// hedges counts the hedges, including those that the budget refused.
	hedges uint8
	// inFlight counts the transmissions that still run.
	inFlight int
	attempt  dcid.Attempt
	// lastTransmission is the newest transmission; the previous field of each
	// transmission links to the one before.
	lastTransmission TransmissionID
	// triedReplicas has a bit for each replica to which the shard was sent.
	triedReplicas uint64
	// code is the reason why a missing or waiting shard has no answer.
	code dcreason.Code
	// body is the response body of a covered shard.
	body []byte
	// firstReplica is the replica chosen for the first transmission.
	firstReplica uint8
	// queueKey is the key in Query.hedgeQueue and is valid while queued is set.
	// hedgeDue is the time of the next hedge. A retry moves it to a time after
	// queueKey; Timer then queues the shard again.
	queueKey time.Time
	hedgeDue time.Time
	queued   bool
}

// sendCause is the reason why a transmission was sent.
type sendCause uint8

const (
	causeFirst sendCause = iota
	causeHedge
	causeRetry
	// causeReroute is a retry that is not charged to the budget; see resend.
	causeReroute
)

// transmission is one sub-query sent to one server.
type transmission struct {
	sub       *subquery
	previous  TransmissionID
	attempt   dcid.Attempt
	replica   uint8
	sendCause sendCause
	inFlight  bool
	sentAt    time.Time
}

func (t *transmission) server() *dcshardmap.Replica {
	return &t.sub.shard.Replicas[t.replica]
}

// loadSnapshot sets up the sub-queries of a snapshot.
func (q *Query) loadSnapshot(snapshot *dcshardmap.Snapshot) {
	q.snapshot = snapshot
	q.subs = make([]subquery, 0, snapshot.TotalShards)
	if q.sent == nil {
		q.sent = make([]transmission, 0, snapshot.TotalShards+snapshot.TotalShards/spareTransmissionDivisor+spareActions)
	}
	q.hedgeQueue = make(hedgeHeap, 0, snapshot.TotalShards)
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		for j := range service.Shards {
			q.subs = append(q.subs, subquery{service: service, shard: &service.Shards[j]})
		}
	}
	q.open, q.covered, q.missing, q.bodyBytes = len(q.subs), 0, 0, 0
	q.wait = mapWait{}
}

// scatter sends the first sub-query of every pending shard, or of only one
// shard while a canary is needed. When the shards without a usable server
// already violate the coverage rule, it sends nothing, so that the refusal
// proves that the query did not run.
func (q *Query) scatter(now time.Time) {
	q.chooseFirstReplicas(now)
	if q.coverageUnreachable() {
		q.finish(dcreason.CoverageIncomplete)
		return
	}
	if q.canary.active {
		q.sendCanary(now)
		return
	}
	delay, hedging := q.options.Budget.HedgeDelay(1, now)
	for i := range q.subs {
		sub := &q.subs[i]
		if sub.state != pending {
			continue
		}
		q.send(sub, int(sub.firstReplica), causeFirst, now)
		if hedging {
			q.scheduleHedge(sub, now.Add(delay))
		}
	}
	q.finishIfDone()
}

// chooseFirstReplicas chooses the replica for the first transmission of each
// pending shard. Shards without a usable server are marked as missing.
func (q *Query) chooseFirstReplicas(now time.Time) {
	for i := range q.subs {
		sub := &q.subs[i]
		if sub.state != pending {
			continue
		}
		replica, ok := q.pickReplica(sub, causeFirst, now)
		if !ok {
			q.markMissing(sub, dcreason.NoServer)
			continue
		}
		sub.firstReplica = uint8(replica)
	}
}

func (q *Query) send(sub *subquery, replica int, cause sendCause, now time.Time) {
	sub.state = running
	sub.inFlight++
	sub.attempt++
	sub.triedReplicas |= 1 << replica
	q.sent = append(q.sent, transmission{
		sub:       sub,
		previous:  sub.lastTransmission,
		attempt:   sub.attempt,
		replica:   uint8(replica),
		sendCause: cause,
		inFlight:  true,
		sentAt:    now,
	})
	sub.lastTransmission = TransmissionID(len(q.sent))
	q.stats.Sent++
	action := q.action(Send, sub.lastTransmission)
	action.Time = q.options.Deadline
	q.emit(action)
}

// action returns an action about a transmission of the current snapshot.
func (q *Query) action(kind Kind, id TransmissionID) Action {
	sent := &q.sent[id-1]
	return Action{
		Kind:           kind,
		TransmissionID: id,
		Server:         sent.server().Server,
		Label:          q.label(sent),
	}
}

// label returns the label of a transmission, which a response must repeat.
func (q *Query) label(sent *transmission) dcupstream.Label {
	return dcupstream.Label{
		Request: q.options.Request,
		Service: sent.sub.service.Service,
		Shard:   sent.sub.shard.ID,
		Version: q.snapshot.Version,
		Epoch:   sent.sub.service.Epoch,
		Attempt: sent.attempt,
	}
}

// scheduleHedge sets the time of the next hedge of a shard, unless the shard
// has had maxHedges or the time is not before the deadline. The canary is not
// hedged: if the request crashes servers, a hedge would crash a second one.
func (q *Query) scheduleHedge(sub *subquery, at time.Time) {
	if q.canary.active || sub.hedges >= maxHedges || !at.Before(q.options.Deadline) {
		return
	}
	sub.hedgeDue = at
	if sub.queued {
		return
	}
	sub.queueKey = at
	sub.queued = true
	heap.Push(&q.hedgeQueue, sub)
}

// hedgeHeap orders sub-queries by queueKey, the time at which their next hedge
// was due when they were queued. Sub-queries that have ended stay in the heap
// until they reach the front.
type hedgeHeap []*subquery

func (h hedgeHeap) Len() int           { return len(h) }
func (h hedgeHeap) Less(i, j int) bool { return h[i].queueKey.Before(h[j].queueKey) }
func (h hedgeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *hedgeHeap) Push(x any) { *h = append(*h, x.(*subquery)) }

// Pop implements heap.Interface.
func (h *hedgeHeap) Pop() any {
	last := len(*h) - 1
	sub := (*h)[last]
	*h = (*h)[:last]
	return sub
}

func (h *hedgeHeap) popFirst() *subquery {
	sub := heap.Pop(h).(*subquery)
	sub.queued = false
	return sub
}
