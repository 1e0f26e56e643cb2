package dchostlist

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// ErrUnavailable is the error of a Fake during an outage.
var ErrUnavailable = errors.New("host list is unavailable")

// Fake is an in-memory HostList that can return outdated lists and errors. It
// is safe for concurrent use.
type Fake struct {
	clock clockwork.Clock

	mu sync.Mutex
	// changes holds the successive lists, oldest first.
	changes []fakeChange
	lag     time.Duration
	outage  bool
}

// fakeChange is the list of hosts from a point in time on.
type fakeChange struct {
	at    time.Time
	hosts []Host
}

var _ HostList = (*Fake)(nil)

// NewFake returns a Fake with an initial list of hosts. The clock measures the
// lag.
func NewFake(clock clockwork.Clock, hosts ...Host) *Fake {
	return &Fake{clock: clock, changes: []fakeChange{{hosts: hosts}}}
}

// Update changes the list. Fetch returns the new list once the lag has passed.
// Update calls change with the lock of the Fake held, so change must not call
// the Fake.
func (f *Fake) Update(change func([]Host) []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.changes[len(f.changes)-1].hosts
	f.changes = append(f.changes, fakeChange{at: f.clock.Now(), hosts: change(slices.Clone(newest))})
}

// SetState changes the state of one host. It adds the host if it is not listed.
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

// SetLag sets the time that passes until Fetch returns a changed list.
func (f *Fake) SetLag(lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = lag
}

// SetOutage starts or ends an outage, during which Fetch returns
// ErrUnavailable.
func (f *Fake) SetOutage(outage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = outage
}

// Fetch returns the list as of the current time minus the lag.
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
	visibleAt := f.clock.Now().Add(-f.lag)
	for _, change := range slices.Backward(f.changes) {
		if !change.at.After(visibleAt) {
			return slices.Clone(change.hosts), nil
		}
	}
	return nil, nil
}
