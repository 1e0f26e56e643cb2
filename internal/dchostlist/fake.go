package dchostlist

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// ErrUnavailable reports a Fake that is switched off.
var ErrUnavailable = errors.New("host list is unavailable")

// Fake is an in-memory HostList that can lag and fail.
type Fake struct {
	clock clockwork.Clock

	mu      sync.Mutex
	changes []fakeChange
	lag     time.Duration
	outage  bool
}

type fakeChange struct {
	at    time.Time
	hosts []Host
}

var _ HostList = (*Fake)(nil)

// NewFake returns a Fake that lists hosts.
func NewFake(clock clockwork.Clock, hosts ...Host) *Fake {
	return &Fake{clock: clock, changes: []fakeChange{{hosts: hosts}}}
}

// Update changes the list. It is seen when the lag has passed.
func (f *Fake) Update(change func([]Host) []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.changes[len(f.changes)-1].hosts
	f.changes = append(f.changes, fakeChange{at: f.clock.Now(), hosts: change(slices.Clone(newest))})
}

// SetState changes the state of one host, and adds a host that is not listed.
func (f *Fake) SetState(address string, state State) {
	f.Update(func(hosts []Host) []Host {
		for i := range hosts {
			if hosts[i].Address == address {
				hosts[i].State = state
				return hosts
			}
		}
		return append(hosts, Host{Address: address, State: state})
	})
}

// SetLag sets the age of the list that Fetch returns.
func (f *Fake) SetLag(lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = lag
}

// SetOutage makes Fetch fail with ErrUnavailable.
func (f *Fake) SetOutage(outage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = outage
}

// Fetch returns the list as it was before the lag.
func (f *Fake) Fetch(ctx context.Context) ([]Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return nil, ErrUnavailable
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	default:
	}
	seen := f.clock.Now().Add(-f.lag)
	for _, change := range slices.Backward(f.changes) {
		if !change.at.After(seen) {
			return slices.Clone(change.hosts), nil
		}
	}
	return nil, nil
}
