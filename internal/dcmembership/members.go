// Package dcmembership maintains one host's view of the other hosts and of the
// upstream servers that are leaving. It combines host records from the store,
// the host list and peer heartbeats; no single source is trusted on its own.
//
// Failure detection and dissemination follow SWIM (Das, Gupta and Motivala,
// 2002): hosts are probed at random, a suspected host may refute the suspicion,
// and updates are piggybacked on a bounded number of heartbeats.
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

// stopped is the wire state of a host that announced the end of its process.
const stopped State = "stopped"

// Host is one host in the view.
type Host struct {
	ID dcid.HostID
	// Incarnation identifies a start of the host and increases with each one,
	// in Unix nanoseconds.
	Incarnation   int64
	Domain        dcid.FailureDomain
	CallerAddress string
	PeerAddress   string
	State         State
	// Revision is the configuration revision in force on the host.
	Revision dcid.Revision
	// Heartbeat is a sequence number that the host increases when it changes
	// its state or refutes a suspicion.
	Heartbeat uint64
	// Seat is the number of the connection seat that the host holds, 0 for
	// none. SeatTaken is the time at which it was taken.
	Seat      int
	SeatTaken time.Time
	// LastHeard is the time of the most recent direct heartbeat, zero for none.
	LastHeard time.Time
}

// Change is a state transition of a host. From is empty for a new host.
type Change struct {
	Host Host
	From State
}

// Settings configures Members. Zero fields take the defaults.
type Settings struct {
	// MissedLimit is the number of missed heartbeats after which a host is
	// suspect.
	MissedLimit int
	// FullMeshLimit is the largest number of hosts at which every host
	// exchanges heartbeats with every other one.
	FullMeshLimit int
	// FanOut is the number of random peers to contact in each interval above
	// FullMeshLimit.
	FanOut int
	// MaxMessageBytes limits the encoded size of the members in one message,
	// the sender included.
	MaxMessageBytes int
	// GoneAfter is the time after which a suspect host is gone even if no
	// second source confirms it.
	GoneAfter time.Duration
	// Retention is the time for which a gone host is kept in the view.
	Retention time.Duration
}

// Defaults of Settings. 320 bytes in 2 x 3 messages per second use half of the
// 4 KB/s that a host may spend on control traffic.
const (
	defaultMissedLimit     = 3
	defaultFullMeshLimit   = 8
	defaultFanOut          = 3
	defaultMaxMessageBytes = 320
	defaultGoneAfter       = 10 * time.Minute
	defaultRetention       = time.Hour
)

// maxMissedLimitFactor times Settings.MissedLimit is the upper bound of the
// missed limit of a host that only other hosts can reach; see raiseMissedLimit.
const maxMissedLimitFactor = 16

// discoveryIntervalsFactor times Settings.MissedLimit is the number of
// heartbeat intervals after which a newly started host has learned of all
// others.
const discoveryIntervalsFactor = 2

type entry struct {
	host Host
	// stopped is set when the host announced the end of its process.
	stopped bool
	// missedLimit is the number of missed heartbeats after which this host is
	// suspect.
	missedLimit int
	// misses is the number of heartbeats that the host has not answered since it
	// was last heard from or became suspect.
	misses int
	// awaitingReply is set from the time the host is contacted until it is
	// heard from.
	awaitingReply bool
	// lastHeardInterval is the value of Members.interval at the last direct
	// heartbeat.
	lastHeardInterval uint64
	// suspected is set when other hosts consider this host suspect or gone. The
	// next message to it then carries the suspicion, so that the host can
	// refute it.
	suspected bool
	// stateChanged is the time of the last state transition.
	stateChanged time.Time
	// missingFromSource is set when the store or the host list lacked the host
	// while it was suspect.
	missingFromSource bool
	// retransmits is the number of further messages that carry this entry.
	retransmits int
}

// Members is one host's view of all hosts. In each heartbeat interval the caller
// calls BeginInterval once and then Message for each target. It passes the
// members of received requests and responses to Receive.
type Members struct {
	settings Settings
	random   *rand.Rand
	self     Host
	entries  map[dcid.HostID]*entry
	// sortedIDs holds the sorted keys of entries, so that random picks are
	// reproducible for a given seed.
	sortedIDs []dcid.HostID
	// probing holds the hosts whose heartbeat is awaited or that missed one;
	// suspectOrGone holds the hosts in one of these two states.
	probing, suspectOrGone hostIDSet
	// updateQueue holds the hosts whose entries are sent next. selfRetransmits is
	// the number of further messages that carry this host among the members.
	updateQueue     []dcid.HostID
	selfRetransmits int
	// sampleCursor, modulo the number of hosts, is the index in sortedIDs after
	// which addSample continues.
	sampleCursor int
	// interval is the number of the current heartbeat interval. See Version for
	// version and LastPeerHeartbeat for lastPeerHeartbeat.
	interval, version uint64
	lastPeerHeartbeat time.Time
	// storeRead is set once the host records have been read from the store.
	storeRead bool
	changes   []Change
}

// New returns a view that holds this host only.
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

// SetSelf updates what heartbeats report about this host. State Gone announces
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

// announce increases the heartbeat number of this host and queues its own entry
// for dissemination.
func (m *Members) announce() {
	m.self.Heartbeat++
	m.selfRetransmits = m.retransmits()
	m.version++
}

// Hosts returns all known hosts, this one included, ordered by id.
func (m *Members) Hosts() []Host {
	hosts := make([]Host, 0, len(m.sortedIDs)+1)
	for _, id := range m.sortedIDs {
		hosts = append(hosts, m.entries[id].host)
	}
	index, _ := slices.BinarySearch(m.sortedIDs, m.self.ID)
	return slices.Insert(hosts, index, m.self)
}

// Host returns the host with the id. ok is false when it is unknown.
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

// Version returns a number that increases with each change that address answers
// or owners depend on.
func (m *Members) Version() uint64 {
	return m.version
}

// LastPeerHeartbeat returns the time of the most recent direct heartbeat of any
// host.
func (m *Members) LastPeerHeartbeat() time.Time {
	return m.lastPeerHeartbeat
}

// Gone reports whether this host considers an incarnation gone. A host that
// neither the store nor any peer has named counts as gone, but only after this
// host has read the store and discoveryIntervalsFactor times the missed limit
// has passed in intervals: a host that has just started knows no other host and
// would otherwise take over the seats of live hosts.
func (m *Members) Gone(id dcid.HostID, incarnation int64) bool {
	if id == m.self.ID {
		return incarnation < m.self.Incarnation
	}
	e, ok := m.entries[id]
	if !ok {
		return m.storeRead && m.interval > uint64(discoveryIntervalsFactor*m.settings.MissedLimit)
	}
	return incarnation < e.host.Incarnation || e.host.State == Gone
}

// ConfirmedGone reports whether an incarnation is proven to have ended: it
// announced its end, or a newer incarnation runs. Missed heartbeats are no
// proof, since a paused process keeps its connections open.
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

// add inserts a new host and returns its entry.
func (m *Members) add(host Host, now time.Time) *entry {
	e := &entry{host: host, missedLimit: m.settings.MissedLimit, stateChanged: now}
	m.entries[host.ID] = e
	index, _ := slices.BinarySearch(m.sortedIDs, host.ID)
	m.sortedIDs = slices.Insert(m.sortedIDs, index, host.ID)
	m.version++
	m.changes = append(m.changes, Change{Host: host})
	return e
}

func (m *Members) remove(id dcid.HostID) {
	delete(m.entries, id)
	delete(m.probing, id)
	delete(m.suspectOrGone, id)
	if index, ok := slices.BinarySearch(m.sortedIDs, id); ok {
		m.sortedIDs = slices.Delete(m.sortedIDs, index, index+1)
	}
	m.version++
}

// setState moves a host to a state and queues the change for dissemination.
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

// enqueueUpdate queues an entry for the next messages.
func (m *Members) enqueueUpdate(e *entry) {
	if e.retransmits == 0 && !slices.Contains(m.updateQueue, e.host.ID) {
		m.updateQueue = append(m.updateQueue, e.host.ID)
	}
	e.retransmits = m.retransmits()
}

// takeChanges returns the changes that have not been returned yet.
func (m *Members) takeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// hostIDSet is a set of hosts.
type hostIDSet map[dcid.HostID]struct{}

// set adds the id if in is true, and otherwise removes it.
func (s hostIDSet) set(id dcid.HostID, in bool) {
	if !in {
		delete(s, id)
		return
	}
	s[id] = struct{}{}
}

// sorted returns the ids in ascending order.
func (s hostIDSet) sorted() []dcid.HostID {
	ids := make([]dcid.HostID, 0, len(s))
	for id := range s {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
