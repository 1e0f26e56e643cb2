// Package dcroster maintains the list of hosts in the key-value store. Each
// host writes a record that is bound to a lease, and reads those of the others.
package dcroster

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcplacement"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// leaseTTL is the time after which a killed host disappears from the list.
	leaseTTL = 4 * time.Second
	// renewalsPerTTL is the number of renewals within the lifetime of a lease. Each
	// is billed, and the hosts renew more often than anything else calls the store.
	// After a renewal that fails at its time limit, one more fits into the lifetime.
	renewalsPerTTL = 2
	// firstBackoff and maxBackoff are the shortest and the longest pause after a
	// failed renewal.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = time.Second
	// staleConnectionTime is how long servers may keep the connections of a host
	// that has lost power. They close connections that have been idle for some
	// seconds.
	staleConnectionTime = 12 * time.Second
	// rewriteTime is how long hosts have to write their records again after the store
	// was restored. Those that do not are gone, or cut off from the store.
	rewriteTime = leaseTTL
	// renewTimeout limits a renewal, with all its calls to the store.
	renewTimeout = time.Second
	// confirmationTime is how long a host uses its share of what the hosts divide
	// among them, after its last renewal that the store answered. For the same
	// time the other hosts count a host that is gone, so that they do not divide
	// its share while it may still use it or has just done so.
	confirmationTime = 30 * time.Second
	// shareTime is how long a host that the store does not confirm uses its guaranteed
	// share of quotas, and how long the others leave it to one that is gone without
	// having stopped. It bridges long outages of the store.
	shareTime = 30 * time.Minute
	// resumeAge is the time from which all other hosts have counted this one for as long
	// as a share of quotas matters. It allows for a time of day that was set forward by
	// some ten seconds.
	resumeAge = 20 * time.Second
)

// Roster maintains the list of hosts. Set the exported fields before Run.
type Roster struct {
	Registry dcstore.Registry
	// Prefix precedes the host's ID in the key of its record.
	Prefix string
	// MinLeaseTTL is the shortest lifetime of a lease that the store grants.
	MinLeaseTTL time.Duration
	// Self is the record of this host.
	Self  *hostv1.Record
	Clock clockwork.Clock
	Log   *zap.Logger
	// OnChange is called when the list of hosts or the result of StaleConnections
	// has changed. It may be nil.
	OnChange func()
	// OnReturn is called when a host runs a new process, or came into the list again
	// before its removal was final. The list is as it was then. It may be nil.
	OnReturn func()
	// MaxWhole returns the number of hosts up to which callers use all of them. With
	// nil, they always do.
	MaxWhole func() int

	mu    sync.Mutex
	peers map[dcid.HostID]*peer
	// arrivals counts how often other hosts came into the list.
	arrivals int
	// departed holds the time at which this host learned that the record of a host
	// was gone.
	departed map[dcid.HostID]time.Time
	// departedSharers holds the same for the hosts that may still use a guaranteed share
	// of quotas, since callers used them and they have not said that they stop.
	departedSharers map[dcid.HostID]time.Time
	// confirmedAt is the time at which the last renewal that the store answered
	// was sent, zero before the first.
	confirmedAt time.Time
	// synced is set once the list has been read.
	synced bool
	// leaving is set by Leave, and busy by SetBusy.
	leaving bool
	busy    bool
	// position is the last known position of the record of this host, and era the
	// newest known era of the store.
	position dcstore.Position
	era      dcstore.Era
	// restored is set from the restoration of the store from an older copy until the
	// lease, which may be gone, is replaced.
	restored bool
	// recordMissing is set while the store does not hold that record.
	recordMissing bool
	// joinedAt is the time at which this process last wrote that record as one of a
	// serving host, zero while the store may not hold it.
	joinedAt time.Time
	// sharingSince is the time from which the other hosts have counted this one for the
	// shares of quotas, and resumed is set if that was resumeAge before this process found
	// the record of the one before.
	sharingSince time.Time
	resumed      bool
	// recordWritten is set once this process has written its record.
	recordWritten bool
	// replacedAt is the time at which this process found that an earlier process
	// of the same host had ended without leaving, zero when there was none.
	replacedAt time.Time
	// set holds the hosts that callers use, as of placedAt, and shares divides what
	// all hosts share.
	set      dcplacement.Set
	shares   dcplacement.Shares
	placedAt time.Time
	wake     chan struct{}
	wakeOnce sync.Once

	// lease and written are used only by Run. written is the record that was last
	// written with the lease, nil for none.
	lease   dcstore.LeaseID
	written *hostv1.Record
}

// peer is another host.
type peer struct {
	record *hostv1.Record
	// listed is set while the store holds the record.
	listed bool
	// lastSeen is the time at which the host itself last sent its record.
	lastSeen time.Time
	// arrival numbers the last time at which the host came into the list, and
	// removalPending is set while its record was removed and may be written again.
	arrival        int
	removalPending bool
	// leavingUntil is the time until which the host counts as leaving because it said
	// so itself, zero when it has not.
	leavingUntil time.Time
	// unconfirmed is set while the record has not been written since the store was
	// restored from an older copy, which may list hosts that are gone.
	unconfirmed bool
}

// Run keeps the record of this host in the store until ctx ends. Its lease then
// expires.
func (r *Roster) Run(ctx context.Context) error {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		pause := leaseTTL / renewalsPerTTL
		if err := r.renew(ctx); err != nil {
			backoff = min(max(2*backoff, firstBackoff), maxBackoff)
			pause = backoff
		} else {
			backoff = 0
		}
		r.wait(ctx, pause)
	}
	return nil
}

// Leave tells the other hosts that this one is stopping.
func (r *Roster) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.placedAt = time.Time{}
	r.mu.Unlock()
	r.wakeUp()
}

// SetBusy tells the other hosts whether this one uses most of its processor time.
func (r *Roster) SetBusy(busy bool) {
	r.mu.Lock()
	changed := r.busy != busy
	r.busy = busy
	r.mu.Unlock()
	if changed {
		r.Log.Info("processor use changed", zap.Bool("busy", busy))
		r.wakeUp()
	}
}

// Put adds or updates a host from its record in the store.
func (r *Roster) Put(record dcstore.Record) {
	host := &hostv1.Record{}
	if err := proto.Unmarshal(record.Value, host); err != nil {
		r.Log.Warn("host record ignored, it cannot be decoded", zap.String("key", record.Key), zap.String("error", err.Error()))
		return
	}
	if host.GetHostId() == "" {
		r.Log.Warn("host record ignored, it names no host", zap.String("key", record.Key))
		return
	}
	if host.GetHostId() == r.Self.GetHostId() {
		r.putSelf(record.Position(), host)
		return
	}
	r.putRecord(host, true)
}

// putSelf takes the record of this host from the store. Until this process has
// written it, the record is that of an earlier process.
func (r *Roster) putSelf(position dcstore.Position, earlier *hostv1.Record) {
	r.mu.Lock()
	r.setPosition(position)
	r.recordMissing = false
	foundEarlierProcess := !r.recordWritten && r.replacedAt.IsZero() && earlier.GetState() == hostv1.State_STATE_SERVING
	if foundEarlierProcess {
		r.replacedAt = r.Clock.Now()
		if since := earlier.GetSharingSinceMs(); since > 0 {
			r.sharingSince = time.UnixMilli(since)
			r.resumed = r.replacedAt.Sub(r.sharingSince) >= resumeAge
		}
	}
	r.mu.Unlock()
	if foundEarlierProcess {
		r.Log.Info("earlier process of this host ended without leaving", zap.Int64("era", int64(position.Era)), zap.Int64("revision", int64(position.Revision)))
		r.Clock.AfterFunc(staleConnectionTime, r.notifyChange)
		r.notifyChange()
	}
}

// setPosition takes a position of the own record unless a newer one is known. The
// caller holds the lock.
func (r *Roster) setPosition(position dcstore.Position) {
	r.era = max(r.era, position.Era)
	if position.After(r.position) {
		r.position = position
	}
}

// StaleConnections reports whether servers may still hold connections of an
// earlier process of this host.
func (r *Roster) StaleConnections() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.replacedAt.IsZero() && r.Clock.Since(r.replacedAt) < staleConnectionTime
}

// RecordReceived adds or updates another host from the record that the host
// itself sent.
func (r *Roster) RecordReceived(host *hostv1.Record) { r.putRecord(host, false) }

// putRecord adds or updates another host. listed is set for a record that comes
// from the store.
func (r *Roster) putRecord(host *hostv1.Record, listed bool) {
	id := dcid.HostID(host.GetHostId())
	if id == "" || host.GetHostId() == r.Self.GetHostId() {
		return
	}
	r.mu.Lock()
	if r.peers == nil {
		r.peers = make(map[dcid.HostID]*peer)
	}
	other := r.peers[id]
	if other == nil {
		other = &peer{arrival: r.nextArrival()}
		r.peers[id] = other
	}
	same := isSameBesidesStart(other.record, host)
	returned := listed && other.removalPending
	restarted := other.record != nil && !proto.Equal(other.record.GetStarted(), host.GetStarted())
	if returned {
		other.removalPending = false
		other.arrival = r.nextArrival()
	}
	if other.record.GetState() == hostv1.State_STATE_LEAVING && host.GetState() == hostv1.State_STATE_SERVING {
		// The host has been started again.
		other.leavingUntil = time.Time{}
	}
	other.record = host
	r.placedAt = time.Time{}
	delete(r.departed, id)
	delete(r.departedSharers, id)
	other.listed = other.listed || listed
	if listed {
		other.unconfirmed = false
	} else {
		other.lastSeen = r.Clock.Now()
	}
	r.mu.Unlock()
	if (returned || restarted) && r.OnReturn != nil {
		r.OnReturn()
	}
	if same {
		return
	}
	r.Log.Info("host in the list", zap.String("peer", host.GetHostId()), zap.String("state", host.GetState().String()))
	r.notifyChange()
}

// Current returns the record of this host with its current state.
func (r *Roster) Current() *hostv1.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := proto.CloneOf(r.Self)
	record.State, record.Busy = hostv1.State_STATE_SERVING, r.busy
	if !r.sharingSince.IsZero() {
		record.SharingSinceMs = r.sharingSince.UnixMilli()
	}
	if r.leaving {
		record.State = hostv1.State_STATE_LEAVING
	}
	return record
}

// PeerControlAddresses returns the addresses at which the other hosts are
// reached by their peers.
func (r *Roster) PeerControlAddresses() (addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.peers {
		addresses = append(addresses, other.record.GetControlAddress())
	}
	return addresses
}

// RemovalPending takes the key of a record that was removed, but may be written
// again soon. This host writes its own record again. Another host whose record is
// written again has come into the list once more.
func (r *Roster) RemovalPending(key string) {
	id := r.hostIDFromKey(key)
	if id != dcid.HostID(r.Self.GetHostId()) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if other := r.peers[id]; other != nil {
			other.removalPending = true
		}
		return
	}
	r.mu.Lock()
	r.recordMissing, r.joinedAt = true, time.Time{}
	r.mu.Unlock()
	r.wakeUp()
}

// Remove removes the host whose record, at the given key, is gone.
func (r *Roster) Remove(key string) {
	id := r.hostIDFromKey(key)
	r.mu.Lock()
	_, ok := r.peers[id]
	if ok {
		r.depart(id)
		r.placedAt = time.Time{}
	}
	r.mu.Unlock()
	if ok {
		r.Log.Info("host left the list", zap.String("peer", string(id)))
		r.notifyChange()
	}
}

// Synced is called once the list has been read.
func (r *Roster) Synced() {
	r.mu.Lock()
	r.synced = true
	r.mu.Unlock()
	r.notifyChange()
}

// Count returns the number by which what all hosts share, at any moment, is divided
// to give the share of this host, 0 while it is unknown. It is the number of hosts if
// callers use all of them.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced {
		return 0
	}
	r.place()
	return r.shares.Divisor(len(r.presentPeers())+1, r.Clock.Now())
}

// DomainCount returns the number of hosts in the failure domain of this host that
// callers use, including this one, 0 while it is unknown.
func (r *Roster) DomainCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced {
		return 0
	}
	r.place()
	count := 1
	for _, host := range r.presentPeers() {
		used := r.set.Whole() || r.set.Has(dcid.HostID(host.GetHostId()))
		if used && host.GetFailureDomain() == r.Self.GetFailureDomain() {
			count++
		}
	}
	return count
}

// Rank returns the place of this host, from 0, in an order of as many hosts as Count
// returns. The order differs from server to server (rendezvous hashing).
func (r *Roster) Rank(server dcid.ServerID) (rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.place()
	now := r.Clock.Now()
	own, selected := rendezvousHash(r.Self.GetHostId(), server), r.shares.Selected(now)
	for _, host := range r.presentPeers() {
		alike := r.set.Whole() || r.set.Has(dcid.HostID(host.GetHostId())) == selected
		if alike && rendezvousHash(host.GetHostId(), server) < own {
			rank++
		}
	}
	return r.shares.Rank(rank, now)
}

func rendezvousHash(host string, server dcid.ServerID) uint64 {
	return xxhash.Sum64String(host + "\x00" + string(server))
}

// Sharers returns the number of hosts among which a quantity is divided that all
// hosts together must not exceed in a span of time. It includes hosts that are
// gone, for confirmationTime: one whose lease has expired may still use its share,
// and one that left has used its share in the span that ends. It returns 0 while
// this host may not use a share: before the list has been read, and after the store
// has not confirmed its lease for confirmationTime.
func (r *Roster) Sharers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if !r.synced || r.confirmedAt.IsZero() || elapsedAtMost(r.confirmedAt, now) >= confirmationTime {
		return 0
	}
	for id, at := range r.departed {
		if now.Sub(at) >= confirmationTime {
			delete(r.departed, id)
		}
	}
	r.place()
	return r.shares.Divisor(len(r.presentPeers())+len(r.departed)+1, now)
}

// elapsedAtMost returns the time from one moment to a later one, by the
// monotonic clock or by the time of day, whichever says more. The monotonic
// clock does not count the time for which a machine is suspended.
func elapsedAtMost(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// presentPeers returns the records of the other hosts that are listed or were
// seen within leaseTTL. The caller holds the lock.
func (r *Roster) presentPeers() (hosts []*hostv1.Record) {
	for _, other := range r.peers {
		if other.listed || r.Clock.Since(other.lastSeen) < leaseTTL {
			hosts = append(hosts, other.record)
		}
	}
	return hosts
}

// CallerAddresses returns the addresses at which hosts serve callers, in the
// order of host IDs. Hosts that are leaving are omitted.
func (r *Roster) CallerAddresses() (addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, host := range r.servingHosts() {
		addresses = append(addresses, host.GetCallerAddress())
	}
	return addresses
}

// servingHosts returns the records of the hosts that serve callers, in the order of
// host IDs. Hosts that are leaving are omitted. The caller holds the lock.
func (r *Roster) servingHosts() []*hostv1.Record {
	hosts := slices.DeleteFunc(r.presentPeers(), func(host *hostv1.Record) bool { return host.GetState() != hostv1.State_STATE_SERVING })
	if !r.leaving {
		self := proto.CloneOf(r.Self)
		self.Busy = r.busy
		hosts = append(hosts, self)
	}
	hosts = r.withoutAnnounced(hosts)
	slices.SortFunc(hosts, func(a, b *hostv1.Record) int { return cmp.Compare(a.GetHostId(), b.GetHostId()) })
	return hosts
}

func (r *Roster) hostIDFromKey(key string) dcid.HostID {
	return dcid.HostID(strings.TrimPrefix(key, r.Prefix))
}

func (r *Roster) notifyChange() {
	if r.OnChange != nil {
		r.OnChange()
	}
}

// renew renews the lease or obtains a new one, and writes the record when that
// is due.
func (r *Roster) renew(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, renewTimeout)
	defer cancel()
	started := r.Clock.Now()
	r.mu.Lock()
	restored := r.restored
	r.restored = false
	r.mu.Unlock()
	if restored {
		// The lease is gone, or its ID belongs to another host now.
		r.lease = 0
	}
	if r.lease != 0 {
		err := r.Registry.KeepAlive(ctx, r.lease)
		if errors.Is(err, dcstore.ErrLeaseExpired) {
			r.Log.Warn("lease lost", zap.Int64("lease", int64(r.lease)))
			r.lease = 0
			r.setJoined(time.Time{})
		} else if err != nil {
			return err
		}
	}
	if r.lease == 0 {
		lease, err := r.Registry.GrantLease(ctx, max(leaseTTL, r.MinLeaseTTL))
		if err != nil {
			return err
		}
		r.lease, r.written = lease, nil
	}
	if err := r.writeRecord(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	r.confirmedAt = started
	r.mu.Unlock()
	return nil
}

// writeRecord writes the record when its state has changed or the store has
// lost it.
func (r *Roster) writeRecord(ctx context.Context) error {
	record := r.Current()
	state := record.GetState()
	now := r.Clock.Now()
	if record.GetSharingSinceMs() == 0 {
		record.SharingSinceMs = now.UnixMilli()
	}
	r.mu.Lock()
	expected, recordMissing, era := r.position.Revision, r.recordMissing, r.era
	if r.position.Era != era {
		// The revision is of the history before the store was restored. Without the
		// record in the copy this is right, otherwise the conflict tells the revision.
		expected = 0
	}
	r.mu.Unlock()
	if proto.Equal(record, r.written) && !recordMissing {
		return nil
	}
	if recordMissing {
		expected = 0
	}
	value, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	key := r.Prefix + r.Self.GetHostId()
	revision, err := r.Registry.CompareAndSwap(ctx, dcstore.Swap{Key: key, Expected: expected, Value: value, Lease: r.lease})
	if errors.Is(err, dcstore.ErrLeaseExpired) {
		r.lease = 0
	}
	var conflict *dcstore.ConflictError
	if errors.As(err, &conflict) {
		// An earlier write took effect although its answer was lost, or the record
		// of an earlier process of this host still exists. The notification of
		// either may come late.
		r.mu.Lock()
		r.position, r.recordMissing = dcstore.Position{Era: era, Revision: conflict.Current}, false
		r.mu.Unlock()
	}
	if err != nil {
		r.Log.Info("host record not written", zap.Int64("expected-revision", int64(expected)), zap.String("error", err.Error()))
		return err
	}
	r.mu.Lock()
	r.setPosition(dcstore.Position{Era: era, Revision: revision})
	r.recordMissing, r.recordWritten = false, true
	r.mu.Unlock()
	if state == hostv1.State_STATE_SERVING {
		r.setJoined(now)
	}
	r.written = record
	r.Log.Info("host record written", zap.String("state", state.String()), zap.Int64("revision", int64(revision)))
	return nil
}

// wakeUp ends the pause between renewals.
func (r *Roster) wakeUp() {
	select {
	case r.wakeChannel() <- struct{}{}:
	default:
	}
}

func (r *Roster) wakeChannel() chan struct{} {
	r.wakeOnce.Do(func() { r.wake = make(chan struct{}, 1) })
	return r.wake
}

func (r *Roster) wait(ctx context.Context, pause time.Duration) {
	timer := r.Clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	case <-r.wakeChannel():
	}
}
