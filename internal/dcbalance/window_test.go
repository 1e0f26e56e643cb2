package dcbalance

import (
	"testing"
	"time"
)

// TestWindow guards against a host that keeps the queue of a full server full,
// against one that is limited although its calls are within its share, and against
// a limit that outlasts the lack of room.
func TestWindow(t *testing.T) {
	const (
		capacity, hosts = 4, 3
		share           = 2
		ceiling         = 5
	)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var w window
	w.reduce(share, capacity, hosts, now, now)
	if w.limited() {
		t.Error("limited after a refusal within the share")
	}
	w.reduce(share+1, capacity, hosts, now, now)
	if w.limit != share {
		t.Fatalf("limit %d, want %d", w.limit, share)
	}
	for want := share; w.limited(); want++ {
		if w.limit != want {
			t.Fatalf("limit %d, want %d", w.limit, want)
		}
		w.answered(ceiling, now.Add(windowGrowTime-1))
		if w.limit != want {
			t.Error("widened too early")
		}
		now = now.Add(windowGrowTime)
		w.answered(ceiling, now)
		// The refused call was sent before the window was widened.
		if w.reduce(ceiling, capacity, hosts, now.Add(-1), now); w.limited() && w.limit != want+1 {
			t.Error("reduced because of a call of the window before")
		}
	}
}
