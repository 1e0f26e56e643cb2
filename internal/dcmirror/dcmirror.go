// Package dcmirror keeps a copy of the records below a prefix of the key-value
// store. The copy survives outages of the store: records that expire during an
// outage are kept until their owners had time to write them again.
package dcmirror

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// minBatchDelay is the pause after the first answer. Each call to the store
	// is billed, so changes that follow each other are read with one call. The
	// pause doubles with each answer up to Mirror.MaxBatchDelay, so that a host
	// learns of the others soon after its start.
	minBatchDelay = 200 * time.Millisecond
	// defaultMaxBatchDelay applies when Mirror.MaxBatchDelay is not set.
	defaultMaxBatchDelay = 800 * time.Millisecond
	// watchTimeout ends a watch without an answer. Its connection can stall, and
	// probes do not always show that, because the revision that they read may be
	// seconds old. The pause before a watch, the timeout and a call after it fit
	// into the platform's stability window of four seconds, after which the
	// bounds on configurations and leaving servers apply again.
	watchTimeout = 2700 * time.Millisecond
	// probeInterval is the time between probes, which detect a store that does
	// not answer earlier than watchTimeout does.
	probeInterval = 1300 * time.Millisecond
	// firstBackoff and maxBackoff are the shortest and the longest pause after a
	// failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// peerFetchInterval is the time between calls to other hosts while the store
	// does not answer.
	peerFetchInterval = 300 * time.Millisecond
	// peerFetchDelay is how long a starting host waits for the store before it
	// also asks other hosts.
	peerFetchDelay = 250 * time.Millisecond
)

// Observer is notified of changes of the copy, one call at a time.
type Observer interface {
	// Put is called with a record that is new or was changed.
	Put(record dcstore.Record)
	// RemovalPending is called with the key of a record that was removed, but may
	// be written again soon.
	RemovalPending(key string)
	// Remove is called with the key of a record that is gone.
	Remove(key string)
	// Synced is called once the first copy is complete.
	Synced()
}

// Peers fetches records from the other hosts while the store is unavailable.
type Peers interface {
	// Fetch returns the copy of a host, without its records unless it is newer
	// than a known revision.
	Fetch(ctx context.Context, known dcstore.Revision) (dcstore.Copy, error)
}

// Mirror maintains the copy. Set the exported fields before Run.
type Mirror struct {
	History dcstore.History
	// Peers may be nil.
	Peers    Peers
	Prefix   string
	Observer Observer
	// MaxBatchDelay limits the pause after an answer; 800 ms when 0.
	MaxBatchDelay time.Duration
	Clock         clockwork.Clock
	Log           *zap.Logger

	backoff    time.Duration
	batchDelay time.Duration

	mu       sync.Mutex
	set      *recordSet
	revision dcstore.Revision
	// storeReached is set once the store has answered.
	storeReached bool
	// unavailable is set while the store does not answer.
	unavailable bool
	synced      bool
	// missedRevision is the revision of the last probe when the copy had not
	// reached it, 0 when it had.
	missedRevision dcstore.Revision
	// cancelWatch cancels the call that waits for changes, nil when there is
	// none.
	cancelWatch context.CancelFunc
	// watchSuspect is set when a probe failed during that call.
	watchSuspect bool
}

// Copy returns the copy, without its records unless it is newer than a known
// revision. Its revision is 0 when there is none.
func (m *Mirror) Copy(known dcstore.Revision) dcstore.Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced {
		return dcstore.Copy{}
	}
	copied := dcstore.Copy{Revision: m.revision}
	if m.revision > known {
		copied.Records = slices.Collect(maps.Values(m.set.records))
		copied.PendingRemovals = slices.Collect(maps.Keys(m.set.pendingRemoval))
	}
	return copied
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	m.mu.Lock()
	m.set = newRecordSet(m.Observer)
	m.mu.Unlock()
	updates := make(chan update)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { m.watchStore(ctx, updates); return nil })
	group.Go(func() error { m.probe(ctx, updates); return nil })
	group.Go(func() error { m.fetchFromPeers(ctx, updates); return nil })
	group.Go(func() error { m.applyUpdates(ctx, updates); return nil })
	return group.Wait()
}

// applyUpdates applies the results of calls, and drops records when their
// removal is due.
func (m *Mirror) applyUpdates(ctx context.Context, updates <-chan update) {
	timer := m.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-updates:
			m.apply(update)
		case <-timer.Chan():
		}
		if next, ok := m.removeDue(); ok {
			timer.Reset(max(next.Sub(m.Clock.Now()), 0))
		}
	}
}

// removeDue drops the records whose removal is due, and returns when the next
// one is.
func (m *Mirror) removeDue() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set.removeDue(m.Clock.Now())
	return m.set.nextRemoval()
}

// update is the result of a call to the store or to another host. snapshot, peer
// or probe is set for the result of Snapshot, of another host or of Probe, and
// none of them for that of Changes.
type update struct {
	snapshot bool
	peer     bool
	probe    bool
	records  []dcstore.Record
	changes  []dcstore.Change
	// pendingRemovals lists the records of another host whose removal is pending
	// there.
	pendingRemovals []string
	revision        dcstore.Revision
	// copyRevision is the revision of the copy when the call to the store began.
	copyRevision dcstore.Revision
	err          error
}

// watchStore reads a snapshot and then waits for changes, one call after the
// other.
func (m *Mirror) watchStore(ctx context.Context, updates chan<- update) {
	var revision dcstore.Revision
	haveSnapshot := false
	for ctx.Err() == nil {
		if m.isAhead(revision) {
			// The copy of another host was newer. Changes that it already includes
			// must not be applied again, so a new snapshot is read.
			haveSnapshot = false
		}
		update := update{snapshot: !haveSnapshot, copyRevision: m.copyRevision()}
		if haveSnapshot {
			watchCtx, cancel := clockwork.WithTimeout(ctx, m.Clock, watchTimeout)
			m.setWatch(cancel)
			update.changes, update.revision, update.err = m.History.Changes(watchCtx, m.Prefix, revision)
			m.setWatch(nil)
			watchEnded := watchCtx.Err() != nil && update.err != nil
			cancel()
			if watchEnded {
				continue
			}
		} else {
			update.records, update.revision, update.err = m.History.Snapshot(ctx, m.Prefix)
		}
		pause := m.nextBatchDelay()
		switch {
		case errors.Is(update.err, dcstore.ErrCompacted):
			haveSnapshot = false
			pause = 0
		case update.err != nil:
			pause = 0
		default:
			haveSnapshot, revision, m.backoff = true, update.revision, 0
		}
		select {
		case updates <- update:
		case <-ctx.Done():
			return
		}
		if update.err != nil && !errors.Is(update.err, dcstore.ErrCompacted) {
			m.awaitStore(ctx, updates)
		}
		m.wait(ctx, pause)
	}
}

// awaitStore waits until a probe succeeds, since calls that are refused cost as
// much as others.
func (m *Mirror) awaitStore(ctx context.Context, updates chan<- update) {
	for ctx.Err() == nil {
		m.wait(ctx, m.nextBackoff())
		revision, err := m.History.Probe(ctx)
		select {
		case updates <- update{probe: true, revision: revision, err: err}:
		case <-ctx.Done():
		}
		if err == nil {
			return
		}
	}
}

// copyRevision returns the revision of the copy.
func (m *Mirror) copyRevision() dcstore.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// isAhead reports whether the copy is newer than the revision that watchStore
// has read.
func (m *Mirror) isAhead(revision dcstore.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision > revision
}

// nextBatchDelay returns the pause after an answer.
func (m *Mirror) nextBatchDelay() time.Duration {
	m.batchDelay = min(max(2*m.batchDelay, minBatchDelay), cmp.Or(m.MaxBatchDelay, defaultMaxBatchDelay))
	return m.batchDelay
}

// setWatch sets the function that cancels the call that waits for changes, nil
// when there is none.
func (m *Mirror) setWatch(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelWatch, m.watchSuspect = cancel, false
}

// probe asks the store at intervals, while a call waits for changes, whether it
// answers and which revision it has reached.
func (m *Mirror) probe(ctx context.Context, updates chan<- update) {
	for {
		m.wait(ctx, probeInterval)
		if ctx.Err() != nil {
			return
		}
		if !m.isWatching() {
			continue
		}
		revision, err := m.History.Probe(ctx)
		select {
		case updates <- update{probe: true, revision: revision, err: err}:
		case <-ctx.Done():
			return
		}
	}
}

// isWatching reports whether a call waits for changes. Other calls show by
// themselves that the store does not answer.
func (m *Mirror) isWatching() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cancelWatch != nil
}

// applyProbe cancels a watch that has stalled: one that was waiting during a
// failed probe, or one that has not delivered the revision of a probe by the
// next probe.
func (m *Mirror) applyProbe(update update, now time.Time) {
	if update.err != nil {
		m.watchSuspect = m.cancelWatch != nil
		m.lost(update.err)
		return
	}
	m.recovered(update.revision, now)
	stalled := m.watchSuspect || m.missedRevision != 0 && m.revision < m.missedRevision
	m.missedRevision = 0
	if update.revision > m.revision {
		m.missedRevision = update.revision
	}
	if m.cancelWatch != nil && stalled {
		m.Log.Warn("watch of the store ended, it is silent", zap.Int64("revision", int64(m.revision)), zap.Int64("reached", int64(update.revision)))
		m.cancelWatch()
		m.cancelWatch = nil
	}
}

// recovered records that the store has answered.
func (m *Mirror) recovered(revision dcstore.Revision, now time.Time) {
	if m.unavailable {
		m.unavailable = false
		m.set.recovered = now
		m.Log.Info("store regained", zap.Int64("revision", int64(revision)))
	}
}

// lost records that the store has not answered.
func (m *Mirror) lost(err error) {
	if !m.unavailable {
		m.unavailable = true
		m.Log.Warn("store lost", zap.String("error", err.Error()))
	}
}

// nextBackoff returns the pause after a failed call.
func (m *Mirror) nextBackoff() time.Duration {
	m.backoff = min(max(2*m.backoff, firstBackoff), maxBackoff)
	return m.backoff
}

func (m *Mirror) wait(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := m.Clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

func (m *Mirror) apply(update update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	switch {
	case update.peer:
		m.applyPeer(update, now)
		return
	case update.probe:
		m.applyProbe(update, now)
		return
	case errors.Is(update.err, dcstore.ErrCompacted):
		m.Log.Warn("store history is gone, reading everything again", zap.Int64("revision", int64(update.revision)))
		return
	case update.err != nil:
		m.lost(update.err)
		return
	}
	m.storeReached = true
	m.recovered(update.revision, now)
	if update.revision < m.revision && update.copyRevision < m.revision {
		// The copy of another host arrived during the call. The answer may list
		// records that are gone in it; watchStore reads a new snapshot.
		m.Log.Info("answer of the store ignored, the copy is newer", zap.Int64("revision", int64(update.revision)), zap.Int64("own-revision", int64(m.revision)))
		return
	}
	m.revision = update.revision
	if update.snapshot {
		m.set.replace(update.records, now)
	} else {
		m.set.change(update.changes, now)
	}
	m.markSynced()
}

// applyPeer takes the copy of another host if it is newer, even if that host
// has not reached the store either.
func (m *Mirror) applyPeer(update update, now time.Time) {
	if update.revision <= m.revision || len(update.records) == 0 {
		return
	}
	m.Log.Info("records taken from another host", zap.Int("records", len(update.records)),
		zap.Int64("revision", int64(update.revision)), zap.Int64("own-revision", int64(m.revision)))
	m.revision = update.revision
	m.set.replace(update.records, now)
	// That host drops these records without a change of its revision, so that no
	// later copy would tell.
	for _, key := range update.pendingRemovals {
		m.set.scheduleRemoval(key, now.Add(outageRemovalDelay))
	}
	m.markSynced()
}

func (m *Mirror) markSynced() {
	if !m.synced {
		m.synced = true
		m.Observer.Synced()
	}
}

// fetchFromPeers asks the other hosts for their records while the store does
// not answer.
func (m *Mirror) fetchFromPeers(ctx context.Context, updates chan<- update) {
	if m.Peers == nil {
		return
	}
	started := m.Clock.Now()
	for {
		m.wait(ctx, peerFetchInterval)
		if ctx.Err() != nil {
			return
		}
		known, ask := m.needsPeers(started)
		if !ask {
			continue
		}
		copied, err := m.Peers.Fetch(ctx, known)
		if err != nil {
			m.Log.Info("no records from another host", zap.String("error", err.Error()))
			continue
		}
		select {
		case updates <- update{peer: true, records: copied.Records, pendingRemovals: copied.PendingRemovals, revision: copied.Revision}:
		case <-ctx.Done():
			return
		}
	}
}

// needsPeers returns the revision of the copy and whether other hosts are to be
// asked for a newer one.
func (m *Mirror) needsPeers(started time.Time) (known dcstore.Revision, ask bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.storeReached {
		return m.revision, m.Clock.Since(started) >= peerFetchDelay
	}
	return m.revision, m.unavailable
}
