package dcengine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// its hedges and retries wait for the first answer.
	maxCrashes = 3
	// answeredSlots is the number of requests that are remembered as answered.
	answeredSlots = 8192
	// maxSharedBytes is the maximum size of the suspicions that are sent to another
	// host at once.
	maxSharedBytes = 256 << 10
)

// quarantine keeps requests that crash servers away from them.
type quarantine struct {
	mu    sync.Mutex
	table dcquarantine.Table
	// answered remembers requests that servers have answered, by their hash. A new
	// one replaces another one of the same slot. Without it, servers that break
	// their connections would put requests into quarantine that many callers send.
	answered [answeredSlots]atomic.Uint64
}

// recordAnswer remembers that a server has answered a request.
func (q *quarantine) recordAnswer(request *dcforward.Request) {
	hash := requestHash(request)
	q.answered[hash%answeredSlots].Store(hash)
}

// wasAnswered reports whether a server has answered such a request lately.
func (q *quarantine) wasAnswered(request *dcforward.Request) bool {
	hash := requestHash(request)
	return q.answered[hash%answeredSlots].Load() == hash
}

// requestHash is a faster and shorter requestDigest.
func requestHash(request *dcforward.Request) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	for _, part := range []string{request.Method, request.Host, request.Target} {
		_, _ = hash.WriteString(part)
		_, _ = hash.WriteString("\x00")
	}
	_, _ = hash.Write(request.Body)
	return hash.Sum64()
}

// quarantineRule applies to all services: only suspected requests go to one server
// first.
var quarantineRule = dcquarantine.Rule{}

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

// SuspicionsAfter returns what this host knows of requests that crash servers, in the
// order of digests from the one after a digest, and whether there are more.
func (e *Engine) SuspicionsAfter(after dcquarantine.Digest) (suspicions []*peerv1.Suspicion, more bool) {
	e.quarantine.mu.Lock()
	defer e.quarantine.mu.Unlock()
	return e.quarantine.table.EntriesAfter(after, maxSharedBytes, e.Clock.Now())
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
	decision := q.table.Decide(r.digest, quarantineRule, now)
	if decision.Action == dcquarantine.Canary && q.wasAnswered(r.request) {
		// Suspected by another host only.
		q.table.AbandonCanary(r.digest)
		return Reply{}, false
	}
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

// recordCrash follows whether servers crash under the request or answer it. It
// returns the sends that an answer allows. A request that any server answers is not
// the cause of the crashes of others.
func (r *run) recordCrash(ended *sendResult, now time.Time) (sends []dcattempt.Send) {
	outcome := ended.answer.Outcome
	answered := outcome == dcbalance.Answered || outcome == dcbalance.Failed
	crashed := outcome == dcbalance.Lost && ended.answer.Code == dcreason.UpstreamCrashed
	switch {
	case answered:
		if !r.answered {
			r.engine.quarantine.recordAnswer(r.request)
		}
		r.answered = true
		sends = r.plan.Release(now)
	case crashed:
		r.crashed = append(r.crashed, ended.send.Call.Server.ID)
	}
	if r.canary {
		return append(sends, r.endCanary(answered, crashed, outcome, now)...)
	}
	if len(r.crashed) >= maxCrashes && !r.answered {
		r.plan.Hold()
	}
	return sends
}

// endCanary ends the canary of the request unless the outcome says that it did not
// run. It returns the sends that follow.
func (r *run) endCanary(answered, crashed bool, outcome dcbalance.Outcome, now time.Time) []dcattempt.Send {
	result := dcquarantine.Inconclusive
	switch {
	case answered:
		result = dcquarantine.Good
	case crashed:
		result = dcquarantine.Crashed
	case outcome != dcbalance.Lost:
		return nil
	}
	q := &r.engine.quarantine
	q.mu.Lock()
	changed := q.table.FinishCanary(r.digest, result, quarantineRule, now)
	q.mu.Unlock()
	r.canary = false
	r.report(changed)
	if crashed {
		r.crashed = nil
		r.plan.Abort()
		return nil
	}
	return r.plan.EndCanary(now)
}

// endSuspicion ends the part of the request in the quarantine: it abandons a canary
// without a result, and records the crashes of a request that no server answered.
func (r *run) endSuspicion(now time.Time) {
	if !r.canary && (len(r.crashed) == 0 || r.answered) {
		return
	}
	q := &r.engine.quarantine
	q.mu.Lock()
	var changed []*peerv1.Suspicion
	if r.canary {
		q.table.AbandonCanary(r.digest)
		r.canary = false
	}
	if len(r.crashed) > 0 && !r.answered && !q.wasAnswered(r.request) {
		if r.digest == "" {
			r.digest = requestDigest(r.request)
		}
		for _, server := range r.crashed {
			changed = q.table.RecordCrash(r.digest, dcid.ServerAddr(server), quarantineRule, now)
		}
	}
	q.mu.Unlock()
	r.report(changed)
}

// report logs changes of suspicions and passes them to the other hosts.
func (r *run) report(changed []*peerv1.Suspicion) {
	r.engine.share(changed)
	for _, suspicion := range changed {
		r.engine.Log.Warn("request may crash servers", zap.String("request", string(r.request.ID)), zap.String("digest", suspicion.GetDigest()),
			zap.String("state", suspicion.GetState()), zap.Strings("crashed-servers", suspicion.GetServers()))
	}
}
