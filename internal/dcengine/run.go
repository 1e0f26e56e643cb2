package dcengine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmerge"
	"github.com/dandelioncart/dandelioncart/internal/dcquarantine"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
	"github.com/dandelioncart/dandelioncart/internal/dcstatus"
)

// run executes the plan of one request.
type run struct {
	engine               *Engine
	request              *dcforward.Request
	route                *dcroute.Route
	configurationVersion dcroute.Version
	// priority is the priority of the request; 0 is the highest.
	priority int
	state    *routeState
	// work is the estimated work of the request, 0 if unknown.
	work     time.Duration
	services []*service
	sharers  int
	// waiting tells which parts have a first send that waits for a server.
	waiting []bool
	plan    *dcattempt.Plan
	// answers holds the answer of each part, nil for none.
	answers []*dcforward.Answer
	// lastFailure is the last answer of a server that ran the request and failed.
	lastFailure *dcforward.Answer
	// refusedSends counts the sends that servers refused.
	refusedSends int
	// digest identifies the request in the quarantine, empty while it is not needed.
	digest dcquarantine.Digest
	// canary is set while the request goes to one server only, which is none of
	// avoid, because it may crash servers.
	canary bool
	avoid  []dcid.ServerID
	// crashed lists the servers that crashed under the request, and answered is set
	// once a server has answered it.
	crashed  []dcid.ServerID
	answered bool
	// leftOut holds the services whose rate limits had no room for this request.
	leftOut []string
	// results takes the results of sends until done is closed.
	results chan *sendResult
	done    chan struct{}
	sendLog sendLog
	// sends tracks the sends in progress.
	sends sync.WaitGroup
	// sharesRoom is set if the configuration has departments. roomWait is how long the
	// request has waited for room.
	sharesRoom bool
	roomWait   time.Duration
}

type sendResult struct {
	send   dcattempt.Send
	answer dcforward.Answer
}

// run sends the request until the plan is done. Sends that are still in
// progress then continue without the caller, because closing their connections
// would cost the servers a new one each. They end at the deadline, or earlier
// when the caller of an idempotent request disconnects before its answer.
func (r *run) run(ctx context.Context) Reply {
	clock := r.engine.Clock
	now := clock.Now()
	r.results, r.done = make(chan *sendResult), make(chan struct{})
	defer close(r.done)
	sendCtx, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), clock, r.plan.Deadline)
	defer r.cancelAfterSends(cancel)
	defer r.stopWaiting()
	defer func() { r.endSuspicion(now) }()
	sends, ok := r.start(now)
	if !ok {
		return refusalReply(dcreason.RequestSuspected)
	}
	r.startSends(sendCtx, sends)
	timer := clock.NewTimer(r.plan.NextTick(now).Sub(now))
	defer timer.Stop()
	for !r.plan.Done(now) {
		select {
		case ended := <-r.results:
			now = clock.Now()
			r.startSends(sendCtx, r.ended(ended, now))
		case <-timer.Chan():
			now = clock.Now()
			r.startSends(sendCtx, r.plan.Tick(now))
		case <-r.engine.stop.endedChannel():
			if r.route.Idempotent {
				cancel()
			}
			return r.stopReply(clock.Now())
		case <-ctx.Done():
			if r.route.Idempotent {
				cancel()
			}
			return Reply{Status: http.StatusServiceUnavailable, Code: dcreason.Cancelled}
		}
		timer.Reset(max(r.plan.NextTick(now).Sub(now), 0))
	}
	return r.finalReply(now)
}

// cancelAfterSends cancels the context of the sends once all of them have
// ended.
func (r *run) cancelAfterSends(cancel context.CancelFunc) {
	go func() {
		r.sends.Wait()
		cancel()
	}()
}

// ended records the result of a send and returns the sends that follow it.
func (r *run) ended(ended *sendResult, now time.Time) []dcattempt.Send {
	switch ended.answer.Outcome {
	case dcbalance.Answered:
		if r.answers[ended.send.Part] == nil {
			r.answers[ended.send.Part] = &ended.answer
		}
	case dcbalance.Refused:
		r.refusedSends++
	case dcbalance.Failed:
		r.lastFailure = &ended.answer
	}
	next := r.recordCrash(ended, now)
	return append(next, r.plan.HandleOutcome(ended.send, ended.answer.Outcome, now)...)
}

// startSends starts sends in the background. Each reports its result to the
// service, even if the request has been answered in the meantime.
func (r *run) startSends(ctx context.Context, sends []dcattempt.Send) {
	for _, send := range sends {
		r.engine.Meter.sends.Inc(1)
		entry := r.sendLog.started(send, r.services[send.Part].name, r.engine.Clock.Since(r.request.Arrived))
		r.sends.Go(func() {
			engine, service := r.engine, r.services[send.Part]
			started := engine.Clock.Now()
			answer := engine.send(ctx, send.Call.Server, r.request, r.plan.Deadline.Sub(started))
			if answer.Status != 0 && !dcstatus.IsFinal(answer.Status) {
				// Such an answer proves nothing, whatever else it says.
				answer = dcforward.Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamMalformed, Status: answer.Status, Waited: answer.Waited, Err: answer.Err}
			}
			if answer.Outcome == dcbalance.Answered && len(r.route.Shards) > 0 && answer.Status/100 != 2 {
				answer.Outcome, answer.Code = dcbalance.Failed, dcreason.UpstreamError
			}
			now := engine.Clock.Now()
			elapsed := now.Sub(started)
			if answer.Outcome == dcbalance.Answered {
				r.state.recordLatency(elapsed, now)
				r.recordWork(service, send.Call, elapsed, now)
			}
			service.recordAnswer(send.Call, &answer, r.state.typicalLatency(now), r.route.LatencyTarget, engine.place(send.Call.Server.ID, answer.RateLimit), now)
			r.observeRoom(service.name, started, &answer, now)
			r.sendLog.ended(entry, &answer, elapsed)
			select {
			case r.results <- &sendResult{send: send, answer: answer}:
			case <-r.done:
				// The request was answered without this send.
			}
		})
	}
}

// send sends a request to a server. A panic ends this send only, and not the
// process with all requests that it serves; the request may have run.
func (e *Engine) send(ctx context.Context, server dcbalance.Server, request *dcforward.Request, left time.Duration) (answer dcforward.Answer) {
	defer func() {
		if cause := recover(); cause != nil {
			e.Log.Error("send ended by a panic", zap.String("request", string(request.ID)), zap.String("server", string(server.ID)),
				zap.Any("cause", cause), zap.Stack("stack"))
			answer = dcforward.Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamMalformed, Err: eris.Errorf("panic: %v", cause)}
		}
	}()
	return e.Sender.Send(ctx, server, request, left)
}

// Pick implements dcattempt.Servers.
func (r *run) Pick(part int, exclude []dcid.ServerID, extra bool, now time.Time) (*dcbalance.Call, bool) {
	call, ok := r.services[part].pickFor(r.work, exclude, extra, r.sharers, now)
	if !extra {
		r.setWaiting(part, !ok)
	}
	if ok && extra {
		r.engine.Meter.extra.Inc(1)
	}
	return call, ok
}

// Wait implements dcattempt.Servers.
func (r *run) Wait(part int, now time.Time) time.Duration {
	if room := r.services[part].room(0, now); room.Cause == dcbalance.Holds {
		return room.Wait
	}
	return 0
}

// setWaiting records whether the first send of a part waits for a server.
func (r *run) setWaiting(part int, waiting bool) {
	if r.waiting[part] == waiting {
		return
	}
	change := 1
	if !waiting {
		change = -1
	}
	r.waiting[part] = waiting
	r.services[part].addWaiting(change)
}

// stopWaiting ends the wait of all parts.
func (r *run) stopWaiting() {
	for part := range r.waiting {
		r.setWaiting(part, false)
	}
}

// MarkUnresponsive implements dcattempt.Servers.
func (r *run) MarkUnresponsive(part int, call *dcbalance.Call, now time.Time) {
	r.engine.Meter.unresponsive.Inc(1)
	r.services[part].unresponsive(call, now)
}

// finalReply builds the answer to the caller. It is a refusal only if no server
// may have run the request.
func (r *run) finalReply(now time.Time) Reply {
	switch {
	case r.plan.Succeeded() && len(r.route.Shards) > 0:
		reply := r.mergedReply()
		r.engine.lateness.record(r.plan, r.engine.Clock.Now())
		return reply
	case r.plan.Succeeded():
		answer := r.answers[0]
		return Reply{Status: answer.Status, Code: dcreason.OK, Answer: answer}
	case !r.plan.MayHaveRun():
		return r.refusedByServers(now)
	case r.lastFailure != nil && len(r.route.Shards) == 0 && r.lastFailure.Proof != "" && r.lastFailure.Status != http.StatusServiceUnavailable:
		return Reply{Status: r.lastFailure.Status, Code: dcreason.UpstreamError, Answer: r.lastFailure}
	case !now.Before(r.plan.Deadline):
		return Reply{Status: http.StatusGatewayTimeout, Code: dcreason.DeadlineExceeded}
	case len(r.route.Shards) > 0:
		return Reply{Status: http.StatusBadGateway, Code: dcreason.CoverageIncomplete}
	}
	return Reply{Status: http.StatusBadGateway, Code: dcreason.OutcomeUnknown}
}

// refusedByServers returns the refusal of a request that all servers refused. Its
// caller may return when the servers want requests again.
func (r *run) refusedByServers(now time.Time) Reply {
	refusal := refusalReply(dcreason.UpstreamShed)
	if rooms := r.rooms(now); len(rooms) >= r.plan.MinParts {
		if scarcest := rooms[r.plan.MinParts-1]; scarcest.Cause == dcbalance.Holds {
			refusal.RetryAfter = r.state.returnAfter(scarcest.Room, now)
		}
	}
	return refusal
}

// servicesWithoutServer returns the services of the parts that have no usable
// server.
func (r *run) servicesWithoutServer() (names []string) {
	for _, service := range r.services {
		if service.room(0, r.engine.Clock.Now()).Usable == 0 {
			names = append(names, string(service.name))
		}
	}
	return names
}

// mergedReply merges the answers of the shards.
func (r *run) mergedReply() Reply {
	reply := Reply{Status: http.StatusOK, Code: dcreason.OK}
	bodies := make([][]byte, 0, len(r.answers))
	for _, answer := range r.answers {
		if answer == nil {
			reply.MissingShards++
			continue
		}
		reply.Proofs = append(reply.Proofs, answer.Proof)
		bodies = append(bodies, answer.Body)
	}
	reply.Body = dcmerge.Greatest(bodies, r.route.MaxRecords)
	if reply.MissingShards > 0 {
		r.engine.Meter.partialAnswers.Inc(1)
	}
	return reply
}
