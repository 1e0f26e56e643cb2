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

// newPollAssignments returns the poll assignments of hosts that all know each
// other.
func newPollAssignments(count int, clock clockwork.Clock) (assignments []*pollAssignment) {
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
		assignments = append(assignments, &pollAssignment{host: host})
	}
	return assignments
}

// TestPollAssignment guards against a server that fewer than two hosts poll in
// an interval, against a server that some host never polls, and against hosts
// that learn of a changed shard map only after unassignedPollIntervals.
func TestPollAssignment(t *testing.T) {
	const hosts, servers, interval = 4, 30, time.Second
	clock := clockwork.NewFakeClock()
	assignments := newPollAssignments(hosts, clock)
	targets := make([][servers]target, hosts)
	poll := func() (polls [servers]int) {
		clock.Advance(interval)
		for host, assignment := range assignments {
			for i := range servers {
				targets[host][i].addr = dcid.ServerAddr(fmt.Sprintf("s%d", i))
				if assignment.due(&targets[host][i], clock.Now(), interval) {
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
	for _, assignment := range assignments {
		assignment.host.recordOutdatedMap(dcreason.VersionGone)
	}
	check("after a changed map", hosts)
}
