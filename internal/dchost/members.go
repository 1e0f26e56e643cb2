package dchost

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcburn"
	"github.com/dandelioncart/dandelioncart/internal/dchostlist"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	hostRecordPrefix = "hosts/"
	// hostLeaseTTL is several times hostRecordInterval, so that the lease does not
	// expire while the store is slow.
	hostLeaseTTL       = 15 * time.Second
	hostRecordInterval = 5 * time.Second
	// maxLeavingBytes and maxCounterBytes limit the size of the leaving servers
	// and of the counter rows in one heartbeat.
	maxLeavingBytes = 16 << 10
	maxCounterBytes = 64 << 10
	hostListTimeout = 2 * time.Second
)

// memberState holds the view of the other hosts and the lease of the record of
// this host. leaseMu guards lease and recordRevoked, mu the other fields.
type memberState struct {
	mu      sync.Mutex
	members *dcmembership.Members
	state   dcmembership.State
	// revision, seat and seatTaken are what heartbeats report about this host.
	revision  dcid.Revision
	seat      int
	seatTaken time.Time

	lease         dcstore.LeaseID
	leaseMu       sync.Mutex
	recordRevoked bool
}

func (s *memberState) hosts() []dcmembership.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Hosts()
}

func (s *memberState) host(id dcid.HostID) (dcmembership.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Host(id)
}

// updateSelf runs change under the lock and then updates what heartbeats report
// about this host.
func (s *memberState) updateSelf(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	state := s.state
	if state == "" {
		state = dcmembership.Alive
	}
	s.members.SetSelf(state, s.revision, s.seat, s.seatTaken)
}

func (s *memberState) setRevision(revision dcid.Revision) {
	s.updateSelf(func() { s.revision = revision })
}

// Gone implements dcconnshare.Membership.
func (s *memberState) Gone(host dcid.HostID, incarnation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Gone(host, incarnation)
}

// ConfirmedGone implements dcconnshare.Membership.
func (s *memberState) ConfirmedGone(host dcid.HostID, incarnation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.ConfirmedGone(host, incarnation)
}

// LastPeerHeartbeat implements dcconnshare.Membership.
func (s *memberState) LastPeerHeartbeat() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.LastPeerHeartbeat()
}

func (h *Host) logStateChanges(changes []dcmembership.Change) {
	for _, change := range changes {
		h.Log.Info("peer changed state",
			zap.String("peer", string(change.Host.ID)),
			zap.String("from", string(change.From)),
			zap.String("to", string(change.Host.State)))
	}
}

// sendHeartbeats exchanges heartbeats with the targets of each interval, or
// with the seed peers if there are none.
func (h *Host) sendHeartbeats(ctx context.Context) error {
	return h.runEvery(ctx, h.Settings.GetHeartbeatInterval().AsDuration(), func(ctx context.Context) {
		h.members.mu.Lock()
		targets, changes := h.members.members.BeginInterval(h.wallNow())
		h.members.mu.Unlock()
		h.logStateChanges(changes)
		h.counters.setReplicas(dcburn.Replicas(h.self.ID, h.members.hosts()))
		for _, peer := range targets {
			h.tasks.Go(func() { h.exchangeHeartbeats(ctx, peer.ID, peer.PeerAddress) })
		}
		if len(targets) > 0 {
			return
		}
		for _, seed := range h.Settings.GetSeedPeers() {
			if seed != h.self.PeerAddress {
				h.tasks.Go(func() { h.exchangeHeartbeats(ctx, "", seed) })
			}
		}
	})
}

func (h *Host) exchangeHeartbeats(ctx context.Context, peer dcid.HostID, address string) {
	if address == "" {
		return
	}
	ctx, cancel := withTimeout(ctx, h.Clock, h.Settings.GetHeartbeatInterval().AsDuration())
	defer cancel()
	now := h.wallNow()
	request := &peerv1.ExchangeRequest{Counters: h.counters.pending(peer, now)}
	request.Sender, request.Members, request.Leaving, request.Suspicions = h.buildHeartbeat(peer, now)
	response, err := h.Peer.Exchange(ctx, address, request)
	if err != nil {
		return
	}
	h.counters.acknowledge(peer, request.GetCounters())
	h.receiveHeartbeat(response.GetSender(), response.GetMembers(), response.GetLeaving(), response.GetSuspicions())
}

func (h *Host) buildHeartbeat(peer dcid.HostID, now time.Time) (sender *peerv1.Member, members []*peerv1.Member, leaving []*peerv1.LeavingServer, suspicions []*peerv1.Suspicion) {
	h.members.mu.Lock()
	sender, members = h.members.members.Message(peer)
	h.members.mu.Unlock()
	h.servers.mu.Lock()
	leaving = h.servers.servers.Entries(maxLeavingBytes, now)
	h.servers.mu.Unlock()
	return sender, members, leaving, h.quarantine.entries(now)
}

// receiveHeartbeat handles the heartbeat in a request or a response of an
// exchange.
func (h *Host) receiveHeartbeat(sender *peerv1.Member, members []*peerv1.Member, leaving []*peerv1.LeavingServer, suspicions []*peerv1.Suspicion) {
	if sender == nil {
		return
	}
	now := h.wallNow()
	h.members.mu.Lock()
	changes := h.members.members.Receive(sender, members, now)
	h.members.mu.Unlock()
	h.logStateChanges(changes)
	h.mergeLeavingServers(leaving, now)
	h.quarantine.merge(suspicions, now)
	h.observePeerRevision(sender)
	h.seats.observePeerSeat(sender)
	for _, member := range members {
		h.seats.observePeerSeat(member)
	}
}

func (h *Host) mergeLeavingServers(entries []*peerv1.LeavingServer, now time.Time) {
	view := h.view.Load()
	var affected []*target
	for _, entry := range entries {
		if target, ok := view.targets[dcid.ServerAddr(entry.GetServer())]; ok {
			affected = append(affected, target)
		}
	}
	h.updateServers(affected, func(servers *dcmembership.Servers) bool { return servers.Merge(entries, now) })
}

// announceState sets the state of this host and exchanges heartbeats at once
// with every peer that is alive or leaving.
func (h *Host) announceState(ctx context.Context, state dcmembership.State) {
	h.members.updateSelf(func() { h.members.state = state })
	var calls sync.WaitGroup
	for _, peer := range h.members.hosts() {
		if peer.ID != h.self.ID && (peer.State == dcmembership.Alive || peer.State == dcmembership.Leaving) {
			calls.Go(func() { h.exchangeHeartbeats(ctx, peer.ID, peer.PeerAddress) })
		}
	}
	calls.Wait()
}

// maintainHostRecord keeps the record of this host in the store under a lease
// and reads the records of all hosts.
func (h *Host) maintainHostRecord(ctx context.Context) error {
	interval := func() time.Duration { return h.scaleByHosts(hostRecordInterval) }
	return h.runEveryFunc(ctx, interval, func(ctx context.Context) {
		if err := h.writeHostRecord(ctx); err != nil {
			h.Log.Debug("host record is not kept", zap.Error(err))
		}
		h.readHostRecords(ctx)
	})
}

func (h *Host) writeHostRecord(ctx context.Context) error {
	h.members.leaseMu.Lock()
	defer h.members.leaseMu.Unlock()
	if h.members.recordRevoked {
		return nil
	}
	if h.members.lease != 0 {
		err := h.Store.KeepAlive(ctx, h.members.lease)
		if !errors.Is(err, dcstore.ErrLeaseExpired) {
			return err
		}
	}
	lease, err := h.Store.GrantLease(ctx, h.scaleByHosts(hostLeaseTTL))
	if err != nil {
		return err
	}
	if err := h.putHostRecord(ctx, lease); err != nil {
		_ = h.Store.Revoke(ctx, lease)
		return err
	}
	h.members.lease = lease
	return nil
}

// putHostRecord writes the record of this host. It replaces a record of an
// earlier process of the host.
func (h *Host) putHostRecord(ctx context.Context, lease dcstore.LeaseID) error {
	key := hostRecordPrefix + string(h.self.ID)
	value, err := proto.Marshal(&ledgerv1.HostRecord{
		HostId:        string(h.self.ID),
		Incarnation:   h.self.Incarnation,
		FailureDomain: string(h.self.Domain),
		CallerAddress: h.self.CallerAddress,
		PeerAddress:   h.self.PeerAddress,
		State:         string(dcmembership.Alive),
	})
	if err != nil {
		return err
	}
	existing, err := h.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, dcstore.ErrNotFound) {
		return err
	}
	_, err = h.Store.CompareAndSwap(ctx, dcstore.Swap{Key: key, Expected: existing.Modified, Value: value, Lease: lease})
	return err
}

func (h *Host) readHostRecords(ctx context.Context) {
	records, err := h.Store.List(ctx, hostRecordPrefix, 0, false)
	if err != nil {
		return
	}
	var hosts []*ledgerv1.HostRecord
	for _, record := range records {
		host := &ledgerv1.HostRecord{}
		if proto.Unmarshal(record.Value, host) == nil {
			hosts = append(hosts, host)
		}
	}
	h.members.mu.Lock()
	changes := h.members.members.ObserveStore(hosts, h.wallNow())
	h.members.mu.Unlock()
	h.logStateChanges(changes)
}

// revokeHostRecord removes the record of this host, which is not written again
// afterwards. It reports whether that succeeded.
func (h *Host) revokeHostRecord(ctx context.Context) bool {
	h.members.leaseMu.Lock()
	defer h.members.leaseMu.Unlock()
	h.members.recordRevoked = true
	if h.members.lease == 0 {
		return true
	}
	err := h.Store.Revoke(ctx, h.members.lease)
	if err != nil && !errors.Is(err, dcstore.ErrLeaseExpired) {
		return false
	}
	h.members.lease = 0
	return true
}

// pollHostList reads the host list periodically and uses it as a source of the
// state of hosts and upstream servers.
func (h *Host) pollHostList(ctx context.Context) error {
	if h.HostList == nil {
		<-ctx.Done()
		return nil
	}
	return h.runEvery(ctx, h.Settings.GetHostList().GetInterval().AsDuration(), func(ctx context.Context) {
		ctx, cancel := withTimeout(ctx, h.Clock, hostListTimeout)
		defer cancel()
		listed, err := h.HostList.Fetch(ctx)
		if err != nil {
			return
		}
		h.observeHostList(listed)
	})
}

func (h *Host) observeHostList(listed []dchostlist.Host) {
	now := h.wallNow()
	view := h.view.Load()
	var hosts []dcmembership.ListedHost
	for _, entry := range listed {
		leaving := entry.State == dchostlist.Leaving
		hosts = append(hosts, dcmembership.ListedHost{Address: entry.Address, Leaving: leaving})
		target, ok := view.targets[dcid.ServerAddr(entry.Address)]
		if !ok {
			continue
		}
		h.updateServers(oneTarget(target), func(servers *dcmembership.Servers) bool {
			if leaving {
				return servers.Observe(target.addr, dcmembership.SignalHostList, now)
			}
			return servers.Withdraw(target.addr, dcmembership.SignalHostList, now)
		})
	}
	h.members.mu.Lock()
	changes := h.members.members.ObserveHostList(hosts, now)
	h.members.mu.Unlock()
	h.logStateChanges(changes)
}
