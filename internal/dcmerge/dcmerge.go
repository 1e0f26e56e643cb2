// Package dcmerge merges the fixed-size records of several parts into the
// greatest ones.
package dcmerge

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record.
const RecordBytes = 16

// Greatest returns the greatest records of all parts, at most limit, greatest
// first. Records are compared byte by byte and equal ones all count. A
// remainder of a part that is shorter than a record is left out.
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
