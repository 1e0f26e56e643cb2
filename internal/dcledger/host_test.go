package dcledger

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

const testPartitions = 2

// host simulates the driver of one host. It routes claims to the holder of the
// partition, falls back to its own committer, and performs actions with the
// faults of its simulation.
type host struct {
	*simulation
	id          int
	random      *rand.Rand
	incarnation int64
	pausedUntil time.Time
	// rotationOffset shifts the times at which this host sees partitions change
	// their holder.
	rotationOffset time.Duration
	committers     map[dcid.Partition]*localCommitter
}

// localCommitter is a host's own committer of one partition, with the callers
// that wait for its answers.
type localCommitter struct {
	*Committer
	waiting map[SubmissionID]func(Result)
	last    SubmissionID
	// wakes counts the WakeAt actions. Only the latest one leads to a Tick.
	wakes int
}

func newHost(sim *simulation, id int) *host {
	h := &host{simulation: sim, id: id, rotationOffset: time.Duration(id) * 70 * time.Millisecond}
	h.random = rand.New(rand.NewPCG(uint64(id), sim.random.Uint64()))
	h.kill()
	return h
}

// kill replaces the process by a new one that has no state.
func (h *host) kill() {
	h.incarnation++
	h.pausedUntil = time.Time{}
	h.committers = map[dcid.Partition]*localCommitter{}
}

// deliver runs fn in this process after a delay. It drops fn when the process
// was killed in between, and postpones it to the end of a pause.
func (h *host) deliver(delay time.Duration, fn func()) {
	incarnation := h.incarnation
	h.schedule(delay, func() {
		switch {
		case h.incarnation != incarnation:
		case h.now.Before(h.pausedUntil):
			h.deliver(h.pausedUntil.Sub(h.now), fn)
		default:
			fn()
		}
	})
}

func (h *host) instant() Instant {
	return Instant{Wall: h.now, Elapsed: h.now.Sub(startTime)}
}

func (h *host) localCommitter(partition dcid.Partition) *localCommitter {
	if h.committers[partition] == nil {
		config := DefaultCommitterConfig()
		config.Partition = partition
		config.Host = dcid.HostID(fmt.Sprint(h.id))
		config.Incarnation = h.incarnation
		config.Retention = testRetention
		h.committers[partition] = &localCommitter{Committer: NewCommitter(config, h.random), waiting: map[SubmissionID]func(Result){}}
	}
	return h.committers[partition]
}

// submit passes a request to this host's own committer.
func (h *host) submit(partition dcid.Partition, request func(*localCommitter, SubmissionID) []Action, done func(Result)) {
	local := h.localCommitter(partition)
	local.last++
	local.waiting[local.last] = done
	h.perform(local, request(local, local.last))
}

func (h *host) perform(local *localCommitter, actions []Action) {
	for _, action := range actions {
		replied := func(reply StoreReply) {
			h.deliver(h.latency(), func() { h.perform(local, local.StoreReplied(h.now, reply)) })
		}
		switch action := action.(type) {
		case GetSegment:
			h.schedule(h.latency(), func() {
				h.storeCall(func() StoreReply { return h.get(action) }, action.Call, replied)
			})
		case SwapSegment:
			h.schedule(h.latency(), func() {
				h.storeCall(func() StoreReply { return h.swap(action) }, action.Call, replied)
			})
		case Answer:
			done := local.waiting[action.SubmissionID]
			delete(local.waiting, action.SubmissionID)
			h.deliver(0, func() { done(action.Result) })
		case WakeAt:
			local.wakes++
			wakes := local.wakes
			h.deliver(action.At.Sub(h.now), func() {
				if wakes == local.wakes {
					h.perform(local, local.Tick(h.now))
				}
			})
		}
	}
}

// holder returns the host that holds a partition as far as this host knows.
func (h *host) holder(partition dcid.Partition) *host {
	index := int(partition)
	if h.holderRotation > 0 {
		index += int((h.now.Sub(startTime) + h.rotationOffset) / h.holderRotation)
	}
	return h.hosts[index%len(h.hosts)]
}

// route submits a request to the holder, and to this host's own committer when
// the holder refuses or does not answer in time.
func (h *host) route(partition dcid.Partition, timeout time.Duration, request func(*localCommitter, SubmissionID) []Action, done func(Result)) {
	holder := h.holder(partition)
	if holder == h {
		h.submit(partition, request, done)
		return
	}
	finished := false
	fallback := func(earlier Result) {
		if finished {
			return
		}
		finished = true
		h.submit(partition, request, func(result Result) { done(result.MergeEarlier(earlier)) })
	}
	replied := func(result Result) {
		if result.Code != dcreason.OK {
			fallback(result)
		} else if !finished {
			finished = true
			done(result)
		}
	}
	arrive := func() {
		holder.submit(partition, request, func(result Result) { h.deliver(h.latency(), func() { replied(result) }) })
	}
	if !h.chance(h.peerLost) {
		delay := h.latency()
		if h.chance(h.peerLate) {
			delay += time.Duration(h.simulation.random.IntN(3000)) * time.Millisecond
		}
		holder.deliver(delay, arrive)
		if h.chance(h.peerDuplicate) {
			holder.deliver(delay+time.Duration(h.simulation.random.IntN(3000))*time.Millisecond, arrive)
		}
	}
	h.deliver(timeout, func() { fallback(Result{MayExist: true}) })
}

// orderRun is the processing of one caller's request on a host.
type orderRun struct {
	*Order
	startedAt time.Time
	operation string
	// wakes counts the WakeAt actions. Only the latest one leads to a Tick.
	wakes  int
	answer func(Respond)
}

func testOrderConfig() OrderConfig {
	config := DefaultOrderConfig()
	config.Retention = testRetention
	config.Partitions = testPartitions
	return config
}

// order sends an order to this host.
func (h *host) order(key dcid.OrderKey, body string, answered func(Respond)) {
	h.orders++
	operation := fmt.Sprintf("operation-%d", h.orders)
	spec := OrderSpec{
		Request: dcid.RequestID(operation), Department: "bakery", Key: key, Group: "mill-orders", Service: "mill",
		Schema: "1", Body: []byte(body), Deadline: h.now.Add(time.Second), Operation: dcid.OperationID(operation),
		Host: dcid.HostID(fmt.Sprint(h.id)), Server: "192.0.2.1:80",
	}
	call := h.nextTimestamp()
	// Until the request is answered, the order may have run.
	index := len(h.history)
	h.addHistory(historyInput{string(key), operation}, call, Respond{Outcome: dcreason.Unknown})
	current := &orderRun{Order: NewOrder(testOrderConfig(), spec, h.random), operation: operation, startedAt: h.now}
	current.answer = func(answer Respond) {
		h.answered++
		h.history[index].Output = answer
		if answer.Outcome != dcreason.Unknown {
			h.history[index].Return = h.nextTimestamp()
		}
		if answer.Outcome == dcreason.NotRun {
			h.notRun[operation] = true
		}
		waited := h.now.Sub(current.startedAt)
		if answer.Code == dcreason.StoreUnavailable && waited > 100*time.Millisecond && h.pause == 0 {
			h.addViolation("operation %s waited %v for the answer store-unavailable", operation, waited)
		}
		answered(answer)
	}
	h.deliver(0, func() { h.performOrder(current, current.Start(h.instant())) })
}

func (h *host) performOrder(current *orderRun, actions []OrderAction) {
	incarnation := h.incarnation
	for _, action := range actions {
		name := strings.TrimPrefix(fmt.Sprintf("%T", action), "dcledger.")
		matches := name == h.killAt
		if matches {
			h.simulation.killAt = ""
		}
		if matches && !h.killAfter || h.chance(h.simulation.faults.kill) {
			h.kill()
			return
		}
		h.performOrderAction(current, action)
		if matches {
			h.kill()
		}
		if h.chance(h.pause) {
			h.pausedUntil = h.now.Add(time.Duration(h.simulation.random.IntN(4000)) * time.Millisecond)
		}
		if h.incarnation != incarnation {
			return
		}
	}
}

func (h *host) performOrderAction(current *orderRun, action OrderAction) {
	switch action := action.(type) {
	case SubmitClaim:
		request := func(local *localCommitter, id SubmissionID) []Action { return local.Claim(h.now, id, action.Entry) }
		h.route(action.Partition, 40*time.Millisecond, request, func(result Result) {
			if h.dispatchUndecided && result.Code != dcreason.OK && result.MayExist {
				result = Result{Code: dcreason.OK, Entry: action.Entry}
			}
			h.performOrder(current, current.Claimed(h.instant(), result))
		})
	case SubmitRecord:
		if action.Entry.GetState() == ledgerv1.EntryState_ENTRY_STATE_NOT_RUN {
			h.abandoned[current.operation] = true
		}
		request := func(local *localCommitter, id SubmissionID) []Action { return local.Record(h.now, id, action.Entry) }
		h.route(action.Partition, 200*time.Millisecond, request, func(result Result) {
			h.performOrder(current, current.Recorded(h.instant(), result))
		})
	case Dispatch:
		h.schedule(h.latency(), func() {
			h.receive(action, func(outcome dcreason.Outcome, code dcreason.Code, body string) {
				response := dcupstream.Response{Outcome: outcome, Code: code, Body: []byte(body)}
				h.deliver(h.latency(), func() { h.performOrder(current, current.Responded(h.instant(), response)) })
			})
		})
	case AskUpstream:
		h.ask(action, func(response dcupstream.Response) {
			h.performOrder(current, current.UpstreamAnswered(h.instant(), response))
		})
	case Respond:
		current.answer(action)
	case WakeAt:
		current.wakes++
		wakes := current.wakes
		h.deliver(action.At.Sub(h.now), func() {
			if wakes == current.wakes {
				h.performOrder(current, current.Tick(h.instant()))
			}
		})
	}
}

func (h *host) ask(action AskUpstream, replied func(dcupstream.Response)) {
	response := dcupstream.Response{Outcome: dcreason.Unknown, Code: dcreason.OutcomeUnknown}
	if runs := h.runs[string(action.Key)]; len(runs) > 0 && !h.chance(h.upstreamReplyLost) {
		response = dcupstream.Response{Outcome: dcreason.Ran, Code: dcreason.OK, Body: []byte(runs[0].operation)}
	}
	h.deliver(h.latency(), func() { replied(response) })
}

// lookup requests the outcome of a key from this host.
func (h *host) lookup(key dcid.OrderKey) {
	spec := LookupSpec{Department: "bakery", Group: "mill-orders", Key: key, Deadline: h.now.Add(time.Second)}
	current := NewLookup(testOrderConfig(), spec)
	call := h.nextTimestamp()
	var act func([]OrderAction)
	act = func(actions []OrderAction) {
		for _, action := range actions {
			switch action := action.(type) {
			case SubmitLookup:
				request := func(local *localCommitter, id SubmissionID) []Action {
					return local.Lookup(h.now, id, action.Department, action.Key)
				}
				h.route(action.Partition, 40*time.Millisecond, request, func(result Result) { act(current.EntryRead(h.now, result)) })
			case SubmitRecord:
				request := func(local *localCommitter, id SubmissionID) []Action { return local.Record(h.now, id, action.Entry) }
				h.route(action.Partition, 200*time.Millisecond, request, func(result Result) { current.Recorded(h.now, result) })
			case AskUpstream:
				h.ask(action, func(response dcupstream.Response) { act(current.UpstreamAnswered(h.now, response)) })
			case Respond:
				h.checkLookup(string(key), call, action)
				h.addHistory(historyInput{key: string(key)}, call, action)
			case WakeAt:
				h.deliver(action.At.Sub(h.now), func() { act(current.Tick(h.now)) })
			}
		}
	}
	h.deliver(0, func() { act(current.Start(h.now)) })
}

// keyModel is the linearizability model of a key that at most one operation
// runs. The state is the operation that ran, or empty. A request that has no
// answer, or an unknown one, may have run or not.
var keyModel = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{""} },
	Step: func(state, in, out any) []any {
		ran := state.(string)
		request := in.(historyInput)
		answer := out.(Respond)
		own := request.operation != "" && ran == ""
		switch answer.Outcome {
		case dcreason.Ran:
			if string(answer.Body) == ran || own && string(answer.Body) == request.operation {
				return []any{string(answer.Body)}
			}
			return nil
		case dcreason.NotRun:
			if request.operation == "" && ran != "" {
				return nil
			}
		case dcreason.Unknown:
			if own {
				return []any{ran, request.operation}
			}
		}
		return []any{ran}
	},
}

func partitionByKey(history []porcupine.Operation) (parts [][]porcupine.Operation) {
	index := map[string]int{}
	for _, operation := range history {
		key := operation.Input.(historyInput).key
		if _, ok := index[key]; !ok {
			index[key] = len(parts)
			parts = append(parts, nil)
		}
		// A lookup that answered unknown does not constrain the history.
		if operation.Input.(historyInput).operation == "" && operation.Output.(Respond).Outcome == dcreason.Unknown {
			continue
		}
		parts[index[key]] = append(parts[index[key]], operation)
	}
	return parts
}
