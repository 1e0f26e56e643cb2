// Package dcmirror keeps a copy of the records below a prefix of the
// key-value service. It outlives outages of the service: records that lapse
// while the service is away are kept until their owners had time to write them
// again.
package dcmirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// gatherTime is the pause after an answer. Each call is priced, so changes
	// that follow each other are read with one.
	gatherTime = 300 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// peerInterval is the time between questions to other hosts while the
	// service does not answer.
	peerInterval = 300 * time.Millisecond
	// startWait is how long a starting host waits for the service alone.
	startWait = 250 * time.Millisecond
	// silenceWait is the time without an answer, a watch without changes and
	// its slack, after which the service counts as away.
	silenceWait = 3 * time.Second
)

// Observer takes the changes of the copy, one call at a time.
type Observer interface {
	// Put takes a record that is new or was changed.
	Put(record dcstore.Record)
	// Doubt takes a key whose record was removed, but may be back soon.
	Doubt(key string)
	// Remove takes a key whose record is gone.
	Remove(key string)
	// Synced is called once the first copy is complete.
	Synced()
}

// Peers are the other hosts, which are asked while the service is away.
type Peers interface {
	// Fetch returns the records of a host if they are newer than a revision,
	// and the revision of its copy.
	Fetch(ctx context.Context, known dcstore.Revision) ([]dcstore.Record, dcstore.Revision, error)
}

// Mirror keeps the copy. Set the exported fields before Run.
type Mirror struct {
	History dcstore.History
	// Peers may be nil.
	Peers    Peers
	Prefix   string
	Observer Observer
	Clock    clockwork.Clock
	Log      *zap.Logger

	backoff time.Duration

	mu       sync.Mutex
	state    *copied
	revision dcstore.Revision
	// heard is the time of the last answer of the service.
	heard  time.Time
	away   bool
	synced bool
}

// Copy returns the records if they are newer than a revision, and the revision
// of the copy, 0 when there is none.
func (m *Mirror) Copy(known dcstore.Revision) (records []dcstore.Record, revision dcstore.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced {
		return nil, 0
	}
	if m.revision > known {
		for _, record := range m.state.records {
			records = append(records, record)
		}
	}
	return records, m.revision
}

// Run follows the service until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	m.mu.Lock()
	m.state = newCopied(m.Observer)
	m.mu.Unlock()
	updates := make(chan update)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { m.follow(ctx, updates); return nil })
	group.Go(func() error { m.askPeers(ctx, updates); return nil })
	group.Go(func() error { m.keep(ctx, updates); return nil })
	return group.Wait()
}

// keep applies updates and gives up doubted records in time.
func (m *Mirror) keep(ctx context.Context, updates <-chan update) {
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
		if next, ok := m.expire(); ok {
			timer.Reset(max(next.Sub(m.Clock.Now()), 0))
		}
	}
}

// expire gives up doubted records and returns when the next one is due.
func (m *Mirror) expire() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.expire(m.Clock.Now())
	return m.state.next()
}

// update is the result of one call.
type update struct {
	snapshot bool
	peer     bool
	records  []dcstore.Record
	changes  []dcstore.Change
	revision dcstore.Revision
	err      error
}

// follow makes the calls, one after the other.
func (m *Mirror) follow(ctx context.Context, updates chan<- update) {
	var revision dcstore.Revision
	complete := false
	for ctx.Err() == nil {
		update := update{snapshot: !complete}
		if complete {
			update.changes, update.revision, update.err = m.History.Changes(ctx, m.Prefix, revision)
		} else {
			update.records, update.revision, update.err = m.History.Snapshot(ctx, m.Prefix)
		}
		pause := gatherTime
		switch {
		case errors.Is(update.err, dcstore.ErrHistoryGone):
			complete = false
			pause = 0
		case update.err != nil:
			pause = m.nextBackoff()
		default:
			complete, revision, m.backoff = true, update.revision, 0
		}
		select {
		case updates <- update:
		case <-ctx.Done():
			return
		}
		m.wait(ctx, pause)
	}
}

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
	case errors.Is(update.err, dcstore.ErrHistoryGone):
		m.Log.Warn("store history is gone, reading everything again", zap.Int64("revision", int64(update.revision)))
		return
	case update.err != nil:
		if !m.away {
			m.away = true
			m.Log.Warn("store lost", zap.Error(update.err))
		}
		return
	}
	m.heard = now
	m.revision = max(m.revision, update.revision)
	if m.away {
		m.away = false
		m.state.regained = now
		m.Log.Info("store regained", zap.Int64("revision", int64(update.revision)))
	}
	if update.snapshot {
		m.state.replace(update.records, now)
	} else {
		m.state.change(update.changes, now)
	}
	m.complete()
}

// applyPeer takes the copy of another host. It replaces an older one, also if
// that host has not reached the service either.
func (m *Mirror) applyPeer(update update, now time.Time) {
	if update.revision <= m.revision || len(update.records) == 0 {
		return
	}
	m.Log.Info("records taken from another host", zap.Int("records", len(update.records)),
		zap.Int64("revision", int64(update.revision)), zap.Int64("own-revision", int64(m.revision)))
	m.revision = update.revision
	m.state.replace(update.records, now)
	m.complete()
}

func (m *Mirror) complete() {
	if !m.synced {
		m.synced = true
		m.Observer.Synced()
	}
}

// askPeers asks the other hosts while the service does not answer.
func (m *Mirror) askPeers(ctx context.Context, updates chan<- update) {
	if m.Peers == nil {
		return
	}
	started := m.Clock.Now()
	for {
		m.wait(ctx, peerInterval)
		if ctx.Err() != nil {
			return
		}
		known, ask := m.needPeers(started)
		if !ask {
			continue
		}
		records, revision, err := m.Peers.Fetch(ctx, known)
		if err != nil {
			m.Log.Info("no records from another host", zap.Error(err))
			continue
		}
		select {
		case updates <- update{peer: true, records: records, revision: revision}:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mirror) needPeers(started time.Time) (known dcstore.Revision, ask bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if m.heard.IsZero() {
		return m.revision, now.Sub(started) >= startWait
	}
	return m.revision, m.away || now.Sub(m.heard) >= silenceWait
}
