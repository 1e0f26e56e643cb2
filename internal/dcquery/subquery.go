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
	// spareActions is the room for actions of one event besides first sends.
	spareActions = 8
	// spareTransmissions is the share of first sub-queries, one in this
	// number, for which room for an extra one is reserved.
	spareTransmissionDivisor = 16
	// maxReplicas is the number of replicas of a shard that are considered.
	maxReplicas = 64
)

// state is the state of one shard in a query.
type state uint8

const (
	pending state = iota
	running
	covered
	missing
	// parked shards wait for a newer map; they are open.
	waitingForMap
)

// subquery is one shard of the pinned map.
type subquery struct {
	service *dcshardmap.ServiceSnapshot
	shard   *dcshardmap.Shard
	state   state
	crashed bool
	hedges  uint8
	// live counts the transmissions without a result.
	inFlight int
	attempt  dcid.Attempt
	// last is the newest transmission; the older ones follow by previous.
	lastTransmission TransmissionID
	// tried has a bit for each replica that was sent to.
	triedReplicas uint64
	code          dcreason.Code
	body          []byte
	// choice is the replica of the first transmission.
	firstReplica uint8
	// hedgeAt is the key in the heap and valid while queued is set. due is the
	// time of the next hedge, which a retry moves to after hedgeAt.
	queueKey time.Time
	hedgeDue time.Time
	queued   bool
}

// cause tells why a transmission was sent.
type sendCause uint8

const (
	causeFirst sendCause = iota
	causeHedge
	causeRetry
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

// load sets up the sub-queries of a pin.
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

// scatter sends the first sub-query of every shard, or of one shard only
// while a canary is needed. Nothing is sent when the shards without a server
// already break the coverage rule, so that the refusal is proof of not-run.
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

// choose picks the replica of the first transmission of each shard that waits.
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

// action returns an action about a transmission of the current pin.
func (q *Query) action(kind Kind, id TransmissionID) Action {
	sent := &q.sent[id-1]
	return Action{
		Kind:           kind,
		TransmissionID: id,
		Server:         sent.server().Server,
		Label:          q.label(sent),
	}
}

// label is what a response to the transmission must repeat.
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

// schedule sets the time of the next hedge of a shard. The canary is not
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

// hedgeHeap orders sub-queries by the time of their next hedge. Those that
// have ended stay until they reach the front.
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
