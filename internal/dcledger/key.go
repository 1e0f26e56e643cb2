package dcledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// MaxClockSkew is the maximum time by which a caller's clock may be ahead of the
// host's clock.
const MaxClockSkew = 5 * time.Second

const canonicalKeyLength = 36

// ParseKey validates an order key, which must be a UUID of version 7 in the
// 36-character form. It returns the key in lower case and its time of issue.
// The code is OK or KeyMalformed.
func ParseKey(raw dcid.OrderKey) (key dcid.OrderKey, issued time.Time, code dcreason.Code) {
	id, err := uuid.Parse(string(raw))
	if err != nil || len(raw) != canonicalKeyLength {
		return "", time.Time{}, dcreason.KeyMalformed
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", time.Time{}, dcreason.KeyMalformed
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return dcid.OrderKey(strings.ToLower(string(raw))), time.Unix(seconds, nanoseconds), dcreason.OK
}

// CheckAge checks whether a key with the given time of issue may be used at now.
// It returns OK, KeyFromFuture or KeyExpired.
func CheckAge(issued, now time.Time, retention time.Duration) dcreason.Code {
	switch {
	case issued.Sub(now) > MaxClockSkew:
		return dcreason.KeyFromFuture
	case now.Sub(issued) > retention:
		return dcreason.KeyExpired
	}
	return dcreason.OK
}

// PartitionOf returns the partition of a canonical key among count partitions.
func PartitionOf(department dcid.Department, key dcid.OrderKey, count int32) dcid.Partition {
	sum := xxhash.Sum64String(string(department) + "\x00" + string(key))
	return dcid.Partition(sum % uint64(count))
}

// SegmentWidth is the range of issue times that one segment covers. Every swap
// writes the whole segment, so a narrow segment keeps swaps small, while a wide
// one keeps the number of store keys low. With a width of one minute, a
// partition was full after 203 claims.
const SegmentWidth = 10 * time.Second

// SlotOf returns the slot of a time of issue: the number of its segment, counted
// in segment widths since the Unix epoch.
func SlotOf(issued time.Time) int64 {
	return issued.Unix() / int64(SegmentWidth/time.Second)
}

// slotEnd returns the exclusive end of the issue times of a slot.
func slotEnd(slot int64) time.Time {
	return time.Unix((slot+1)*int64(SegmentWidth/time.Second), 0)
}

// PartitionPrefix returns the store prefix of all segments of a partition.
func PartitionPrefix(prefix string, partition dcid.Partition) string {
	return fmt.Sprintf("%sledger/%d/", prefix, partition)
}

// SegmentKey returns the store key of a segment. The slot is padded with zeros
// so that the store lists segments from oldest to newest.
func SegmentKey(prefix string, partition dcid.Partition, slot int64) string {
	return fmt.Sprintf("%s%012d", PartitionPrefix(prefix, partition), slot)
}

// BodyDigest returns the SHA-256 of the parts of an order that a resent order
// must repeat. Each part is preceded by its length, so that different parts
// never give the same input to the hash.
func BodyDigest(group dcid.GroupName, service dcid.ServiceName, schema dcid.SchemaVersion, body []byte) []byte {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(group), []byte(service), []byte(schema), body} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write(part)
	}
	return hash.Sum(nil)
}
