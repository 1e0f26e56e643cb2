package dcledger

import (
	"strconv"
	"strings"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// RetentionMargin is how long a segment is kept after its last key has expired.
// It must exceed the clock difference between two hosts plus the longest
// deadline of an order. Otherwise a host whose clock is slow could claim a key
// whose outcome another host has deleted.
const RetentionMargin = time.Hour

// RetentionPolicy decides which segments to delete.
type RetentionPolicy struct {
	// KeyRetention is the largest key retention of all service groups, because
	// groups share segments.
	KeyRetention time.Duration
	// Margin is added to KeyRetention. In operation it is at least
	// RetentionMargin.
	Margin time.Duration
}

// SegmentRef identifies a segment to delete, and the revision that was read.
type SegmentRef struct {
	Key      string
	Modified dcstore.Revision
}

// DeletableAt returns when the segment of a slot may be deleted.
func (r RetentionPolicy) DeletableAt(slot int64) time.Time {
	return slotEnd(slot).Add(r.KeyRetention + r.Margin)
}

// Deletable returns the segments among records that may be deleted now. Records
// whose key is not a segment key of the partition are ignored.
// Store.List(PartitionPrefix(...)) returns the oldest segments first, so a short
// list in ascending order is enough for each pass.
func (r RetentionPolicy) Deletable(prefix string, partition dcid.Partition, records []dcstore.Record, now time.Time) []SegmentRef {
	var refs []SegmentRef
	for _, record := range records {
		slot, ok := segmentSlot(prefix, partition, record.Key)
		if ok && !now.Before(r.DeletableAt(slot)) {
			refs = append(refs, SegmentRef{Key: record.Key, Modified: record.Modified})
		}
	}
	return refs
}

// NextDeletion returns when the oldest segment among records becomes deletable.
// ok is false when none of the records is a segment.
func (r RetentionPolicy) NextDeletion(prefix string, partition dcid.Partition, records []dcstore.Record) (at time.Time, ok bool) {
	for _, record := range records {
		slot, isSegment := segmentSlot(prefix, partition, record.Key)
		if due := r.DeletableAt(slot); isSegment && (!ok || due.Before(at)) {
			at, ok = due, true
		}
	}
	return at, ok
}

func segmentSlot(prefix string, partition dcid.Partition, key string) (slot int64, ok bool) {
	text, ok := strings.CutPrefix(key, PartitionPrefix(prefix, partition))
	if !ok {
		return 0, false
	}
	slot, err := strconv.ParseInt(text, 10, 64)
	return slot, err == nil && key == SegmentKey(prefix, partition, slot)
}
