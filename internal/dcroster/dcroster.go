// Package dcroster keeps the list of hosts through the key-value service. Each
// host writes a record that is bound to a lease and reads those of the others.
package dcroster

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// leaseLifetime is the time after which a killed host leaves the list.
	leaseLifetime = 4 * time.Second
	// renewals is the number of renewals within the lifetime of a lease.
	renewals = 3
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = time.Second
	// staleTime is how long servers may keep the connections of a host that
	// has lost power. They close them once they have been idle for some seconds.
	staleTime = 12 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
)

// Roster is the list of hosts. Set the exported fields before Run.
type Roster struct {
	Registry dcstore.Registry
	// Prefix precedes the host's id in the key of its record.
	Prefix string
	// MinLifetime is the shortest lifetime of a lease that the service grants.
	MinLifetime time.Duration
	// Self is the record of this host.
	Self  *hostv1.Record
	Clock clockwork.Clock
	Log   *zap.Logger
	// Changed is called when a host has come or gone.
	Changed func()

	mu     sync.Mutex
	others map[dcid.HostID]*peer
	// known is set once the list was read.
	known    bool
	leaving  bool
	revision dcstore.Revision
	missing  bool
	// wrote is set once this process has written its record.
	wrote bool
	// replaced is the time at which this process found that an earlier one of
	// the same host had ended without leaving, zero when there was none.
	replaced time.Time
	wake     chan struct{}
	once     sync.Once

	lease   dcstore.LeaseID
	written hostv1.State
}

// peer is another host.
type peer struct {
	record *hostv1.Record
	// listed is set while the service holds the record.
	listed bool
	// seen is the time at which the host itself last told its record.
	seen time.Time
}

// Run keeps the record of this host until ctx ends. Its lease then runs out.
func (r *Roster) Run(ctx context.Context) error {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		pause := leaseLifetime / renewals
		if err := r.step(ctx); err != nil {
			backoff = min(max(2*backoff, firstBackoff), maxBackoff)
			pause = backoff
		} else {
			backoff = 0
		}
		r.wait(ctx, pause)
	}
	return nil
}

// Leave tells the other hosts that this one stops.
func (r *Roster) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.signal()
}

// Put takes the record of a host as the service holds it.
func (r *Roster) Put(record dcstore.Record) {
	host := &hostv1.Record{}
	if err := proto.Unmarshal(record.Value, host); err != nil {
		r.Log.Warn("host record ignored, it cannot be read", zap.String("key", record.Key), zap.String("error", err.Error()))
		return
	}
	if host.GetHostId() == "" {
		r.Log.Warn("host record ignored, it names no host", zap.String("key", record.Key))
		return
	}
	if host.GetHostId() == r.Self.GetHostId() {
		r.putSelf(record.Modified, host.GetState())
		return
	}
	r.update(host, true)
}

// putSelf takes the record of this host. Before this process has written it, it
// is that of an earlier one.
func (r *Roster) putSelf(revision dcstore.Revision, state hostv1.State) {
	r.mu.Lock()
	r.revision, r.missing = max(r.revision, revision), false
	found := !r.wrote && r.replaced.IsZero() && state == hostv1.State_STATE_SERVING
	if found {
		r.replaced = r.Clock.Now()
	}
	r.mu.Unlock()
	if found {
		r.Log.Info("earlier process of this host ended without leaving", zap.Int64("revision", int64(revision)))
		r.Clock.AfterFunc(staleTime, r.changed)
		r.changed()
	}
}

// StaleConnections reports whether servers may still hold connections of an
// earlier process of this host.
func (r *Roster) StaleConnections() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.replaced.IsZero() && r.Clock.Since(r.replaced) < staleTime
}

// Seen takes the record of another host from that host itself.
func (r *Roster) Seen(host *hostv1.Record) { r.update(host, false) }

func (r *Roster) update(host *hostv1.Record, listed bool) {
	id := dcid.HostID(host.GetHostId())
	if id == "" || host.GetHostId() == r.Self.GetHostId() {
		return
	}
	r.mu.Lock()
	if r.others == nil {
		r.others = make(map[dcid.HostID]*peer)
	}
	other := r.others[id]
	if other == nil {
		other = &peer{}
		r.others[id] = other
	}
	same := proto.Equal(other.record, host)
	other.record = host
	other.listed = other.listed || listed
	if !listed {
		other.seen = r.Clock.Now()
	}
	r.mu.Unlock()
	if same {
		return
	}
	r.Log.Info("host in the list", zap.String("peer", host.GetHostId()), zap.String("state", host.GetState().String()))
	r.changed()
}

// Current returns the record of this host with its present state.
func (r *Roster) Current() *hostv1.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := proto.CloneOf(r.Self)
	record.State = hostv1.State_STATE_SERVING
	if r.leaving {
		record.State = hostv1.State_STATE_LEAVING
	}
	return record
}

// ControlAddresses returns where the other hosts reach each other.
func (r *Roster) ControlAddresses() (addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.others {
		addresses = append(addresses, other.record.GetControlAddress())
	}
	return addresses
}

// Doubt takes a key whose record was removed, but may be back soon. This host
// writes its own record again.
func (r *Roster) Doubt(key string) {
	if r.hostOf(key) != dcid.HostID(r.Self.GetHostId()) {
		return
	}
	r.mu.Lock()
	r.missing = true
	r.mu.Unlock()
	r.signal()
}

// Remove takes a key whose record is gone.
func (r *Roster) Remove(key string) {
	id := r.hostOf(key)
	r.mu.Lock()
	_, ok := r.others[id]
	delete(r.others, id)
	r.mu.Unlock()
	if ok {
		r.Log.Info("host left the list", zap.String("peer", string(id)))
		r.changed()
	}
}

// Synced tells that the list was read.
func (r *Roster) Synced() {
	r.mu.Lock()
	r.known = true
	r.mu.Unlock()
	r.changed()
}

// Count returns the number of hosts, 0 while unknown.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known {
		return 0
	}
	return len(r.present()) + 1
}

// present returns the other hosts that are listed or have answered lately. The
// caller holds the lock.
func (r *Roster) present() (hosts []*hostv1.Record) {
	for _, other := range r.others {
		if other.listed || r.Clock.Since(other.seen) < leaseLifetime {
			hosts = append(hosts, other.record)
		}
	}
	return hosts
}

// Addresses returns where callers are served, in the order of host ids.
func (r *Roster) Addresses() (addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := slices.DeleteFunc(r.present(), func(host *hostv1.Record) bool { return host.GetState() != hostv1.State_STATE_SERVING })
	if !r.leaving {
		hosts = append(hosts, r.Self)
	}
	slices.SortFunc(hosts, func(a, b *hostv1.Record) int { return cmp.Compare(a.GetHostId(), b.GetHostId()) })
	for _, host := range hosts {
		addresses = append(addresses, host.GetCallerAddress())
	}
	return addresses
}

func (r *Roster) hostOf(key string) dcid.HostID {
	return dcid.HostID(strings.TrimPrefix(key, r.Prefix))
}

func (r *Roster) changed() {
	if r.Changed != nil {
		r.Changed()
	}
}

// step renews the lease, and writes the record when that is due.
func (r *Roster) step(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, callTimeout)
	defer cancel()
	if r.lease != 0 {
		err := r.Registry.KeepAlive(ctx, r.lease)
		if errors.Is(err, dcstore.ErrLeaseExpired) {
			r.Log.Warn("lease lost", zap.Int64("lease", int64(r.lease)))
			r.lease = 0
		} else if err != nil {
			return err
		}
	}
	if r.lease == 0 {
		lease, err := r.Registry.GrantLease(ctx, max(leaseLifetime, r.MinLifetime))
		if err != nil {
			return err
		}
		r.lease, r.written = lease, hostv1.State_STATE_UNSPECIFIED
	}
	return r.write(ctx)
}

// write writes the record when its state has changed or the service lost it.
func (r *Roster) write(ctx context.Context) error {
	record := r.Current()
	state := record.GetState()
	r.mu.Lock()
	expected, missing := r.revision, r.missing
	r.mu.Unlock()
	if state == r.written && !missing {
		return nil
	}
	if missing {
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
		// An earlier write took effect without an answer, or the record of the
		// host's last start is still there. The news of it may come late.
		r.mu.Lock()
		r.revision, r.missing = conflict.Current, false
		r.mu.Unlock()
	}
	if err != nil {
		r.Log.Info("host record not written", zap.Int64("expected-revision", int64(expected)), zap.String("error", err.Error()))
		return err
	}
	r.mu.Lock()
	r.revision, r.missing, r.wrote = max(r.revision, revision), false, true
	r.mu.Unlock()
	r.written = state
	r.Log.Info("host record written", zap.String("state", state.String()), zap.Int64("revision", int64(revision)))
	return nil
}

func (r *Roster) signal() {
	select {
	case r.wakeChannel() <- struct{}{}:
	default:
	}
}

func (r *Roster) wakeChannel() chan struct{} {
	r.once.Do(func() { r.wake = make(chan struct{}, 1) })
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
