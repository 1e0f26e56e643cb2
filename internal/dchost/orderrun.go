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
	askTimeout = time.Second
	// orderGrace is how long an answer to an order is awaited after the deadline
	// of its caller, to record its outcome.
	orderGrace = 5 * time.Second
)

// ledgerRun drives an Order or a Lookup. It outlives the caller's request: the
// outcome is recorded in the background.
type ledgerRun struct {
	*Host
	events chan func() []dcledger.OrderAction
	answer chan dcledger.Respond
	timer  clockwork.Timer
	tick   func() []dcledger.OrderAction
	done   func() bool
	// claimed, recorded, read, responded and asked feed results back.
	claimed   func(dcledger.Result) []dcledger.OrderAction
	recorded  func(dcledger.Result) []dcledger.OrderAction
	read      func(dcledger.Result) []dcledger.OrderAction
	responded func(dcupstream.Response) []dcledger.OrderAction
	asked     func(dcupstream.Response) []dcledger.OrderAction
	// dispatched takes the evidence of the upstream's response.
	dispatched func(dcledger.Dispatch, dcupstream.Response)
	sending    func(dcid.ServerAddr)
	answered   func()
	// queueTime is the time that the order waited in the upstream, in
	// nanoseconds; negative while unknown.
	queueTime atomic.Int64
}

func (h *Host) newLedgerRun() *ledgerRun {
	run := &ledgerRun{
		Host:   h,
		events: make(chan func() []dcledger.OrderAction, 4),
		answer: make(chan dcledger.Respond, 1),
		// Orders replace this.
		answered: func() {},
	}
	run.queueTime.Store(-1)
	return run
}

// loop performs actions until nothing is left to do or the host ends.
func (r *ledgerRun) loop(actions []dcledger.OrderAction) {
	r.timer = r.Clock.NewTimer(time.Hour)
	defer r.timer.Stop()
	r.do(actions)
	for !r.done() {
		select {
		case event := <-r.events:
			r.do(event())
		case <-r.timer.Chan():
			r.do(r.tick())
		case <-r.life.Done():
			return
		}
	}
}

func (r *ledgerRun) do(actions []dcledger.OrderAction) {
	for _, action := range actions {
		switch action := action.(type) {
		case dcledger.SubmitClaim:
			r.later(func() func() []dcledger.OrderAction {
				result := r.claim(action)
				return func() []dcledger.OrderAction { return r.claimed(result) }
			})
		case dcledger.SubmitRecord:
			r.later(func() func() []dcledger.OrderAction {
				result := r.record(action)
				return func() []dcledger.OrderAction { return r.recorded(result) }
			})
		case dcledger.SubmitLookup:
			r.later(func() func() []dcledger.OrderAction {
				result := r.lookup(action)
				return func() []dcledger.OrderAction { return r.read(result) }
			})
		case dcledger.Dispatch:
			r.dispatch(action)
		case dcledger.AskUpstream:
			r.later(func() func() []dcledger.OrderAction {
				response := r.ask(action)
				return func() []dcledger.OrderAction { return r.asked(response) }
			})
		case dcledger.Respond:
			r.answered()
			r.answer <- action
		case dcledger.WakeAt:
			r.timer.Reset(action.At.Sub(r.wall()))
		}
	}
}

// later runs a call in the background and feeds its result to the loop.
func (r *ledgerRun) later(call func() func() []dcledger.OrderAction) {
	r.tasks.Go(func() {
		event := call()
		select {
		case r.events <- event:
		case <-r.life.Done():
		}
	})
}

// dispatch sends the order once. Its answer is awaited beyond the caller's
// deadline, because the outcome is recorded in any case.
func (r *ledgerRun) dispatch(action dcledger.Dispatch) {
	r.sending(action.Order.Server)
	target := r.view.Load().targets[action.Order.Server]
	if target != nil {
		target.inFlight.Add(1)
	}
	r.later(func() func() []dcledger.OrderAction {
		wait := action.Order.Deadline.Sub(r.wall()) + orderGrace
		ctx, cancel := timeout(r.life, r.Clock, wait)
		defer cancel()
		response := r.Upstream.Order(ctx, action.Order)
		if target != nil {
			target.inFlight.Add(-1)
			r.evidence(target, response)
		}
		r.queueTime.Store(int64(response.QueueTime))
		r.dispatched(action, response)
		return func() []dcledger.OrderAction { return r.responded(response) }
	})
}

func (r *ledgerRun) ask(action dcledger.AskUpstream) dcupstream.Response {
	ctx, cancel := timeout(r.life, r.Clock, askTimeout)
	defer cancel()
	return r.Upstream.OrderOutcome(ctx, action.Server, action.Department, action.Key)
}

func (h *Host) instant() dcledger.Instant {
	return dcledger.Instant{Wall: h.wall(), Elapsed: h.Clock.Since(h.started)}
}

func orderConfig(view *view, rules *settingsv1.ServiceGroup) dcledger.OrderConfig {
	config := dcledger.DefaultOrderConfig()
	config.Retention = rules.GetKeyRetention().AsDuration()
	config.Partitions = view.configuration().GetLedgerPartitions()
	return config
}

// startOrder runs an order in the background. The answer arrives once.
func (h *Host) startOrder(spec dcledger.OrderSpec, config dcledger.OrderConfig, check *checkedDigest) *ledgerRun {
	run := h.newLedgerRun()
	order := dcledger.NewOrder(config, spec, h.newRandom())
	run.done = order.Done
	run.tick = func() []dcledger.OrderAction { return order.Tick(h.instant()) }
	run.claimed = func(result dcledger.Result) []dcledger.OrderAction { return order.Claimed(h.instant(), result) }
	run.recorded = func(result dcledger.Result) []dcledger.OrderAction { return order.Recorded(h.instant(), result) }
	run.responded = func(response dcupstream.Response) []dcledger.OrderAction {
		return order.Responded(h.instant(), response)
	}
	run.asked = func(response dcupstream.Response) []dcledger.OrderAction {
		return order.UpstreamAnswered(h.instant(), response)
	}
	run.sending = check.sent
	run.answered = check.endUnsent
	run.dispatched = func(action dcledger.Dispatch, response dcupstream.Response) {
		if push := check.responded(action.Order.Server, response); len(push) > 0 {
			h.pushSuspicions(push)
		}
	}
	h.background.Add(1)
	h.tasks.Go(func() {
		defer h.background.Add(-1)
		defer check.end()
		run.loop(order.Start(h.instant()))
	})
	return run
}

// startLookup looks a key up in the background. The answer arrives once.
func (h *Host) startLookup(spec dcledger.LookupSpec, config dcledger.OrderConfig) *ledgerRun {
	run := h.newLedgerRun()
	lookup := dcledger.NewLookup(config, spec)
	run.done = lookup.Done
	run.tick = func() []dcledger.OrderAction { return lookup.Tick(h.wall()) }
	run.read = func(result dcledger.Result) []dcledger.OrderAction { return lookup.EntryRead(h.wall(), result) }
	run.asked = func(response dcupstream.Response) []dcledger.OrderAction {
		return lookup.UpstreamAnswered(h.wall(), response)
	}
	run.recorded = func(result dcledger.Result) []dcledger.OrderAction { return lookup.Recorded(h.wall(), result) }
	h.background.Add(1)
	h.tasks.Go(func() {
		defer h.background.Add(-1)
		run.loop(lookup.Start(h.wall()))
	})
	return run
}

// orderServer picks the server of an order: usable, and the less loaded of two
// random ones.
func (h *Host) orderServer(view *view, service *settingsv1.Service, avoid []dcid.ServerAddr) (dcid.ServerAddr, bool) {
	servers := &queryServers{host: h, view: view, avoid: avoid}
	var usable []dcid.ServerAddr
	for _, server := range allServers(service) {
		if servers.Usable(server) {
			usable = append(usable, server)
		}
	}
	if len(usable) == 0 {
		return "", false
	}
	h.randomMu.Lock()
	one, other := usable[h.random.IntN(len(usable))], usable[h.random.IntN(len(usable))]
	h.randomMu.Unlock()
	if servers.InFlight(other) < servers.InFlight(one) {
		return other, true
	}
	return one, true
}

func newRequestID() dcid.RequestID {
	return dcid.RequestID(uuid.Must(uuid.NewV7()).String())
}

// outcomeKnown reports an answer that settles a key.
func outcomeKnown(answer dcledger.Respond) bool {
	return answer.Code == dcreason.OK && answer.Outcome != dcreason.Unknown
}
