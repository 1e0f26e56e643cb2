package dcstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
)

// read runs a read after the delay, with the lock held.
func (f *Fake) read(ctx context.Context, call Call, run func() error) error {
	f.count(call)
	if delay := f.Faults().Delay; delay > 0 {
		select {
		case <-f.clock.After(delay):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	if f.faults.Outage {
		return ErrUnavailable
	}
	return run()
}

// fakeResult is what a write returns.
type fakeResult struct {
	revision Revision
	err      error
}

// write runs a write, after the delay when one is set.
func (f *Fake) write(ctx context.Context, call Call, run func() (Revision, error)) (Revision, error) {
	f.count(call)
	faults := f.Faults()
	if faults.Outage || ended(ctx) {
		return 0, ErrUnavailable
	}
	if faults.Delay == 0 {
		return f.apply(run, ErrUnavailable)
	}
	done := make(chan fakeResult, 1)
	f.clock.AfterFunc(faults.Delay, func() {
		revision, err := f.apply(run, ErrUnknownOutcome)
		done <- fakeResult{revision, err}
	})
	select {
	case result := <-done:
		return result.revision, result.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
	}
}

// apply runs a write now. It returns down when an outage has begun.
func (f *Fake) apply(run func() (Revision, error), down error) (Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	if f.faults.Outage {
		return 0, down
	}
	revision, err := run()
	if f.faults.LoseReplies > 0 {
		f.faults.LoseReplies--
		return 0, ErrUnknownOutcome
	}
	return revision, err
}

func (f *Fake) count(call Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[call]++
}

// view returns the records that reads see: the newest, or those as of StaleAt.
func (f *Fake) view() map[string]Record {
	if f.faults.StaleAt == 0 || f.faults.StaleAt >= f.revision {
		return f.records
	}
	records := maps.Clone(f.records)
	for _, entry := range slices.Backward(f.undo) {
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

func (f *Fake) put(swap Swap) {
	f.note(swap.Key)
	f.records[swap.Key] = Record{Key: swap.Key, Value: swap.Value, Modified: f.revision}
	delete(f.keyLease, swap.Key)
	if swap.Lease != 0 {
		f.keyLease[swap.Key] = swap.Lease
	}
}

func (f *Fake) remove(key string) {
	f.note(key)
	delete(f.records, key)
	delete(f.keyLease, key)
}

// note raises the revision for a change of one key and wakes waiting calls.
func (f *Fake) note(key string) {
	before, existed := f.records[key]
	f.revision++
	f.touched[key] = f.revision
	f.undo = append(f.undo, undoEntry{f.revision, key, before, existed})
	if excess := len(f.undo) - undoLimit; excess > 0 {
		f.undo = slices.Delete(f.undo, 0, excess)
	}
	f.notify()
}

func (f *Fake) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// tick expires leases when the clock reaches the end of one.
func (f *Fake) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
}

func (f *Fake) expire() {
	now := f.clock.Now()
	for id, lease := range f.leases {
		if !lease.expires.After(now) {
			f.end(id)
		}
	}
}

// end removes a lease and its keys, in key order so that runs repeat.
func (f *Fake) end(id LeaseID) {
	delete(f.leases, id)
	for _, key := range slices.Sorted(maps.Keys(f.keyLease)) {
		if f.keyLease[key] == id {
			f.remove(key)
		}
	}
}

func clone(record Record) Record {
	record.Value = slices.Clone(record.Value)
	return record
}
