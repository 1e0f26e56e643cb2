// Package dcexchange decides when two hosts exchange what they know and what the other
// one may lack. That is when a host is first seen, when it runs a new process, when it
// comes back into the list of hosts, and when something could not be sent to it. Of two
// hosts that come into touch, one that knows something makes the call; if neither does,
// there is nothing to exchange. A host that has just started also asks a few others, so
// that it soon knows what the running ones do. Between hosts that stay in touch no
// exchange is due. The package opens no sockets and reads no clock.
//
// It answers the load of a deployment whose hosts all start at once, or are restarted in
// turn: only hosts that have something to tell call all others, and those that do not
// answer are tried less and less often.
package dcexchange

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// YieldTime is how long the process of two that started first leaves the call to
	// the other one.
	YieldTime = time.Second
	// minRetryPause and MaxRetryPause are the shortest and the longest pause after an
	// exchange that failed.
	minRetryPause = 500 * time.Millisecond
	MaxRetryPause = 1600 * time.Millisecond
	// firstAsks is the number of hosts that a host asks after its start although it has
	// nothing to tell.
	firstAsks = 3
	// maxCallers limits the hosts that are remembered before the list has them.
	maxCallers = 4096
)

// Peer is another host.
type Peer struct {
	// ID is empty for an address whose host is not known.
	ID dcid.HostID
	// Address is the address for calls of other hosts.
	Address string
	// Started is the time at which the process of the host started, zero if it is not
	// known.
	Started time.Time
	// Arrival numbers the last time at which the host came into the list of hosts.
	Arrival int
}

// isSameContact reports whether there was no new process and no arrival between two
// states of a host.
func (p *Peer) isSameContact(other *Peer) bool {
	return p.ID == other.ID && p.Started.Equal(other.Started) && p.Arrival == other.Arrival
}

// Call is an exchange with a host.
type Call struct {
	Address string
	// Attempt is the number of calls that have failed before, since the hosts were last
	// in touch.
	Attempt int
	// revision is that of the host when the call began.
	revision int
}

// Plan holds the exchanges that are due. Set the exported fields before the first call.
// It is not safe for concurrent use.
type Plan struct {
	// Self is the ID of this host and the time at which its process started.
	Self Peer
	// Random selects the hosts that this one asks after its start.
	Random *rand.Rand

	// peers holds the known hosts by address.
	peers map[string]*peer
	// callers holds the start of the processes that have exchanged with this one before
	// the list had them, by address.
	callers map[string]time.Time
	// met counts the exchanges that were complete, and revisions counts those of peers.
	met, revisions int
}

type peer struct {
	// Peer is the host as the list has it.
	Peer
	// process is the start of the process of the last complete exchange, which the list
	// may not have yet.
	process time.Time
	// complete is set if this host has nothing to tell: the other one has what this one
	// knew when they came into touch, and since then has been sent what was new.
	complete bool
	// asked is set if this host asks the other one after its start, or has exchanged with
	// it.
	asked bool
	// revision is a new one when the host comes into the list, misses something or is in
	// touch again. A call that began before does not complete the exchange.
	revision int
	// dueAt is the time of the next exchange unless complete is set.
	dueAt time.Time
	// running is set during a call to the host.
	running  bool
	failures int
}

// Update sets the other hosts. Those that are not among them are dropped. knows is set if
// this host knows something that others may lack.
func (p *Plan) Update(peers []Peer, knows bool, now time.Time) {
	known := make(map[string]*peer, len(peers))
	for _, seen := range peers {
		held := p.peers[seen.Address]
		switch {
		case held == nil:
			held = &peer{complete: !knows, revision: p.nextRevision(), dueAt: p.firstCall(&seen, now)}
			if process, ok := p.callers[seen.Address]; ok && process.Equal(seen.Started) {
				held.complete, held.asked, held.process = true, true, process
			}
			delete(p.callers, seen.Address)
		case knows && !held.isSameContact(&seen) && !held.hasMet(&seen):
			p.miss(held, p.firstCall(&seen, now))
		}
		held.Peer = seen
		known[seen.Address] = held
	}
	p.peers = known
	p.ask(now)
}

// ask selects hosts to ask until firstAsks exchanges have been complete.
func (p *Plan) ask(now time.Time) {
	missing := firstAsks - p.met
	var candidates []*peer
	for _, held := range p.peers {
		switch {
		case !held.complete && held.failures == 0:
			missing--
		case held.complete && !held.asked:
			candidates = append(candidates, held)
		}
	}
	slices.SortFunc(candidates, func(a, b *peer) int { return cmp.Compare(a.Address, b.Address) })
	for ; missing > 0 && len(candidates) > 0; missing-- {
		index := p.Random.IntN(len(candidates))
		candidates[index].asked, candidates[index].complete, candidates[index].dueAt = true, false, now
		candidates = slices.Delete(candidates, index, index+1)
	}
}

// hasMet reports whether the list only shows now the process of the last exchange.
func (p *peer) hasMet(seen *Peer) bool {
	returned := p.ID != "" && p.Arrival != seen.Arrival
	return p.complete && !returned && !seen.Started.IsZero() && seen.Started.Equal(p.process)
}

// firstCall returns the time of the first call to a host. The process that started last
// calls at once, since it is the one that lacks most.
func (p *Plan) firstCall(seen *Peer, now time.Time) time.Time {
	startedFirst := cmp.Or(p.Self.Started.Compare(seen.Started), cmp.Compare(p.Self.ID, seen.ID)) < 0
	if startedFirst && seen.ID != "" {
		return now.Add(YieldTime)
	}
	return now
}

// miss makes an exchange due with a host that may lack something.
func (p *Plan) miss(held *peer, dueAt time.Time) {
	held.revision = p.nextRevision()
	if held.complete || dueAt.Before(held.dueAt) {
		held.dueAt = dueAt
	}
	held.complete, held.failures = false, 0
}

func (p *Plan) nextRevision() int {
	p.revisions++
	return p.revisions
}

// Missed is called when something could not be sent to a host.
func (p *Plan) Missed(address string, now time.Time) {
	if held := p.peers[address]; held != nil {
		p.miss(held, now.Add(minRetryPause))
	}
}

// Sending is called before something is sent to the hosts of the list. Hosts that are
// not among them yet miss it.
func (p *Plan) Sending() { clear(p.callers) }

// Due returns the exchanges to begin now, those first that have failed least often. Each
// of them ends with Complete or Fail.
func (p *Plan) Due(now time.Time) (calls []Call) {
	var due []*peer
	for _, held := range p.peers {
		if !held.complete && !held.running && !held.dueAt.After(now) {
			due = append(due, held)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), a.dueAt.Compare(b.dueAt), cmp.Compare(a.Address, b.Address))
	})
	for _, held := range due {
		held.running = true
		calls = append(calls, held.call())
	}
	return calls
}

func (p *peer) call() Call {
	return Call{Address: p.Address, Attempt: p.failures, revision: p.revision}
}

// Next returns the time at which the next exchange is due, false if there is none.
func (p *Plan) Next() (next time.Time, ok bool) {
	for _, held := range p.peers {
		if !held.complete && !held.running && (!ok || held.dueAt.Before(next)) {
			next, ok = held.dueAt, true
		}
	}
	return next, ok
}

// Complete ends an exchange that this host began. started is the start of the process
// that answered, zero if that is not known.
func (p *Plan) Complete(call Call, started, now time.Time) {
	held := p.peers[call.Address]
	if held == nil {
		return
	}
	held.running = false
	p.finish(held, call, started, now)
}

// finish completes an exchange with a process unless the host has missed something since
// it began, or has started a newer process.
func (p *Plan) finish(held *peer, call Call, started, now time.Time) {
	if started.IsZero() {
		started = held.Started
	}
	if held.revision != call.revision || started.Before(held.Started) {
		held.dueAt = now.Add(minRetryPause)
		return
	}
	held.complete, held.asked, held.process, held.failures = true, true, started, 0
	p.met++
}

// Fail ends an exchange that this host began and the other one did not answer.
func (p *Plan) Fail(call Call, now time.Time) {
	held := p.peers[call.Address]
	if held == nil {
		return
	}
	held.running = false
	if held.complete {
		return
	}
	held.dueAt = now.Add(min(minRetryPause<<min(held.failures, 8), MaxRetryPause))
	held.failures++
}

// Answering returns the exchange that another host has begun, before this host answers.
func (p *Plan) Answering(address string) Call {
	if held := p.peers[address]; held != nil {
		return held.call()
	}
	return Call{Address: address}
}

// Answered ends an exchange that another host began. started is the start of its
// process, zero if that is not known.
func (p *Plan) Answered(call Call, started, now time.Time) {
	held := p.peers[call.Address]
	switch {
	case held == nil && !started.IsZero() && len(p.callers) < maxCallers:
		if p.callers == nil {
			p.callers = make(map[string]time.Time)
		}
		p.callers[call.Address] = started
		p.met++
	case held != nil:
		p.finish(held, call, started, now)
	}
}

// Started reports whether this host has exchanged with any other one, or knows none.
func (p *Plan) Started() bool { return p.met > 0 || len(p.peers) == 0 }
