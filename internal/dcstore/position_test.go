package dcstore

import (
	"strings"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcfield"
)

// TestPosition guards against revisions that are compared across eras, so that a
// change after a restoration counts as older than what it replaces.
func TestPosition(t *testing.T) {
	ordered := []Position{{}, {0, 1}, {0, 99}, {1, 1}, {1, 98}, {2, 0}, {2, 7}}
	for i, p := range ordered {
		for j, other := range ordered {
			if want := i - j; p.Compare(other)*want < 0 || (p.Compare(other) == 0) != (want == 0) || p.After(other) != (want > 0) || p.Before(other) != (want < 0) {
				t.Errorf("%v compared with %v: %d, want the sign of %d", p, other, p.Compare(other), want)
			}
		}
	}
}

// TestParseEra guards against an era that is read from something else than one
// whole number.
func TestParseEra(t *testing.T) {
	for name, c := range map[string]struct {
		values   []string
		want     Era
		presence dcfield.Presence
	}{
		"absent":         {nil, 0, dcfield.Absent},
		"zero":           {[]string{"0"}, 0, dcfield.Valid},
		"number":         {[]string{"17"}, 17, dcfield.Valid},
		"twice the same": {[]string{"3", "3"}, 3, dcfield.Valid},
		"twice":          {[]string{"3", "4"}, 0, dcfield.Malformed},
		"empty":          {[]string{""}, 0, dcfield.Malformed},
		"negative":       {[]string{"-1"}, 0, dcfield.Malformed},
		"plus sign":      {[]string{"+1"}, 0, dcfield.Malformed},
		"fraction":       {[]string{"1.0"}, 0, dcfield.Malformed},
		"exponent":       {[]string{"1e3"}, 0, dcfield.Malformed},
		"not a number":   {[]string{"two"}, 0, dcfield.Malformed},
		"too large":      {[]string{"9223372036854775807"}, 0, dcfield.Malformed},
		"5,000 digits":   {[]string{strings.Repeat("1", 5000)}, 0, dcfield.Malformed},
	} {
		if era, presence := ParseEra(c.values); presence != c.presence || presence == dcfield.Valid && era != c.want {
			t.Errorf("%s: era %d, presence %d, want %d, presence %d", name, era, presence, c.want, c.presence)
		}
	}
}

// TestEraTracker guards against a delayed answer of an earlier era that is taken
// for the present state, and against one wrong number that makes a host ignore the
// store for good.
func TestEraTracker(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var tracker EraTracker
	for _, step := range []struct {
		what    string
		after   time.Duration
		values  []string
		era     Era
		current bool
	}{
		{"first answer without an era", 0, nil, 0, true},
		{"first era", 0, []string{"4"}, 4, true},
		{"absent", time.Second, nil, 4, true},
		{"malformed", time.Second, []string{"x"}, 4, true},
		{"next era", time.Second, []string{"5"}, 5, true},
		{"delayed answer", 3 * time.Second, []string{"4"}, 4, false},
		{"wrong number", time.Second, []string{"5000"}, 5000, true},
		{"right number", time.Second, []string{"5"}, 5, false},
		{"right number for long", lowerEraDelay, []string{"5"}, 5, true},
		{"as before", 0, []string{"5"}, 5, true},
	} {
		now = now.Add(step.after)
		if era, current := tracker.Observe(step.values, now); era != step.era || current != step.current {
			t.Errorf("%s: era %d, current %t, want %d, %t", step.what, era, current, step.era, step.current)
		}
	}
}
