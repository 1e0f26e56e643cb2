package dcengine

import (
	"sync"
	"time"

	"go.uber.org/zap"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcquarantine"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

const (
	// maxCrashes is the number of servers that may crash under one request before
	// nothing more of it is sent. Servers also crash for other reasons, some of them
	// at the same time.
	maxCrashes = 3
	// maxSharedBytes is the maximum size of the suspicions that are sent to another
	// host at once.
	maxSharedBytes = 256 << 10
)

// quarantine keeps requests that crash servers away from them.
type quarantine struct {
	mu    sync.Mutex
	table dcquarantine.Table
}

// rule applies to all services: only suspected requests go to one server first.
var rule = dcquarantine.Rule{}

// MergeSuspicions takes what other hosts know of requests that crash servers.
func (e *Engine) MergeSuspicions(suspicions []*peerv1.Suspicion) {
	e.quarantine.mu.Lock()
	defer e.quarantine.mu.Unlock()
	e.quarantine.table.Merge(suspicions, e.Clock.Now())
}

// Suspicions returns what this host knows of requests that crash servers.
func (e *Engine) Suspicions() []*peerv1.Suspicion {
	e.quarantine.mu.Lock()
	defer e.quarantine.mu.Unlock()
	return e.quarantine.table.Entries(maxSharedBytes, e.Clock.Now())
}

// share passes suspicions that have changed to the other hosts.
func (e *Engine) share(suspicions []*peerv1.Suspicion) {
	if e.ShareSuspicions != nil && len(suspicions) > 0 {
		e.ShareSuspicions(suspicions)
	}
}

func requestDigest(request *dcforward.Request) dcquarantine.Digest {
	return dcquarantine.DigestOfHTTP(request.Method, request.Host, request.Target, request.Body)
}

// suspect decides whether a request may crash servers. It returns the refusal of
// one that does, and otherwise sets up the canary of one that may.
func (r *run) suspect(now time.Time) (refusal Reply, refused bool) {
	q := &r.engine.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.Empty() {
		return Reply{}, false
	}
	r.digest = requestDigest(r.request)
	decision := q.table.Decide(r.digest, rule, now)
	switch decision.Action {
	case dcquarantine.Refuse:
		refusal = refusalReply(decision.Code)
		if !decision.Until.IsZero() {
			refusal.RetryAfter = max(decision.Until.Sub(now), refusalRetryAfter)
		}
		return refusal, true
	case dcquarantine.Join:
		return refusalReply(dcreason.RequestSuspected), true
	case dcquarantine.Canary:
		r.canary = true
		for _, server := range decision.Avoid {
			r.avoid = append(r.avoid, dcid.ServerID(server))
		}
	}
	return Reply{}, false
}

// start returns the first sends of the request, that of the canary only if the
// request may crash servers.
func (r *run) start(now time.Time) (sends []dcattempt.Send, ok bool) {
	if !r.canary {
		return r.plan.Start(now), true
	}
	if sends = r.plan.StartCanary(r.avoid, now); len(sends) == 0 {
		// All servers ended under the request. Those that are back may have ended for
		// another reason.
		sends = r.plan.StartCanary(nil, now)
	}
	q := &r.engine.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(sends) == 0 {
		q.table.AbandonCanary(r.digest)
		return nil, false
	}
	q.table.CanaryStarted(r.digest, dcid.ServerAddr(sends[0].Call.Server.ID))
	return sends, true
}

// recordCrash records the outcome of a send in the quarantine. It returns the
// sends that follow the end of a canary.
func (r *run) recordCrash(ended *sendResult, now time.Time) []dcattempt.Send {
	crashed := ended.answer.Outcome == dcbalance.Lost && ended.answer.Code == dcreason.UpstreamCrashed
	if !crashed && !r.canary {
		return nil
	}
	q := &r.engine.quarantine
	server := dcid.ServerAddr(ended.send.Call.Server.ID)
	q.mu.Lock()
	if r.digest == "" {
		r.digest = requestDigest(r.request)
	}
	var changed []*peerv1.Suspicion
	var next []dcattempt.Send
	switch {
	case r.canary && crashed:
		changed = q.table.FinishCanary(r.digest, dcquarantine.Crashed, rule, now)
		r.canary = false
		r.plan.Abort()
	case crashed:
		changed = q.table.RecordCrash(r.digest, server, rule, now)
		if r.crashes++; r.crashes >= maxCrashes {
			r.plan.Abort()
		}
	case ended.answer.Outcome == dcbalance.Answered || ended.answer.Outcome == dcbalance.Failed:
		changed = q.table.FinishCanary(r.digest, dcquarantine.Good, rule, now)
		r.canary = false
		next = r.plan.EndCanary(now)
	case ended.answer.Outcome == dcbalance.Lost:
		q.table.FinishCanary(r.digest, dcquarantine.Inconclusive, rule, now)
		r.canary = false
		next = r.plan.EndCanary(now)
	}
	q.mu.Unlock()
	r.engine.share(changed)
	for _, suspicion := range changed {
		r.engine.Log.Warn("request may crash servers", zap.String("request", string(r.request.ID)), zap.String("digest", string(r.digest)),
			zap.String("server", string(server)), zap.String("state", suspicion.GetState()), zap.Int("crashed-servers", len(suspicion.GetServers())))
	}
	return next
}

// abandonCanary ends a canary without a result.
func (r *run) abandonCanary() {
	if !r.canary {
		return
	}
	q := &r.engine.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.AbandonCanary(r.digest)
	r.canary = false
}
