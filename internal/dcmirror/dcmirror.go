// Package dcmirror keeps a copy of the records below a prefix of the
// key-value service. It outlives outages of the service: records that lapse
// while the service is away are kept until their owners had time to write them
// again.
package dcmirror

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// gatherTime is the pause after an answer. Each call is priced, so changes
	// that follow each other are read with one.
	gatherTime = 300 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
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

// Mirror keeps the copy. Set the exported fields before Run.
type Mirror struct {
	History  dcstore.History
	Prefix   string
	Observer Observer
	Clock    clockwork.Clock
	Log      *zap.Logger

	state   *copied
	backoff time.Duration
	away    bool
	synced  bool
}

// Run follows the service until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	m.state = newCopied(m.Observer)
	updates := make(chan update)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.follow(ctx, updates)
	}()
	defer func() { <-done }()
	timer := m.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case update := <-updates:
			m.apply(update)
		case <-timer.Chan():
		}
		now := m.Clock.Now()
		m.state.expire(now)
		if next, ok := m.state.next(); ok {
			timer.Reset(max(next.Sub(now), 0))
		}
	}
}

// update is the result of one call.
type update struct {
	snapshot bool
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
	now := m.Clock.Now()
	switch {
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
	if !m.synced {
		m.synced = true
		m.Observer.Synced()
	}
}
