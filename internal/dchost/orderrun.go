package dchost

import (
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcledger"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

const (
	// orderOutcomeTimeout limits a call that asks a server for the outcome of an
	// order.
	orderOutcomeTimeout = time.Second
	// orderGrace is how long the response to an order is awaited after the
	// deadline of its caller, so that its outcome can be recorded.
	orderGrace = 5 * time.Second
)

// ledgerRun runs an Order or a Lookup of dcledger: it performs the actions and
// passes their results back. It continues after the request of the caller has
// ended, since the outcome is recorded in the background.
type ledgerRun struct {
	*Host
	// events carries the results of asynchronous calls to the loop, each as a
	// function that passes the result to the Order or Lookup and returns its next
	// actions.
	events chan func() []dcledger.OrderAction
	// answer receives the answer to the caller.
	answer  chan dcledger.Respond
	timer   clockwork.Timer
	onTimer func() []dcledger.OrderAction
	// done reports whether the Order or Lookup is complete.
	done func() bool
	// onClaimed, onRecorded, onRead, onResponse and onOrderOutcome pass the
	// results of actions to the Order or Lookup and return its next actions.
	onClaimed      func(dcledger.Result) []dcledger.OrderAction
	onRecorded     func(dcledger.Result) []dcledger.OrderAction
	onRead         func(dcledger.Result) []dcledger.OrderAction
	onResponse     func(dcupstream.Response) []dcledger.OrderAction
	onOrderOutcome func(dcupstream.Response) []dcledger.OrderAction
	// onDispatched handles what the response of the upstream shows about a digest
	// that may crash servers. onSend is called before the order is sent, onAnswer
	// before the caller is answered.
	onDispatched func(dcledger.Dispatch, dcupstream.Response)
	onSend       func(dcid.ServerAddr)
	onAnswer     func()
	// queueTime is the time for which the order was queued in the upstream, in
	// nanoseconds; negative if unknown.
	queueTime atomic.Int64
}

func (h *Host) newLedgerRun() *ledgerRun {
	run := &ledgerRun{
		Host:   h,
		events: make(chan func() []dcledger.OrderAction, 4),
		answer: make(chan dcledger.Respond, 1),
		// startOrder replaces this function.
		onAnswer: func() {},
	}
	run.queueTime.Store(-1)
	return run
}

// loop performs actions until none are left or the host stops.
func (r *ledgerRun) loop(actions []dcledger.OrderAction) {
	r.timer = r.Clock.NewTimer(time.Hour)
	defer r.timer.Stop()
	r.perform(actions)
	for !r.done() {
		select {
		case event := <-r.events:
			r.perform(event())
		case <-r.timer.Chan():
			r.perform(r.onTimer())
		case <-r.runCtx.Done():
			return
		}
	}
}

func (r *ledgerRun) perform(actions []dcledger.OrderAction) {
	for _, action := range actions {
		switch action := action.(type) {
		case dcledger.SubmitClaim:
			r.runAsync(func() func() []dcledger.OrderAction {
				result := r.claim(action)
				return func() []dcledger.OrderAction { return r.onClaimed(result) }
			})
		case dcledger.SubmitRecord:
			r.runAsync(func() func() []dcledger.OrderAction {
				result := r.record(action)
				return func() []dcledger.OrderAction { return r.onRecorded(result) }
			})
		case dcledger.SubmitLookup:
			r.runAsync(func() func() []dcledger.OrderAction {
				result := r.lookup(action)
				return func() []dcledger.OrderAction { return r.onRead(result) }
			})
		case dcledger.Dispatch:
			r.dispatch(action)
		case dcledger.AskUpstream:
			r.runAsync(func() func() []dcledger.OrderAction {
				response := r.queryOrderOutcome(action)
				return func() []dcledger.OrderAction { return r.onOrderOutcome(response) }
			})
		case dcledger.Respond:
			r.onAnswer()
			r.answer <- action
		case dcledger.WakeAt:
			r.timer.Reset(action.At.Sub(r.wallNow()))
		}
	}
}

// runAsync runs a call in the background and passes its result to the loop.
func (r *ledgerRun) runAsync(call func() func() []dcledger.OrderAction) {
	r.tasks.Go(func() {
		event := call()
		select {
		case r.events <- event:
		case <-r.runCtx.Done():
		}
	})
}

// dispatch sends the order once. It waits for the response beyond the deadline
// of the caller, because the outcome is recorded in any case.
func (r *ledgerRun) dispatch(action dcledger.Dispatch) {
	r.onSend(action.Order.Server)
	target := r.view.Load().targets[action.Order.Server]
	if target != nil {
		target.inFlight.Add(1)
	}
	r.runAsync(func() func() []dcledger.OrderAction {
		wait := action.Order.Deadline.Sub(r.wallNow()) + orderGrace
		ctx, cancel := withTimeout(r.runCtx, r.Clock, wait)
		defer cancel()
		response := r.Upstream.Order(ctx, action.Order)
		if target != nil {
			target.inFlight.Add(-1)
			r.recordResponse(target, response)
		}
		r.queueTime.Store(int64(response.QueueTime))
		r.onDispatched(action, response)
		return func() []dcledger.OrderAction { return r.onResponse(response) }
	})
}

func (r *ledgerRun) queryOrderOutcome(action dcledger.AskUpstream) dcupstream.Response {
	ctx, cancel := withTimeout(r.runCtx, r.Clock, orderOutcomeTimeout)
	defer cancel()
	return r.Upstream.OrderOutcome(ctx, action.Server, action.Department, action.Key)
}

// instant returns the current time in the form that dcledger.Order takes.
func (h *Host) instant() dcledger.Instant {
	return dcledger.Instant{Wall: h.wallNow(), Elapsed: h.Clock.Since(h.startTime)}
}

func orderConfig(view *view, rules *settingsv1.ServiceGroup) dcledger.OrderConfig {
	config := dcledger.DefaultOrderConfig()
	config.Retention = rules.GetKeyRetention().AsDuration()
	config.Partitions = view.configuration().GetLedgerPartitions()
	return config
}

// startOrder runs an order in the background. Its answer arrives exactly once.
func (h *Host) startOrder(spec dcledger.OrderSpec, config dcledger.OrderConfig, check *digestCheck) *ledgerRun {
	run := h.newLedgerRun()
	order := dcledger.NewOrder(config, spec, h.newRandom())
	run.done = order.Done
	run.onTimer = func() []dcledger.OrderAction { return order.Tick(h.instant()) }
	run.onClaimed = func(result dcledger.Result) []dcledger.OrderAction { return order.Claimed(h.instant(), result) }
	run.onRecorded = func(result dcledger.Result) []dcledger.OrderAction { return order.Recorded(h.instant(), result) }
	run.onResponse = func(response dcupstream.Response) []dcledger.OrderAction {
		return order.Responded(h.instant(), response)
	}
	run.onOrderOutcome = func(response dcupstream.Response) []dcledger.OrderAction {
		return order.UpstreamAnswered(h.instant(), response)
	}
	run.onSend = check.recordSend
	run.onAnswer = check.abandonUnsent
	run.onDispatched = func(action dcledger.Dispatch, response dcupstream.Response) {
		if push := check.onResponse(action.Order.Server, response); len(push) > 0 {
			h.pushSuspicions(push)
		}
	}
	h.backgroundRuns.Add(1)
	h.tasks.Go(func() {
		defer h.backgroundRuns.Add(-1)
		defer check.close()
		run.loop(order.Start(h.instant()))
	})
	return run
}

// startLookup looks up an order key in the background. Its answer arrives
// exactly once.
func (h *Host) startLookup(spec dcledger.LookupSpec, config dcledger.OrderConfig) *ledgerRun {
	run := h.newLedgerRun()
	lookup := dcledger.NewLookup(config, spec)
	run.done = lookup.Done
	run.onTimer = func() []dcledger.OrderAction { return lookup.Tick(h.wallNow()) }
	run.onRead = func(result dcledger.Result) []dcledger.OrderAction { return lookup.EntryRead(h.wallNow(), result) }
	run.onOrderOutcome = func(response dcupstream.Response) []dcledger.OrderAction {
		return lookup.UpstreamAnswered(h.wallNow(), response)
	}
	run.onRecorded = func(result dcledger.Result) []dcledger.OrderAction { return lookup.Recorded(h.wallNow(), result) }
	h.backgroundRuns.Add(1)
	h.tasks.Go(func() {
		defer h.backgroundRuns.Add(-1)
		run.loop(lookup.Start(h.wallNow()))
	})
	return run
}

// pickOrderServer picks the server for an order: of two random usable servers,
// the one with fewer requests in flight. It returns false if no server is
// usable.
func (h *Host) pickOrderServer(view *view, service *settingsv1.Service, avoid []dcid.ServerAddr) (dcid.ServerAddr, bool) {
	servers := &queryServers{host: h, view: view, avoid: avoid}
	var usable []dcid.ServerAddr
	for _, server := range serversOf(service) {
		if servers.Usable(server) {
			usable = append(usable, server)
		}
	}
	if len(usable) == 0 {
		return "", false
	}
	h.randomMu.Lock()
	first, second := usable[h.random.IntN(len(usable))], usable[h.random.IntN(len(usable))]
	h.randomMu.Unlock()
	if servers.InFlight(second) < servers.InFlight(first) {
		return second, true
	}
	return first, true
}

func newRequestID() dcid.RequestID {
	return dcid.RequestID(uuid.Must(uuid.NewV7()).String())
}

// outcomeKnown reports whether an answer states the final outcome of an order.
func outcomeKnown(answer dcledger.Respond) bool {
	return answer.Code == dcreason.OK && answer.Outcome != dcreason.Unknown
}
