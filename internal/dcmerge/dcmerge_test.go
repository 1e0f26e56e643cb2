package dcmerge

import (
	"strings"
	"testing"
)

func record(first byte) string { return string([]byte{first}) + strings.Repeat("-", RecordBytes-1) }

// TestGreatest guards against dropped duplicates, remainders that are treated as
// records, and a wrong order.
func TestGreatest(t *testing.T) {
	parts := [][]byte{
		[]byte(record('b') + record('d') + "dd"),
		nil,
		[]byte("short"),
		[]byte(record('d') + record(0xff) + record('a')),
	}
	for limit, want := range map[int]string{
		0: "",
		2: record(0xff) + record('d'),
		4: record(0xff) + record('d') + record('d') + record('b'),
		9: record(0xff) + record('d') + record('d') + record('b') + record('a'),
	} {
		if got := string(Greatest(parts, limit)); got != want {
			t.Errorf("limit %d: %q, want %q", limit, got, want)
		}
	}
}
