package dcstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
)

// read counts a read and, after the delay, runs it with f.mu held.
func (f *Fake) read(ctx context.Context, call Call, run func() error) error {
	f.countCall(call)
	if delay := f.Faults().Delay; delay > 0 {
		select {
		case <-f.clock.After(delay):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLeasesLocked()
	if f.faults.Outage {
		return ErrUnavailable
	}
	return run()
}

// writeResult is the result of a delayed write.
type writeResult struct {
	revision Revision
	err      error
}

// write counts a write and runs it after the delay, if one is set. A delayed
// write runs even if ctx ends during the delay.
func (f *Fake) write(ctx context.Context, call Call, run func() (Revision, error)) (Revision, error) {
	f.countCall(call)
	faults := f.Faults()
	if faults.Outage || isDone(ctx) {
		return 0, ErrUnavailable
	}
	if faults.Delay == 0 {
		return f.apply(run, ErrUnavailable)
	}
	done := make(chan writeResult, 1)
	f.clock.AfterFunc(faults.Delay, func() {
		revision, err := f.apply(run, ErrUnknownOutcome)
		done <- writeResult{revision, err}
	})
	select {
	case result := <-done:
		return result.revision, result.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
	}
}

// apply runs a write with f.mu held. During an outage it returns outageErr
// without running the write.
func (f *Fake) apply(run func() (Revision, error), outageErr error) (Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLeasesLocked()
	if f.faults.Outage {
		return 0, outageErr
	}
	revision, err := run()
	if f.faults.LoseReplies > 0 {
		f.faults.LoseReplies--
		return 0, ErrUnknownOutcome
	}
	return revision, err
}

func (f *Fake) countCall(call Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[call]++
}

// visibleRecords returns the records that reads return: the current ones, or
// those as of StaleAt. The caller holds f.mu and must not change them.
func (f *Fake) visibleRecords() map[string]Record {
	if f.faults.StaleAt == 0 || f.faults.StaleAt >= f.revision {
		return f.records
	}
	records := maps.Clone(f.records)
	for _, entry := range slices.Backward(f.undoLog) {
		if entry.revision <= f.faults.StaleAt {
			break
		}
		if entry.existed {
			records[entry.key] = entry.before
			continue
		}
		delete(records, entry.key)
	}
	return records
}

// put writes a key and sets or clears its lease. The caller holds f.mu.
func (f *Fake) put(swap Swap) {
	f.recordChange(swap.Key)
	f.records[swap.Key] = Record{Key: swap.Key, Value: swap.Value, Modified: f.revision}
	delete(f.keyLease, swap.Key)
	if swap.Lease != 0 {
		f.keyLease[swap.Key] = swap.Lease
	}
}

// remove removes a key. The caller holds f.mu.
func (f *Fake) remove(key string) {
	f.recordChange(key)
	delete(f.records, key)
	delete(f.keyLease, key)
}

// recordChange increases the revision for a change of one key, logs the state
// before the change and wakes calls of Wait. The caller holds f.mu.
func (f *Fake) recordChange(key string) {
	before, existed := f.records[key]
	f.revision++
	f.lastChanged[key] = f.revision
	f.undoLog = append(f.undoLog, undoEntry{f.revision, key, before, existed})
	if excess := len(f.undoLog) - maxUndoEntries; excess > 0 {
		f.undoLog = slices.Delete(f.undoLog, 0, excess)
	}
	f.wakeWaiters()
}

// wakeWaiters makes calls of Wait check their condition again. The caller holds
// f.mu.
func (f *Fake) wakeWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// expireLeases removes expired leases. It runs when the lifetime of a lease
// ends on the clock.
func (f *Fake) expireLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLeasesLocked()
}

// expireLeasesLocked removes expired leases. The caller holds f.mu.
func (f *Fake) expireLeasesLocked() {
	now := f.clock.Now()
	for id, lease := range f.leases {
		if !lease.expiresAt.After(now) {
			f.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. It removes the keys in order, so
// that runs are reproducible. The caller holds f.mu.
func (f *Fake) removeLease(id LeaseID) {
	delete(f.leases, id)
	for _, key := range slices.Sorted(maps.Keys(f.keyLease)) {
		if f.keyLease[key] == id {
			f.remove(key)
		}
	}
}

// cloneRecord returns a record that does not share its value with the Fake.
func cloneRecord(record Record) Record {
	record.Value = slices.Clone(record.Value)
	return record
}
