package dcstore

import (
	"cmp"
	"strconv"
	"sync"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcfield"
)

// Era numbers the histories of the key-value service, which begins a new one when
// it is restored from a copy. Writes that the copy lacks are lost then, and their
// revisions are given out again. A service that names no era is always in era 0.
type Era int64

// Position is a position in the history of the service. Revisions are ordered
// within an era only.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1 if p precedes other, 1 if it follows it, and 0 if both are
// the same.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p follows other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// Before reports whether p precedes other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Position returns the position of the last change of the record.
func (r *Record) Position() Position { return Position{r.Era, r.Modified} }

const (
	// maxEraDigits is the maximum length of an era as text.
	maxEraDigits = 18
	// lowerEraDelay is the time without an answer of the known era after which a
	// lower one is taken. Delayed answers of an earlier era arrive within seconds, so
	// that only a wrong number or another service is left as the cause.
	lowerEraDelay = 10 * time.Second
)

// ParseEra reads the values of the field that names the era: a whole number
// without a sign. Several values must all be the same number.
func ParseEra(values []string) (era Era, presence dcfield.Presence) {
	if len(values) == 0 {
		return 0, dcfield.Absent
	}
	for i, value := range values {
		number, err := strconv.ParseUint(value, 10, 63)
		if err != nil || len(value) > maxEraDigits || i > 0 && Era(number) != era {
			return 0, dcfield.Malformed
		}
		era = Era(number)
	}
	return era, dcfield.Valid
}

// EraTracker follows the era of the service from its answers. It is safe for
// concurrent use; its zero value is in era 0.
type EraTracker struct {
	mu    sync.Mutex
	era   Era
	named time.Time
}

// Observe returns the era of an answer from the field that names it. An answer
// without a usable value belongs to the newest known era. It returns false for an
// answer of an earlier era, which says nothing of the present state.
func (t *EraTracker) Observe(values []string, now time.Time) (era Era, current bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	era, presence := ParseEra(values)
	switch {
	case presence != dcfield.Valid:
		return t.era, true
	case era < t.era && now.Sub(t.named) < lowerEraDelay:
		return era, false
	}
	t.era, t.named = era, now
	return era, true
}
