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
	SignalDraining Signal = "draining"
	SignalClosed   Signal = "closed"
	SignalHostList Signal = "host-list"
	SignalOperator Signal = "operator"
)

var signals = []Signal{SignalDraining, SignalClosed, SignalHostList, SignalOperator}

const (
	// defaultServerRetention keeps cleared signals long enough to reach every
	// host and to outlive older copies.
	defaultServerRetention = 10 * time.Minute
	defaultMaxServers      = 4096
	// activeRetention forgets servers that never come back; a request to one
	// raises the signal again.
	activeRetention = 24 * time.Hour
	// minRepublishInterval keeps a host that alone cannot reach a server from taking the
	// server away from all hosts again and again.
	minRepublishInterval = time.Minute
	// flapWindow is the time after a false clearing within which another draining
	// answer shows that the server's status cannot be trusted. The status then
	// clears the signal only after a back-off from minHold to maxHold: a server
	// that drained and reported serving was sent new work in every second.
	flapWindow  = 2 * maxHoldDown
	minHoldDown = 5 * time.Second
	maxHoldDown = time.Minute
	// rampInterval is the clean time after which a returning server may have twice
	// as many requests in flight.
	rampInterval = time.Second
)

type signalState struct {
	seen      time.Time
	active    bool
	localOnly bool
	// fromPeer is set while only peers have seen the signal.
	fromPeer bool
	// asserted is set while the host list or the operator says leaving.
	asserted bool
	// holdDown is the time for which a status of serving does not clear the signal.
	holdDown time.Duration
}

// raise makes the signal active. A draining signal that returns soon after it
// was cleared is held for longer than the one before.
func (s *signalState) raise(signal Signal, seen time.Time) {
	back := signal == SignalDraining && !s.seen.IsZero() && seen.Sub(s.seen) < flapWindow
	switch {
	case back:
		s.holdDown = min(max(2*s.holdDown, minHoldDown), maxHoldDown)
	default:
		s.holdDown = 0
	}
	s.seen = seen
	s.active = true
}

type server struct {
	signals map[Signal]*signalState
	// clearedByPeer is the time at which a peer cleared a closed signal of this host.
	clearedByPeer time.Time
	// rampStart is the start of the newest clean span, zero when not ramping.
	rampStart time.Time
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
	source := signal == SignalHostList || signal == SignalOperator
	// A statement that a peer has already seen and a probe has cleared is not a
	// new one because this host reads the list later.
	repeated := source && (state.asserted || state.fromPeer)
	state.asserted = source
	state.fromPeer = false
	if state.active || repeated {
		return false
	}
	state.raise(signal, now)
	state.localOnly = signal == SignalClosed
	return true
}

// Withdraw takes back a signal of the host list or the operator.
func (s *Servers) Withdraw(addr dcid.ServerAddr, signal Signal, now time.Time) (changed bool) {
	tracked, ok := s.servers[addr]
	if !ok || tracked.signals[signal] == nil {
		return false
	}
	state := tracked.signals[signal]
	state.asserted = false
	if !state.active {
		return false
	}
	s.clear(tracked, state, now, now)
	return true
}

// RecordProbe takes the answer of a probe that was sent at a time. An answer as
// serving clears earlier signals that were events; any other result confirms a
// closed connection. What the host list or the operator says ends only when
// they say otherwise, since the status of a leaving server may mislead.
func (s *Servers) RecordProbe(addr dcid.ServerAddr, serving bool, sent, now time.Time) (changed bool) {
	tracked, ok := s.servers[addr]
	if !ok {
		return false
	}
	for _, signal := range signals {
		state := tracked.signals[signal]
		if state == nil || !state.active || signal.isPersistent() || !sent.After(state.seen.Add(state.holdDown)) {
			continue
		}
		switch {
		case serving:
			s.clear(tracked, state, sent, now)
			changed = true
		case state.localOnly && now.Sub(tracked.clearedByPeer) >= minRepublishInterval:
			state.localOnly = false
			changed = true
		}
	}
	return changed
}

// isPersistent reports a signal that its source repeats, unlike an event.
func (s Signal) isPersistent() bool {
	return s == SignalOperator || s == SignalHostList
}

// clear ends a signal. A server that had left by more than an unconfirmed
// closed connection is ramped up once no signal is left.
func (s *Servers) clear(tracked *server, state *signalState, seen, now time.Time) {
	left := !state.localOnly
	state.active = false
	state.localOnly = false
	state.seen = seen
	if left && !tracked.leaving() {
		tracked.rampStart = now
	}
}

func (t *server) leaving() bool {
	for _, state := range t.signals {
		if state.active {
			return true
		}
	}
	return false
}

// Usable reports that the server may receive new work.
func (s *Servers) Usable(addr dcid.ServerAddr) bool {
	tracked, ok := s.servers[addr]
	return !ok || !tracked.leaving()
}

// NeedProbe returns the servers that a probe can clear or confirm, ordered.
func (s *Servers) NeedProbe() []dcid.ServerAddr {
	var addrs []dcid.ServerAddr
	for addr, tracked := range s.servers {
		if tracked.leaving() {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// StartRampUp starts the ramp-up of a server that says it is cold, or that is new.
func (s *Servers) StartRampUp(addr dcid.ServerAddr, now time.Time) {
	if tracked := s.tracked(addr, now); tracked != nil && tracked.rampStart.IsZero() {
		tracked.rampStart = now
	}
}

// RestartRampUp restarts the ramp-up of a server that is being ramped up.
func (s *Servers) RestartRampUp(addr dcid.ServerAddr, now time.Time) {
	if tracked, ok := s.servers[addr]; ok && !tracked.rampStart.IsZero() {
		tracked.rampStart = now
	}
}

// InFlightLimit returns how many requests the server may have in flight: 0 when it
// is leaving, 1 when it returns, twice as many after each clean second, up to
// its limit.
func (s *Servers) InFlightLimit(addr dcid.ServerAddr, limit int, now time.Time) int {
	tracked, ok := s.servers[addr]
	if !ok {
		return limit
	}
	if tracked.leaving() {
		return 0
	}
	if tracked.rampStart.IsZero() {
		return limit
	}
	allowed := 1
	for clean := now.Sub(tracked.rampStart); clean >= rampInterval && allowed < limit; clean -= rampInterval {
		allowed *= 2
	}
	if allowed >= limit {
		tracked.rampStart = time.Time{}
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
	tracked := s.servers[dcid.ServerAddr(entry.GetServer())]
	wasActive := state.active
	state.fromPeer = !state.asserted
	if !entry.GetCleared() {
		if !wasActive {
			state.raise(signal, seen)
		}
		state.seen = seen
		state.localOnly = false
		return !wasActive
	}
	if !wasActive {
		state.seen = seen
		return false
	}
	if signal == SignalClosed {
		tracked.clearedByPeer = now
	}
	s.clear(tracked, state, seen, now)
	return true
}

// Entries returns signals to send to a peer, up to a number of bytes: the
// newest in half of the room, the others in turn.
func (s *Servers) Entries(maxBytes int, now time.Time) []*peerv1.LeavingServer {
	all := s.collect(now)
	room := maxBytes
	newest := takeEntries(all, &room, maxBytes/2)
	rest := all[len(newest):]
	if len(rest) == 0 {
		return newest
	}
	s.cursor %= len(rest)
	turned := slices.Concat(rest[s.cursor:], rest[:s.cursor])
	others := takeEntries(turned, &room, 0)
	s.cursor += len(others)
	return slices.Concat(newest, others)
}

// takeEntries takes entries from the front while more than keep bytes of room stay.
func takeEntries(entries []*peerv1.LeavingServer, room *int, keep int) []*peerv1.LeavingServer {
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
	for addr, tracked := range s.servers {
		for signal, state := range tracked.signals {
			if state.seen.IsZero() || state.localOnly {
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
	for addr, tracked := range s.servers {
		for signal, state := range tracked.signals {
			keep := s.retention()
			if state.active {
				keep = activeRetention
			}
			if !state.asserted && now.Sub(state.seen) >= keep {
				delete(tracked.signals, signal)
			}
		}
		if len(tracked.signals) == 0 && tracked.rampStart.IsZero() {
			delete(s.servers, addr)
		}
	}
}

// tracked returns the server, nil when the table is full.
func (s *Servers) tracked(addr dcid.ServerAddr, now time.Time) *server {
	if s.servers == nil {
		s.servers = map[dcid.ServerAddr]*server{}
	}
	if tracked, ok := s.servers[addr]; ok {
		return tracked
	}
	limit := cmp.Or(s.MaxServers, defaultMaxServers)
	if len(s.servers) >= limit {
		s.expire(now)
	}
	if len(s.servers) >= limit {
		return nil
	}
	tracked := &server{signals: map[Signal]*signalState{}}
	s.servers[addr] = tracked
	return tracked
}

func (s *Servers) state(addr dcid.ServerAddr, signal Signal, now time.Time) *signalState {
	tracked := s.tracked(addr, now)
	if tracked == nil {
		return nil
	}
	state, ok := tracked.signals[signal]
	if !ok {
		state = &signalState{}
		tracked.signals[signal] = state
	}
	return state
}
