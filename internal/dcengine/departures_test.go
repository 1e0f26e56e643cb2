package dcengine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// TestServerLeaves guards against requests to a server that leaves, whether the
// list or the server itself says so first, and against a process that returns
// because an older list names it. It also guards against leaving out the server
// that starts next under the ID, or at the address.
func TestServerLeaves(t *testing.T) {
	first := dcbalance.Server{ID: "p1-a", Addr: "p1-a", Domain: "z1", Capacity: 5, Started: time.UnixMilli(1000)}
	listedLeaving, nextProcess, movedProcess, nextAtAddress := first, first, first, first
	listedLeaving.Leaving = true
	nextProcess.Started = time.UnixMilli(2000)
	movedProcess.Addr = "p1-moved"
	nextAtAddress.ID = "p1-next"
	for name, c := range map[string]struct {
		said   bool
		listed []dcbalance.Server
		// used is the server that gets requests, empty for none.
		used dcid.ServerID
	}{
		"said":                         {true, nil, ""},
		"listed":                       {false, []dcbalance.Server{listedLeaving}, ""},
		"said, then listed as ready":   {true, []dcbalance.Server{first}, ""},
		"listed, then listed as ready": {false, []dcbalance.Server{listedLeaving, first}, ""},
		"said, then the next process":  {true, []dcbalance.Server{nextProcess}, "p1-a"},
		"said, then at another place":  {true, []dcbalance.Server{movedProcess}, "p1-a"},
		"said, then the next server":   {true, []dcbalance.Server{nextAtAddress}, "p1-next"},
	} {
		for _, removed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				saysSo := false
				arrivals := make(map[dcid.ServerID]int)
				sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
					arrivals[server]++
					answer := answeredBy(server)
					answer.Leaving = saysSo
					return answer
				}}
				engine := newTestEngine(t, sender)
				engine.RemoveServer("p1", "p1-b")
				engine.SetServer("p1", first)
				saysSo = c.said
				engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
				saysSo = false
				if removed {
					// After another listing, the list names the server again.
					engine.SetServer("p1", listedLeaving)
					engine.RemoveServer("p1", "p1-a")
				}
				for _, server := range c.listed {
					engine.SetServer("p1", server)
				}
				clear(arrivals)
				engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
				if len(arrivals) > 1 || c.used != "" && arrivals[c.used] != 1 || c.used == "" && len(arrivals) != 0 {
					t.Errorf("%s, removed before %t: requests reached %v, want %q", name, removed, arrivals, c.used)
				}
			})
		}
	}
}
