package dcmirror

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// recordingObserver records the calls to an observer.
type recordingObserver struct {
	mu    sync.Mutex
	calls []string
	// restored holds the eras that began.
	restored []dcstore.Era
}

func (r *recordingObserver) add(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

func (r *recordingObserver) Put(record dcstore.Record) {
	r.add("put " + record.Key + "=" + string(record.Value))
}
func (r *recordingObserver) RemovalPending(key string) { r.add("pending " + key) }
func (r *recordingObserver) Remove(key string)         { r.add("remove " + key) }
func (r *recordingObserver) Synced()                   { r.add("synced") }
func (r *recordingObserver) Restored(era dcstore.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored = append(r.restored, era)
}

func (r *recordingObserver) take() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := strings.Join(r.calls, ", ")
	r.calls = nil
	return taken
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a position in the first era.
func at(revision dcstore.Revision) dcstore.Position { return dcstore.Position{Revision: revision} }

func newRecord(key string, revision dcstore.Revision) dcstore.Record {
	return dcstore.Record{Key: key, Value: []byte{'v'}, Modified: revision}
}

func newRemoval(key string, revision dcstore.Revision) dcstore.Change {
	return dcstore.Change{Record: dcstore.Record{Key: key, Modified: revision}, Removed: true}
}

// TestExpiredRecords guards against removing servers because their records
// expired in an outage, and against keeping those whose owners do not write
// them again.
func TestExpiredRecords(t *testing.T) {
	var observer recordingObserver
	set := newRecordSet(&observer, Lasting{})
	set.replace([]dcstore.Record{newRecord("a", 1), newRecord("b", 2)}, false, startTime)
	if got := observer.take(); got != "put a=v, put b=v" {
		t.Fatal(got)
	}
	set.recovered = startTime
	set.replace(nil, false, startTime)
	if got := observer.take(); !strings.Contains(got, "pending a") || !strings.Contains(got, "pending b") {
		t.Fatal(got)
	}
	set.removeDue(startTime.Add(outageRemovalDelay - 1))
	if got := observer.take(); got != "" {
		t.Errorf("%q before the owners had time to write their records again", got)
	}
	set.change([]dcstore.Change{{Record: newRecord("a", 5)}}, startTime.Add(outageRemovalDelay-1))
	set.removeDue(startTime.Add(outageRemovalDelay))
	if got := observer.take(); got != "put a=v, remove b" {
		t.Error(got)
	}
}

// TestOutdatedChanges guards against replacing a record by an older state, as
// pages of a snapshot and changes can overlap.
func TestOutdatedChanges(t *testing.T) {
	var observer recordingObserver
	set := newRecordSet(&observer, Lasting{})
	set.replace([]dcstore.Record{newRecord("a", 7)}, false, startTime)
	set.change([]dcstore.Change{{Record: newRecord("a", 6)}, newRemoval("a", 5), newRemoval("x", 9)}, startTime)
	if got := observer.take(); got != "put a=v" {
		t.Error(got)
	}
	set.change([]dcstore.Change{newRemoval("a", 8), {Record: newRecord("a", 9)}}, startTime)
	set.removeDue(startTime.Add(time.Hour))
	if got := observer.take(); got != "pending a, put a=v" {
		t.Error(got)
	}
}

// scriptedHistory answers calls from a list and then blocks until they are
// cancelled.
type scriptedHistory struct {
	mu      sync.Mutex
	answers []update
	calls   []string
}

func (s *scriptedHistory) next(ctx context.Context, call string) update {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return update{err: ctx.Err()}
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()
	return answer
}

func (s *scriptedHistory) Snapshot(ctx context.Context, _ string) ([]dcstore.Record, dcstore.Position, error) {
	answer := s.next(ctx, "snapshot")
	return answer.records, answer.position, answer.err
}

func (s *scriptedHistory) Probe(context.Context) (dcstore.Position, error) {
	return dcstore.Position{}, nil
}

func (s *scriptedHistory) Changes(ctx context.Context, _ string, _ dcstore.Position) ([]dcstore.Change, dcstore.Position, error) {
	answer := s.next(ctx, "changes")
	return answer.changes, answer.position, answer.err
}

// TestRun guards against a copy that is no longer updated after its history is
// gone or after an outage.
func TestRun(t *testing.T) { synctest.Test(t, testRun) }

func testRun(t *testing.T) {
	history := &scriptedHistory{answers: []update{
		{err: errors.New("refused")},
		{records: []dcstore.Record{newRecord("a", 1)}, position: at(1)},
		{changes: []dcstore.Change{{Record: newRecord("a", 2)}}, position: at(2)},
		{err: dcstore.ErrCompacted},
		{records: []dcstore.Record{newRecord("a", 2), newRecord("b", 3)}, position: at(3)},
		{err: errors.New("reset")},
		{changes: []dcstore.Change{newRemoval("b", 4)}, position: at(4)},
	}}
	var observer recordingObserver
	mirror := &Mirror{History: history, Observer: &observer, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	done := make(chan error, 1)
	go func() { done <- mirror.Run(ctx) }()
	want := "put a=v, synced, put a=v, put b=v, pending b, remove b"
	got := ""
	for ctx.Err() == nil && got != want {
		time.Sleep(10 * time.Millisecond)
		if more := observer.take(); more != "" {
			got = strings.TrimPrefix(got+", "+more, ", ")
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// stalledHistory never answers the first watch, nor any watch after revision 2.
type stalledHistory struct {
	mu       sync.Mutex
	watches  int
	position dcstore.Position
	probeErr error
}

func (s *stalledHistory) Snapshot(context.Context, string) ([]dcstore.Record, dcstore.Position, error) {
	return []dcstore.Record{newRecord("a", 1)}, at(1), nil
}

func (s *stalledHistory) Probe(context.Context) (dcstore.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position, s.probeErr
}

func (s *stalledHistory) Changes(ctx context.Context, _ string, after dcstore.Position) ([]dcstore.Change, dcstore.Position, error) {
	s.mu.Lock()
	s.watches++
	first := s.watches == 1
	s.mu.Unlock()
	if first || !after.Before(at(2)) {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	return []dcstore.Change{{Record: newRecord("a", 2)}}, at(2), nil
}

// TestStalledWatch guards against missing changes for as long as a watch may
// wait, because its connection has stalled or the store does not answer.
func TestStalledWatch(t *testing.T) {
	for name, change := range map[string]func(*stalledHistory){
		"connection": func(s *stalledHistory) { s.position = at(2) },
		"service":    func(s *stalledHistory) { s.probeErr = errors.New("no answer") },
		// The revisions of probes may be seconds old, and then do not show what a
		// watch has missed.
		"stale probes": func(*stalledHistory) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := &stalledHistory{position: at(1)}
				var observer recordingObserver
				mirror := &Mirror{History: history, Observer: &observer, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- mirror.Run(ctx) }()
				time.Sleep(500 * time.Millisecond)
				history.mu.Lock()
				change(history)
				history.mu.Unlock()
				time.Sleep(probeInterval + 200*time.Millisecond)
				history.mu.Lock()
				history.probeErr = nil
				history.mu.Unlock()
				time.Sleep(probeInterval + 700*time.Millisecond)
				cancel()
				<-done
				if got := observer.take(); got != "put a=v, synced, put a=v" {
					t.Errorf("got %s", got)
				}
			})
		})
	}
}

// fakePeer has a copy at revision 9, which holds record b and no longer record
// a.
type fakePeer struct{}

func (fakePeer) Fetch(_ context.Context, known dcstore.Position, _ bool) (dcstore.Copy, error) {
	copied := dcstore.Copy{Position: at(9)}
	if known.Before(at(9)) {
		copied.Records = []dcstore.Record{newRecord("b", 9)}
	}
	return copied, nil
}

// slowHistory answers the first snapshot late, with a state in which record a
// still exists, and the second one with the state of fakePeer.
type slowHistory struct{ scriptedHistory }

func (s *slowHistory) Snapshot(ctx context.Context, prefix string) ([]dcstore.Record, dcstore.Position, error) {
	records, position, err := s.scriptedHistory.Snapshot(ctx, prefix)
	if position.Before(at(9)) {
		time.Sleep(time.Second)
	}
	return records, position, err
}

// TestDelayedSnapshot guards against an answer of the store that was delayed
// and replaces the newer copy of another host: after a restart, a server that
// has left would be used again.
func TestDelayedSnapshot(t *testing.T) { synctest.Test(t, testDelayedSnapshot) }

func testDelayedSnapshot(t *testing.T) {
	history := &slowHistory{scriptedHistory{answers: []update{
		{records: []dcstore.Record{newRecord("a", 1)}, position: at(5)},
		{records: []dcstore.Record{newRecord("b", 9), newRecord("c", 11)}, position: at(11)},
	}}}
	var observer recordingObserver
	mirror := &Mirror{History: history, Peers: fakePeer{}, Observer: &observer, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := mirror.Run(ctx); err != nil {
		t.Error(err)
	}
	if got := observer.take(); got != "put b=v, synced, put c=v" {
		t.Error(got)
	}
}

// TestSnapshotBehindPeer guards against a host that ignores the store for good
// because another host claims a revision that the store has not reached.
func TestSnapshotBehindPeer(t *testing.T) {
	var observer recordingObserver
	mirror := &Mirror{Observer: &observer, Clock: clockwork.NewFakeClock(), Log: zap.NewNop(), set: newRecordSet(&observer, Lasting{})}
	mirror.apply(update{peer: true, records: []dcstore.Record{newRecord("b", 9)}, position: at(9)})
	mirror.apply(update{snapshot: true, copyPosition: at(9), records: []dcstore.Record{newRecord("c", 4)}, position: at(4)})
	if got := observer.take(); got != "put b=v, synced, put c=v, pending b" {
		t.Error(got)
	}
	if mirror.position != at(4) {
		t.Errorf("position %v, want that of the store", mirror.position)
	}
}

// TestPendingRemovalOfPeer guards against a host that keeps using a record whose
// removal was pending when it took the copy of another host: that host drops the
// record later, without a change of its revision.
func TestPendingRemovalOfPeer(t *testing.T) {
	var observer, unused recordingObserver
	clock := clockwork.NewFakeClock()
	first := &Mirror{Clock: clock, Log: zap.NewNop(), Observer: &unused, set: newRecordSet(&unused, Lasting{})}
	first.apply(update{snapshot: true, records: []dcstore.Record{newRecord("a", 1), newRecord("b", 2)}, position: at(2)})
	first.apply(update{changes: []dcstore.Change{newRemoval("a", 3)}, position: at(3)})
	copied := first.Copy(dcstore.Position{}, false)
	second := &Mirror{Clock: clock, Log: zap.NewNop(), Observer: &observer, set: newRecordSet(&observer, Lasting{})}
	second.apply(update{peer: true, records: copied.Records, pendingRemovals: copied.PendingRemovals, position: copied.Position})
	observer.take()
	second.set.removeDue(clock.Now().Add(outageRemovalDelay))
	if got := observer.take(); got != "remove a" {
		t.Errorf("got %q, want the removal of a", got)
	}
}

// TestChangesAfterPeer guards against applying changes again that the copy of
// another host already included: a server that has left would be used once
// more.
func TestChangesAfterPeer(t *testing.T) { synctest.Test(t, testChangesAfterPeer) }

func testChangesAfterPeer(t *testing.T) {
	history := &scriptedHistory{answers: []update{
		{records: []dcstore.Record{newRecord("a", 1)}, position: at(1)},
		{err: errors.New("refused")}, {err: errors.New("refused")}, {err: errors.New("refused")},
		{records: []dcstore.Record{newRecord("b", 9)}, position: at(9)},
	}}
	var observer recordingObserver
	mirror := &Mirror{History: history, Peers: fakePeer{}, Observer: &observer, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if err := mirror.Run(ctx); err != nil {
		t.Error(err)
	}
	if got := observer.take(); got != "put a=v, synced, put b=v, pending a, remove a" {
		t.Error(got)
	}
	history.mu.Lock()
	defer history.mu.Unlock()
	if last := history.calls[4]; last != "snapshot" {
		t.Errorf("calls %v: the changes after revision 1 were asked for", history.calls)
	}
}

// countingHistory counts the calls that wait for changes. With changing set each
// returns a change at once, otherwise none after 2 s.
type countingHistory struct {
	stalledHistory
	changing bool
	calls    atomic.Int64
}

func (c *countingHistory) Changes(ctx context.Context, _ string, after dcstore.Position) ([]dcstore.Change, dcstore.Position, error) {
	c.calls.Add(1)
	if c.changing {
		return []dcstore.Change{{Record: newRecord("a", after.Revision+1)}}, at(after.Revision + 1), nil
	}
	const wait = 2 * time.Second
	time.Sleep(wait)
	return nil, after, ctx.Err()
}

// TestPauseBetweenCalls guards against calls that follow each other without a
// pause, since each is billed, and against a host that is slow to learn of
// others at its start.
func TestPauseBetweenCalls(t *testing.T) {
	const maxBatchDelay = time.Second
	for _, changing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			history := &countingHistory{changing: changing}
			mirror := &Mirror{History: history, Observer: &recordingObserver{}, MaxBatchDelay: maxBatchDelay, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- mirror.Run(ctx) }()
			time.Sleep(maxBatchDelay)
			if firstCalls := history.calls.Load(); firstCalls == 0 || changing && firstCalls < 2 {
				t.Errorf("changing %v: %d calls in the first %v", changing, firstCalls, maxBatchDelay)
			}
			const span = 30 * time.Second
			before := history.calls.Load()
			time.Sleep(span)
			minInterval := maxBatchDelay
			if !changing {
				minInterval += 2 * time.Second
			}
			if made := history.calls.Load() - before; made > int64(span/minInterval)+1 {
				t.Errorf("changing %v: %d calls in %v", changing, made, span)
			}
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}
