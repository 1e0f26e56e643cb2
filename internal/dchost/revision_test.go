package dchost

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcconfig"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// inForceThreshold is the time within which an accepted revision must be in
// force on all hosts.
const inForceThreshold = 2 * time.Second

// failingStore is a Store whose List and Wait calls fail while failing is set,
// so that its host cannot watch the configuration.
type failingStore struct {
	dcstore.Store
	failing *atomic.Bool
}

func (s *failingStore) List(ctx context.Context, prefix string, limit int, descending bool) ([]dcstore.Record, error) {
	if s.failing.Load() {
		return nil, dcstore.ErrUnavailable
	}
	return s.Store.List(ctx, prefix, limit, descending)
}

func (s *failingStore) Wait(ctx context.Context, prefix string, after dcstore.Revision) (dcstore.Revision, error) {
	revision, err := s.Store.Wait(ctx, prefix, after)
	if s.failing.Load() {
		return 0, dcstore.ErrUnavailable
	}
	return revision, err
}

// waitForRevision waits until a revision is in force on every host. It fails
// the test if that takes longer than inForceThreshold.
func (r *tier) waitForRevision(revision dcid.Revision) {
	r.t.Helper()
	accepted := r.clock.Now()
	r.waitFor(fmt.Sprintf("revision %d on every host", revision), func() bool {
		for _, host := range r.hosts {
			if revisionOf(host) < revision {
				return false
			}
		}
		return true
	})
	if took := r.clock.Since(accepted); took > inForceThreshold {
		r.t.Errorf("revision %d was in force everywhere after %s, want at most %s", revision, took, inForceThreshold)
	}
}

// revisionOf returns the revision in force on a host, 0 if the host is not
// running yet.
func revisionOf(host *Host) dcid.Revision {
	if view := host.view.Load(); view != nil {
		return view.revision()
	}
	return 0
}

// setMaxQueue returns a change of the configuration that is different for each
// number.
func setMaxQueue(number int) func(*settingsv1.Configuration) {
	return func(configuration *settingsv1.Configuration) {
		configuration.GetServiceGroups()[0].MaxQueue = int32(100 + number)
	}
}

// TestAcceptedIsInForceEverywhere guards against an accepted configuration that
// is not in force on all of 4 hosts within 2 s, also when one or three of the
// hosts cannot watch the store.
func TestAcceptedIsInForceEverywhere(t *testing.T) {
	for _, failingHosts := range []int{0, 1, 3} {
		t.Run(fmt.Sprintf("%d watches lost", failingHosts), func(t *testing.T) {
			var failing atomic.Bool
			tier := newTierWith(t, 4, func(_ *tier, number int, host *Host) {
				if number > 3-failingHosts {
					host.Store = &failingStore{Store: host.Store, failing: &failing}
				}
			})
			tier.start()
			failing.Store(true)
			for number := 1; number <= 5; number++ {
				tier.applyChange("kitchen", fmt.Sprintf("change-%d", number), uint32(number), setMaxQueue(number))
				tier.waitForRevision(dcid.Revision(number + 1))
				tier.advanceTime(time.Duration(number) * 370 * time.Millisecond)
			}
		})
	}
}

// revisionLog holds the highest revision in force seen on each host process.
type revisionLog map[*Host]dcid.Revision

func (l revisionLog) check(t *testing.T, hosts []*Host) {
	t.Helper()
	for _, host := range hosts {
		current := revisionOf(host)
		if current < l[host] {
			t.Errorf("%s went from revision %d to %d", host.Settings.GetHostId(), l[host], current)
		}
		l[host] = max(l[host], current)
	}
}

// staleStore is a Store that returns the first revision for every configuration
// read while stale is set.
type staleStore struct {
	dcstore.Store
	stale *atomic.Bool
}

func (s *staleStore) List(ctx context.Context, prefix string, limit int, descending bool) ([]dcstore.Record, error) {
	if prefix == dcconfig.RevisionPrefix && s.stale.Load() {
		return s.Store.List(ctx, prefix, 1, false)
	}
	return s.Store.List(ctx, prefix, limit, descending)
}

// TestAcceptedNeverReverts guards against a host that goes back to an older
// revision when reads from the store are stale, and against a host that starts
// in this time and becomes ready with an older revision.
func TestAcceptedNeverReverts(t *testing.T) {
	var stale atomic.Bool
	tier := newTierWith(t, 3, func(_ *tier, _ int, host *Host) { host.Store = &staleStore{Store: host.Store, stale: &stale} })
	tier.start()
	for number := 1; number <= 3; number++ {
		tier.applyChange("kitchen", fmt.Sprintf("change-%d", number), uint32(number), setMaxQueue(number))
		tier.waitForRevision(dcid.Revision(number + 1))
	}
	seen := revisionLog{}
	stale.Store(true)
	until := tier.clock.Now().Add(time.Minute)
	tier.waitFor("a minute of stale reads", func() bool {
		seen.check(t, tier.hosts)
		return !tier.clock.Now().Before(until)
	})
	tier.stops[2]()
	tier.waitForEnd(tier.ended[2])
	tier.ended[2] <- nil
	tier.startHost(3)
	started := tier.hosts[3]
	tier.waitFor("the start of a host", func() bool {
		seen.check(t, tier.hosts)
		return revisionOf(started) > 0 && started.ready()
	})
	answer := tier.query(3, "rye")
	checkComplete(t, answer)
	if got := answer.GetResult().GetConfigRevision(); got != 4 {
		t.Errorf("answered with revision %d, want 4", got)
	}
}

// TestStopFinishesRunningRequests guards against a planned stop that cuts off a
// running request, or that refuses requests while callers still use earlier
// address answers.
func TestStopFinishesRunningRequests(t *testing.T) {
	tier := newTier(t, 3)
	tier.start()
	tier.setFrozen(true)
	answers := make(chan *callerv1.QueryResponse, 1)
	go func() {
		defer close(answers)
		answer := &callerv1.QueryResponse{}
		query := &callerv1.QueryRequest{ServiceGroup: testGroup, SchemaVersion: testSchema, Body: []byte("slow")}
		tier.call(0, request{path: "/v1/query", timeout: "10000", message: query}, answer)
		answers <- answer
	}()
	tier.waitFor("a running request", func() bool { return tier.hosts[0].activeRequests.Load() > 0 })
	tier.stops[0]()
	tier.waitFor("the end of leaving", func() bool { return tier.hosts[0].drain.admit("query") != "ok" })
	tier.setFrozen(false)
	tier.waitFor("the answer", func() bool { return len(answers) > 0 })
	checkComplete(t, <-answers)
	tier.waitForEnd(tier.ended[0])
	tier.ended[0] <- nil
}

func (r *tier) setFrozen(frozen bool) {
	for _, server := range r.fleet.Select(dcstandin.Selector{Group: testGroup}) {
		server.SetFaults(func(faults *dcstandin.Faults) { faults.Frozen = frozen })
	}
}
