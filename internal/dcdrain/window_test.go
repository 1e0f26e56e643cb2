package dcdrain

import (
	"testing"
	"time"
)

// TestWindow guards against a host that stops and takes a request that it then cuts
// off, and against one that refuses requests that it can answer in time.
func TestWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	for name, c := range map[string]struct {
		window  Window
		request Request
		want    bool
	}{
		"not stopping":                      {Window{}, Request{Deadline: in(time.Hour)}, true},
		"deadline within the window":        {Window{in(2 * time.Second)}, Request{Deadline: in(time.Second)}, true},
		"deadline with the end":             {Window{in(2 * time.Second)}, Request{Deadline: in(2 * time.Second)}, false},
		"deadline later, latency unknown":   {Window{in(2 * time.Second)}, Request{Deadline: in(8 * time.Second)}, false},
		"deadline later, short latency":     {Window{in(2 * time.Second)}, Request{Deadline: in(8 * time.Second), Longest: time.Second}, true},
		"deadline later, long latency":      {Window{in(2 * time.Second)}, Request{Deadline: in(8 * time.Second), Longest: 1900 * time.Millisecond}, false},
		"long latency, deadline soon":       {Window{in(2 * time.Second)}, Request{Deadline: in(time.Second), Longest: 3 * time.Second}, true},
		"window has ended":                  {Window{in(-time.Second)}, Request{Deadline: in(time.Second), Longest: time.Millisecond}, false},
		"window has ended, deadline passed": {Window{in(time.Second)}, Request{Deadline: in(-time.Second)}, true},
	} {
		if got := c.window.Admit(c.request, now); got != c.want {
			t.Errorf("%s: admitted %v", name, got)
		}
	}
}
