package dchost

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// newPollAssignments returns the polling duties of hosts that all know each other.
func newPollAssignments(count int, clock clockwork.Clock) (duties []*pollAssignment) {
	var records []*ledgerv1.HostRecord
	for i := range count {
		records = append(records, &ledgerv1.HostRecord{
			HostId: fmt.Sprintf("h%d", i), Incarnation: 1, PeerAddress: fmt.Sprintf("p%d", i), State: string(dcmembership.Alive),
		})
	}
	for i := range count {
		host := New()
		host.Clock = clock
		host.self = dcmembership.Host{ID: dcid.HostID(fmt.Sprintf("h%d", i)), Incarnation: 1, State: dcmembership.Alive}
		host.members.members = dcmembership.New(host.self, dcmembership.Settings{}, rand.New(rand.NewPCG(1, uint64(i))))
		host.members.members.ObserveStore(records, clock.Now())
		duties = append(duties, &pollAssignment{host: host})
	}
	return duties
}

// Guards against a server that fewer than two hosts poll in each interval,
// against one that a host never polls, and against a changed shard map that
// hosts learn of only after idlePolls intervals.
func TestPollAssignment(t *testing.T) {
	const hosts, servers, interval = 4, 30, time.Second
	clock := clockwork.NewFakeClock()
	duties := newPollAssignments(hosts, clock)
	targets := make([][servers]target, hosts)
	poll := func() (polls [servers]int) {
		clock.Advance(interval)
		for host, duty := range duties {
			for i := range servers {
				targets[host][i].addr = dcid.ServerAddr(fmt.Sprintf("s%d", i))
				if duty.due(&targets[host][i], clock.Now(), interval) {
					polls[i]++
				}
			}
		}
		return polls
	}
	check := func(what string, want int) {
		t.Helper()
		for server, polls := range poll() {
			if polls != want {
				t.Errorf("%s: %d hosts poll server %d, want %d", what, polls, server, want)
			}
		}
	}
	check("first interval", hosts)
	for range unassignedPollIntervals - 1 {
		check("steady", pollersPerServer)
	}
	check("tenth interval", hosts)
	for _, duty := range duties {
		duty.host.recordOutdatedMap(dcreason.VersionGone)
	}
	check("after a changed map", hosts)
}
