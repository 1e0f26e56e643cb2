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
	settleIntervals     = 40
	steadyIntervals     = 60
	maxIntervals        = 200
	intervalsPerRestart = 36 // 86,400 s a day over 2,400 restarts
)

// MembershipCost is what one host spends on membership in one heartbeat
// interval, and how fast news spread, in intervals.
type MembershipCost struct {
	// CPUTime is the time for one interval of one host.
	CPUTime time.Duration
	// BytesSent and BytesReceived count messages of one host without the
	// overhead of HTTP.
	BytesSent, BytesReceived float64
	// Heap is the live memory of one host's view in bytes.
	Heap float64
	// SuspectIntervals is the time until every host suspects a killed one.
	SuspectIntervals int
	// RevisionIntervals is the time until a new configuration revision has
	// reached every host from the watchers of the store.
	RevisionIntervals int
}

// cluster is a set of instances that exchange heartbeats in lockstep.
type cluster struct {
	members   map[dcid.HostID]*dcmembership.Members
	revisions map[dcid.HostID]dcid.Revision
	ids       []dcid.HostID
	hosts     []dcmembership.Host
	killed    map[dcid.HostID]bool
	now       time.Time
	sentBytes int
	random    *rand.Rand
}

// MeasureMembership runs size instances in one process.
func MeasureMembership(size int, seed uint64) (cost MembershipCost) {
	before := liveHeap()
	g := newCluster(size, seed)
	g.steps(settleIntervals)
	cost.Heap = float64(liveHeap()-before) / float64(size)
	runtime.KeepAlive(g)
	g.sentBytes = 0
	steady := measure(func() {
		for step := range steadyIntervals {
			if step%intervalsPerRestart == 0 {
				g.restart(g.ids[g.random.IntN(size)])
			}
			g.step()
		}
	})
	perHost := float64(size * steadyIntervals)
	cost.CPUTime = time.Duration(float64(steady.elapsed) / perHost)
	cost.BytesSent = float64(g.sentBytes) / perHost
	cost.BytesReceived = cost.BytesSent
	cost.RevisionIntervals = g.revisionIntervals()
	cost.SuspectIntervals = g.detectionIntervals(g.ids[0])
	return cost
}

func newCluster(size int, seed uint64) *cluster {
	g := &cluster{
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
			Incarnation:   g.now.UnixNano(),
			Domain:        dcid.FailureDomain(fmt.Sprintf("domain-%02d", index%Target.FailureDomains)),
			CallerAddress: fmt.Sprintf("10.%d.%d.1:8080", index/250, index%250),
			PeerAddress:   fmt.Sprintf("10.%d.%d.1:8081", index/250, index%250),
			State:         dcmembership.Alive,
		}
		g.hosts = append(g.hosts, host)
		g.ids = append(g.ids, host.ID)
		records = append(records, &ledgerv1.HostRecord{
			HostId: string(host.ID), Incarnation: host.Incarnation, FailureDomain: string(host.Domain),
			CallerAddress: host.CallerAddress, PeerAddress: host.PeerAddress, State: string(host.State),
		})
	}
	for index, host := range g.hosts {
		random := rand.New(rand.NewPCG(seed, uint64(index)+1))
		g.members[host.ID] = dcmembership.New(host, dcmembership.Settings{}, random)
		g.members[host.ID].ObserveStore(records, g.now)
	}
	return g
}

func (g *cluster) steps(count int) {
	for range count {
		g.step()
	}
}

// step is one heartbeat interval of every live instance.
func (g *cluster) step() {
	g.now = g.now.Add(HeartbeatInterval)
	for _, id := range g.ids {
		if g.killed[id] {
			continue
		}
		targets, _ := g.members[id].BeginInterval(g.now)
		for _, target := range targets {
			if !g.killed[target.ID] {
				g.exchange(id, target.ID)
			}
		}
	}
}

func (g *cluster) exchange(from, to dcid.HostID) {
	sender, members := g.members[from].Message(to)
	g.deliver(to, sender, members)
	sender, members = g.members[to].Message(from)
	g.deliver(from, sender, members)
}

func (g *cluster) deliver(to dcid.HostID, sender *peerv1.Member, members []*peerv1.Member) {
	g.sentBytes += proto.Size(&peerv1.ExchangeRequest{Sender: sender, Members: members})
	g.members[to].Receive(sender, members, g.now)
	if revision := dcid.Revision(sender.GetRevision()); revision > g.revisions[to] {
		g.adoptRevision(to, revision)
	}
}

func (g *cluster) adoptRevision(id dcid.HostID, revision dcid.Revision) {
	g.revisions[id] = revision
	g.members[id].SetSelf(dcmembership.Alive, revision, 0, time.Time{})
}

// restart replaces an instance by one with a higher incarnation that learns of
// the others from the first peer.
func (g *cluster) restart(id dcid.HostID) {
	for index, host := range g.hosts {
		if host.ID != id {
			continue
		}
		host.Incarnation = g.now.UnixNano()
		g.hosts[index] = host
		fresh := dcmembership.New(host, dcmembership.Settings{}, rand.New(rand.NewPCG(g.random.Uint64(), 0)))
		var records []*ledgerv1.HostRecord
		for _, other := range g.hosts {
			records = append(records, &ledgerv1.HostRecord{
				HostId: string(other.ID), Incarnation: other.Incarnation, FailureDomain: string(other.Domain),
				CallerAddress: other.CallerAddress, PeerAddress: other.PeerAddress, State: string(other.State),
			})
		}
		fresh.ObserveStore(records, g.now)
		g.members[id] = fresh
	}
}

// revisionIntervals counts intervals from the adoption by the watchers of the
// store until every host has adopted a new revision from a peer.
func (g *cluster) revisionIntervals() int {
	members := make([]dcconfig.Member, 0, len(g.hosts))
	for _, host := range g.hosts {
		members = append(members, dcconfig.Member{Host: host.ID, FailureDomain: host.Domain})
	}
	for _, id := range g.ids {
		if dcconfig.IsWatcher(id, members) {
			g.adoptRevision(id, 1)
		}
	}
	return g.intervalsUntil(func(id dcid.HostID) bool { return g.revisions[id] == 1 })
}

// detectionIntervals kills a host and counts intervals until every other one suspects it.
func (g *cluster) detectionIntervals(victim dcid.HostID) int {
	g.killed[victim] = true
	return g.intervalsUntil(func(id dcid.HostID) bool {
		host, ok := g.members[id].Host(victim)
		return !ok || host.State == dcmembership.Suspect || host.State == dcmembership.Gone
	})
}

// intervalsUntil runs rounds until done holds for every live host.
func (g *cluster) intervalsUntil(done func(dcid.HostID) bool) int {
	for step := range maxIntervals {
		open := 0
		for _, id := range g.ids {
			if !g.killed[id] && !done(id) {
				open++
			}
		}
		if open == 0 {
			return step
		}
		g.step()
	}
	return maxIntervals
}
