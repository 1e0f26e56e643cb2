package dchold

import (
	"strings"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcfield"
)

// TestParseDelay guards against a delay that is read from something else than one
// decimal number of seconds, and against one that overflows.
func TestParseDelay(t *testing.T) {
	for name, c := range map[string]struct {
		values   []string
		want     time.Duration
		presence dcfield.Presence
	}{
		"absent":          {nil, 0, dcfield.Absent},
		"whole":           {[]string{"3"}, 3 * time.Second, dcfield.Valid},
		"fraction":        {[]string{"0.25"}, 250 * time.Millisecond, dcfield.Valid},
		"zero":            {[]string{"0"}, 0, dcfield.Valid},
		"twice the same":  {[]string{"2", "2.0"}, 2 * time.Second, dcfield.Valid},
		"twice":           {[]string{"2", "9"}, 0, dcfield.Malformed},
		"empty":           {[]string{""}, 0, dcfield.Malformed},
		"negative":        {[]string{"-5"}, 0, dcfield.Malformed},
		"date":            {[]string{"Fri, 05 Dec 2026 10:00:00 GMT"}, 0, dcfield.Malformed},
		"not a number":    {[]string{"NaN"}, 0, dcfield.Malformed},
		"infinite":        {[]string{"Inf"}, 0, dcfield.Malformed},
		"very large":      {[]string{"1e308"}, maxLimit, dcfield.Valid},
		"beyond range":    {[]string{"1e309"}, 0, dcfield.Malformed},
		"5,000 digits":    {[]string{strings.Repeat("7", 5000)}, 0, dcfield.Malformed},
		"smallest number": {[]string{"5e-324"}, 0, dcfield.Valid},
	} {
		got, presence := ParseDelay(c.values)
		if presence != c.presence || got != c.want {
			t.Errorf("%s: %v, presence %d, want %v, presence %d", name, got, presence, c.want, c.presence)
		}
	}
}

// TestHold guards against requests within the time that a server asks for, and
// against a server that is out of use for the whole time that a wrong value names.
func TestHold(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(after time.Duration) time.Time { return start.Add(after) }
	var h Hold
	expect := func(what string, now time.Time, want time.Duration) {
		t.Helper()
		if got := h.Remaining(now); got != want {
			t.Errorf("%s: %v remain, want %v", what, got, want)
		}
	}
	expect("without a refusal", start, 0)
	h.Refuse(0, start, start)
	expect("no delay", start, 0)
	h.Refuse(3*time.Second, start, at(0))
	h.Refuse(time.Second, start, at(100*time.Millisecond))
	expect("shorter delay in a later answer", at(time.Second), 2*time.Second)
	h.Accept(start.Add(-time.Millisecond))
	expect("answer to an earlier request", at(time.Second), 2*time.Second)
	expect("delay is over", at(3*time.Second), 0)
	h.Accept(at(3 * time.Second))
	h.Refuse(time.Hour, at(4*time.Second), at(4*time.Second))
	h.Refuse(time.Hour, at(4*time.Second), at(4*time.Second))
	expect("an hour", at(4*time.Second), firstLimit)
	h.Refuse(time.Hour, at(14*time.Second), at(14*time.Second))
	expect("an hour once more", at(14*time.Second), 2*firstLimit)
	h.Accept(at(34 * time.Second))
	expect("answered", at(34*time.Second), 0)
	h.Refuse(time.Hour, at(35*time.Second), at(35*time.Second))
	expect("an hour after an answer", at(35*time.Second), firstLimit)
}
