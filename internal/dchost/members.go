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
	// hostLease is several times recordPeriod, so that a slow store does not
	// end it.
	hostLease    = 15 * time.Second
	recordPeriod = 5 * time.Second
	// leavingBytes and counterBytes bound parts of one heartbeat.
	leavingBytes    = 16 << 10
	counterBytes    = 64 << 10
	hostListTimeout = 2 * time.Second
)

type memberState struct {
	mu      sync.Mutex
	members *dcmembership.Members
	state   dcmembership.State
	// revision, seat and taken repeat what the heartbeats say.
	revision dcid.Revision
	seat     int
	taken    time.Time

	lease     dcstore.LeaseID
	leaseMu   sync.Mutex
	withdrawn bool
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

// set changes what this host says of itself.
func (s *memberState) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	state := s.state
	if state == "" {
		state = dcmembership.Alive
	}
	s.members.SetSelf(state, s.revision, s.seat, s.taken)
}

func (s *memberState) setRevision(revision dcid.Revision) {
	s.set(func() { s.revision = revision })
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

// PeerHeard implements dcconnshare.Membership.
func (s *memberState) PeerHeard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.PeerHeard()
}

func (h *Host) logChanges(changes []dcmembership.Change) {
	for _, change := range changes {
		h.Log.Info("peer changed state",
			zap.String("peer", string(change.Host.ID)),
			zap.String("from", string(change.From)),
			zap.String("to", string(change.Host.State)))
	}
}

// sendHeartbeats exchanges heartbeats once in each interval.
func (h *Host) sendHeartbeats(ctx context.Context) error {
	return h.every(ctx, h.Settings.GetHeartbeatInterval().AsDuration(), func(ctx context.Context) {
		h.members.mu.Lock()
		targets, changes := h.members.members.BeginInterval(h.wall())
		h.members.mu.Unlock()
		h.logChanges(changes)
		h.counters.setReplicas(dcburn.Replicas(h.self.ID, h.members.hosts()))
		for _, peer := range targets {
			h.tasks.Go(func() { h.exchange(ctx, peer.ID, peer.PeerAddress) })
		}
		if len(targets) > 0 {
			return
		}
		for _, seed := range h.Settings.GetSeedPeers() {
			if seed != h.self.PeerAddress {
				h.tasks.Go(func() { h.exchange(ctx, "", seed) })
			}
		}
	})
}

func (h *Host) exchange(ctx context.Context, peer dcid.HostID, address string) {
	if address == "" {
		return
	}
	ctx, cancel := timeout(ctx, h.Clock, h.Settings.GetHeartbeatInterval().AsDuration())
	defer cancel()
	now := h.wall()
	request := &peerv1.ExchangeRequest{Counters: h.counters.pending(peer, now)}
	request.Sender, request.Members, request.Leaving, request.Suspicions = h.heartbeat(peer, now)
	response, err := h.Peer.Exchange(ctx, address, request)
	if err != nil {
		return
	}
	h.counters.acknowledge(peer, request.GetCounters())
	h.received(response.GetSender(), response.GetMembers(), response.GetLeaving(), response.GetSuspicions())
}

func (h *Host) heartbeat(peer dcid.HostID, now time.Time) (sender *peerv1.Member, members []*peerv1.Member, leaving []*peerv1.LeavingServer, suspicions []*peerv1.Suspicion) {
	h.members.mu.Lock()
	sender, members = h.members.members.Message(peer)
	h.members.mu.Unlock()
	h.servers.mu.Lock()
	leaving = h.servers.servers.Entries(leavingBytes, now)
	h.servers.mu.Unlock()
	return sender, members, leaving, h.quarantine.entries(now)
}

// received takes one side of an exchange.
func (h *Host) received(sender *peerv1.Member, members []*peerv1.Member, leaving []*peerv1.LeavingServer, suspicions []*peerv1.Suspicion) {
	if sender == nil {
		return
	}
	now := h.wall()
	h.members.mu.Lock()
	changes := h.members.members.Receive(sender, members, now)
	h.members.mu.Unlock()
	h.logChanges(changes)
	h.mergeLeaving(leaving, now)
	h.quarantine.merge(suspicions, now)
	h.heardRevision(sender)
	h.seats.heard(sender)
	for _, member := range members {
		h.seats.heard(member)
	}
}

func (h *Host) mergeLeaving(entries []*peerv1.LeavingServer, now time.Time) {
	view := h.view.Load()
	var affected []*target
	for _, entry := range entries {
		if target, ok := view.targets[dcid.ServerAddr(entry.GetServer())]; ok {
			affected = append(affected, target)
		}
	}
	h.update(affected, func(servers *dcmembership.Servers) bool { return servers.Merge(entries, now) })
}

// announce tells every reachable peer of this host's state at once.
func (h *Host) announce(ctx context.Context, state dcmembership.State) {
	h.members.set(func() { h.members.state = state })
	var calls sync.WaitGroup
	for _, peer := range h.members.hosts() {
		if peer.ID != h.self.ID && (peer.State == dcmembership.Alive || peer.State == dcmembership.Leaving) {
			calls.Go(func() { h.exchange(ctx, peer.ID, peer.PeerAddress) })
		}
	}
	calls.Wait()
}

// keepHostRecord keeps this host's record under a lease and reads all records.
func (h *Host) keepHostRecord(ctx context.Context) error {
	interval := func() time.Duration { return h.scaled(recordPeriod) }
	return h.everyScaled(ctx, interval, func(ctx context.Context) {
		if err := h.writeHostRecord(ctx); err != nil {
			h.Log.Debug("host record is not kept", zap.Error(err))
		}
		h.readHostRecords(ctx)
	})
}

func (h *Host) writeHostRecord(ctx context.Context) error {
	h.members.leaseMu.Lock()
	defer h.members.leaseMu.Unlock()
	if h.members.withdrawn {
		return nil
	}
	if h.members.lease != 0 {
		err := h.Store.KeepAlive(ctx, h.members.lease)
		if !errors.Is(err, dcstore.ErrLeaseExpired) {
			return err
		}
	}
	lease, err := h.Store.GrantLease(ctx, h.scaled(hostLease))
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

// putHostRecord writes the record over one of an earlier process of this host.
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
	old, err := h.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, dcstore.ErrNotFound) {
		return err
	}
	_, err = h.Store.CompareAndSwap(ctx, dcstore.Swap{Key: key, Expected: old.Modified, Value: value, Lease: lease})
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
	changes := h.members.members.ObserveStore(hosts, h.wall())
	h.members.mu.Unlock()
	h.logChanges(changes)
}

// revokeHostRecord removes this host's record for good.
func (h *Host) revokeHostRecord(ctx context.Context) bool {
	h.members.leaseMu.Lock()
	defer h.members.leaseMu.Unlock()
	h.members.withdrawn = true
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

// readHostList takes the host list as evidence on hosts and on servers.
func (h *Host) readHostList(ctx context.Context) error {
	if h.HostList == nil {
		<-ctx.Done()
		return nil
	}
	return h.every(ctx, h.Settings.GetHostList().GetInterval().AsDuration(), func(ctx context.Context) {
		ctx, cancel := timeout(ctx, h.Clock, hostListTimeout)
		defer cancel()
		listed, err := h.HostList.Fetch(ctx)
		if err != nil {
			return
		}
		h.observeList(listed)
	})
}

func (h *Host) observeList(listed []dchostlist.Host) {
	now := h.wall()
	view := h.view.Load()
	var hosts []dcmembership.ListedHost
	for _, entry := range listed {
		leaving := entry.State == dchostlist.Leaving
		hosts = append(hosts, dcmembership.ListedHost{Address: entry.Address, Leaving: leaving})
		target, ok := view.targets[dcid.ServerAddr(entry.Address)]
		if !ok {
			continue
		}
		h.update(only(target), func(servers *dcmembership.Servers) bool {
			if leaving {
				return servers.Observe(target.addr, dcmembership.SignalHostList, now)
			}
			return servers.Withdraw(target.addr, dcmembership.SignalHostList, now)
		})
	}
	h.members.mu.Lock()
	changes := h.members.members.ObserveHostList(hosts, now)
	h.members.mu.Unlock()
	h.logChanges(changes)
}
