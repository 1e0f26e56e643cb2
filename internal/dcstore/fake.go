package dcstore

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Call is the name of a Store method in call counters.
type Call string

// Names of the Store methods.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallCompareAndSwap Call = "compare-and-swap"
	CallDelete         Call = "delete"
	CallWait           Call = "wait"
	CallGrantLease     Call = "grant-lease"
	CallKeepAlive      Call = "keep-alive"
	CallRevoke         Call = "revoke"
)

// maxUndoEntries is the number of newest changes that a stale read can hide.
const maxUndoEntries = 256

// Fake is an in-memory Store that injects faults. It is safe for concurrent
// use, so that several hosts can share one Fake.
type Fake struct {
	clock clockwork.Clock

	mu       sync.Mutex
	revision Revision
	records  map[string]Record
	leases   map[LeaseID]*fakeLease
	// keyLease holds the lease of each key that has one.
	keyLease map[string]LeaseID
	// lastLease is the id of the newest lease; ids count up from 1.
	lastLease LeaseID
	// undoLog holds the newest changes, oldest first.
	undoLog []undoEntry
	// lastChanged holds the revision of the last write or removal of each key.
	lastChanged map[string]Revision
	// changed is closed and replaced when a key or a fault switch changes.
	changed chan struct{}
	calls   map[Call]int
	faults  FakeFaults
}

// FakeFaults are the fault switches of a Fake.
type FakeFaults struct {
	// Outage makes every call fail with ErrUnavailable.
	Outage bool
	// Delay is the time that each call except Wait takes. A write whose context
	// ends during the delay still takes effect after it, unless there is an
	// outage by then.
	Delay time.Duration
	// LoseReplies is the number of next writes that take effect but return
	// ErrUnknownOutcome.
	LoseReplies int
	// StaleAt makes Get and List return the records as of this revision; 0 turns
	// it off. At most the last 256 changes are hidden.
	StaleAt Revision
}

type fakeLease struct {
	lifetime  time.Duration
	expiresAt time.Time
}

// undoEntry is the state of a key before the change that made a revision.
type undoEntry struct {
	revision Revision
	key      string
	before   Record
	existed  bool
}

var _ Store = (*Fake)(nil)

// NewFake returns an empty Fake. The clock measures delays and the lifetimes of
// leases.
func NewFake(clock clockwork.Clock) *Fake {
	return &Fake{
		clock:       clock,
		records:     make(map[string]Record),
		leases:      make(map[LeaseID]*fakeLease),
		keyLease:    make(map[string]LeaseID),
		lastChanged: make(map[string]Revision),
		changed:     make(chan struct{}),
		calls:       make(map[Call]int),
	}
}

// SetFaults changes the fault switches. It calls change with the lock of the
// Fake held, so change must not call the Fake.
func (f *Fake) SetFaults(change func(*FakeFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.faults)
	f.wakeWaiters()
}

// Faults returns the fault switches.
func (f *Fake) Faults() FakeFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Calls returns a copy of the call counters.
func (f *Fake) Calls() map[Call]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[Call]int, len(f.calls))
	for call, count := range f.calls {
		counts[call] = count
	}
	return counts
}

// Revision returns the newest modification revision.
func (f *Fake) Revision() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLeasesLocked()
	return f.revision
}

// Get returns the record of a key, or ErrNotFound.
func (f *Fake) Get(ctx context.Context, key string) (record Record, err error) {
	err = f.read(ctx, CallGet, func() error {
		found, ok := f.visibleRecords()[key]
		if !ok {
			return ErrNotFound
		}
		record = cloneRecord(found)
		return nil
	})
	return record, err
}

// List returns the records whose key has a prefix, ordered by key.
func (f *Fake) List(ctx context.Context, prefix string, limit int, descending bool) (records []Record, err error) {
	err = f.read(ctx, CallList, func() error {
		for key, record := range f.visibleRecords() {
			if strings.HasPrefix(key, prefix) {
				records = append(records, cloneRecord(record))
			}
		}
		slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
		if descending {
			slices.Reverse(records)
		}
		if limit > 0 && len(records) > limit {
			records = records[:limit]
		}
		return nil
	})
	return records, err
}

// CompareAndSwap writes a value if the key has the expected modification
// revision, and returns the new one.
func (f *Fake) CompareAndSwap(ctx context.Context, swap Swap) (Revision, error) {
	if len(swap.Value) > MaxValueBytes {
		return 0, fmt.Errorf("value of %d bytes is over the limit of %d", len(swap.Value), MaxValueBytes)
	}
	swap.Value = slices.Clone(swap.Value)
	return f.write(ctx, CallCompareAndSwap, func() (Revision, error) {
		if current := f.records[swap.Key].Modified; current != swap.Expected {
			return 0, &ConflictError{Current: current}
		}
		if swap.Lease != 0 && f.leases[swap.Lease] == nil {
			return 0, ErrLeaseExpired
		}
		f.put(swap)
		return f.revision, nil
	})
}

// Delete removes a key that has the expected modification revision.
func (f *Fake) Delete(ctx context.Context, key string, expected Revision) error {
	if expected == 0 {
		return errMissingRevision
	}
	_, err := f.write(ctx, CallDelete, func() (Revision, error) {
		record, ok := f.records[key]
		if !ok {
			return 0, ErrNotFound
		}
		if record.Modified != expected {
			return 0, ErrConflict
		}
		f.remove(key)
		return f.revision, nil
	})
	return err
}

// Wait blocks until a key with the prefix has changed after a revision, and
// returns the revision of the latest such change.
func (f *Fake) Wait(ctx context.Context, prefix string, after Revision) (Revision, error) {
	f.countCall(CallWait)
	for {
		revision, changed, err := f.newestChange(prefix, after)
		if err != nil || revision > after {
			return revision, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
}

// newestChange returns the newest revision of a key with the prefix, 0 if it is
// not after the given one, and a channel that is closed on the next change.
func (f *Fake) newestChange(prefix string, after Revision) (Revision, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLeasesLocked()
	if f.faults.Outage {
		return 0, nil, ErrUnavailable
	}
	newest := Revision(0)
	for key, revision := range f.lastChanged {
		if strings.HasPrefix(key, prefix) {
			newest = max(newest, revision)
		}
	}
	if newest <= after {
		newest = 0
	}
	return newest, f.changed, nil
}

// GrantLease creates a lease that expires after its lifetime unless KeepAlive
// renews it.
func (f *Fake) GrantLease(ctx context.Context, lifetime time.Duration) (LeaseID, error) {
	id, err := f.write(ctx, CallGrantLease, func() (Revision, error) {
		f.lastLease++
		f.leases[f.lastLease] = &fakeLease{lifetime: lifetime, expiresAt: f.clock.Now().Add(lifetime)}
		f.clock.AfterFunc(lifetime, f.expireLeases)
		return Revision(f.lastLease), nil
	})
	return LeaseID(id), err
}

// KeepAlive renews a lease, or returns ErrLeaseExpired.
func (f *Fake) KeepAlive(ctx context.Context, id LeaseID) error {
	_, err := f.write(ctx, CallKeepAlive, func() (Revision, error) {
		lease := f.leases[id]
		if lease == nil {
			return 0, ErrLeaseExpired
		}
		lease.expiresAt = f.clock.Now().Add(lease.lifetime)
		f.clock.AfterFunc(lease.lifetime, f.expireLeases)
		return 0, nil
	})
	return err
}

// Revoke ends a lease and removes its keys, or returns ErrLeaseExpired.
func (f *Fake) Revoke(ctx context.Context, id LeaseID) error {
	_, err := f.write(ctx, CallRevoke, func() (Revision, error) {
		if f.leases[id] == nil {
			return 0, ErrLeaseExpired
		}
		f.removeLease(id)
		return 0, nil
	})
	return err
}
