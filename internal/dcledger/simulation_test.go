package dcledger

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

var startTime = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const testRetention = time.Hour

// faults holds the fault probabilities of a scenario, each for one call, message
// or step.
type faults struct {
	lostRequest, lostReply, lateEffect, noReply, unavailable float64
	peerLost, peerLate, peerDuplicate                        float64
	refused, upstreamReplyLost, dispatchLost                 float64
	pause, kill, otherBody, oldKey, sentToTwoHosts           float64
	// killAt is the type name of an order action. The first host that reaches
	// such an action is killed. killAfter tells whether the action is still
	// performed.
	killAt    string
	killAfter bool
	// holderRotation is the interval at which partitions change their holder.
	// Each host notices the change at a different time.
	holderRotation        time.Duration
	outageFrom, outageFor time.Duration
	// restoredAt is the time at which the store returns to its state of restoredBack
	// before, 0 for never.
	restoredAt, restoredBack time.Duration
	// dispatchUndecided and ignoreExpected select faulty variants, which the
	// checks must reject.
	dispatchUndecided, ignoreExpected bool
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type upstreamRun struct {
	operation string
	timestamp int64
}

// simulation is a set of hosts with one store and one upstream under a test
// clock.
type simulation struct {
	faults
	random        *rand.Rand
	now           time.Time
	events        []event
	sequence      int
	lastTimestamp int64
	records       map[string]dcstore.Record
	revision      dcstore.Revision
	hosts         []*host
	runs          map[string][]upstreamRun
	notRun        map[string]bool
	// abandoned holds the operations whose entry host submitted a not-run record.
	abandoned     map[string]bool
	history       []porcupine.Operation
	violations    []string
	faultsStopped bool
	orders        int
	answered      int
}

func newSimulation(seed uint64, hosts int, f faults) *simulation {
	sim := &simulation{
		faults:    f,
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       startTime,
		records:   map[string]dcstore.Record{},
		runs:      map[string][]upstreamRun{},
		notRun:    map[string]bool{},
		abandoned: map[string]bool{},
	}
	for i := range hosts {
		sim.hosts = append(sim.hosts, newHost(sim, i))
	}
	return sim
}

func (sim *simulation) chance(probability float64) bool {
	return sim.random.Float64() < probability && !sim.faultsStopped
}

func (sim *simulation) latency() time.Duration {
	return time.Duration(1+sim.random.IntN(4000)) * time.Microsecond
}

func (sim *simulation) schedule(delay time.Duration, fn func()) {
	sim.sequence++
	next := event{at: sim.now.Add(max(delay, 0)), order: sim.sequence, run: fn}
	index, _ := slices.BinarySearchFunc(sim.events, next, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	sim.events = slices.Insert(sim.events, index, next)
}

func (sim *simulation) runFor(duration time.Duration) {
	end := sim.now.Add(duration)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		next := sim.events[0]
		sim.events = sim.events[1:]
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) nextTimestamp() int64 {
	sim.lastTimestamp++
	return sim.lastTimestamp
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *simulation) newKey(issued time.Time) dcid.OrderKey {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], sim.random.Uint64())
	binary.BigEndian.PutUint64(id[:8], uint64(issued.UnixMilli())<<16|sim.random.Uint64N(1<<12))
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return dcid.OrderKey(id.String())
}

// storeCall performs a call at the store. Depending on the faults, its effect or
// its reply is lost or late.
func (sim *simulation) storeCall(effect func() StoreReply, call CallID, reply func(StoreReply)) {
	fail := func(err error) { reply(StoreReply{Call: call, Err: err}) }
	elapsed := sim.now.Sub(startTime)
	outage := elapsed >= sim.outageFrom && elapsed < sim.outageFrom+sim.outageFor
	switch {
	case outage || sim.chance(sim.unavailable):
		fail(dcstore.ErrUnavailable)
	case sim.chance(sim.lostRequest):
		fail(dcstore.ErrUnknownOutcome)
	case sim.chance(sim.lostReply):
		effect()
		fail(dcstore.ErrUnknownOutcome)
	case sim.chance(sim.lateEffect):
		fail(dcstore.ErrUnknownOutcome)
		sim.schedule(time.Duration(sim.random.IntN(3000))*time.Millisecond, func() { effect() })
	case sim.chance(sim.noReply):
		effect()
	default:
		reply(effect())
	}
}

func (sim *simulation) get(action GetSegment) StoreReply {
	record, ok := sim.records[action.Key]
	if !ok {
		return StoreReply{Call: action.Call, Err: dcstore.ErrNotFound}
	}
	return StoreReply{Call: action.Call, Record: record}
}

func (sim *simulation) swap(action SwapSegment) StoreReply {
	current := sim.records[action.Swap.Key]
	if current.Modified != action.Swap.Expected && !sim.ignoreExpected {
		return StoreReply{Call: action.Call, Err: dcstore.ErrConflict}
	}
	sim.checkWrite(current.Value, action.Swap.Value)
	sim.revision++
	sim.records[action.Swap.Key] = dcstore.Record{Key: action.Swap.Key, Value: action.Swap.Value, Modified: sim.revision}
	return StoreReply{Call: action.Call, Modified: sim.revision}
}

// receive handles a dispatched order at the upstream. The result is the name of
// the operation that ran, so that a second run shows as a changed result.
func (sim *simulation) receive(action Dispatch, reply func(dcreason.Outcome, dcreason.Code, string)) {
	if sim.chance(sim.refused) {
		reply(dcreason.NotRun, dcreason.UpstreamShed, "")
		return
	}
	if sim.chance(sim.dispatchLost) {
		reply(dcreason.Unknown, dcreason.ConnectionFailed, "")
		return
	}
	key := string(action.Order.Key)
	operation := string(action.Order.Request)
	sim.runs[key] = append(sim.runs[key], upstreamRun{operation: operation, timestamp: sim.nextTimestamp()})
	if sim.chance(sim.upstreamReplyLost) {
		reply(dcreason.Unknown, dcreason.UpstreamCrashed, "")
		return
	}
	reply(dcreason.Ran, dcreason.OK, operation)
}

type historyInput struct {
	key, operation string
}

// addHistory adds one call of a caller to the history. A request without an
// answer, or with an unknown one, may take effect at any later time.
func (sim *simulation) addHistory(in historyInput, call int64, answer Respond) {
	finish := sim.nextTimestamp()
	if in.operation != "" && answer.Outcome == dcreason.Unknown {
		finish = math.MaxInt64
	}
	sim.history = append(sim.history, porcupine.Operation{Input: in, Call: call, Output: answer, Return: finish})
}

// workload sends orders for each key to one or two hosts. After the random
// faults and the outage have ended, it looks up each key.
func (sim *simulation) workload(keys int) {
	if sim.restoredAt > 0 {
		sim.schedule(sim.restoredAt-sim.restoredBack, func() {
			records, revision := maps.Clone(sim.records), sim.revision
			sim.schedule(sim.restoredBack, func() { sim.records, sim.revision = records, revision })
		})
	}
	for range keys {
		issued := startTime.Add(time.Duration(sim.random.IntN(2000)) * time.Millisecond)
		start := issued.Sub(startTime)
		if sim.chance(sim.oldKey) {
			issued = issued.Add(-testRetention - time.Minute)
		}
		key := sim.newKey(issued)
		sim.schedule(start, func() { sim.send(key, 3) })
		if sim.chance(sim.sentToTwoHosts) {
			sim.schedule(start, func() { sim.send(key, 1) })
		}
	}
	sim.runFor(20 * time.Second)
	sim.faultsStopped = true
	sim.outageFor = 0
	sim.runFor(30 * time.Second)
	for _, usedKey := range sim.keys() {
		sim.hosts[sim.random.IntN(len(sim.hosts))].lookup(usedKey)
	}
	sim.runFor(10 * time.Second)
}

func (sim *simulation) keys() (keys []dcid.OrderKey) {
	for _, operation := range sim.history {
		keys = append(keys, dcid.OrderKey(operation.Input.(historyInput).key))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// send sends an order to a random host. It resends the order, up to the number
// of attempts, when no answer comes or the answer is not-run, and looks up the
// key otherwise.
func (sim *simulation) send(key dcid.OrderKey, attempts int) {
	target := sim.hosts[sim.random.IntN(len(sim.hosts))]
	body := "body"
	if sim.chance(sim.otherBody) {
		body = "other body"
	}
	resend := func() {
		if attempts > 1 {
			sim.send(key, attempts-1)
		}
	}
	answered := false
	target.order(key, body, func(answer Respond) {
		answered = true
		if answer.Outcome == dcreason.NotRun {
			sim.schedule(sim.latency(), resend)
			return
		}
		target.lookup(key)
	})
	sim.schedule(1500*time.Millisecond, func() {
		if !answered {
			resend()
		}
	})
}
