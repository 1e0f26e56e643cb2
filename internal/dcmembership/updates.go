package dcmembership

import (
	"time"

	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Receive merges the members of a heartbeat request or response. The sender's
// own entry counts as a direct heartbeat, the others are relayed. It returns
// the changes that have not been returned yet.
func (m *Members) Receive(sender *peerv1.Member, members []*peerv1.Member, now time.Time) []Change {
	if sender != nil {
		m.applyDirect(sender, now)
	}
	for _, member := range members {
		if dcid.HostID(member.GetHostId()) == m.self.ID {
			m.refuteSuspicion(member)
			continue
		}
		m.applyRelayed(member, now)
	}
	return m.takeChanges()
}

// refuteSuspicion answers an entry that reports this host as suspect or gone by
// announcing a higher heartbeat number.
func (m *Members) refuteSuspicion(member *peerv1.Member) {
	if member.GetIncarnation() != m.self.Incarnation || member.GetHeartbeat() < m.self.Heartbeat {
		return
	}
	switch State(member.GetState()) {
	case Alive, Leaving:
		return
	}
	if m.self.State == Gone {
		return
	}
	m.self.Heartbeat = member.GetHeartbeat()
	m.announce()
}

// applyDirect merges the entry that a host sent about itself.
func (m *Members) applyDirect(member *peerv1.Member, now time.Time) {
	host := hostFromProto(member)
	if host.ID == "" || host.ID == m.self.ID || host.PeerAddress == "" {
		return
	}
	_, known := m.entries[host.ID]
	e := m.currentEntry(host, now)
	if e != nil && !known {
		m.enqueueUpdate(e)
	}
	// A lower number belongs to a delayed message. An announced end is final
	// for its incarnation.
	if e == nil || host.Heartbeat < e.host.Heartbeat || e.stopped {
		return
	}
	m.updateSeat(e, host.Seat, host.SeatTaken)
	host.Seat, host.SeatTaken = e.host.Seat, e.host.SeatTaken
	e.suspected = e.host.State == Suspect || e.host.State == Gone
	e.missedLimit = m.settings.MissedLimit
	e.lastHeardInterval = m.interval
	m.lastPeerHeartbeat = now
	host.LastHeard = now
	m.applyUpdate(e, host, State(member.GetState()), now)
}

// applyRelayed merges an entry about a host that another host sent.
func (m *Members) applyRelayed(member *peerv1.Member, now time.Time) {
	host := hostFromProto(member)
	if host.ID == "" {
		return
	}
	state := State(member.GetState())
	_, known := m.entries[host.ID]
	if !known && (state == Gone || state == stopped) {
		return
	}
	e := m.currentEntry(host, now)
	if e == nil {
		return
	}
	if !known {
		m.enqueueUpdate(e)
	}
	m.updateSeat(e, host.Seat, host.SeatTaken)
	if e.stopped || host.Heartbeat < e.host.Heartbeat {
		return
	}
	host.Seat, host.SeatTaken = e.host.Seat, e.host.SeatTaken
	host.LastHeard = e.host.LastHeard
	if state != stopped && m.recentlyHeard(e) && (state == Suspect || state == Gone) {
		// A recent direct heartbeat overrides the suspicion of other hosts. The
		// suspected host is told, so that it can refute it.
		e.suspected = true
		return
	}
	if host.Heartbeat > e.host.Heartbeat {
		e.raiseMissedLimit(m.settings.MissedLimit)
		m.applyUpdate(e, host, state, now)
		return
	}
	if statePrecedence(state) > statePrecedence(e.host.State) {
		m.applyUpdate(e, host, state, now)
	}
}

// raiseMissedLimit doubles the missed limit of a suspect or gone host that
// refutes the suspicion through other hosts. A host that only this one cannot
// reach then does not alternate between alive and suspect.
func (e *entry) raiseMissedLimit(base int) {
	if e.host.State == Suspect || e.host.State == Gone {
		e.missedLimit = min(2*e.missedLimit, maxMissedLimitFactor*base)
	}
}

// recentlyHeard reports whether a direct heartbeat arrived within the last
// MissedLimit intervals.
func (m *Members) recentlyHeard(e *entry) bool {
	return !e.host.LastHeard.IsZero() && m.interval-e.lastHeardInterval <= uint64(m.settings.MissedLimit)
}

// statePrecedence orders the states that are reported with the same heartbeat
// number; the higher one wins, as in SWIM.
func statePrecedence(state State) int {
	switch state {
	case Leaving:
		return 1
	case Suspect:
		return 2
	case Gone:
		return 3
	case stopped:
		return 4
	default:
		return 0
	}
}

// currentEntry returns the entry for a host's incarnation. It adds an entry for
// an unknown host and resets that of a restarted one. It returns nil when the
// incarnation is outdated, or when the host is unknown or restarted and its
// peer address is empty.
func (m *Members) currentEntry(host Host, now time.Time) *entry {
	e, ok := m.entries[host.ID]
	switch {
	case !ok && host.PeerAddress == "":
		return nil
	case !ok:
		host.State = Alive
		return m.add(host, now)
	case host.Incarnation < e.host.Incarnation:
		return nil
	case host.Incarnation > e.host.Incarnation && host.PeerAddress == "":
		return nil
	case host.Incarnation > e.host.Incarnation:
		m.replaceIncarnation(e, host, now)
	}
	return e
}

// replaceIncarnation resets the entry of a host to a newer incarnation.
func (m *Members) replaceIncarnation(e *entry, host Host, now time.Time) {
	from := e.host.State
	retransmits := e.retransmits
	host.State = Alive
	*e = entry{host: host, missedLimit: m.settings.MissedLimit, stateChanged: now, retransmits: retransmits}
	m.probing.set(host.ID, false)
	m.suspectOrGone.set(host.ID, false)
	m.enqueueUpdate(e)
	m.version++
	m.changes = append(m.changes, Change{Host: host, From: from})
}

// applyUpdate stores what a newer update reports about a host and moves the
// host to the state.
func (m *Members) applyUpdate(e *entry, host Host, state State, now time.Time) {
	announced := e.host.Heartbeat != host.Heartbeat
	host.State = e.host.State
	if host.PeerAddress == "" {
		host.Domain = e.host.Domain
		host.CallerAddress = e.host.CallerAddress
		host.PeerAddress = e.host.PeerAddress
	}
	e.host = host
	e.awaitingReply = false
	e.misses = 0
	if announced {
		m.enqueueUpdate(e)
	}
	switch state {
	case stopped:
		e.stopped = true
		m.enqueueUpdate(e)
		m.setState(e, Gone, now)
	case Alive, Suspect, Leaving, Gone:
		m.setState(e, state, now)
	}
}

// ObserveStore merges a complete, successful read of the host records. It must
// not be called while the store is unavailable, so that an outage changes no
// host's state.
func (m *Members) ObserveStore(records []*ledgerv1.HostRecord, now time.Time) []Change {
	m.storeRead = true
	present := make(map[dcid.HostID]int64, len(records))
	for _, record := range records {
		host := hostFromRecord(record)
		present[host.ID] = host.Incarnation
		if host.ID != "" && host.ID != m.self.ID && host.PeerAddress != "" {
			m.currentEntry(host, now)
		}
	}
	for _, id := range m.suspectOrGone.sorted() {
		e := m.entries[id]
		m.confirmSuspicion(e, present[id] != e.host.Incarnation, now)
	}
	return m.takeChanges()
}

// ListedHost is one entry of the host list.
type ListedHost struct {
	// Address is the caller address or the peer address of the host.
	Address string
	Leaving bool
}

// ObserveHostList merges a successful read of the host list.
func (m *Members) ObserveHostList(listed []ListedHost, now time.Time) []Change {
	serving := make(map[string]bool, len(listed))
	for _, host := range listed {
		serving[host.Address] = !host.Leaving
	}
	for _, id := range m.suspectOrGone.sorted() {
		e := m.entries[id]
		found := serving[e.host.CallerAddress] || serving[e.host.PeerAddress]
		m.confirmSuspicion(e, !found, now)
	}
	return m.takeChanges()
}

// confirmSuspicion moves a suspect host to gone when a second source lacks it.
// Hosts whose heartbeats arrive are not affected.
func (m *Members) confirmSuspicion(e *entry, missingFromSource bool, now time.Time) {
	if e.host.State != Suspect || !missingFromSource {
		return
	}
	e.missingFromSource = true
	m.setState(e, Gone, now)
}

// ObserveSeat records the seat of a host as read from the store and
// disseminates it. The former holder of the seat then learns of it even when it
// reaches neither the store nor the new holder.
func (m *Members) ObserveSeat(id dcid.HostID, seat int, taken time.Time) {
	if e, ok := m.entries[id]; ok {
		m.updateSeat(e, seat, taken)
	}
}

// updateSeat keeps the seat that was taken most recently.
func (m *Members) updateSeat(e *entry, seat int, taken time.Time) {
	if !taken.After(e.host.SeatTaken) {
		return
	}
	e.host.Seat = seat
	e.host.SeatTaken = taken
	m.enqueueUpdate(e)
	m.version++
}

func hostFromProto(member *peerv1.Member) Host {
	host := Host{
		ID:            dcid.HostID(member.GetHostId()),
		Incarnation:   member.GetIncarnation(),
		Domain:        dcid.FailureDomain(member.GetFailureDomain()),
		CallerAddress: member.GetCallerAddress(),
		PeerAddress:   member.GetPeerAddress(),
		Revision:      dcid.Revision(member.GetRevision()),
		Heartbeat:     member.GetHeartbeat(),
		Seat:          int(member.GetSeat()),
	}
	if taken := member.GetSeatTakenMs(); taken != 0 {
		host.SeatTaken = time.UnixMilli(taken)
	}
	return host
}

func hostFromRecord(record *ledgerv1.HostRecord) Host {
	return Host{
		ID:            dcid.HostID(record.GetHostId()),
		Incarnation:   record.GetIncarnation(),
		Domain:        dcid.FailureDomain(record.GetFailureDomain()),
		CallerAddress: record.GetCallerAddress(),
		PeerAddress:   record.GetPeerAddress(),
	}
}
