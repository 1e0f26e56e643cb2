package dcengine

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcdepartment"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

const (
	// maxInFlight limits the requests that one host runs at the same time. More
	// would only add to the latency of all.
	maxInFlight = 1000
	// refusalRetryAfter is the retry delay sent to callers of refused requests.
	refusalRetryAfter = 250 * time.Millisecond
	// startRetryAfter is the retry delay sent to callers while no configuration
	// is known.
	startRetryAfter = 500 * time.Millisecond
	// answerMargin is the part of the latency target that is reserved for the
	// network between caller and host, two crossings of some milliseconds, and
	// for timers that fire late. It is at most maxAnswerMarginShare of the
	// target.
	answerMargin         = 12 * time.Millisecond
	maxAnswerMarginShare = 0.3
	// minAnswerShare is the part of the target that a host needs for an answer.
	// When a caller has waited for so long that less is left, its wait is not
	// subtracted, since the answer comes too late anyway.
	minAnswerShare = 0.25
)

// Reply is the final answer to a caller.
type Reply struct {
	Status int
	Code   dcreason.Code
	// RetryAfter is the retry delay sent with refusals, 0 for none.
	RetryAfter time.Duration
	// Answer is the answer of a server that is passed on, or nil.
	Answer *dcforward.Answer
	// Proofs lists the servers' proofs for the parts of a merged answer.
	Proofs []string
	// MissingShards is the number of shards that a merged answer lacks.
	MissingShards int
	// Body is the body of a merged answer.
	Body []byte
}

// Handle answers a request. ctx ends when the caller disconnects.
func (e *Engine) Handle(ctx context.Context, request *dcforward.Request) Reply {
	reply, run := e.handle(ctx, request)
	elapsed := e.Clock.Since(request.Arrived)
	e.Meter.request(reply.Code, elapsed)
	e.logReply(request, run, reply, elapsed)
	return reply
}

// Refuse returns the reply to a request that is refused whatever its body is: there is
// no configuration or no route, or the key is missing. ok is false if there is no such
// reason; Handle then decides, perhaps by a newer configuration.
func (e *Engine) Refuse(request *dcforward.Request) (reply Reply, ok bool) {
	_, _, reply, passed := e.find(e.table.Load(), request)
	if passed {
		return Reply{}, false
	}
	elapsed := e.Clock.Since(request.Arrived)
	e.Meter.request(reply.Code, elapsed)
	e.logReply(request, nil, reply, elapsed)
	return reply, true
}

// find returns the route of a request and its department, which may be nil, or the
// reply that refuses the request.
func (e *Engine) find(table *dcroute.Table, request *dcforward.Request) (route *dcroute.Route, department *dcdepartment.Department, refusal Reply, ok bool) {
	if table == nil {
		return nil, nil, Reply{Status: http.StatusServiceUnavailable, Code: dcreason.ConfigurationMissing, RetryAfter: startRetryAfter}, false
	}
	if route = table.Find(request.Host, request.Path); route == nil {
		return nil, nil, Reply{Status: http.StatusNotFound, Code: dcreason.RouteUnknown}, false
	}
	department, refusal, ok = authorize(table, route, request)
	return route, department, refusal, ok
}

func (e *Engine) handle(ctx context.Context, request *dcforward.Request) (Reply, *run) {
	table := e.table.Load()
	route, department, refusal, ok := e.find(table, request)
	if !ok {
		return refusal, nil
	}
	if refusal, ok := e.withinQuota(ctx, department, route); !ok {
		return refusal, nil
	}
	if e.inFlight.Add(1) > maxInFlight {
		e.inFlight.Add(-1)
		return refusalReply(dcreason.TooManyRequests), nil
	}
	defer e.inFlight.Add(-1)
	run := e.newRun(request, route)
	run.configurationVersion, run.priority = table.Version, priority(department, route)
	if refusal, refused := run.suspect(e.Clock.Now()); refused {
		return refusal, run
	}
	if refusal, ok := run.admitByTable(ctx, table, department); !ok {
		run.endSuspicion(e.Clock.Now())
		return refusal, run
	}
	reply := run.run(ctx)
	if run.refusedSends > 0 && failedForLackOfServers(reply.Code) {
		run.state.recordOverload(e.Clock.Now())
	}
	return reply, run
}

// failedForLackOfServers reports whether a request with refused sends failed
// for lack of servers, and not because a server that ran it failed or its
// caller disconnected.
func failedForLackOfServers(code dcreason.Code) bool {
	return code == dcreason.UpstreamShed || code == dcreason.CoverageIncomplete || code == dcreason.DeadlineExceeded
}

func refusalReply(code dcreason.Code) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Code: code, RetryAfter: refusalRetryAfter}
}

// newRun plans the sends of a request.
func (e *Engine) newRun(request *dcforward.Request, route *dcroute.Route) *run {
	now := e.Clock.Now()
	state := e.routes.get(route.Name)
	r := &run{engine: e, request: request, route: route, state: state, work: state.estimatedWork(), sharers: e.Hosts.Sharers()}
	e.Meter.extraSharers.Update(float64(r.sharers))
	names := route.Shards
	if len(names) == 0 {
		names = []dcid.ServiceName{state.chooseService(route.Split)}
	}
	for _, name := range names {
		service := e.service(name)
		service.request(now)
		r.services = append(r.services, service)
	}
	policy := dcattempt.Policy{
		Idempotent:  route.Idempotent,
		MaxAttempts: route.MaxAttempts,
		MinParts:    1,
		Deadline:    request.Deadline,
		MaxWait:     maxWait(route),
	}
	if latest := request.Arrived.Add(route.Timeout); latest.Before(policy.Deadline) {
		policy.Deadline = latest
	}
	if len(route.Shards) > 0 {
		policy.MinParts = route.MinParts()
		priorWait := state.priorWait(request.Deadline.Sub(request.Arrived))
		policy.AnswerBy = request.Arrived.Add(e.lateness.advance(partialAnswerDelay(route.LatencyTarget, priorWait), route.LatencyTarget, now))
	}
	state.setDelays(&policy, request.Arrived, route, now)
	r.plan = dcattempt.New(policy, len(r.services), r)
	r.answers = make([]*dcforward.Answer, len(r.services))
	r.waiting = make([]bool, len(r.services))
	return r
}

// partialAnswerDelay returns how long after its arrival a query is answered
// without the shards that are missing. priorWait is how long its caller had
// waited before the arrival.
func partialAnswerDelay(target, priorWait time.Duration) time.Duration {
	fullDelay := target - min(answerMargin, time.Duration(float64(target)*maxAnswerMarginShare))
	if remaining := fullDelay - priorWait; remaining >= time.Duration(float64(target)*minAnswerShare) {
		return remaining
	}
	return fullDelay
}

// logReply logs a request that failed, was answered without all shards or was
// answered late. run is nil when the request was refused before its sends were
// planned.
func (e *Engine) logReply(request *dcforward.Request, run *run, reply Reply, elapsed time.Duration) {
	late := run != nil && elapsed > run.route.LatencyTarget
	if reply.Code == dcreason.OK && reply.MissingShards == 0 && !late {
		return
	}
	fields := []zap.Field{
		zap.String("request", string(request.ID)),
		zap.Int("status", reply.Status),
		zap.String("reason", string(reply.Code)),
		zap.Duration("elapsed", elapsed),
		zap.Duration("allowed", request.Deadline.Sub(request.Arrived)),
	}
	if request.Department != "" {
		fields = append(fields, zap.String("department", string(request.Department)))
	}
	if run != nil {
		fields = append(fields, zap.String("route", string(run.route.Name)), zap.Duration("target", run.route.LatencyTarget),
			zap.Duration("hedge-delay", run.plan.HedgeDelay), zap.Int64("configuration", int64(run.configurationVersion)),
			zap.Int("missing-shards", reply.MissingShards), zap.Object("sends-by-outcome", outcomeCounts{&run.sendLog}), zap.Array("sends", &run.sendLog))
		if run.sharesRoom {
			fields = append(fields, zap.Int("priority", run.priority), zap.Duration("waited-for-room", run.roomWait))
		}
		if len(run.leftOut) > 0 {
			fields = append(fields, zap.Strings("services-without-room", run.leftOut))
		}
		if reply.Code == dcreason.NoServer {
			fields = append(fields, zap.Strings("services-without-server", run.servicesWithoutServer()))
		}
	}
	switch {
	case reply.Code != dcreason.OK:
		e.Log.Warn("request failed", fields...)
	case reply.MissingShards > 0:
		e.Log.Info("answered without all shards", fields...)
	default:
		e.Log.Info("answered late", fields...)
	}
}
