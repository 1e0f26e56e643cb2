package dcmembership

import (
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// copiesFactor times the logarithm of the group size is the number of messages
// that carry a change, as in SWIM.
const copiesFactor = 3

// pickTries bounds the random picks for one target.
const pickTries = 16

// fieldOverhead is the size of tag and length of one member in a message.
const fieldOverhead = 3

func (m *Members) copies() int {
	return copiesFactor * bits.Len(uint(len(m.entries)+1))
}

// Begin starts a heartbeat interval. It counts missed heartbeats of the last
// one and returns the hosts to exchange heartbeats with. A pause of this
// process counts as one interval, so that it accuses nobody.
func (m *Members) Begin(now time.Time) (targets []Host, changes []Change) {
	m.tick++
	m.countMisses(now)
	m.expire(now)
	for _, id := range m.pickTargets() {
		e := m.entries[id]
		e.awaited = true
		m.probing.put(id, true)
		targets = append(targets, e.host)
	}
	return targets, m.takeChanges()
}

func (m *Members) countMisses(now time.Time) {
	for _, id := range m.probing.sorted() {
		e := m.entries[id]
		if !e.awaited {
			m.probing.put(id, e.misses > 0)
			continue
		}
		e.awaited = false
		e.misses++
		if e.misses < e.limit {
			continue
		}
		m.probing.put(id, false)
		e.misses = 0
		if e.host.State == Alive || e.host.State == Leaving {
			m.setState(e, Suspect, now)
		}
	}
}

// expire moves suspects to gone and forgets hosts that are gone for long.
func (m *Members) expire(now time.Time) {
	for _, id := range m.troubled.sorted() {
		e := m.entries[id]
		age := now.Sub(e.changed)
		switch {
		case e.host.State == Suspect && (e.absent || age >= m.settings.GoneAfter):
			m.setState(e, Gone, now)
		case e.host.State == Gone && age >= m.settings.Retention:
			m.remove(id)
		}
	}
}

func (m *Members) pickTargets() []dcid.HostID {
	chosen := make(idSet)
	if len(m.order)+1-m.countGone() <= m.settings.FullExchange {
		m.pickAll(chosen)
	} else {
		m.pickProbing(chosen)
		m.pickRandom(chosen)
	}
	// One suspect or gone host in each interval, so that two sides that gave
	// each other up find each other again.
	if troubled := m.troubled.sorted(); len(troubled) > 0 {
		chosen.put(troubled[m.random.IntN(len(troubled))], true)
	}
	return chosen.sorted()
}

func (m *Members) countGone() int {
	count := 0
	for id := range m.troubled {
		if m.entries[id].host.State == Gone {
			count++
		}
	}
	return count
}

func (m *Members) pickAll(chosen idSet) {
	for _, id := range m.order {
		if m.entries[id].host.State != Gone {
			chosen.put(id, true)
		}
	}
}

// pickProbing repeats hosts that missed a heartbeat, at most FanOut of them.
func (m *Members) pickProbing(chosen idSet) {
	for _, id := range m.probing.sorted() {
		if len(chosen) == m.settings.FanOut {
			return
		}
		chosen.put(id, m.entries[id].misses > 0)
	}
}

// pickRandom adds FanOut random hosts, the first from another failure domain.
func (m *Members) pickRandom(chosen idSet) {
	for n := range m.settings.FanOut {
		for range pickTries {
			e := m.entries[m.order[m.random.IntN(len(m.order))]]
			_, taken := chosen[e.host.ID]
			usable := e.host.State == Alive || e.host.State == Leaving
			near := n == 0 && e.host.Domain == m.self.Domain
			if usable && !taken && !near {
				chosen.put(e.host.ID, true)
				break
			}
		}
	}
}

// Message returns the parts of a heartbeat to one host that concern members:
// this host, the newest changes and a sample of the others, bounded in bytes.
func (m *Members) Message(target dcid.HostID) (sender *peerv1.Member, members []*peerv1.Member) {
	b := builder{room: m.settings.MaxMessageBytes, seen: idSet{}}
	sender = m.wire(m.self, m.self.State == Gone)
	b.room -= proto.Size(sender) + fieldOverhead
	m.addAccusation(&b, target)
	m.addChanges(&b, target)
	m.addSample(&b, target)
	return sender, b.members
}

// builder collects members up to a number of bytes.
type builder struct {
	room    int
	members []*peerv1.Member
	seen    idSet
}

func (b *builder) add(id dcid.HostID, member *peerv1.Member) bool {
	if _, ok := b.seen[id]; ok {
		return true
	}
	size := proto.Size(member) + fieldOverhead
	if size > b.room {
		return false
	}
	b.room -= size
	b.members = append(b.members, member)
	b.seen.put(id, true)
	return true
}

func (m *Members) addAccusation(b *builder, target dcid.HostID) {
	e, ok := m.entries[target]
	if !ok || !e.accused {
		return
	}
	accused := e.host
	accused.State = Suspect
	if b.add(target, m.wire(accused, false)) {
		e.accused = false
	}
}

// addChanges takes changes from the front of the queue and puts those with
// copies left at its end, so that a burst of changes shares the room.
func (m *Members) addChanges(b *builder, target dcid.HostID) {
	if m.selfCopies > 0 && b.add(m.self.ID, m.wire(m.self, m.self.State == Gone)) {
		m.selfCopies--
	}
	for range len(m.spreading) {
		id := m.spreading[0]
		e, ok := m.entries[id]
		if ok && id != target {
			if !b.add(id, m.wire(e.host, e.stopped)) {
				return
			}
			e.copies--
		}
		m.spreading = m.spreading[1:]
		if ok && e.copies > 0 {
			m.spreading = append(m.spreading, id)
		}
	}
}

// addSample fills the message with other hosts in turn. It repairs views that
// missed a change.
func (m *Members) addSample(b *builder, target dcid.HostID) {
	for range len(m.order) {
		m.cursor = (m.cursor + 1) % len(m.order)
		id := m.order[m.cursor]
		e := m.entries[id]
		if id == target || e.host.State == Gone && !e.stopped {
			continue
		}
		if !b.add(id, m.wire(e.host, e.stopped)) {
			m.cursor += len(m.order) - 1
			return
		}
	}
}

func (m *Members) wire(host Host, ended bool) *peerv1.Member {
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
		// Nobody contacts the host because of this message, so that it does not
		// carry addresses. This doubles how many fit when a domain fails.
		member.FailureDomain, member.CallerAddress, member.PeerAddress = "", "", ""
	}
	return member
}
