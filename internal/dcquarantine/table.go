// Package dcquarantine decides whether a request that may crash upstream
// servers runs. A digest that is not known to be good is first sent to one
// server (canary; Dean and Barroso, The Tail at Scale, 2013). A crash raises a
// suspicion; a suspected digest that crashes another server as a canary is
// quarantined on all hosts.
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

// Action says what to do with a request.
type Action string

// Actions.
const (
	// Run sends the request as usual.
	Run Action = "run"
	// Canary sends the request to one server first. The host calls Started, and
	// then Finish or Abandon.
	Canary Action = "canary"
	// Join waits until the running canary of the digest ends and decides again.
	Join Action = "join"
	// Refuse answers not-run with the code.
	Refuse Action = "refuse"
)

// Decision on one request.
type Decision struct {
	Action Action
	// Code is the reason of a refusal.
	Code dcreason.Code
	// Avoid lists servers that a canary must not use, ordered: those that the
	// digest is suspected to have crashed, and those that run another canary when
	// either digest is suspected. When no other server is left the host calls Abandon and refuses
	// with RequestSuspected.
	Avoid []dcid.ServerAddr
	// Until is the end of the quarantine or suspicion, zero for none.
	Until time.Time
}

// Verdict of a canary.
type CanaryResult string

// Verdicts.
const (
	// Good is an answer of the server, an error answer included.
	Good CanaryResult = "good"
	// Crashed is a connection that was lost after the request was written.
	Crashed CanaryResult = "crashed"
	// Inconclusive is anything else, for example a refusal before start.
	Inconclusive CanaryResult = "inconclusive"
)

// Rule is a group's rule.
type Rule struct {
	// Canary sends digests that are not known to be good to one server first.
	// Suspected digests always go to one server first.
	Canary bool
	// Duration of suspicion and quarantine.
	Duration time.Duration
}

const (
	defaultDuration      = 10 * time.Minute
	defaultMaxGood       = 65536
	defaultMaxEntries    = 4096
	defaultMaxCanaries   = 1024
	defaultCanaryTimeout = time.Minute
	// maxServers bounds the evidence of one entry.
	maxServers = 8
)

type state string

const (
	suspected   state = "suspected"
	quarantined state = "quarantined"
	cleared     state = "cleared"
)

// entry is the evidence on one digest.
type entry struct {
	state     state
	servers   []string
	expiresAt time.Time
	changedAt time.Time
}

// canary is a running canary.
type canary struct {
	server    dcid.ServerAddr
	startedAt time.Time
	// suspect is set when the digest was suspected before the canary began.
	suspect bool
}

// Table is the state of one host. The zero value is ready for use.
type Table struct {
	// MaxGood bounds the cache of digests known to be good.
	MaxGood int
	// MaxEntries bounds suspicions and quarantines.
	MaxEntries int
	// MaxCanaries bounds the canaries that run at once.
	MaxCanaries int
	// CanaryTimeout ends a canary that was never finished.
	CanaryTimeout time.Duration

	good      map[Digest]*list.Element
	goodByUse list.List
	entries   map[Digest]*entry
	canaries  map[Digest]*canary
	nextEntry int
}

// Decide says what to do with a request.
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

// avoid keeps a suspected digest alone among the canaries of a server, since a
// crash there counts against each of them.
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

// Started notes the server of a canary.
func (t *Table) CanaryStarted(digest Digest, server dcid.ServerAddr) {
	if running, ok := t.canaries[digest]; ok {
		running.server = server
	}
}

// Abandon ends a canary that was not sent.
func (t *Table) AbandonCanary(digest Digest) {
	delete(t.canaries, digest)
}

// Finish ends a canary and returns what to push to all peers before the caller
// hears of it. The joined requests then decide again, except after a crash: they
// are refused with RequestSuspected, or Quarantined when Decide says so.
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

// Crash takes a crash of a server that ran the request other than as a canary.
// It raises a suspicion but never quarantines: the server may have crashed by
// another request, and a query in flight on all servers is there for every
// crash.
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
	if suspect && distinct && len(e.servers) > 1 {
		e.state = quarantined
	}
	e.expiresAt = now.Add(cmp.Or(rule.Duration, defaultDuration))
	e.changedAt = now
	t.store(digest, e, now)
	return []*peerv1.Suspicion{e.toProto(digest)}
}

// clear remembers a good digest and takes back a suspicion.
func (t *Table) clearSuspicion(digest Digest, rule Rule, now time.Time) []*peerv1.Suspicion {
	t.addGood(digest)
	e := t.activeEntry(digest, now)
	if e == nil || e.state == cleared {
		return nil
	}
	// Kept for as long as a peer may still hold the suspicion.
	e = &entry{state: cleared, expiresAt: now.Add(cmp.Or(rule.Duration, defaultDuration)), changedAt: now}
	t.store(digest, e, now)
	return []*peerv1.Suspicion{e.toProto(digest)}
}

// knownGood looks a digest up and marks it as used.
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
