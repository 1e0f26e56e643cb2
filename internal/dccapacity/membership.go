package dccapacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcconfig"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

const (
	// settleIntervals is the number of heartbeat intervals before the measurement.
	settleIntervals = 40
	// steadyIntervals is the number of heartbeat intervals that are measured.
	steadyIntervals = 60
	// maxIntervals limits the wait for a state to be reached on every host.
	maxIntervals = 200
	// intervalsPerRestart is the number of heartbeat intervals between restarts:
	// 86,400 s a day divided by 2,400 restarts a day.
	intervalsPerRestart = 36
)

// MembershipCost is the cost of membership on one host in one heartbeat interval,
// and the number of intervals in which changes reach all hosts.
type MembershipCost struct {
	// CPUTime is the mean processor time of one host in one interval.
	CPUTime time.Duration
	// BytesSent and BytesReceived are the mean sizes of the messages of one host in
	// one interval, without the overhead of HTTP.
	BytesSent, BytesReceived float64
	// Heap is the live heap of one host's view of the membership, in bytes.
	Heap float64
	// SuspectIntervals is the number of intervals until every other host suspects
	// a killed host or regards it as gone. It is maxIntervals if that takes longer.
	SuspectIntervals int
	// RevisionIntervals is the number of intervals in which a new configuration
	// revision spreads from the hosts that watch the store to every host. It is
	// maxIntervals if that takes longer.
	RevisionIntervals int
}

// cluster is a set of hosts in one process. All hosts run their heartbeat
// intervals at the same simulated times.
type cluster struct {
	members map[dcid.HostID]*dcmembership.Members
	// revisions holds the revision that each host has adopted.
	revisions map[dcid.HostID]dcid.Revision
	ids       []dcid.HostID
	hosts     []dcmembership.Host
	killed    map[dcid.HostID]bool
	now       time.Time
	// sentBytes is the size of all messages.
	sentBytes int
	random    *rand.Rand
}

// MeasureMembership runs a cluster of size hosts in this process and measures the
// cost per host.
func MeasureMembership(size int, seed uint64) (cost MembershipCost) {
	before := liveHeap()
	c := newCluster(size, seed)
	c.steps(settleIntervals)
	cost.Heap = float64(liveHeap()-before) / float64(size)
	runtime.KeepAlive(c)
	c.sentBytes = 0
	steady := measure(func() {
		for step := range steadyIntervals {
			if step%intervalsPerRestart == 0 {
				c.restart(c.ids[c.random.IntN(size)])
			}
			c.step()
		}
	})
	perHost := float64(size * steadyIntervals)
	cost.CPUTime = time.Duration(float64(steady.elapsed) / perHost)
	cost.BytesSent = float64(c.sentBytes) / perHost
	cost.BytesReceived = cost.BytesSent
	cost.RevisionIntervals = c.revisionIntervals()
	cost.SuspectIntervals = c.detectionIntervals(c.ids[0])
	return cost
}

// newCluster returns a cluster in which every host has read the host records of
// all hosts from the store.
func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		members:   make(map[dcid.HostID]*dcmembership.Members, size),
		revisions: make(map[dcid.HostID]dcid.Revision, size),
		killed:    map[dcid.HostID]bool{},
		now:       time.Unix(1_700_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
	records := make([]*ledgerv1.HostRecord, 0, size)
	for index := range size {
		host := dcmembership.Host{
			ID:            dcid.HostID(fmt.Sprintf("host-%04d", index)),
			Incarnation:   c.now.UnixNano(),
			Domain:        dcid.FailureDomain(fmt.Sprintf("domain-%02d", index%Target.FailureDomains)),
			CallerAddress: fmt.Sprintf("10.%d.%d.1:8080", index/250, index%250),
			PeerAddress:   fmt.Sprintf("10.%d.%d.1:8081", index/250, index%250),
			State:         dcmembership.Alive,
		}
		c.hosts = append(c.hosts, host)
		c.ids = append(c.ids, host.ID)
		records = append(records, &ledgerv1.HostRecord{
			HostId: string(host.ID), Incarnation: host.Incarnation, FailureDomain: string(host.Domain),
			CallerAddress: host.CallerAddress, PeerAddress: host.PeerAddress, State: string(host.State),
		})
	}
	for index, host := range c.hosts {
		random := rand.New(rand.NewPCG(seed, uint64(index)+1))
		c.members[host.ID] = dcmembership.New(host, dcmembership.Settings{}, random)
		c.members[host.ID].ObserveStore(records, c.now)
	}
	return c
}

func (c *cluster) steps(count int) {
	for range count {
		c.step()
	}
}

// step runs one heartbeat interval of every host that has not been killed.
func (c *cluster) step() {
	c.now = c.now.Add(HeartbeatInterval)
	for _, id := range c.ids {
		if c.killed[id] {
			continue
		}
		targets, _ := c.members[id].BeginInterval(c.now)
		for _, target := range targets {
			if !c.killed[target.ID] {
				c.exchange(id, target.ID)
			}
		}
	}
}

// exchange sends a heartbeat from one host to another, and the response back.
func (c *cluster) exchange(from, to dcid.HostID) {
	sender, members := c.members[from].Message(to)
	c.deliver(to, sender, members)
	sender, members = c.members[to].Message(from)
	c.deliver(from, sender, members)
}

// deliver passes a message to a host. The host adopts the revision of the sender
// if it is newer than its own.
func (c *cluster) deliver(to dcid.HostID, sender *peerv1.Member, members []*peerv1.Member) {
	c.sentBytes += proto.Size(&peerv1.ExchangeRequest{Sender: sender, Members: members})
	c.members[to].Receive(sender, members, c.now)
	if revision := dcid.Revision(sender.GetRevision()); revision > c.revisions[to] {
		c.adoptRevision(to, revision)
	}
}

func (c *cluster) adoptRevision(id dcid.HostID, revision dcid.Revision) {
	c.revisions[id] = revision
	c.members[id].SetSelf(dcmembership.Alive, revision, 0, time.Time{})
}

// restart replaces a host by one with a higher incarnation that has read the host
// records of all hosts from the store.
func (c *cluster) restart(id dcid.HostID) {
	for index, host := range c.hosts {
		if host.ID != id {
			continue
		}
		host.Incarnation = c.now.UnixNano()
		c.hosts[index] = host
		restarted := dcmembership.New(host, dcmembership.Settings{}, rand.New(rand.NewPCG(c.random.Uint64(), 0)))
		var records []*ledgerv1.HostRecord
		for _, other := range c.hosts {
			records = append(records, &ledgerv1.HostRecord{
				HostId: string(other.ID), Incarnation: other.Incarnation, FailureDomain: string(other.Domain),
				CallerAddress: other.CallerAddress, PeerAddress: other.PeerAddress, State: string(other.State),
			})
		}
		restarted.ObserveStore(records, c.now)
		c.members[id] = restarted
	}
}

// revisionIntervals makes the hosts that watch the store adopt a new revision and
// returns the number of intervals until every host has adopted it from a peer.
func (c *cluster) revisionIntervals() int {
	members := make([]dcconfig.Member, 0, len(c.hosts))
	for _, host := range c.hosts {
		members = append(members, dcconfig.Member{Host: host.ID, FailureDomain: host.Domain})
	}
	for _, id := range c.ids {
		if dcconfig.IsWatcher(id, members) {
			c.adoptRevision(id, 1)
		}
	}
	return c.intervalsUntil(func(id dcid.HostID) bool { return c.revisions[id] == 1 })
}

// detectionIntervals kills a host and returns the number of intervals until every
// other host suspects it, regards it as gone or has removed it.
func (c *cluster) detectionIntervals(killedID dcid.HostID) int {
	c.killed[killedID] = true
	return c.intervalsUntil(func(id dcid.HostID) bool {
		host, ok := c.members[id].Host(killedID)
		return !ok || host.State == dcmembership.Suspect || host.State == dcmembership.Gone
	})
}

// intervalsUntil runs intervals until reached returns true for every host that
// has not been killed. It returns their number, which is at most maxIntervals.
func (c *cluster) intervalsUntil(reached func(dcid.HostID) bool) int {
	for step := range maxIntervals {
		remaining := 0
		for _, id := range c.ids {
			if !c.killed[id] && !reached(id) {
				remaining++
			}
		}
		if remaining == 0 {
			return step
		}
		c.step()
	}
	return maxIntervals
}
