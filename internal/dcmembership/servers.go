package dcmembership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Signal is the reason for which a server counts as leaving.
type Signal string

// Signals of a leaving server. SignalHostList and SignalOperator are states
// that their source reports repeatedly; SignalDraining and SignalClosed are
// events.
const (
	SignalDraining Signal = "draining"
	SignalClosed   Signal = "closed"
	SignalHostList Signal = "host-list"
	SignalOperator Signal = "operator"
)

var signals = []Signal{SignalDraining, SignalClosed, SignalHostList, SignalOperator}

const (
	// defaultServerRetention keeps cleared signals long enough to reach every
	// host and to outlive older copies of the active signal.
	defaultServerRetention = 10 * time.Minute
	defaultMaxServers      = 4096
	// activeRetention is the time after which an active signal is dropped, for
	// servers that never return. A request to such a server raises the signal
	// again.
	activeRetention = 24 * time.Hour
	// minRepublishInterval is the time after a peer cleared a closed signal
	// during which this host does not publish the signal again. Without it, a
	// host that alone cannot reach a server would repeatedly withdraw the
	// server from all hosts.
	minRepublishInterval = time.Minute
	// flapWindow is the time after a signal was wrongly cleared within which
	// another draining answer shows that the server's status cannot be trusted.
	// The status then clears the signal only after a hold-down that doubles
	// from minHoldDown to maxHoldDown. Without it, a server that drained while
	// it reported serving was sent new work every second.
	flapWindow  = 2 * maxHoldDown
	minHoldDown = 5 * time.Second
	maxHoldDown = time.Minute
	// rampInterval is the time without failures after which a returning server
	// may have twice as many requests in flight.
	rampInterval = time.Second
)

// signalState is the state of one signal of one server.
type signalState struct {
	// seen is the time at which the signal was last raised or cleared.
	seen   time.Time
	active bool
	// localOnly is set while a closed connection is unconfirmed. The signal
	// then stops new work on this host only and is not sent to peers.
	localOnly bool
	// fromPeer is set while only peers have reported the signal.
	fromPeer bool
	// asserted is set while the host list or the operator reports the server as
	// leaving.
	asserted bool
	// holdDown is the time after seen during which a status of serving does not
	// clear the signal.
	holdDown time.Duration
}

// raise makes the signal active. A draining signal that is raised within
// flapWindow after it was cleared gets a longer hold-down than before.
func (s *signalState) raise(signal Signal, seen time.Time) {
	flapping := signal == SignalDraining && !s.seen.IsZero() && seen.Sub(s.seen) < flapWindow
	switch {
	case flapping:
		s.holdDown = min(max(2*s.holdDown, minHoldDown), maxHoldDown)
	default:
		s.holdDown = 0
	}
	s.seen = seen
	s.active = true
}

// server is the state of one upstream server.
type server struct {
	signals map[Signal]*signalState
	// clearedByPeer is the time at which a peer last cleared a closed signal of
	// this host.
	clearedByPeer time.Time
	// rampStart is the start of the current failure-free period of a ramp-up,
	// zero when the server is not ramping up.
	rampStart time.Time
}

// Servers tracks the upstream servers that are leaving and the ramp-up of
// returning ones. Any active signal of a server stops new work for it. The zero
// value is ready for use.
type Servers struct {
	// Retention is the time for which cleared signals are kept; 0 means 10
	// minutes.
	Retention time.Duration
	// MaxServers bounds the number of tracked servers; 0 means 4096.
	MaxServers int

	servers map[dcid.ServerAddr]*server
	// cursor is the index at which the next call of Entries continues with the
	// signals that are not among the newest.
	cursor int
}

// Observe records a signal that this host saw and reports whether it became
// active. A closed connection stops new work on this host only, until a probe
// confirms it; see NeedProbe.
func (s *Servers) Observe(addr dcid.ServerAddr, signal Signal, now time.Time) (changed bool) {
	state := s.state(addr, signal, now)
	if state == nil {
		return false
	}
	persistent := signal == SignalHostList || signal == SignalOperator
	// A report that a peer has already seen and a probe has cleared does not
	// become a new one because this host reads the list later.
	repeated := persistent && (state.asserted || state.fromPeer)
	state.asserted = persistent
	state.fromPeer = false
	if state.active || repeated {
		return false
	}
	state.raise(signal, now)
	state.localOnly = signal == SignalClosed
	return true
}

// Withdraw clears a signal of the host list or the operator and reports whether
// it was active.
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

// RecordProbe records the answer to a probe that was sent at the time sent. An
// answer of serving clears earlier signals that are events; any other result
// confirms a closed connection. Signals of the host list and the operator end
// only when their source withdraws them, since the status of a leaving server
// may be wrong.
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

// isPersistent reports whether the source repeats the signal, unlike an event.
func (s Signal) isPersistent() bool {
	return s == SignalOperator || s == SignalHostList
}

// clear ends a signal. Once no signal of the server is active, the server is
// ramped up, unless the cleared signal is an unconfirmed closed connection.
func (s *Servers) clear(tracked *server, state *signalState, seen, now time.Time) {
	confirmed := !state.localOnly
	state.active = false
	state.localOnly = false
	state.seen = seen
	if confirmed && !tracked.leaving() {
		tracked.rampStart = now
	}
}

// leaving reports whether any signal of the server is active.
func (t *server) leaving() bool {
	for _, state := range t.signals {
		if state.active {
			return true
		}
	}
	return false
}

// Usable reports whether the server may receive new work.
func (s *Servers) Usable(addr dcid.ServerAddr) bool {
	tracked, ok := s.servers[addr]
	return !ok || !tracked.leaving()
}

// NeedProbe returns the sorted addresses of the servers with active signals,
// which a probe may clear or confirm.
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

// StartRampUp starts the ramp-up of a server that is new or reports that it is
// cold. It has no effect while a ramp-up is running.
func (s *Servers) StartRampUp(addr dcid.ServerAddr, now time.Time) {
	if tracked := s.tracked(addr, now); tracked != nil && tracked.rampStart.IsZero() {
		tracked.rampStart = now
	}
}

// RestartRampUp restarts the ramp-up of a server that is being ramped up, after
// a failure.
func (s *Servers) RestartRampUp(addr dcid.ServerAddr, now time.Time) {
	if tracked, ok := s.servers[addr]; ok && !tracked.rampStart.IsZero() {
		tracked.rampStart = now
	}
}

// InFlightLimit returns how many requests the server may have in flight: 0 when
// it is leaving, 1 when it returns, doubled after each second without failures,
// up to limit.
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
	for failureFree := now.Sub(tracked.rampStart); failureFree >= rampInterval && allowed < limit; failureFree -= rampInterval {
		allowed *= 2
	}
	if allowed >= limit {
		tracked.rampStart = time.Time{}
		return limit
	}
	return allowed
}

// Merge merges the entries of a peer and reports whether an active state
// changed. Of two entries for the same server and signal the newer one wins,
// and the cleared one when both have the same time.
func (s *Servers) Merge(entries []*peerv1.LeavingServer, now time.Time) (changed bool) {
	for _, entry := range entries {
		if !slices.Contains(signals, Signal(entry.GetSignal())) {
			continue
		}
		changed = s.mergeEntry(entry, now) || changed
	}
	return changed
}

// mergeEntry merges one entry of a peer; see Merge.
func (s *Servers) mergeEntry(entry *peerv1.LeavingServer, now time.Time) (changed bool) {
	seen := time.UnixMilli(entry.GetSeenMs())
	if now.Sub(seen) >= s.retention() && entry.GetCleared() {
		return false
	}
	signal := Signal(entry.GetSignal())
	state := s.state(dcid.ServerAddr(entry.GetServer()), signal, now)
	if state == nil {
		return false
	}
	lastSeen := state.seen.Truncate(time.Millisecond)
	newer := seen.After(lastSeen) || seen.Equal(lastSeen) && entry.GetCleared() && state.active
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

// Entries returns signals to send to a peer, up to maxBytes: the newest in half
// of the space, the others in round-robin order.
func (s *Servers) Entries(maxBytes int, now time.Time) []*peerv1.LeavingServer {
	all := s.collect(now)
	remaining := maxBytes
	newest := takeEntries(all, &remaining, maxBytes/2)
	rest := all[len(newest):]
	if len(rest) == 0 {
		return newest
	}
	s.cursor %= len(rest)
	rotated := slices.Concat(rest[s.cursor:], rest[:s.cursor])
	others := takeEntries(rotated, &remaining, 0)
	s.cursor += len(others)
	return slices.Concat(newest, others)
}

// takeEntries returns the first entries that leave at least keep bytes of
// remaining, and subtracts their size from it.
func takeEntries(entries []*peerv1.LeavingServer, remaining *int, keep int) []*peerv1.LeavingServer {
	for n, entry := range entries {
		size := proto.Size(entry) + fieldOverhead
		if *remaining-size < keep {
			return entries[:n]
		}
		*remaining -= size
	}
	return entries
}

// collect drops expired signals and returns those to publish, newest first.
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

// expire drops expired signals, and servers without signals and ramp-up.
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

// tracked returns the state of the server, adding it if it is not tracked yet.
// It returns nil when the table is full.
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

// state returns the state of a server's signal, adding it if it is not tracked
// yet. It returns nil when the table is full.
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
