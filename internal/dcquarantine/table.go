// Package dcquarantine decides whether a request runs that may crash upstream
// servers. A request whose digest is not known to be good is sent to one server
// first, as a canary (Dean and Barroso, The Tail at Scale, 2013). After a crash
// the digest is suspected. A suspected digest that crashes another server as a
// canary is quarantined on all hosts.
package dcquarantine

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Action is what to do with a request.
type Action string

// The actions.
const (
	// Run sends the request as usual.
	Run Action = "run"
	// Canary sends the request to one server first. The caller then calls
	// CanaryStarted and FinishCanary, or AbandonCanary if the canary is not sent.
	Canary Action = "canary"
	// Join waits until the running canary of the digest ends; the caller then
	// calls Decide again.
	Join Action = "join"
	// Refuse refuses the request with the code of the decision and the outcome
	// not-run.
	Refuse Action = "refuse"
)

// Decision is the decision on one request.
type Decision struct {
	Action Action
	// Code is the reason for a refusal.
	Code dcreason.Code
	// Avoid lists the servers to which a canary must not be sent, sorted: those
	// that the digest is suspected to have crashed, and those that run the canary
	// of another digest when either digest is suspected. When no other server is
	// left, the caller calls AbandonCanary and refuses the request with
	// RequestSuspected.
	Avoid []dcid.ServerAddr
	// Until is the end of the quarantine or suspicion, zero for none.
	Until time.Time
}

// CanaryResult is the result of a canary.
type CanaryResult string

// The results of a canary.
const (
	// Good is any answer of the server, including an error.
	Good CanaryResult = "good"
	// Crashed is a connection that was lost after the request was written.
	Crashed CanaryResult = "crashed"
	// Inconclusive is anything else, for example a refusal before the request
	// ran.
	Inconclusive CanaryResult = "inconclusive"
)

// Rule is the quarantine rule of a service group.
type Rule struct {
	// Canary sends digests that are not known to be good to one server first.
	// Suspected digests always go to one server first.
	Canary bool
	// Duration is how long a suspicion or a quarantine lasts after the newest
	// crash; 0 means 10 minutes.
	Duration time.Duration
}

const (
	defaultDuration      = 10 * time.Minute
	defaultMaxGood       = 65536
	defaultMaxEntries    = 4096
	defaultMaxCanaries   = 1024
	defaultCanaryTimeout = time.Minute
	// maxServers is the largest number of crashed servers listed in one entry.
	maxServers = 8
)

type state string

const (
	suspected   state = "suspected"
	quarantined state = "quarantined"
	cleared     state = "cleared"
)

// entry is what is known about the crashes of one digest: the servers that
// crashed, the end of the entry and the time of its newest change.
type entry struct {
	state     state
	servers   []string
	expiresAt time.Time
	changedAt time.Time
	// canaryCrashes counts the suspected canaries that crashed a server. Other hosts
	// do not learn it.
	canaryCrashes int
}

// canary is a running canary.
type canary struct {
	server    dcid.ServerAddr
	startedAt time.Time
	// suspect is set when the digest was already suspected when the canary
	// started.
	suspect bool
}

// Table holds the canaries, suspicions and quarantines known to one host. The
// zero value is ready for use. A Table is not safe for concurrent use.
type Table struct {
	// MaxGood is the size of the cache of digests known to be good; 0 means
	// 65536.
	MaxGood int
	// MaxEntries is the largest number of suspicions, quarantines and cleared
	// entries; 0 means 4096.
	MaxEntries int
	// MaxCanaries is the largest number of canaries that run at the same time; 0
	// means 1024.
	MaxCanaries int
	// CanaryTimeout is the time after which a canary that was neither finished
	// nor abandoned no longer counts as running; 0 means one minute.
	CanaryTimeout time.Duration

	// good maps each digest known to be good to its element in goodByUse, which
	// lists these digests from the most to the least recently used.
	good      map[Digest]*list.Element
	goodByUse list.List
	entries   map[Digest]*entry
	canaries  map[Digest]*canary
	// nextEntry is the index, in the sorted entries, at which the next call of
	// Entries starts.
	nextEntry int
}

// Empty reports whether no digest is suspected, quarantined or cleared. Decide
// then returns Run for rules without canaries.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// Decide returns what to do with a request. For the action Canary it records
// that a canary of the digest runs.
func (t *Table) Decide(digest Digest, rule Rule, now time.Time) Decision {
	e := t.activeEntry(digest, now)
	if e != nil && e.state == quarantined {
		return Decision{Action: Refuse, Code: dcreason.Quarantined, Until: e.expiresAt}
	}
	suspect := e != nil && e.state == suspected
	if !suspect && (!rule.Canary || t.knownGood(digest)) {
		return Decision{Action: Run}
	}
	if running, ok := t.canaries[digest]; ok && now.Sub(running.startedAt) < t.canaryTimeout() {
		return Decision{Action: Join}
	}
	if !t.startCanary(digest, suspect, now) {
		return Decision{Action: Refuse, Code: dcreason.QueueFull}
	}
	decision := Decision{Action: Canary, Avoid: t.serversToAvoid(digest, e)}
	if suspect {
		decision.Until = e.expiresAt
	}
	return decision
}

func (t *Table) canaryTimeout() time.Duration {
	return cmp.Or(t.CanaryTimeout, defaultCanaryTimeout)
}

func (t *Table) startCanary(digest Digest, suspect bool, now time.Time) bool {
	if t.canaries == nil {
		t.canaries = map[Digest]*canary{}
	}
	if len(t.canaries) >= cmp.Or(t.MaxCanaries, defaultMaxCanaries) {
		t.expireCanaries(now)
	}
	if len(t.canaries) >= cmp.Or(t.MaxCanaries, defaultMaxCanaries) {
		return false
	}
	t.canaries[digest] = &canary{startedAt: now, suspect: suspect}
	return true
}

func (t *Table) expireCanaries(now time.Time) {
	for digest, running := range t.canaries {
		if now.Sub(running.startedAt) >= t.canaryTimeout() {
			delete(t.canaries, digest)
		}
	}
}

// serversToAvoid returns the value of Decision.Avoid. A server that runs the
// canary of a suspected digest runs no other canary, since a crash of the server
// would count against all of them.
func (t *Table) serversToAvoid(digest Digest, e *entry) []dcid.ServerAddr {
	var servers []dcid.ServerAddr
	suspect := e != nil && e.state == suspected
	if suspect {
		for _, server := range e.servers {
			servers = append(servers, dcid.ServerAddr(server))
		}
	}
	for other, running := range t.canaries {
		if other != digest && (suspect || running.suspect) && running.server != "" {
			servers = append(servers, running.server)
		}
	}
	slices.Sort(servers)
	return slices.Compact(servers)
}

// CanaryStarted records the server to which a canary is sent.
func (t *Table) CanaryStarted(digest Digest, server dcid.ServerAddr) {
	if running, ok := t.canaries[digest]; ok {
		running.server = server
	}
}

// AbandonCanary ends a canary that was not sent.
func (t *Table) AbandonCanary(digest Digest) {
	delete(t.canaries, digest)
}

// FinishCanary ends a canary. It returns the entries to push to all peers before
// the request is answered. The requests that wait for the canary then call
// Decide again. After a crash they are refused instead, with Quarantined if
// Decide returns that, otherwise with RequestSuspected.
func (t *Table) FinishCanary(digest Digest, result CanaryResult, rule Rule, now time.Time) (push []*peerv1.Suspicion) {
	running, ok := t.canaries[digest]
	if !ok {
		return nil
	}
	delete(t.canaries, digest)
	switch result {
	case Good:
		return t.clearSuspicion(digest, rule, now)
	case Crashed:
		return t.addCrash(digest, running.server, running.suspect, rule, now)
	default:
		return nil
	}
}

// RecordCrash records the crash of a server that ran the request, but not as a
// canary. The digest becomes suspected but is never quarantined: another request
// may have crashed the server, and a query that runs on all servers is present
// at every crash.
func (t *Table) RecordCrash(digest Digest, server dcid.ServerAddr, rule Rule, now time.Time) (push []*peerv1.Suspicion) {
	return t.addCrash(digest, server, false, rule, now)
}

func (t *Table) addCrash(digest Digest, server dcid.ServerAddr, suspect bool, rule Rule, now time.Time) []*peerv1.Suspicion {
	t.removeGood(digest)
	e := t.activeEntry(digest, now)
	if e == nil || e.state == cleared {
		e = &entry{state: suspected}
	}
	distinct := !slices.Contains(e.servers, string(server))
	if distinct && len(e.servers) < maxServers {
		e.servers = append(e.servers, string(server))
	}
	if suspect {
		e.canaryCrashes++
	}
	if suspect && len(e.servers) > 1 || e.canaryCrashes > 1 {
		e.state = quarantined
	}
	e.expiresAt = now.Add(cmp.Or(rule.Duration, defaultDuration))
	e.changedAt = now
	t.store(digest, e, now)
	return []*peerv1.Suspicion{e.toProto(digest)}
}

// clearSuspicion records a digest as good and clears its suspicion or
// quarantine, if there is one.
func (t *Table) clearSuspicion(digest Digest, rule Rule, now time.Time) []*peerv1.Suspicion {
	t.addGood(digest)
	e := t.activeEntry(digest, now)
	if e == nil || e.state == cleared {
		return nil
	}
	// The cleared entry is kept as long as a peer may still have the suspicion.
	e = &entry{state: cleared, expiresAt: now.Add(cmp.Or(rule.Duration, defaultDuration)), changedAt: now}
	t.store(digest, e, now)
	return []*peerv1.Suspicion{e.toProto(digest)}
}

// knownGood reports whether a digest is known to be good, and marks it as the
// most recently used.
func (t *Table) knownGood(digest Digest) bool {
	element, ok := t.good[digest]
	if ok {
		t.goodByUse.MoveToFront(element)
	}
	return ok
}

func (t *Table) addGood(digest Digest) {
	if t.good == nil {
		t.good = map[Digest]*list.Element{}
	}
	if t.knownGood(digest) {
		return
	}
	t.good[digest] = t.goodByUse.PushFront(digest)
	if len(t.good) > cmp.Or(t.MaxGood, defaultMaxGood) {
		oldest := t.goodByUse.Back()
		t.removeGood(oldest.Value.(Digest))
	}
}

func (t *Table) removeGood(digest Digest) {
	if element, ok := t.good[digest]; ok {
		t.goodByUse.Remove(element)
		delete(t.good, digest)
	}
}
