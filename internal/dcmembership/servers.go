package dcmembership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Signal says why a server is leaving.
type Signal string

// Signals of a leaving server. HostList and Operator are states that their
// source repeats; Draining and Closed are events.
const (
	Draining Signal = "draining"
	Closed   Signal = "closed"
	HostList Signal = "host-list"
	Operator Signal = "operator"
)

var signals = []Signal{Draining, Closed, HostList, Operator}

const (
	// defaultServerRetention keeps cleared signals long enough to reach every
	// host and to outlive older copies.
	defaultServerRetention = 10 * time.Minute
	defaultMaxServers      = 4096
	// activeRetention forgets servers that never come back; a request to one
	// raises the signal again.
	activeRetention = 24 * time.Hour
	// spreadHold keeps a host that alone cannot reach a server from taking the
	// server away from all hosts again and again.
	spreadHold = time.Minute
	// relapse is the time after a false clearing within which another draining
	// answer shows that the server's status cannot be trusted. The status then
	// clears the signal only after a back-off from minHold to maxHold: a server
	// that drained and reported serving was sent new work in every second.
	relapse = 2 * maxHold
	minHold = 5 * time.Second
	maxHold = time.Minute
	// rampStep is the clean time after which a returning server may have twice
	// as many requests in flight.
	rampStep = time.Second
)

type signalState struct {
	seen    time.Time
	active  bool
	private bool
	// merged is set while only peers have seen the signal.
	merged bool
	// stated is set while the host list or the operator says leaving.
	stated bool
	// hold is the time for which a status of serving does not clear the signal.
	hold time.Duration
}

// raise makes the signal active. A draining signal that returns soon after it
// was cleared is held for longer than the one before.
func (s *signalState) raise(signal Signal, seen time.Time) {
	back := signal == Draining && !s.seen.IsZero() && seen.Sub(s.seen) < relapse
	switch {
	case back:
		s.hold = min(max(2*s.hold, minHold), maxHold)
	default:
		s.hold = 0
	}
	s.seen = seen
	s.active = true
}

type server struct {
	signals map[Signal]*signalState
	// healed is the time at which a peer cleared a closed signal of this host.
	healed time.Time
	// ramp is the start of the newest clean span, zero when not ramping.
	ramp time.Time
}

// Servers keeps the leaving upstream servers and the ramp-up of returning ones.
// Any one active signal stops new work. The zero value is ready for use.
type Servers struct {
	// Retention is the time for which cleared signals are remembered.
	Retention time.Duration
	// MaxServers bounds the table.
	MaxServers int

	servers map[dcid.ServerAddr]*server
	cursor  int
}

// Observe takes a signal that this host saw. A closed connection stops new work
// here only, until a probe confirms it; see NeedProbe.
func (s *Servers) Observe(addr dcid.ServerAddr, signal Signal, now time.Time) (changed bool) {
	state := s.state(addr, signal, now)
	if state == nil {
		return false
	}
	source := signal == HostList || signal == Operator
	// A statement that a peer has already seen and a probe has cleared is not a
	// new one because this host reads the list later.
	repeated := source && (state.stated || state.merged)
	state.stated = source
	state.merged = false
	if state.active || repeated {
		return false
	}
	state.raise(signal, now)
	state.private = signal == Closed
	return true
}

// Withdraw takes back a signal of the host list or the operator.
func (s *Servers) Withdraw(addr dcid.ServerAddr, signal Signal, now time.Time) (changed bool) {
	known, ok := s.servers[addr]
	if !ok || known.signals[signal] == nil {
		return false
	}
	state := known.signals[signal]
	state.stated = false
	if !state.active {
		return false
	}
	s.clear(known, state, now, now)
	return true
}

// Probed takes the answer of a probe that was sent at a time. An answer as
// serving clears earlier signals that were events; any other result confirms a
// closed connection. What the host list or the operator says ends only when
// they say otherwise, since the status of a leaving server may mislead.
func (s *Servers) Probed(addr dcid.ServerAddr, serving bool, sent, now time.Time) (changed bool) {
	known, ok := s.servers[addr]
	if !ok {
		return false
	}
	for _, signal := range signals {
		state := known.signals[signal]
		if state == nil || !state.active || signal.stated() || !sent.After(state.seen.Add(state.hold)) {
			continue
		}
		switch {
		case serving:
			s.clear(known, state, sent, now)
			changed = true
		case state.private && now.Sub(known.healed) >= spreadHold:
			state.private = false
			changed = true
		}
	}
	return changed
}

// stated reports a signal that its source repeats, unlike an event.
func (s Signal) stated() bool {
	return s == Operator || s == HostList
}

// clear ends a signal. A server that had left by more than an unconfirmed
// closed connection is ramped up once no signal is left.
func (s *Servers) clear(known *server, state *signalState, seen, now time.Time) {
	left := !state.private
	state.active = false
	state.private = false
	state.seen = seen
	if left && !known.leaving() {
		known.ramp = now
	}
}

func (k *server) leaving() bool {
	for _, state := range k.signals {
		if state.active {
			return true
		}
	}
	return false
}

// Usable reports that the server may receive new work.
func (s *Servers) Usable(addr dcid.ServerAddr) bool {
	known, ok := s.servers[addr]
	return !ok || !known.leaving()
}

// NeedProbe returns the servers that a probe can clear or confirm, ordered.
func (s *Servers) NeedProbe() []dcid.ServerAddr {
	var addrs []dcid.ServerAddr
	for addr, known := range s.servers {
		if known.leaving() {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// Cold starts the ramp-up of a server that says it is cold, or that is new.
func (s *Servers) Cold(addr dcid.ServerAddr, now time.Time) {
	if known := s.known(addr, now); known != nil && known.ramp.IsZero() {
		known.ramp = now
	}
}

// Failed restarts the ramp-up of a server that is being ramped up.
func (s *Servers) Failed(addr dcid.ServerAddr, now time.Time) {
	if known, ok := s.servers[addr]; ok && !known.ramp.IsZero() {
		known.ramp = now
	}
}

// InFlight returns how many requests the server may have in flight: 0 when it
// is leaving, 1 when it returns, twice as many after each clean second, up to
// its limit.
func (s *Servers) InFlight(addr dcid.ServerAddr, limit int, now time.Time) int {
	known, ok := s.servers[addr]
	if !ok {
		return limit
	}
	if known.leaving() {
		return 0
	}
	if known.ramp.IsZero() {
		return limit
	}
	allowed := 1
	for clean := now.Sub(known.ramp); clean >= rampStep && allowed < limit; clean -= rampStep {
		allowed *= 2
	}
	if allowed >= limit {
		known.ramp = time.Time{}
		return limit
	}
	return allowed
}

// Merge takes the entries of a peer. Of two entries for a server and signal the
// newer one holds, and the cleared one when both have the same time.
func (s *Servers) Merge(entries []*peerv1.LeavingServer, now time.Time) (changed bool) {
	for _, entry := range entries {
		if !slices.Contains(signals, Signal(entry.GetSignal())) {
			continue
		}
		changed = s.mergeOne(entry, now) || changed
	}
	return changed
}

func (s *Servers) mergeOne(entry *peerv1.LeavingServer, now time.Time) (changed bool) {
	seen := time.UnixMilli(entry.GetSeenMs())
	if now.Sub(seen) >= s.retention() && entry.GetCleared() {
		return false
	}
	signal := Signal(entry.GetSignal())
	state := s.state(dcid.ServerAddr(entry.GetServer()), signal, now)
	if state == nil {
		return false
	}
	held := state.seen.Truncate(time.Millisecond)
	newer := seen.After(held) || seen.Equal(held) && entry.GetCleared() && state.active
	if !newer {
		return false
	}
	known := s.servers[dcid.ServerAddr(entry.GetServer())]
	wasActive := state.active
	state.merged = !state.stated
	if !entry.GetCleared() {
		if !wasActive {
			state.raise(signal, seen)
		}
		state.seen = seen
		state.private = false
		return !wasActive
	}
	if !wasActive {
		state.seen = seen
		return false
	}
	if signal == Closed {
		known.healed = now
	}
	s.clear(known, state, seen, now)
	return true
}

// Entries returns signals to send to a peer, up to a number of bytes: the
// newest in half of the room, the others in turn.
func (s *Servers) Entries(maxBytes int, now time.Time) []*peerv1.LeavingServer {
	all := s.collect(now)
	room := maxBytes
	newest := fill(all, &room, maxBytes/2)
	rest := all[len(newest):]
	if len(rest) == 0 {
		return newest
	}
	s.cursor %= len(rest)
	turned := slices.Concat(rest[s.cursor:], rest[:s.cursor])
	others := fill(turned, &room, 0)
	s.cursor += len(others)
	return slices.Concat(newest, others)
}

// fill takes entries from the front while more than keep bytes of room stay.
func fill(entries []*peerv1.LeavingServer, room *int, keep int) []*peerv1.LeavingServer {
	for n, entry := range entries {
		size := proto.Size(entry) + fieldOverhead
		if *room-size < keep {
			return entries[:n]
		}
		*room -= size
	}
	return entries
}

// collect returns the signals to spread, newest first, and forgets old ones.
func (s *Servers) collect(now time.Time) []*peerv1.LeavingServer {
	s.expire(now)
	var all []*peerv1.LeavingServer
	for addr, known := range s.servers {
		for signal, state := range known.signals {
			if state.seen.IsZero() || state.private {
				continue
			}
			all = append(all, &peerv1.LeavingServer{
				Server:  string(addr),
				Signal:  string(signal),
				SeenMs:  state.seen.UnixMilli(),
				Cleared: !state.active,
			})
		}
	}
	slices.SortFunc(all, func(a, b *peerv1.LeavingServer) int {
		return cmp.Or(cmp.Compare(b.GetSeenMs(), a.GetSeenMs()), cmp.Compare(a.GetServer(), b.GetServer()), cmp.Compare(a.GetSignal(), b.GetSignal()))
	})
	return all
}

func (s *Servers) retention() time.Duration {
	return cmp.Or(s.Retention, defaultServerRetention)
}

func (s *Servers) expire(now time.Time) {
	for addr, known := range s.servers {
		for signal, state := range known.signals {
			keep := s.retention()
			if state.active {
				keep = activeRetention
			}
			if !state.stated && now.Sub(state.seen) >= keep {
				delete(known.signals, signal)
			}
		}
		if len(known.signals) == 0 && known.ramp.IsZero() {
			delete(s.servers, addr)
		}
	}
}

// known returns the server, nil when the table is full.
func (s *Servers) known(addr dcid.ServerAddr, now time.Time) *server {
	if s.servers == nil {
		s.servers = map[dcid.ServerAddr]*server{}
	}
	if known, ok := s.servers[addr]; ok {
		return known
	}
	limit := cmp.Or(s.MaxServers, defaultMaxServers)
	if len(s.servers) >= limit {
		s.expire(now)
	}
	if len(s.servers) >= limit {
		return nil
	}
	known := &server{signals: map[Signal]*signalState{}}
	s.servers[addr] = known
	return known
}

func (s *Servers) state(addr dcid.ServerAddr, signal Signal, now time.Time) *signalState {
	known := s.known(addr, now)
	if known == nil {
		return nil
	}
	state, ok := known.signals[signal]
	if !ok {
		state = &signalState{}
		known.signals[signal] = state
	}
	return state
}
