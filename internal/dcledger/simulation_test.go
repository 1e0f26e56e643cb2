package dcledger

import (
	"cmp"
	"encoding/binary"
	"fmt"
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

// faults holds the probabilities of a scenario, for each call, message or step.
type faults struct {
	lostRequest, lostReply, lateEffect, neverReplies, unavailable float64
	peerLost, peerLate, peerDuplicate                             float64
	refused, upstreamLost, upstreamNever                          float64
	pause, kill, otherBody, oldKey, sentToTwoHosts                float64
	// killAt is the name of the order action at which the first host to reach it
	// is killed, killAfter whether the action is still performed.
	killAt    string
	killAfter bool
	// rotate is how often partitions change hands; each host notices it at a
	// different time.
	holderRotation        time.Duration
	outageFrom, outageFor time.Duration
	// Broken variants, which the checks must reject.
	dispatchUndecided, ignoreExpected bool
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type upstreamRun struct {
	operation string
	stamp     int64
}

// world is a set of hosts with one store and one upstream under a test clock.
type simulation struct {
	faults
	random   *rand.Rand
	now      time.Time
	events   []event
	sequence int
	stamp    int64
	records  map[string]dcstore.Record
	revision dcstore.Revision
	hosts    []*host
	runs     map[string][]upstreamRun
	notRun   map[string]bool
	// retired holds the operations whose entry host submitted a not-run record.
	abandoned     map[string]bool
	history       []porcupine.Operation
	violations    []string
	faultsStopped bool
	orders        int
	answered      int
}

func newSimulation(seed uint64, hosts int, f faults) *simulation {
	w := &simulation{
		faults:    f,
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       startTime,
		records:   map[string]dcstore.Record{},
		runs:      map[string][]upstreamRun{},
		notRun:    map[string]bool{},
		abandoned: map[string]bool{},
	}
	for i := range hosts {
		w.hosts = append(w.hosts, newHost(w, i))
	}
	return w
}

func (w *simulation) chance(probability float64) bool {
	return w.random.Float64() < probability && !w.faultsStopped
}

func (w *simulation) latency() time.Duration {
	return time.Duration(1+w.random.IntN(4000)) * time.Microsecond
}

func (w *simulation) schedule(delay time.Duration, fn func()) {
	w.sequence++
	next := event{at: w.now.Add(max(delay, 0)), order: w.sequence, run: fn}
	index, _ := slices.BinarySearchFunc(w.events, next, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	w.events = slices.Insert(w.events, index, next)
}

func (w *simulation) runFor(duration time.Duration) {
	end := w.now.Add(duration)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := w.events[0]
		w.events = w.events[1:]
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *simulation) nextStamp() int64 {
	w.stamp++
	return w.stamp
}

func (w *simulation) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *simulation) newKey(issued time.Time) dcid.OrderKey {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], w.random.Uint64())
	binary.BigEndian.PutUint64(id[:8], uint64(issued.UnixMilli())<<16|w.random.Uint64N(1<<12))
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return dcid.OrderKey(id.String())
}

// storeCall performs effect at the store, or not, and replies, or not.
func (w *simulation) storeCall(effect func() StoreReply, call CallID, reply func(StoreReply)) {
	fail := func(err error) { reply(StoreReply{Call: call, Err: err}) }
	elapsed := w.now.Sub(startTime)
	outage := elapsed >= w.outageFrom && elapsed < w.outageFrom+w.outageFor
	switch {
	case outage || w.chance(w.unavailable):
		fail(dcstore.ErrUnavailable)
	case w.chance(w.lostRequest):
		fail(dcstore.ErrUnknownOutcome)
	case w.chance(w.lostReply):
		effect()
		fail(dcstore.ErrUnknownOutcome)
	case w.chance(w.lateEffect):
		fail(dcstore.ErrUnknownOutcome)
		w.schedule(time.Duration(w.random.IntN(3000))*time.Millisecond, func() { effect() })
	case w.chance(w.neverReplies):
		effect()
	default:
		reply(effect())
	}
}

func (w *simulation) get(action GetSegment) StoreReply {
	record, ok := w.records[action.Key]
	if !ok {
		return StoreReply{Call: action.Call, Err: dcstore.ErrNotFound}
	}
	return StoreReply{Call: action.Call, Record: record}
}

func (w *simulation) swap(action SwapSegment) StoreReply {
	current := w.records[action.Swap.Key]
	if current.Modified != action.Swap.Expected && !w.ignoreExpected {
		return StoreReply{Call: action.Call, Err: dcstore.ErrConflict}
	}
	w.checkWrite(current.Value, action.Swap.Value)
	w.revision++
	w.records[action.Swap.Key] = dcstore.Record{Key: action.Swap.Key, Value: action.Swap.Value, Modified: w.revision}
	return StoreReply{Call: action.Call, Modified: w.revision}
}

// receive is the upstream. The result names the operation that ran, so that a
// second run shows as a changed result.
func (w *simulation) receive(action Dispatch, reply func(dcreason.Outcome, dcreason.Code, string)) {
	if w.chance(w.refused) {
		reply(dcreason.NotRun, dcreason.UpstreamShed, "")
		return
	}
	if w.chance(w.upstreamNever) {
		reply(dcreason.Unknown, dcreason.ConnectionFailed, "")
		return
	}
	key := string(action.Order.Key)
	operation := string(action.Order.Request)
	w.runs[key] = append(w.runs[key], upstreamRun{operation: operation, stamp: w.nextStamp()})
	if w.chance(w.upstreamLost) {
		reply(dcreason.Unknown, dcreason.UpstreamCrashed, "")
		return
	}
	reply(dcreason.Ran, dcreason.OK, operation)
}

type historyInput struct {
	key, operation string
}

// addHistory adds one call of a caller. A caller without an answer, or with an
// unknown one, leaves an operation that may take effect at any later time.
func (w *simulation) addHistory(in historyInput, call int64, answer Respond) {
	finish := w.nextStamp()
	if in.operation != "" && answer.Outcome == dcreason.Unknown {
		finish = math.MaxInt64
	}
	w.history = append(w.history, porcupine.Operation{Input: in, Call: call, Output: answer, Return: finish})
}

// workload sends orders for each key to one or several hosts and looks them up.
func (w *simulation) workload(keys int) {
	for range keys {
		issued := startTime.Add(time.Duration(w.random.IntN(2000)) * time.Millisecond)
		start := issued.Sub(startTime)
		if w.chance(w.oldKey) {
			issued = issued.Add(-testRetention - time.Minute)
		}
		key := w.newKey(issued)
		w.schedule(start, func() { w.send(key, 3) })
		if w.chance(w.sentToTwoHosts) {
			w.schedule(start, func() { w.send(key, 1) })
		}
	}
	w.runFor(20 * time.Second)
	w.faultsStopped = true
	w.outageFor = 0
	w.runFor(30 * time.Second)
	for _, in := range w.keys() {
		w.hosts[w.random.IntN(len(w.hosts))].lookup(in)
	}
	w.runFor(10 * time.Second)
}

func (w *simulation) keys() (keys []dcid.OrderKey) {
	for _, operation := range w.history {
		keys = append(keys, dcid.OrderKey(operation.Input.(historyInput).key))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// send sends an order to some host, resends it when no answer comes or the
// answer is not-run, and looks it up otherwise.
func (w *simulation) send(key dcid.OrderKey, sends int) {
	target := w.hosts[w.random.IntN(len(w.hosts))]
	body := "body"
	if w.chance(w.otherBody) {
		body = "other body"
	}
	again := func() {
		if sends > 1 {
			w.send(key, sends-1)
		}
	}
	answered := false
	target.order(key, body, func(answer Respond) {
		answered = true
		if answer.Outcome == dcreason.NotRun {
			w.schedule(w.latency(), again)
			return
		}
		target.lookup(key)
	})
	w.schedule(1500*time.Millisecond, func() {
		if !answered {
			again()
		}
	})
}
