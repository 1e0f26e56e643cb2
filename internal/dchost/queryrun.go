package dchost

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcadmission"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcquery"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

const (
	// maxResponseMargin is the maximum time before the deadline of a query that is
	// reserved for writing the response. For short timeouts it is a tenth of the
	// timeout.
	maxResponseMargin     = 10 * time.Millisecond
	responseMarginDivisor = 10
	// minRestartTime is the smallest time before the deadline at which a query
	// still restarts on a newer snapshot of the shard map.
	minRestartTime = 20 * time.Millisecond
	// graceConnectTimes is how long a transmission may continue after another one
	// has answered its shard, as a multiple of the connect time of the group.
	graceConnectTimes = 2
)

// querySpec is a query that has passed the checks of the API.
type querySpec struct {
	request    dcid.RequestID
	department dcid.Department
	schema     dcid.SchemaVersion
	body       []byte
	deadline   time.Time
	view       *view
	group      *group
}

// queryRun runs one dcquery.Query: it performs the actions of the query and
// passes the responses to it.
type queryRun struct {
	*Host
	spec  querySpec
	check *digestCheck

	query  *dcquery.Query
	events chan queryEvent
	cancel map[dcquery.TransmissionID]context.CancelFunc
	timer  clockwork.Timer
	answer *dcquery.Answer
	pushes sync.WaitGroup
	// queueTime is the sum of the queue times that servers reported in
	// queueTimeCount responses. shed is set if a server shed load.
	queueTime      time.Duration
	queueTimeCount int
	shed           bool
	// grace is how long a transmission that is no longer needed continues before
	// it is cancelled.
	grace time.Duration
}

// queryEvent is the response to a transmission.
type queryEvent struct {
	id       dcquery.TransmissionID
	server   dcid.ServerAddr
	label    dcupstream.Label
	response dcupstream.Response
}

// runQuery admits and runs a query. If the query is refused before it starts,
// the answer is nil and the code gives the reason.
func (h *Host) runQuery(ctx context.Context, spec querySpec) (*dcquery.Answer, dcreason.Code) {
	check, code := h.checkDigest(ctx, spec.group, spec.schema, spec.body, spec.deadline)
	if code != dcreason.OK {
		return nil, code
	}
	defer check.close()
	arrived := h.Clock.Now()
	admissionID, code := spec.group.admit(ctx, spec.department, spec.deadline)
	h.meter.queueWait.Record(h.Clock.Since(arrived))
	if code != dcreason.OK {
		return nil, code
	}
	run := &queryRun{
		Host:   h,
		spec:   spec,
		check:  check,
		events: make(chan queryEvent, 64),
		cancel: map[dcquery.TransmissionID]context.CancelFunc{},
		grace:  graceConnectTimes * spec.group.currentRules().GetConnectTime().AsDuration(),
	}
	run.loop(ctx)
	run.finish(admissionID)
	return run.answer, dcreason.OK
}

// loop passes events to the query until it has an answer.
func (r *queryRun) loop(caller context.Context) {
	ctx := r.runCtx
	r.timer = r.Clock.NewTimer(time.Hour)
	defer r.timer.Stop()
	r.runLocked(ctx, r.startQuery)
	for r.answer == nil {
		select {
		case event := <-r.events:
			r.handleResponse(ctx, event)
		case <-r.timer.Chan():
			r.runLocked(ctx, func() []dcquery.Action { return r.query.Timer(r.Clock.Now()) })
		case <-caller.Done():
			r.grace = 0
			r.runLocked(ctx, func() []dcquery.Action { return r.query.Abandon(r.Clock.Now()) })
		}
	}
}

// startQuery creates the query on the current snapshot of the shard map and
// starts it. The group's lock is held.
func (r *queryRun) startQuery() []dcquery.Action {
	group := r.spec.group
	r.query = dcquery.New(group.shardMap.Snapshot(), dcquery.Options{
		Request:  r.spec.request,
		Deadline: r.spec.deadline,
		CoverageRule: dcquery.CoverageRule{
			Complete:    group.rules.GetCoverage() != dcsettings.CoveragePartial,
			MinCoverage: group.rules.GetMinCoverage(),
		},
		Budget:           group.budget(r.spec.department),
		Servers:          &queryServers{host: r.Host, view: r.spec.view, avoid: r.check.avoid},
		Rand:             group.random,
		NewerSnapshot:    func(base *dcshardmap.Snapshot) *dcshardmap.Snapshot { return group.shardMap.NewerSnapshot(base) },
		MinRestartTime:   minRestartTime,
		Canary:           r.check.canary,
		AllowCanaryRetry: r.check.allowRetry,
	})
	return r.query.Start(r.Clock.Now())
}

// runLocked calls the query under the group's lock and then performs the
// returned actions without it. They are copied because they are valid only
// until the next call.
func (r *queryRun) runLocked(ctx context.Context, call func() []dcquery.Action) {
	r.spec.group.mu.Lock()
	actions := append([]dcquery.Action(nil), call()...)
	r.spec.group.mu.Unlock()
	for _, action := range actions {
		r.perform(ctx, action)
	}
}

func (r *queryRun) perform(ctx context.Context, action dcquery.Action) {
	switch action.Kind {
	case dcquery.Send:
		r.send(ctx, action)
	case dcquery.Cancel:
		if cancel, ok := r.cancel[action.TransmissionID]; ok {
			r.cancelAfterGrace(cancel)
			delete(r.cancel, action.TransmissionID)
		}
	case dcquery.SetTimer:
		r.timer.Reset(action.Time.Sub(r.Clock.Now()))
	case dcquery.ReportCrash:
		r.meter.suspicions.Inc(1)
	case dcquery.Finish:
		r.answer = action.Answer
	}
}

// cancelAfterGrace cancels a transmission that is no longer needed, after the
// grace period. HTTP/1.1 can cancel only by closing the connection, which the
// next request would have to open again, so a transmission that is about to end
// is allowed to end.
func (r *queryRun) cancelAfterGrace(cancel context.CancelFunc) {
	if r.grace <= 0 {
		cancel()
		return
	}
	r.Clock.AfterFunc(r.grace, cancel)
}

// send starts a transmission. Its response arrives in events unless the
// transmission is cancelled.
func (r *queryRun) send(ctx context.Context, action dcquery.Action) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancel[action.TransmissionID] = cancel
	r.check.recordSend(action.Server)
	search := dcupstream.Search{
		Server:   action.Server,
		Label:    action.Label,
		Schema:   r.spec.schema,
		Deadline: action.Time,
		Body:     r.spec.body,
	}
	target := r.spec.view.targets[action.Server]
	if target != nil {
		target.inFlight.Add(1)
	}
	r.tasks.Go(func() {
		defer cancel()
		response := r.Upstream.Search(ctx, search)
		if target != nil {
			target.inFlight.Add(-1)
		}
		select {
		case r.events <- queryEvent{id: action.TransmissionID, server: action.Server, label: action.Label, response: response}:
		case <-ctx.Done():
		}
	})
}

// handleResponse records what a response shows about its server and the shard
// map before it passes the response to the query, since a restart of the query
// depends on the updated shard map.
func (r *queryRun) handleResponse(ctx context.Context, event queryEvent) {
	delete(r.cancel, event.id)
	if target := r.spec.view.targets[event.server]; target != nil {
		r.recordResponse(target, event.response)
	}
	if event.response.QueueTime >= 0 {
		r.queueTime += event.response.QueueTime
		r.queueTimeCount++
	}
	r.shed = r.shed || event.response.Code == dcreason.UpstreamShed
	if push := r.check.onResponse(event.server, event.response); len(push) > 0 {
		r.pushes.Go(func() { r.pushSuspicions(push) })
	}
	r.runLocked(ctx, func() []dcquery.Action {
		r.spec.group.recordMissing(event.server, event.label, event.response.Code, r.wallNow())
		return r.query.Response(event.id, event.response, r.Clock.Now())
	})
}

// finish reports the end of the query to admission control, after the pushes of
// suspicions to peers have ended. A query for which no server is left besides
// those that its digest may have crashed gets the code RequestSuspected.
func (r *queryRun) finish(admissionID dcadmission.ID) {
	r.pushes.Wait()
	r.countStats()
	if r.answer.Code == dcreason.Cancelled {
		r.spec.group.cancel(admissionID)
		return
	}
	sample := dcadmission.Sample{QueueTime: -1, Overloaded: r.shed, Failed: r.answer.Refused}
	if r.queueTimeCount > 0 {
		sample.QueueTime = r.queueTime / time.Duration(r.queueTimeCount)
	}
	r.spec.group.done(admissionID, sample)
	if r.answer.Refused && r.answer.Code == dcreason.NoServer && len(r.check.avoid) > 0 {
		r.answer.Code = dcreason.RequestSuspected
	}
}

func (r *queryRun) countStats() {
	stats := r.answer.Stats
	r.meter.subQueries.Inc(int64(stats.Sent))
	r.meter.hedges.Inc(int64(stats.Hedges))
	r.meter.retries.Inc(int64(stats.Retries))
	r.meter.restarts.Inc(int64(stats.Restarts))
	r.meter.droppedResponses.Inc(int64(stats.Mismatched + stats.Stray))
	r.meter.extraLoadDenied.Inc(int64(stats.Denied))
}

// recordMissing records in the shard map that a server does not hold the shard
// or the index version of a label. The group's lock is held.
func (g *group) recordMissing(server dcid.ServerAddr, label dcupstream.Label, code dcreason.Code, now time.Time) {
	switch code {
	case dcreason.VersionGone:
		g.shardMap.VersionGone(server, label.Shard, label.Version, label.Epoch, now)
	case dcreason.ShardGone:
		g.shardMap.ShardGone(server, label.Shard, label.Epoch, now)
	}
}
