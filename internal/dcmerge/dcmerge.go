// Package dcmerge selects the greatest of the fixed-size records of several
// parts.
package dcmerge

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in bytes.
const RecordBytes = 16

// Greatest returns the greatest records of all parts, at most limit, in
// descending order. Records are compared byte by byte, and equal records are all
// kept. A remainder of a part that is shorter than a record is dropped.
func Greatest(parts [][]byte, limit int) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= RecordBytes {
			records = append(records, part[:RecordBytes])
			part = part[RecordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(limit, len(records))], nil)
}
