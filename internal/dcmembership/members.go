// Package dcmembership keeps one host's view of the other hosts and of leaving
// upstream servers. It combines store records, the host list and peer
// heartbeats, and trusts none of them alone.
//
// Failure detection and dissemination follow SWIM (Das, Gupta and Motivala,
// 2002): random probes, suspicion that the accused host may refute, and changes
// that ride on heartbeats a bounded number of times.
package dcmembership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// State is the state of a host in this host's view.
type State string

// States of a host.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// stopped is the wire state of a host that announced its own end.
const stopped State = "stopped"

// Host is one host in the view.
type Host struct {
	ID dcid.HostID
	// Incarnation grows with each start of the host, Unix nanoseconds.
	Incarnation   int64
	Domain        dcid.FailureDomain
	CallerAddress string
	PeerAddress   string
	State         State
	// Revision is the configuration revision in force on the host.
	Revision dcid.Revision
	// Heartbeat grows when the host changes its state or refutes a suspicion.
	Heartbeat uint64
	// Seat is the connection seat that the host holds, 0 for none.
	Seat      int
	SeatTaken time.Time
	// LastHeard is the time of the newest direct heartbeat, zero for none.
	LastHeard time.Time
}

// Change is a change of state.
type Change struct {
	Host Host
	From State
}

// Settings of Members; fields that are zero take the defaults.
type Settings struct {
	// MissedLimit is the number of missed heartbeats that make a host suspect.
	MissedLimit int
	// FullMeshLimit is the largest number of hosts that all exchange heartbeats
	// with each other.
	FullMeshLimit int
	// FanOut is the number of peers to contact in each interval beyond that.
	FanOut int
	// MaxMessageBytes limits the members in one message, with the sender.
	MaxMessageBytes int
	// GoneAfter is the time after which a suspect is gone without a second
	// source.
	GoneAfter time.Duration
	// Retention is the time for which a gone host is remembered.
	Retention time.Duration
}

// Defaults of Settings. 320 bytes in 2 x 3 messages a second is half of the
// 4 KB/s that a node may use for control.
const (
	defaultMissedLimit     = 3
	defaultFullMeshLimit   = 8
	defaultFanOut          = 3
	defaultMaxMessageBytes = 320
	defaultGoneAfter       = 10 * time.Minute
	defaultRetention       = time.Hour
)

// maxMissedLimitFactor bounds how far refuted suspicions raise the missed limit of a
// host that only others can reach.
const maxMissedLimitFactor = 16

// discoveryIntervalsFactor times the missed limit is the number of intervals after which a
// started host has heard of all others.
const discoveryIntervalsFactor = 2

type entry struct {
	host Host
	// stopped is set when the host announced its own end.
	stopped bool
	// missedLimit is the number of missed heartbeats that make this host suspect.
	missedLimit int
	misses      int
	// awaitingReply is set from contacting the host until it is heard.
	awaitingReply bool
	lastHeardTick uint64
	// suspected is set when others believe the host to be suspect or gone, so
	// that the next message to it lets it refute.
	suspected bool
	// stateChanged is the time of the newest change of state.
	stateChanged time.Time
	// missingFromSource is set when store or host list missed the host while suspect.
	missingFromSource bool
	// retransmits is the number of messages that still carry this entry.
	retransmits int
}

// Members is the view of one host. Begin is called once in each heartbeat
// interval, then Message for each target; Receive takes requests and responses.
type Members struct {
	settings Settings
	random   *rand.Rand
	self     Host
	entries  map[dcid.HostID]*entry
	// sortedIDs holds the keys of entries, sorted, so that picks are repeatable.
	sortedIDs []dcid.HostID
	// probing holds hosts with awaited heartbeats or misses, troubled those
	// that are suspect or gone.
	probing, suspectOrGone hostIDSet
	updateQueue            []dcid.HostID
	selfRetransmits        int
	sampleCursor           int
	tick, version          uint64
	peerHeard              time.Time
	// storeRead is set once the host records were read.
	storeRead bool
	changes   []Change
}

// New returns a view that knows this host only.
func New(self Host, settings Settings, random *rand.Rand) *Members {
	if self.State == "" {
		self.State = Alive
	}
	settings.MissedLimit = cmp.Or(settings.MissedLimit, defaultMissedLimit)
	settings.FullMeshLimit = cmp.Or(settings.FullMeshLimit, defaultFullMeshLimit)
	settings.FanOut = cmp.Or(settings.FanOut, defaultFanOut)
	settings.MaxMessageBytes = cmp.Or(settings.MaxMessageBytes, defaultMaxMessageBytes)
	settings.GoneAfter = cmp.Or(settings.GoneAfter, defaultGoneAfter)
	settings.Retention = cmp.Or(settings.Retention, defaultRetention)
	return &Members{
		settings:      settings,
		random:        random,
		self:          self,
		entries:       map[dcid.HostID]*entry{},
		probing:       hostIDSet{},
		suspectOrGone: hostIDSet{},
	}
}

// SetSelf updates what the heartbeats say of this host. State Gone announces
// the end of the process: its connections are closed.
func (m *Members) SetSelf(state State, revision dcid.Revision, seat int, seatTaken time.Time) {
	if m.self.State != state || m.self.Seat != seat {
		m.announce()
	}
	m.self.State = state
	m.self.Revision = revision
	m.self.Seat = seat
	m.self.SeatTaken = seatTaken
}

// announce raises the heartbeat number and spreads it through other hosts.
func (m *Members) announce() {
	m.self.Heartbeat++
	m.selfRetransmits = m.retransmits()
	m.version++
}

// Hosts returns every known host, this one included, ordered by id.
func (m *Members) Hosts() []Host {
	hosts := make([]Host, 0, len(m.sortedIDs)+1)
	for _, id := range m.sortedIDs {
		hosts = append(hosts, m.entries[id].host)
	}
	at, _ := slices.BinarySearch(m.sortedIDs, m.self.ID)
	return slices.Insert(hosts, at, m.self)
}

// Host returns one host.
func (m *Members) Host(id dcid.HostID) (host Host, ok bool) {
	if id == m.self.ID {
		return m.self, true
	}
	e, ok := m.entries[id]
	if !ok {
		return Host{}, false
	}
	return e.host, true
}

// Version grows with each change that address answers or owners depend on.
func (m *Members) Version() uint64 {
	return m.version
}

// PeerHeard returns the time of the newest direct heartbeat of any host.
func (m *Members) PeerHeard() time.Time {
	return m.peerHeard
}

// Gone reports that this host believes that an incarnation is gone. A host that
// neither the store nor any peer has named counts as gone, but not before this
// host has read the store and had time to hear: a host that just started knows
// nobody and would take over the seats of live hosts.
func (m *Members) Gone(id dcid.HostID, incarnation int64) bool {
	if id == m.self.ID {
		return incarnation < m.self.Incarnation
	}
	e, ok := m.entries[id]
	if !ok {
		return m.storeRead && m.tick > uint64(discoveryIntervalsFactor*m.settings.MissedLimit)
	}
	return incarnation < e.host.Incarnation || e.host.State == Gone
}

// ConfirmedGone reports proof that an incarnation has ended: it said so itself,
// or a newer one runs. Silence is no proof, since a paused process keeps its
// connections.
func (m *Members) ConfirmedGone(id dcid.HostID, incarnation int64) bool {
	if id == m.self.ID {
		return incarnation < m.self.Incarnation
	}
	e, ok := m.entries[id]
	if !ok {
		return false
	}
	return incarnation < e.host.Incarnation || (e.stopped && incarnation == e.host.Incarnation)
}

// add inserts an unknown host.
func (m *Members) add(host Host, now time.Time) *entry {
	e := &entry{host: host, missedLimit: m.settings.MissedLimit, stateChanged: now}
	m.entries[host.ID] = e
	at, _ := slices.BinarySearch(m.sortedIDs, host.ID)
	m.sortedIDs = slices.Insert(m.sortedIDs, at, host.ID)
	m.version++
	m.changes = append(m.changes, Change{Host: host})
	return e
}

func (m *Members) remove(id dcid.HostID) {
	delete(m.entries, id)
	delete(m.probing, id)
	delete(m.suspectOrGone, id)
	if at, ok := slices.BinarySearch(m.sortedIDs, id); ok {
		m.sortedIDs = slices.Delete(m.sortedIDs, at, at+1)
	}
	m.version++
}

// setState moves a host to a state and spreads the change.
func (m *Members) setState(e *entry, state State, now time.Time) {
	if e.host.State == state {
		return
	}
	from := e.host.State
	e.host.State = state
	e.stateChanged = now
	e.missingFromSource = false
	m.suspectOrGone.set(e.host.ID, state == Suspect || state == Gone)
	m.enqueueUpdate(e)
	m.version++
	m.changes = append(m.changes, Change{Host: e.host, From: from})
}

func (m *Members) enqueueUpdate(e *entry) {
	if e.retransmits == 0 && !slices.Contains(m.updateQueue, e.host.ID) {
		m.updateQueue = append(m.updateQueue, e.host.ID)
	}
	e.retransmits = m.retransmits()
}

// takeChanges returns the changes since the last call.
func (m *Members) takeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// hostIDSet is a set of hosts.
type hostIDSet map[dcid.HostID]struct{}

func (s hostIDSet) set(id dcid.HostID, in bool) {
	if !in {
		delete(s, id)
		return
	}
	s[id] = struct{}{}
}

// sorted returns the hosts in a repeatable order.
func (s hostIDSet) sorted() []dcid.HostID {
	ids := make([]dcid.HostID, 0, len(s))
	for id := range s {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
