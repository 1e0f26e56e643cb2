package dcquarantine

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

// fieldOverhead is the size of tag and length of one entry in a message.
const fieldOverhead = 3

// live returns the entry of a digest unless it has ended.
func (t *Table) live(digest Digest, now time.Time) *entry {
	e, ok := t.entries[digest]
	if !ok {
		return nil
	}
	if !now.Before(e.until) {
		delete(t.entries, digest)
		return nil
	}
	return e
}

// put stores an entry. A full table drops what has ended, then cleared entries,
// then suspicions, each the one that ends first.
func (t *Table) put(digest Digest, e *entry, now time.Time) {
	if t.entries == nil {
		t.entries = map[Digest]*entry{}
	}
	t.entries[digest] = e
	if len(t.entries) <= cmp.Or(t.MaxEntries, defaultMaxEntries) {
		return
	}
	var victim Digest
	for candidate, held := range t.entries {
		if candidate != digest && (victim == "" || t.dropsBefore(candidate, held, victim, now)) {
			victim = candidate
		}
	}
	delete(t.entries, victim)
}

func (t *Table) dropsBefore(candidate Digest, held *entry, victim Digest, now time.Time) bool {
	other := t.entries[victim]
	order := cmp.Or(
		cmp.Compare(held.weight(now), other.weight(now)),
		held.until.Compare(other.until),
		cmp.Compare(candidate, victim),
	)
	return order < 0
}

func (e *entry) weight(now time.Time) int {
	switch {
	case !now.Before(e.until):
		return 0
	case e.state == cleared:
		return 1
	case e.state == suspected:
		return 2
	default:
		return 3
	}
}

// Merge takes the entries of a peer, pushed or from a heartbeat:
//   - a clearing outranks everything that is not newer,
//   - a quarantine outranks suspicions,
//   - suspicions unite their servers.
//
// Servers of different hosts together do not quarantine, since an innocent
// request may share each of two crashes; see Crash. Evidence that reaches a
// host later than newer evidence but earlier than the clearing between them
// stays until it ends.
func (t *Table) Merge(entries []*peerv1.Suspicion, now time.Time) {
	for _, received := range entries {
		digest := Digest(received.GetDigest())
		e := fromWire(received)
		if digest == "" || e == nil || !now.Before(e.until) {
			continue
		}
		t.merge(digest, e, now)
	}
}

func (t *Table) merge(digest Digest, received *entry, now time.Time) {
	held := t.live(digest, now)
	if held != nil {
		received = unite(held, received)
	}
	if received == held {
		return
	}
	if received.state == cleared {
		t.remember(digest)
	} else {
		t.forget(digest)
	}
	t.put(digest, received, now)
}

// unite returns held itself when received adds nothing.
func unite(held, received *entry) *entry {
	first, second := held, received
	if second.changed.Before(first.changed) {
		first, second = second, first
	}
	switch {
	case second.state == cleared:
		return second
	case first.state == cleared && first.changed.Equal(second.changed):
		return first
	case first.state == cleared:
		return second
	}
	if first.state == second.state && slices.Equal(first.servers, second.servers) {
		return second
	}
	united := &entry{state: suspected, until: second.until, changed: second.changed}
	if first.until.After(united.until) {
		united.until = first.until
	}
	if first.state == quarantined || second.state == quarantined {
		united.state = quarantined
	}
	united.servers = slices.Concat(first.servers, second.servers)
	slices.Sort(united.servers)
	united.servers = slices.Compact(united.servers)
	united.servers = united.servers[:min(maxServers, len(united.servers))]
	return united
}

// Entries returns entries for a heartbeat, at most maxBytes, in turn.
func (t *Table) Entries(maxBytes int, now time.Time) []*peerv1.Suspicion {
	digests := make([]Digest, 0, len(t.entries))
	for digest := range t.entries {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	var entries []*peerv1.Suspicion
	for range digests {
		t.cursor %= len(digests)
		digest := digests[t.cursor]
		e := t.live(digest, now)
		if e != nil {
			message := e.wire(digest)
			maxBytes -= proto.Size(message) + fieldOverhead
			if maxBytes < 0 {
				break
			}
			entries = append(entries, message)
		}
		t.cursor++
	}
	return entries
}

func (e *entry) wire(digest Digest) *peerv1.Suspicion {
	return &peerv1.Suspicion{
		Digest:    string(digest),
		Servers:   slices.Clone(e.servers),
		UntilMs:   e.until.UnixMilli(),
		State:     string(e.state),
		ChangedMs: e.changed.UnixMilli(),
	}
}

func fromWire(message *peerv1.Suspicion) *entry {
	e := &entry{
		state:   state(message.GetState()),
		servers: slices.Clone(message.GetServers()),
		until:   time.UnixMilli(message.GetUntilMs()),
		changed: time.UnixMilli(message.GetChangedMs()),
	}
	switch e.state {
	case suspected, quarantined, cleared:
		return e
	default:
		return nil
	}
}
