package dcexchange

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

var testStart = time.Unix(1_700_000_000, 0)

// at returns the time some milliseconds after testStart.
func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 0)) }

func addresses(calls []Call) (list []string) {
	for _, call := range calls {
		list = append(list, call.Address)
	}
	return list
}

// TestDue guards against a host that never gets what it missed while it was away, and
// against calls between hosts that have stayed in touch.
func TestDue(t *testing.T) {
	self := Peer{ID: "h5", Started: at(0)}
	older := Peer{ID: "h1", Address: "a", Started: at(-9000), Arrival: 1}
	newer := Peer{ID: "h2", Address: "a", Started: at(9000), Arrival: 1}
	complete := func(p *Plan) {
		for _, call := range p.Due(at(2000)) {
			p.Complete(call, time.Time{}, at(2000))
		}
	}
	restarted, returned := older, older
	restarted.Started, returned.Arrival = at(2500), 2
	for name, c := range map[string]struct {
		first  Peer
		events func(p *Plan)
		// notAt and at are times, in milliseconds, at which no exchange is due and at
		// which one is; 0 if there is no such time.
		notAt, at int
	}{
		"host first seen that started before": {first: older, at: 1},
		"host first seen that started later":  {first: newer, notAt: 999, at: 1000},
		"address whose host is not known":     {first: Peer{Address: "a"}, at: 1},
		"host with an unknown start":          {first: Peer{ID: "h1", Address: "a", Arrival: 1}, at: 1},
		"in touch":                            {first: older, events: complete, notAt: 1_000_000},
		"list unchanged":                      {first: older, events: func(p *Plan) { complete(p); p.Update([]Peer{older}, true, at(3000)) }, notAt: 1_000_000},
		"new process":                         {first: older, events: func(p *Plan) { complete(p); p.Update([]Peer{restarted}, true, at(3000)) }, notAt: 3999, at: 4000},
		"again in the list":                   {first: older, events: func(p *Plan) { complete(p); p.Update([]Peer{returned}, true, at(3000)) }, at: 3000},
		"gone from the list, and back":        {first: older, events: func(p *Plan) { complete(p); p.Update(nil, true, at(3000)); p.Update([]Peer{older}, true, at(4000)) }, at: 4000},
		"gone from the list":                  {first: older, events: func(p *Plan) { p.Update(nil, true, at(1)) }, notAt: 1_000_000},
		"missed something":                    {first: older, events: func(p *Plan) { complete(p); p.Missed("a", at(3000)) }, notAt: 3499, at: 3500},
		"unknown host missed something":       {first: older, events: func(p *Plan) { complete(p); p.Missed("b", at(3000)) }, notAt: 1_000_000},
		"called by the other host":            {first: newer, events: func(p *Plan) { p.Answered(p.Answering("a"), newer.Started, at(500)) }, notAt: 1_000_000},
		"called by an earlier process":        {first: newer, events: func(p *Plan) { p.Answered(p.Answering("a"), at(8000), at(500)) }, at: 1000},
		"called before it is in the list": {first: newer, events: func(p *Plan) {
			p.Update(nil, true, at(1))
			p.Answered(p.Answering("a"), newer.Started, at(500))
			p.Update([]Peer{newer}, true, at(1000))
		}, notAt: 1_000_000},
		"something was sent before it is in the list": {first: newer, events: func(p *Plan) {
			p.Update(nil, true, at(1))
			p.Answered(p.Answering("a"), newer.Started, at(500))
			p.Sending()
			p.Update([]Peer{newer}, true, at(1000))
		}, notAt: 1999, at: 2000},
		"host of the address becomes known":            {first: Peer{Address: "a"}, events: func(p *Plan) { answered(p, older.Started); p.Update([]Peer{older}, true, at(3000)) }, notAt: 1_000_000},
		"other process of the address becomes known":   {first: Peer{Address: "a"}, events: func(p *Plan) { answered(p, older.Started); p.Update([]Peer{restarted}, true, at(3000)) }, at: 4000},
		"earlier version at the address becomes known": {first: Peer{Address: "a"}, events: func(p *Plan) { answered(p, time.Time{}); p.Update([]Peer{older}, true, at(3000)) }, at: 3000},
		"answered by an earlier process":               {first: older, events: func(p *Plan) { answered(p, at(-9500)) }, at: 2500},
		"answered by a process not in the list yet":    {first: older, events: func(p *Plan) { answered(p, restarted.Started); p.Update([]Peer{restarted}, true, at(3000)) }, notAt: 1_000_000},
		"answered by a process before the newest":      {first: older, events: func(p *Plan) { answered(p, at(1)); p.Update([]Peer{restarted}, true, at(3000)) }, at: 4000},
	} {
		t.Run(name, func(t *testing.T) {
			plan := &Plan{Self: self, Random: newRandom()}
			plan.Update([]Peer{c.first}, true, at(0))
			if c.events != nil {
				c.events(plan)
			}
			if c.notAt > 0 {
				if next, ok := plan.Next(); ok && !next.After(at(c.notAt)) {
					t.Errorf("an exchange is due after %v", next.Sub(testStart))
				}
			}
			if c.at > 0 && !slices.Equal(addresses(plan.Due(at(c.at))), []string{"a"}) {
				t.Errorf("no exchange is due after %d ms", c.at)
			}
			if more := plan.Due(at(1_000_000)); c.at > 0 && len(more) > 0 {
				t.Errorf("calls %v during a call to the same host", more)
			}
		})
	}
}

// answered plays an exchange that a process answers.
func answered(p *Plan, started time.Time) {
	for _, call := range p.Due(at(2000)) {
		p.Complete(call, started, at(2000))
	}
}

// TestMissedDuringExchange guards against an exchange that counts as complete although
// something could not be sent to the host after its content was read.
func TestMissedDuringExchange(t *testing.T) {
	for name, end := range map[string]func(*Plan, Call){
		"own call":        func(p *Plan, call Call) { p.Complete(call, time.Time{}, at(1000)) },
		"call of another": func(p *Plan, call Call) { p.Answered(call, time.Time{}, at(1000)) },
	} {
		t.Run(name, func(t *testing.T) {
			plan := &Plan{Self: Peer{ID: "h5", Started: at(0)}, Random: newRandom()}
			plan.Update([]Peer{{ID: "h1", Address: "a", Arrival: 1}}, true, at(0))
			call := plan.Answering("a")
			if name == "own call" {
				call = plan.Due(at(0))[0]
			}
			plan.Missed("a", at(500))
			end(plan, call)
			if calls := plan.Due(at(1500)); len(calls) != 1 {
				t.Errorf("calls %v, want one more", calls)
			}
			if plan.Started() {
				t.Error("the exchange counts as complete")
			}
		})
	}
}

// TestReturnDuringExchange guards against an exchange that counts as complete although the
// host was gone from the list, and sent nothing, while the call ran.
func TestReturnDuringExchange(t *testing.T) {
	plan := &Plan{Self: Peer{ID: "h5", Started: at(0)}, Random: newRandom()}
	peers := []Peer{{ID: "h1", Address: "a", Started: at(-1000), Arrival: 1}}
	plan.Update(peers, true, at(0))
	call := plan.Due(at(0))[0]
	plan.Update(nil, true, at(100))
	peers[0].Arrival = 2
	plan.Update(peers, true, at(200))
	plan.Complete(call, peers[0].Started, at(300))
	if calls := plan.Due(at(800)); len(calls) != 1 {
		t.Errorf("calls %v, want one more", calls)
	}
}

// TestRetries guards against calls without a pause to hosts that do not answer, against
// a host that is given up, and against such hosts being called before others.
func TestRetries(t *testing.T) {
	plan := &Plan{Self: Peer{ID: "h5", Started: at(0)}, Random: newRandom()}
	plan.Update([]Peer{{ID: "h1", Address: "a", Arrival: 1}}, true, at(0))
	now := at(0)
	var pauses []time.Duration
	for range 5 {
		for _, call := range plan.Due(now) {
			plan.Fail(call, now)
		}
		next, ok := plan.Next()
		if !ok {
			t.Fatal("no further exchange is due")
		}
		pauses = append(pauses, next.Sub(now))
		now = next
	}
	if want := []time.Duration{500 * time.Millisecond, time.Second, MaxRetryPause, MaxRetryPause, MaxRetryPause}; !slices.Equal(pauses, want) {
		t.Errorf("pauses %v, want %v", pauses, want)
	}
	plan.Update([]Peer{{ID: "h1", Address: "a", Arrival: 1}, {ID: "h2", Address: "b", Arrival: 1}}, true, now)
	if calls := addresses(plan.Due(now)); !slices.Equal(calls, []string{"b", "a"}) {
		t.Errorf("calls in the order %v, want those that failed last", calls)
	}
}

// TestNothingToTell guards against calls between hosts that know nothing, against a host
// that asks none of the others after its start, or the same dead ones only, and against
// one that does not call those to which it could not send something.
func TestNothingToTell(t *testing.T) {
	var peers []Peer
	for i := range 20 {
		peers = append(peers, Peer{ID: dcid.HostID(fmt.Sprintf("h%d", i)), Address: fmt.Sprintf("a%02d", i), Started: at(-1000 * i), Arrival: 1})
	}
	plan := &Plan{Self: Peer{ID: "self", Started: at(0)}, Random: newRandom()}
	plan.Update(peers, false, at(1))
	first := plan.Due(at(1))
	if len(first) != firstAsks {
		t.Errorf("%d calls after the start, want %d", len(first), firstAsks)
	}
	for _, call := range first {
		plan.Fail(call, at(400))
	}
	plan.Update(peers, false, at(400))
	others := plan.Due(at(400))
	for _, call := range others {
		if slices.Contains(addresses(first), call.Address) {
			t.Errorf("%s is asked again, want another host", call.Address)
		}
		plan.Complete(call, time.Time{}, at(401))
	}
	if len(others) != firstAsks || !plan.Started() {
		t.Errorf("%d further calls, started %t", len(others), plan.Started())
	}
	for _, call := range plan.Due(at(5000)) {
		plan.Complete(call, time.Time{}, at(5000))
	}
	peers[4].Started, peers[5].Arrival = at(6000), 2
	plan.Update(append(peers, Peer{ID: "new", Address: "n", Started: at(7000), Arrival: 3}), false, at(8000))
	if calls := plan.Due(at(1_000_000)); len(calls) > 0 {
		t.Errorf("calls %v without anything to tell", calls)
	}
	plan.Missed("n", at(9000))
	if calls := addresses(plan.Due(at(10000))); !slices.Equal(calls, []string{"n"}) {
		t.Errorf("calls %v, want one of the host that missed something", calls)
	}
}

// TestStartTogether guards against two calls for each pair of hosts when all of them
// start and know something, and against pairs that make none.
func TestStartTogether(t *testing.T) {
	for _, count := range []int{4, 134} {
		t.Run(fmt.Sprintf("%d-hosts", count), func(t *testing.T) {
			plans := make(map[string]*Plan)
			var peers []Peer
			for i := range count {
				// Some of the processes start at the same time.
				peer := Peer{ID: dcid.HostID(fmt.Sprintf("h%d", i)), Address: fmt.Sprintf("a%d", i), Started: at(i / 3), Arrival: 1}
				peers = append(peers, peer)
				plans[peer.Address] = &Plan{Self: peer, Random: newRandom()}
			}
			for i := range peers {
				plans[peers[i].Address].Update(slices.Delete(slices.Clone(peers), i, i+1), true, at(500))
			}
			calls := 0
			for now := at(500); now.Before(at(5000)); now = now.Add(100 * time.Millisecond) {
				for _, caller := range peers {
					for _, call := range plans[caller.Address].Due(now) {
						calls++
						callee := plans[call.Address]
						callee.Answered(callee.Answering(caller.Address), caller.Started, now)
						plans[caller.Address].Complete(call, callee.Self.Started, now)
					}
				}
			}
			if want := count * (count - 1) / 2; calls != want {
				t.Errorf("%d calls, want %d", calls, want)
			}
		})
	}
}
