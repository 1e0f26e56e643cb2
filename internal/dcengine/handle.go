package dcengine

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

const (
	// maxInFlight bounds the requests that one host runs. Beyond it a host
	// would only add to their latency.
	maxInFlight = 1000
	// refusalWait is told to callers of refused requests.
	refusalWait = 250 * time.Millisecond
	// startWait is told to callers while no configuration is known.
	startWait = 500 * time.Millisecond
	// answerMargin is the part of the latency target that is kept for the way
	// between caller and host, two crossings of some milliseconds, and for timers
	// that fire late. It is at most answerMarginShare of the target.
	answerMargin      = 12 * time.Millisecond
	answerMarginShare = 0.3
	// leastAnswerShare is the part of the target that a host needs for an answer.
	// A query whose caller has spent more before is not answered in a hurry, since
	// its answer comes too late anyway.
	leastAnswerShare = 0.25
)

// Reply is the final answer to a caller.
type Reply struct {
	Status int
	Code   dcreason.Code
	// RetryAfter is told with refusals; 0 when none.
	RetryAfter time.Duration
	// Answer is the server's answer that is passed on, or nil.
	Answer *dcforward.Answer
	// Proofs names the parts of a merged answer.
	Proofs []string
	// Missing is the number of shards that a merged answer lacks.
	Missing int
	// Body of a merged answer.
	Body []byte
}

// Handle answers a request. ctx ends when the caller has left.
func (e *Engine) Handle(ctx context.Context, request *dcforward.Request) Reply {
	reply, run := e.handle(ctx, request)
	elapsed := e.Clock.Since(request.Arrived)
	e.Meter.request(reply.Code, elapsed)
	e.logReply(request, run, reply, elapsed)
	return reply
}

func (e *Engine) handle(ctx context.Context, request *dcforward.Request) (Reply, *run) {
	table := e.table.Load()
	if table == nil {
		return Reply{Status: http.StatusServiceUnavailable, Code: dcreason.ConfigurationMissing, RetryAfter: startWait}, nil
	}
	route := table.Find(request.Host, request.Path)
	if route == nil {
		return Reply{Status: http.StatusNotFound, Code: dcreason.RouteUnknown}, nil
	}
	if e.inFlight.Add(1) > maxInFlight {
		e.inFlight.Add(-1)
		return refusal(dcreason.TooManyRequests), nil
	}
	defer e.inFlight.Add(-1)
	run := e.newRun(request, route)
	run.version = table.Version
	if len(run.services)-len(run.unserved()) < run.plan.MinParts {
		return refusal(dcreason.NoServer), run
	}
	if !run.state.admit(e.Clock.Now()) {
		return refusal(dcreason.Overloaded), run
	}
	reply := run.run(ctx)
	if run.refused > 0 && failedByRefusals(reply.Code) {
		run.state.overloaded(e.Clock.Now())
	}
	return reply, run
}

// failedByRefusals reports whether a request with refused sends failed for want
// of servers, not because one that ran it failed or its caller left.
func failedByRefusals(code dcreason.Code) bool {
	return code == dcreason.UpstreamShed || code == dcreason.CoverageIncomplete || code == dcreason.DeadlineExceeded
}

func refusal(code dcreason.Code) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Code: code, RetryAfter: refusalWait}
}

// newRun plans the sends of a request.
func (e *Engine) newRun(request *dcforward.Request, route *dcroute.Route) *run {
	now := e.Clock.Now()
	state := e.routes.get(route.Name)
	r := &run{engine: e, request: request, route: route, state: state, hosts: e.Hosts.Count()}
	names := route.Shards
	if len(names) == 0 {
		names = []dcid.ServiceName{state.choose(route.Split)}
	}
	for _, name := range names {
		service := e.service(name)
		service.request(now)
		r.services = append(r.services, service)
	}
	rule := dcattempt.Policy{
		Idempotent:  route.Idempotent,
		MaxAttempts: route.MaxAttempts,
		MinParts:    1,
		Deadline:    request.Deadline,
	}
	if latest := request.Arrived.Add(route.Timeout); latest.Before(rule.Deadline) {
		rule.Deadline = latest
	}
	if route.Idempotent {
		rule.HedgeDelay = state.hedgeDelay(route.LatencyTarget, now)
	}
	if len(route.Shards) > 0 {
		rule.MinParts = route.MinParts()
		spent := state.spent(request.Deadline.Sub(request.Arrived))
		rule.AnswerBy = request.Arrived.Add(answerTime(route.LatencyTarget, spent))
	}
	r.plan = dcattempt.New(rule, len(r.services), r)
	r.answers = make([]*dcforward.Answer, len(r.services))
	return r
}

// answerTime returns how long after its arrival a query is answered without
// the shards that are missing. spent is how long its caller has waited before.
func answerTime(target, spent time.Duration) time.Duration {
	whole := target - min(answerMargin, time.Duration(float64(target)*answerMarginShare))
	if rest := whole - spent; rest >= time.Duration(float64(target)*leastAnswerShare) {
		return rest
	}
	return whole
}

// logReply reports a request that failed, was answered without all shards or
// was answered late. run is nil when nothing was sent.
func (e *Engine) logReply(request *dcforward.Request, run *run, reply Reply, elapsed time.Duration) {
	late := run != nil && elapsed > run.route.LatencyTarget
	if reply.Code == dcreason.OK && reply.Missing == 0 && !late {
		return
	}
	fields := []zap.Field{
		zap.String("request", string(request.ID)),
		zap.Int("status", reply.Status),
		zap.String("reason", string(reply.Code)),
		zap.Duration("elapsed", elapsed),
		zap.Duration("allowed", request.Deadline.Sub(request.Arrived)),
	}
	if run != nil {
		fields = append(fields, zap.String("route", string(run.route.Name)), zap.Duration("target", run.route.LatencyTarget),
			zap.Duration("hedge-delay", run.plan.HedgeDelay), zap.Int64("configuration", int64(run.version)),
			zap.Int("missing-shards", reply.Missing), zap.Object("sends-by-outcome", outcomes{&run.journal}), zap.Array("sends", &run.journal))
		if reply.Code == dcreason.NoServer {
			fields = append(fields, zap.Strings("services-without-server", run.unserved()))
		}
	}
	switch {
	case reply.Code != dcreason.OK:
		e.Log.Warn("request failed", fields...)
	case reply.Missing > 0:
		e.Log.Info("answered without all shards", fields...)
	default:
		e.Log.Info("answered late", fields...)
	}
}
