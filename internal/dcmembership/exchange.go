package dcmembership

import (
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// retransmitFactor times the length in bits of the number of hosts, which is
// about its binary logarithm, is the number of messages that carry a change, as
// in SWIM.
const retransmitFactor = 3

// maxPickAttempts bounds the random picks for one target. A pick of a host that
// is not usable or was already chosen is repeated.
const maxPickAttempts = 16

// fieldOverhead is the size in bytes of the tag and length of one member in a
// message.
const fieldOverhead = 3

// retransmits returns the number of messages that carry a change.
func (m *Members) retransmits() int {
	return retransmitFactor * bits.Len(uint(len(m.entries)+1))
}

// BeginInterval starts a heartbeat interval. It counts the heartbeats missed in
// the previous interval and returns the hosts to exchange heartbeats with. A
// pause of this process counts as a single interval, so that a resumed process
// does not suspect all other hosts.
func (m *Members) BeginInterval(now time.Time) (targets []Host, changes []Change) {
	m.interval++
	m.countMisses(now)
	m.expire(now)
	for _, id := range m.pickTargets() {
		e := m.entries[id]
		e.awaitingReply = true
		m.probing.set(id, true)
		targets = append(targets, e.host)
	}
	return targets, m.takeChanges()
}

// countMisses counts the hosts that did not reply in the previous interval and
// suspects those that reached their missed limit.
func (m *Members) countMisses(now time.Time) {
	for _, id := range m.probing.sorted() {
		e := m.entries[id]
		if !e.awaitingReply {
			m.probing.set(id, e.misses > 0)
			continue
		}
		e.awaitingReply = false
		e.misses++
		if e.misses < e.missedLimit {
			continue
		}
		m.probing.set(id, false)
		e.misses = 0
		if e.host.State == Alive || e.host.State == Leaving {
			m.setState(e, Suspect, now)
		}
	}
}

// expire moves a suspect host to gone when a second source lacked it or
// GoneAfter has passed, and removes hosts that have been gone for Retention.
func (m *Members) expire(now time.Time) {
	for _, id := range m.suspectOrGone.sorted() {
		e := m.entries[id]
		age := now.Sub(e.stateChanged)
		switch {
		case e.host.State == Suspect && (e.missingFromSource || age >= m.settings.GoneAfter):
			m.setState(e, Gone, now)
		case e.host.State == Gone && age >= m.settings.Retention:
			m.remove(id)
		}
	}
}

// pickTargets selects the hosts to contact in this interval.
func (m *Members) pickTargets() []dcid.HostID {
	chosen := make(hostIDSet)
	if len(m.sortedIDs)+1-m.countGone() <= m.settings.FullMeshLimit {
		m.pickAll(chosen)
	} else {
		m.pickHostsWithMisses(chosen)
		m.pickRandom(chosen)
	}
	// One suspect or gone host is contacted in each interval, so that two sides
	// of a partition that consider each other gone reconnect after it heals.
	if suspectOrGone := m.suspectOrGone.sorted(); len(suspectOrGone) > 0 {
		chosen.set(suspectOrGone[m.random.IntN(len(suspectOrGone))], true)
	}
	return chosen.sorted()
}

// countGone returns the number of hosts in the state Gone.
func (m *Members) countGone() int {
	count := 0
	for id := range m.suspectOrGone {
		if m.entries[id].host.State == Gone {
			count++
		}
	}
	return count
}

// pickAll adds all hosts that are not gone.
func (m *Members) pickAll(chosen hostIDSet) {
	for _, id := range m.sortedIDs {
		if m.entries[id].host.State != Gone {
			chosen.set(id, true)
		}
	}
}

// pickHostsWithMisses adds hosts that missed a heartbeat, until FanOut hosts
// are chosen.
func (m *Members) pickHostsWithMisses(chosen hostIDSet) {
	for _, id := range m.probing.sorted() {
		if len(chosen) == m.settings.FanOut {
			return
		}
		chosen.set(id, m.entries[id].misses > 0)
	}
}

// pickRandom adds FanOut random hosts, the first of them from another failure
// domain.
func (m *Members) pickRandom(chosen hostIDSet) {
	for n := range m.settings.FanOut {
		for range maxPickAttempts {
			e := m.entries[m.sortedIDs[m.random.IntN(len(m.sortedIDs))]]
			_, taken := chosen[e.host.ID]
			usable := e.host.State == Alive || e.host.State == Leaving
			sameDomain := n == 0 && e.host.Domain == m.self.Domain
			if usable && !taken && !sameDomain {
				chosen.set(e.host.ID, true)
				break
			}
		}
	}
}

// Message returns the members of a heartbeat to one host: the sender, the
// queued updates and a sample of the other hosts, bounded by MaxMessageBytes.
func (m *Members) Message(target dcid.HostID) (sender *peerv1.Member, members []*peerv1.Member) {
	b := messageBuilder{remainingBytes: m.settings.MaxMessageBytes, seen: hostIDSet{}}
	sender = m.toProto(m.self, m.self.State == Gone)
	b.remainingBytes -= proto.Size(sender) + fieldOverhead
	m.addSuspicion(&b, target)
	m.addQueuedUpdates(&b, target)
	m.addSample(&b, target)
	return sender, b.members
}

// messageBuilder collects members up to a number of bytes.
type messageBuilder struct {
	remainingBytes int
	members        []*peerv1.Member
	seen           hostIDSet
}

// add appends a member and reports false when it does not fit. A member that
// was already added is skipped.
func (b *messageBuilder) add(id dcid.HostID, member *peerv1.Member) bool {
	if _, ok := b.seen[id]; ok {
		return true
	}
	size := proto.Size(member) + fieldOverhead
	if size > b.remainingBytes {
		return false
	}
	b.remainingBytes -= size
	b.members = append(b.members, member)
	b.seen.set(id, true)
	return true
}

// addSuspicion tells the target that other hosts suspect it.
func (m *Members) addSuspicion(b *messageBuilder, target dcid.HostID) {
	e, ok := m.entries[target]
	if !ok || !e.suspected {
		return
	}
	suspected := e.host
	suspected.State = Suspect
	if b.add(target, m.toProto(suspected, false)) {
		e.suspected = false
	}
}

// addQueuedUpdates takes updates from the front of the queue and appends those
// with retransmits left to its end, so that a burst of updates shares the space
// of the messages.
func (m *Members) addQueuedUpdates(b *messageBuilder, target dcid.HostID) {
	if m.selfRetransmits > 0 && b.add(m.self.ID, m.toProto(m.self, m.self.State == Gone)) {
		m.selfRetransmits--
	}
	for range len(m.updateQueue) {
		id := m.updateQueue[0]
		e, ok := m.entries[id]
		if ok && id != target {
			if !b.add(id, m.toProto(e.host, e.stopped)) {
				return
			}
			e.retransmits--
		}
		m.updateQueue = m.updateQueue[1:]
		if ok && e.retransmits > 0 {
			m.updateQueue = append(m.updateQueue, id)
		}
	}
}

// addSample fills the message with other hosts in round-robin order. It repairs
// views that missed an update.
func (m *Members) addSample(b *messageBuilder, target dcid.HostID) {
	for range len(m.sortedIDs) {
		m.sampleCursor = (m.sampleCursor + 1) % len(m.sortedIDs)
		id := m.sortedIDs[m.sampleCursor]
		e := m.entries[id]
		if id == target || e.host.State == Gone && !e.stopped {
			continue
		}
		if !b.add(id, m.toProto(e.host, e.stopped)) {
			m.sampleCursor += len(m.sortedIDs) - 1
			return
		}
	}
}

// toProto encodes a host. ended marks a host that announced the end of its
// process.
func (m *Members) toProto(host Host, ended bool) *peerv1.Member {
	member := &peerv1.Member{
		HostId:        string(host.ID),
		Incarnation:   host.Incarnation,
		FailureDomain: string(host.Domain),
		CallerAddress: host.CallerAddress,
		PeerAddress:   host.PeerAddress,
		State:         string(host.State),
		Revision:      uint32(host.Revision),
		Heartbeat:     host.Heartbeat,
		Seat:          int32(host.Seat),
	}
	if !host.SeatTaken.IsZero() {
		member.SeatTakenMs = host.SeatTaken.UnixMilli()
	}
	if ended {
		member.State = string(stopped)
	}
	if host.ID != m.self.ID && (host.State == Suspect || host.State == Gone) {
		// No host contacts another one because of an entry that reports it as
		// suspect or gone, so the addresses are left out. Twice as many entries
		// then fit when a failure domain fails.
		member.FailureDomain, member.CallerAddress, member.PeerAddress = "", "", ""
	}
	return member
}
