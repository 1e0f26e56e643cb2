package dcquarantine

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

// fieldOverhead is the size in bytes of the tag and length that precede an
// entry in a message.
const fieldOverhead = 3

const (
	// maxMergedDuration limits how long an entry of another host lasts from now on. No
	// rule lets one last longer.
	maxMergedDuration = 24 * time.Hour
	// maxDigestBytes limits the digest of an entry of another host. A digest takes half
	// of it.
	maxDigestBytes = 128
)

// activeEntry returns the entry of a digest, or nil when there is none. An
// expired entry is deleted.
func (t *Table) activeEntry(digest Digest, now time.Time) *entry {
	e, ok := t.entries[digest]
	if !ok {
		return nil
	}
	if !now.Before(e.expiresAt) {
		delete(t.entries, digest)
		return nil
	}
	return e
}

// store adds or replaces an entry. When the table is full it evicts an expired
// entry, else a cleared one, else a suspicion, else a quarantine, and among
// these the one that expires first.
func (t *Table) store(digest Digest, e *entry, now time.Time) {
	if t.entries == nil {
		t.entries = map[Digest]*entry{}
	}
	t.entries[digest] = e
	if len(t.entries) <= cmp.Or(t.MaxEntries, defaultMaxEntries) {
		return
	}
	var victim Digest
	for candidate, held := range t.entries {
		if candidate != digest && (victim == "" || t.evictedBefore(candidate, held, victim, now)) {
			victim = candidate
		}
	}
	delete(t.entries, victim)
}

// evictedBefore reports whether the candidate is evicted before the victim found
// so far.
func (t *Table) evictedBefore(candidate Digest, held *entry, victim Digest, now time.Time) bool {
	other := t.entries[victim]
	order := cmp.Or(
		cmp.Compare(held.evictionRank(now), other.evictionRank(now)),
		held.expiresAt.Compare(other.expiresAt),
		cmp.Compare(candidate, victim),
	)
	return order < 0
}

// evictionRank returns the order of eviction: an entry with a lower rank is
// evicted first.
func (e *entry) evictionRank(now time.Time) int {
	switch {
	case !now.Before(e.expiresAt):
		return 0
	case e.state == cleared:
		return 1
	case e.state == suspected:
		return 2
	default:
		return 3
	}
}

// Merge merges the entries of a peer, from a push or a heartbeat:
//   - a cleared entry replaces everything that is not newer,
//   - a quarantine takes precedence over suspicions,
//   - two suspicions are combined into one with the servers of both.
//
// Suspicions of different hosts never add up to a quarantine, since a request
// that crashes no server may run on two servers that crash; see RecordCrash.
//
// An old suspicion or quarantine can outlive the entry that cleared it: if it
// arrives after a newer one but before the cleared entry between the two, it is
// combined with the newer one and stays until the combined entry expires.
func (t *Table) Merge(entries []*peerv1.Suspicion, now time.Time) {
	for _, received := range entries {
		digest := Digest(received.GetDigest())
		e := fromProto(received)
		if digest == "" || len(digest) > maxDigestBytes || e == nil || !now.Before(e.expiresAt) {
			continue
		}
		if latest := now.Add(maxMergedDuration); e.expiresAt.After(latest) {
			e.expiresAt = latest
		}
		t.mergeEntry(digest, e, now)
	}
}

func (t *Table) mergeEntry(digest Digest, received *entry, now time.Time) {
	held := t.activeEntry(digest, now)
	if held != nil {
		received = combine(held, received)
	}
	if received == held {
		return
	}
	if received.state == cleared {
		t.addGood(digest)
	} else {
		t.removeGood(digest)
	}
	t.store(digest, received, now)
}

// combine combines two entries of one digest. It returns held itself when
// received adds nothing to it.
func combine(held, received *entry) *entry {
	first, second := held, received
	if second.changedAt.Before(first.changedAt) {
		first, second = second, first
	}
	switch {
	case second.state == cleared:
		return second
	case first.state == cleared && first.changedAt.Equal(second.changedAt):
		return first
	case first.state == cleared:
		return second
	}
	if first.state == second.state && slices.Equal(first.servers, second.servers) {
		return second
	}
	combined := &entry{state: suspected, expiresAt: second.expiresAt, changedAt: second.changedAt}
	if first.expiresAt.After(combined.expiresAt) {
		combined.expiresAt = first.expiresAt
	}
	if first.state == quarantined || second.state == quarantined {
		combined.state = quarantined
	}
	combined.servers = slices.Concat(first.servers, second.servers)
	slices.Sort(combined.servers)
	combined.servers = slices.Compact(combined.servers)
	combined.servers = combined.servers[:min(maxServers, len(combined.servers))]
	return combined
}

// Entries returns entries for a heartbeat whose size in the message is at most
// maxBytes. Successive calls go through all entries in turn.
func (t *Table) Entries(maxBytes int, now time.Time) []*peerv1.Suspicion {
	digests := make([]Digest, 0, len(t.entries))
	for digest := range t.entries {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	var entries []*peerv1.Suspicion
	for range digests {
		t.nextEntry %= len(digests)
		digest := digests[t.nextEntry]
		e := t.activeEntry(digest, now)
		if e != nil {
			message := e.toProto(digest)
			maxBytes -= proto.Size(message) + fieldOverhead
			if maxBytes < 0 {
				break
			}
			entries = append(entries, message)
		}
		t.nextEntry++
	}
	return entries
}

// EntriesAfter returns the entries whose digests follow one, in the order of digests, as
// far as their size in a message is at most maxBytes. It reports whether there are more.
func (t *Table) EntriesAfter(after Digest, maxBytes int, now time.Time) (entries []*peerv1.Suspicion, more bool) {
	digests := make([]Digest, 0, len(t.entries))
	for digest := range t.entries {
		if digest > after {
			digests = append(digests, digest)
		}
	}
	slices.Sort(digests)
	for _, digest := range digests {
		e := t.activeEntry(digest, now)
		if e == nil {
			continue
		}
		message := e.toProto(digest)
		if maxBytes -= proto.Size(message) + fieldOverhead; maxBytes < 0 {
			return entries, true
		}
		entries = append(entries, message)
	}
	return entries, false
}

// IsQuarantine reports whether an entry puts a request into quarantine.
func IsQuarantine(entry *peerv1.Suspicion) bool { return state(entry.GetState()) == quarantined }

// IsCleared reports whether an entry ends a suspicion or a quarantine.
func IsCleared(entry *peerv1.Suspicion) bool { return state(entry.GetState()) == cleared }

func (e *entry) toProto(digest Digest) *peerv1.Suspicion {
	return &peerv1.Suspicion{
		Digest:    string(digest),
		Servers:   slices.Clone(e.servers),
		UntilMs:   e.expiresAt.UnixMilli(),
		State:     string(e.state),
		ChangedMs: e.changedAt.UnixMilli(),
	}
}

// fromProto returns the entry of a message, or nil when its state is unknown.
func fromProto(message *peerv1.Suspicion) *entry {
	e := &entry{
		state:     state(message.GetState()),
		servers:   slices.Clone(message.GetServers()[:min(len(message.GetServers()), maxServers)]),
		expiresAt: time.UnixMilli(message.GetUntilMs()),
		changedAt: time.UnixMilli(message.GetChangedMs()),
	}
	switch e.state {
	case suspected, quarantined, cleared:
		return e
	default:
		return nil
	}
}
