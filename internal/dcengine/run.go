package dcengine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmerge"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

// run carries out the plan of one request.
type run struct {
	engine   *Engine
	request  *dcforward.Request
	route    *dcroute.Route
	version  dcroute.Version
	state    *routeState
	services []*service
	hosts    int
	plan     *dcattempt.Plan
	// answers holds the answer of each part.
	answers []*dcforward.Answer
	// failure is the last answer of a server that ran the request and failed.
	failure *dcforward.Answer
	// refused counts the sends that servers refused.
	refused int
	results chan *result
	journal journal
	// sends counts the sends that are running.
	sends sync.WaitGroup
}

type result struct {
	send   dcattempt.Send
	answer dcforward.Answer
}

// run sends the request until the plan is done. Sends that are still running
// then go on without the caller, because closing their connections would cost
// the servers a new one each; they end when the caller leaves before its
// answer, or at the deadline.
func (r *run) run(ctx context.Context) Reply {
	clock := r.engine.Clock
	now := clock.Now()
	r.results = make(chan *result, len(r.services)*dcattempt.MaxSends(r.route.MaxAttempts))
	sending, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), clock, r.plan.Deadline)
	defer r.release(cancel)
	r.start(sending, r.plan.Start(now))
	timer := clock.NewTimer(r.plan.NextTick(now).Sub(now))
	defer timer.Stop()
	for !r.plan.Done(now) {
		select {
		case ended := <-r.results:
			now = clock.Now()
			r.start(sending, r.ended(ended, now))
		case <-timer.Chan():
			now = clock.Now()
			r.start(sending, r.plan.Tick(now))
		case <-ctx.Done():
			if r.route.Idempotent {
				cancel()
			}
			return Reply{Status: http.StatusServiceUnavailable, Code: dcreason.Cancelled}
		}
		timer.Reset(max(r.plan.NextTick(now).Sub(now), 0))
	}
	return r.reply(now)
}

// release ends the context of the sends when the last of them has ended.
func (r *run) release(cancel context.CancelFunc) {
	go func() {
		r.sends.Wait()
		cancel()
	}()
}

func (r *run) ended(ended *result, now time.Time) []dcattempt.Send {
	switch ended.answer.Outcome {
	case dcbalance.Answered:
		if r.answers[ended.send.Part] == nil {
			r.answers[ended.send.Part] = &ended.answer
		}
	case dcbalance.Refused:
		r.refused++
	case dcbalance.Failed:
		r.failure = &ended.answer
	}
	return r.plan.HandleOutcome(ended.send, ended.answer.Outcome, now)
}

// start carries out sends. Each reports its result to the service also when
// nobody waits for it any more.
func (r *run) start(ctx context.Context, sends []dcattempt.Send) {
	for _, send := range sends {
		r.engine.Meter.sends.Inc(1)
		entry := r.journal.started(send, r.services[send.Part].name, r.engine.Clock.Since(r.request.Arrived))
		r.sends.Go(func() {
			engine, service := r.engine, r.services[send.Part]
			started := engine.Clock.Now()
			answer := engine.Sender.Send(ctx, send.Call.Server, r.request, r.plan.Deadline.Sub(started))
			if answer.Outcome == dcbalance.Answered && len(r.route.Shards) > 0 && answer.Status/100 != 2 {
				answer.Outcome, answer.Code = dcbalance.Failed, dcreason.UpstreamError
			}
			now := engine.Clock.Now()
			elapsed := now.Sub(started)
			if answer.Outcome == dcbalance.Answered {
				r.state.record(elapsed, now)
			}
			service.end(send.Call, answer.Outcome, r.state.usualLatency(now), now)
			r.journal.ended(entry, &answer, elapsed)
			r.results <- &result{send: send, answer: answer}
		})
	}
}

// Pick implements dcattempt.Servers.
func (r *run) Pick(part int, exclude []dcid.ServerID, extra bool, now time.Time) (*dcbalance.Call, bool) {
	use, ok := r.services[part].pick(exclude, extra, r.hosts, now)
	if ok && extra {
		r.engine.Meter.extra.Inc(1)
	}
	return use, ok
}

// MarkUnresponsive implements dcattempt.Servers.
func (r *run) MarkUnresponsive(part int, use *dcbalance.Call, now time.Time) {
	r.engine.Meter.silent.Inc(1)
	r.services[part].silent(use, now)
}

// reply builds the final answer. A refusal is given only when no server may
// have run the request.
func (r *run) reply(now time.Time) Reply {
	switch {
	case r.plan.Succeeded() && len(r.route.Shards) > 0:
		return r.merged()
	case r.plan.Succeeded():
		answer := r.answers[0]
		return Reply{Status: answer.Status, Code: dcreason.OK, Answer: answer}
	case !r.plan.MayHaveRun():
		return refusal(dcreason.UpstreamShed)
	case r.failure != nil && len(r.route.Shards) == 0 && r.failure.Proof != "" && r.failure.Status != http.StatusServiceUnavailable:
		return Reply{Status: r.failure.Status, Code: dcreason.UpstreamError, Answer: r.failure}
	case !now.Before(r.plan.Deadline):
		return Reply{Status: http.StatusGatewayTimeout, Code: dcreason.DeadlineExceeded}
	case len(r.route.Shards) > 0:
		return Reply{Status: http.StatusBadGateway, Code: dcreason.CoverageIncomplete}
	}
	return Reply{Status: http.StatusBadGateway, Code: dcreason.OutcomeUnknown}
}

// unserved returns the services of the parts that have no server.
func (r *run) unserved() (names []string) {
	for _, service := range r.services {
		if service.usable() == 0 {
			names = append(names, string(service.name))
		}
	}
	return names
}

func (r *run) merged() Reply {
	reply := Reply{Status: http.StatusOK, Code: dcreason.OK}
	bodies := make([][]byte, 0, len(r.answers))
	for _, answer := range r.answers {
		if answer == nil {
			reply.Missing++
			continue
		}
		reply.Proofs = append(reply.Proofs, answer.Proof)
		bodies = append(bodies, answer.Body)
	}
	reply.Body = dcmerge.Greatest(bodies, r.route.MaxRecords)
	if reply.Missing > 0 {
		r.engine.Meter.short.Inc(1)
	}
	return reply
}
