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
	"sync/atomic"
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
	// lastingAsks is the number of hosts that are asked for the lasting record after
	// a start, and after the store was restored: a host that has started since knows
	// no more than the store. lastingTries limits the calls.
	lastingAsks  = 3
	lastingTries = 12
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
	// Restored is called after the copy was replaced because the store was restored
	// from an older copy, and began the given era. Puts that follow are of records
	// that were written since.
	Restored(era dcstore.Era)
}

// Peers fetches records from the other hosts while the store is unavailable.
type Peers interface {
	// Fetch returns the copy of a host, without its records unless it is newer
	// than a known position. With lasting set, the copy includes the lasting record.
	Fetch(ctx context.Context, known dcstore.Position, lasting bool) (dcstore.Copy, error)
}

// Mirror maintains the copy. Set the exported fields before Run.
type Mirror struct {
	History dcstore.History
	// Peers may be nil.
	Peers    Peers
	Prefix   string
	Lasting  Lasting
	Observer Observer
	// MaxBatchDelay limits the pause after an answer; 800 ms when 0.
	MaxBatchDelay time.Duration
	// Following may be nil; the host then always calls the store itself.
	Following Following
	// MaxApplyDelay is the time within which changes must be in force on hosts that
	// follow others; 3 s when 0.
	MaxApplyDelay time.Duration
	// WatchWait is how long the store holds a watch without changes, 0 if that is not
	// known.
	WatchWait time.Duration
	Clock     clockwork.Clock
	Log       *zap.Logger
	// Meter may be nil.
	Meter *Meter

	backoff    time.Duration
	batchDelay time.Duration
	// followers is the number of calls of followers that are being answered.
	followers atomic.Int64
	// watchBegins is notified at the start of each watch.
	watchBegins chan struct{}

	mu       sync.Mutex
	set      *recordSet
	position dcstore.Position
	// storeReached is set once the store has answered.
	storeReached bool
	// unavailable is set while the store does not answer.
	unavailable bool
	synced      bool
	// missed is the position of the last probe when the copy had not reached it,
	// zero when it had.
	missed dcstore.Position
	// lastingAsks is the number of hosts that are still to be asked for the lasting
	// record, and lastingTries the number of calls that are left for that.
	lastingAsks, lastingTries int
	// cancelWatch cancels the call that waits for changes, nil when there is
	// none.
	cancelWatch context.CancelFunc
	// watchSuspect is set when a probe failed during that call.
	watchSuspect bool
	// watchStarted is the time at which that call began.
	watchStarted time.Time
	// confirmed is a time at which the store held nothing that the copy lacks, zero
	// if the store has not confirmed the copy yet.
	confirmed time.Time
	// proven is a time of which a call to the store has proved that, while a probe only
	// shows that the store is reached while a watch waits.
	proven time.Time
	// storeLatency is how much longer than WatchWait the last watch without changes took.
	storeLatency time.Duration
	// followedAt is the time at which a host last asked to follow this one.
	followedAt time.Time
	follower   follower
	// followedPosition is the position that the copy last took from a source.
	followedPosition dcstore.Position
	// changed is closed at the next change that a waiting call is interested in, nil
	// when there is no such call.
	changed chan struct{}
}

// Copy returns the copy, without its records unless it is newer than a known
// position. Its position is zero when there is none. With lasting set, it includes
// the lasting record.
func (m *Mirror) Copy(known dcstore.Position, lasting bool) dcstore.Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced {
		return dcstore.Copy{}
	}
	copied := dcstore.Copy{Position: m.position}
	if record, ok := m.set.records[m.Lasting.Key]; ok && lasting {
		copied.Lasting = &record
	}
	if m.position.After(known) {
		copied.Records = slices.Collect(maps.Values(m.set.records))
		copied.PendingRemovals = slices.Collect(maps.Keys(m.set.pendingRemoval))
	}
	return copied
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	m.mu.Lock()
	m.set = newRecordSet(m.Observer, m.Lasting)
	m.watchBegins = make(chan struct{}, 1)
	m.mu.Unlock()
	updates := make(chan update)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { m.watchStore(ctx, updates); return nil })
	group.Go(func() error { m.probe(ctx, updates); return nil })
	group.Go(func() error { m.fetchFromPeers(ctx, updates); return nil })
	group.Go(func() error { m.followSources(ctx, updates); return nil })
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
			if update.applied != nil {
				close(update.applied)
			}
		case <-timer.Chan():
		}
		next, ok := m.removeDue()
		if review, reviews := m.review(); reviews && (!ok || review.Before(next)) {
			next, ok = review, true
		}
		if ok {
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
	position        dcstore.Position
	// lasting is the lasting record of another host, nil if it was not asked for or
	// is not known there.
	lasting *dcstore.Record
	// askedLasting is set if the other host was asked for the lasting record.
	askedLasting bool
	// followed is set for the answer of a source.
	followed *followed
	// started is the time at which the call to the store began.
	started time.Time
	// applied is closed once the update has been applied; it may be nil.
	applied chan struct{}
	// copyPosition is the position of the copy when the call to the store began.
	copyPosition dcstore.Position
	err          error
}

// watchStore reads a snapshot and then waits for changes, one call after the
// other.
func (m *Mirror) watchStore(ctx context.Context, updates chan<- update) {
	var position dcstore.Position
	haveSnapshot := false
	for ctx.Err() == nil {
		if waited, reached := m.awaitRole(ctx); waited {
			position, haveSnapshot = reached, true
		}
		if reached, ok := m.hasFollowed(); ok && haveSnapshot {
			position = reached
		}
		if m.isAhead(position) {
			// The copy of another host was newer. Changes that it already includes
			// must not be applied again, so a new snapshot is read.
			haveSnapshot = false
		}
		update := update{snapshot: !haveSnapshot, copyPosition: m.copyPosition(), started: m.Clock.Now(), applied: make(chan struct{})}
		if haveSnapshot {
			watchCtx, cancel := clockwork.WithTimeout(ctx, m.Clock, watchTimeout)
			m.setWatch(cancel)
			update.changes, update.position, update.err = m.History.Changes(watchCtx, m.Prefix, position)
			m.setWatch(nil)
			watchEnded := watchCtx.Err() != nil && update.err != nil
			cancel()
			if watchEnded {
				continue
			}
		} else {
			update.records, update.position, update.err = m.History.Snapshot(ctx, m.Prefix)
		}
		pause := m.nextBatchDelay()
		switch {
		case errors.Is(update.err, dcstore.ErrCompacted):
			haveSnapshot = false
			pause = 0
		case update.err != nil:
			pause = 0
		default:
			haveSnapshot, position, m.backoff = true, update.position, 0
		}
		select {
		case updates <- update:
			<-update.applied
		case <-ctx.Done():
			return
		}
		if update.err != nil && !errors.Is(update.err, dcstore.ErrCompacted) {
			m.awaitStore(ctx, updates)
		}
		if pause > 0 {
			pause = m.storePause(pause)
		}
		m.wait(ctx, pause)
	}
}

// awaitStore waits until a probe succeeds, since calls that are refused cost as
// much as others, or until this host follows another one.
func (m *Mirror) awaitStore(ctx context.Context, updates chan<- update) {
	for ctx.Err() == nil {
		m.wait(ctx, m.nextBackoff())
		if !m.callsStore() {
			return
		}
		started := m.Clock.Now()
		position, err := m.History.Probe(ctx)
		select {
		case updates <- update{probe: true, started: started, position: position, err: err}:
		case <-ctx.Done():
		}
		if err == nil {
			return
		}
	}
}

// copyPosition returns the position of the copy.
func (m *Mirror) copyPosition() dcstore.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// isAhead reports whether the copy is newer than the position that watchStore has
// read.
func (m *Mirror) isAhead(position dcstore.Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position.After(position)
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
	if cancel == nil {
		return
	}
	m.watchStarted = m.Clock.Now()
	select {
	case m.watchBegins <- struct{}{}:
	default:
	}
}

// probe asks the store at intervals, while a call waits for changes, whether it
// answers and which position it has reached.
func (m *Mirror) probe(ctx context.Context, updates chan<- update) {
	for {
		m.awaitProbe(ctx)
		if ctx.Err() != nil {
			return
		}
		if !m.isWatching() {
			continue
		}
		started := m.Clock.Now()
		position, err := m.History.Probe(ctx)
		select {
		case updates <- update{probe: true, started: started, position: position, err: err}:
		case <-ctx.Done():
			return
		}
	}
}

// awaitProbe waits until a probe is due. Where hosts follow this one, that is also
// soon after the start of each watch, to confirm the copy again after the pause.
func (m *Mirror) awaitProbe(ctx context.Context) {
	if !m.isFollowed() {
		m.wait(ctx, probeInterval)
		return
	}
	timer := m.Clock.NewTimer(m.followedProbeInterval())
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-m.watchBegins:
		m.wait(ctx, firstProbeDelay)
	case <-ctx.Done():
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
// failed probe, one that has not delivered the position of a probe by the next
// probe, or one that follows the history of an earlier era.
func (m *Mirror) applyProbe(update update, now time.Time) {
	if update.err != nil {
		m.watchSuspect = m.cancelWatch != nil
		m.lost(update.err)
		return
	}
	m.recovered(update.position, now)
	stalled := m.watchSuspect || m.position.Before(m.missed) || update.position.Era > m.position.Era
	m.missed = dcstore.Position{}
	if update.position.After(m.position) {
		m.missed = update.position
	} else if !stalled && m.cancelWatch != nil && update.started.After(m.watchStarted) {
		// The store would have answered the watch if it had accepted a change.
		m.confirm(m.trusted(update.started))
	}
	if m.cancelWatch != nil && stalled {
		m.Log.Warn("watch of the store ended, it is silent", positionField("position", m.position), positionField("reached", update.position))
		m.cancelWatch()
		m.cancelWatch = nil
	}
}

// recovered records that the store has answered.
func (m *Mirror) recovered(position dcstore.Position, now time.Time) {
	if m.unavailable {
		m.unavailable = false
		m.set.recovered = now
		m.Log.Info("store regained", positionField("position", position))
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
	case update.followed != nil:
		m.applyFollowed(update, now)
		return
	case update.err != nil && m.follower.following:
		// A call that ended after this host had begun to follow another one.
		return
	case update.probe:
		m.applyProbe(update, now)
		return
	case errors.Is(update.err, dcstore.ErrCompacted):
		m.Log.Warn("store history is gone, reading everything again", positionField("position", update.position))
		return
	case update.err != nil:
		m.lost(update.err)
		return
	}
	m.storeReached = true
	m.recovered(update.position, now)
	if update.position.Before(m.position) && update.copyPosition.Before(m.position) {
		// The copy of another host arrived during the call. The answer may list
		// records that are gone in it; watchStore reads a new snapshot.
		m.Log.Info("answer of the store ignored, the copy is newer", positionField("position", update.position), positionField("own-position", m.position))
		return
	}
	if !update.snapshot {
		if update.copyPosition.Before(m.position) {
			// The copy of a source arrived during the call and includes some changes.
			included := m.position
			update.changes = slices.DeleteFunc(slices.Clone(update.changes), func(change dcstore.Change) bool { return !change.Position().After(included) })
		}
		m.setPosition(update.position)
		m.set.change(update.changes, now)
		m.confirmWatch(update, now)
		m.markSynced()
		return
	}
	// A store that names no era shows by its revision alone that it was restored.
	restored := m.synced && (update.position.Era > m.position.Era || update.position.Before(m.position))
	if restored {
		m.Log.Warn("store was restored from an older copy", positionField("position", update.position), positionField("own-position", m.position))
		m.set.recovered = now
	}
	m.setPosition(update.position)
	m.set.resetLog()
	m.set.replace(update.records, restored, now)
	m.prove(update.started)
	if restored {
		m.Observer.Restored(m.position.Era)
		m.set.putRewritten()
	}
	if restored || !m.synced {
		m.lastingAsks, m.lastingTries = lastingAsks, lastingTries
	}
	m.markSynced()
}

// positionField logs a position in the store's history.
func positionField(key string, position dcstore.Position) zap.Field {
	return zap.Dict(key, zap.Int64("era", int64(position.Era)), zap.Int64("revision", int64(position.Revision)))
}

// setPosition sets the position of the copy.
func (m *Mirror) setPosition(position dcstore.Position) {
	if position != m.position {
		m.notifyFollowers()
	}
	m.set.before, m.position, m.set.position = m.position, position, position
}

func (m *Mirror) markSynced() {
	if !m.synced {
		m.synced = true
		m.Observer.Synced()
	}
}
