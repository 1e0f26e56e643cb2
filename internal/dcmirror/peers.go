package dcmirror

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// applyPeer takes the copy of another host if it is newer, even if that host has
// not reached the store either, and its lasting record if that is newer.
func (m *Mirror) applyPeer(update update, now time.Time) {
	if update.askedLasting && m.lastingAsks > 0 {
		m.lastingAsks--
	}
	if update.lasting != nil && m.set.offer(*update.lasting) {
		m.Log.Info("record taken from another host, it is newer than that of the store", zap.String("key", update.lasting.Key))
	}
	if !update.position.After(m.position) || len(update.records) == 0 {
		return
	}
	restored := m.synced && update.position.Era > m.position.Era
	m.Log.Info("records taken from another host", zap.Int("records", len(update.records)),
		positionField("position", update.position), positionField("own-position", m.position), zap.Bool("restored", restored))
	if restored {
		m.set.recovered = now
	}
	m.setPosition(update.position)
	m.set.resetLog()
	m.set.replace(update.records, restored, now)
	if restored {
		m.Observer.Restored(m.position.Era)
		m.set.putRewritten()
	}
	// That host drops these records without a change of its position, so that no
	// later copy would tell.
	for _, key := range update.pendingRemovals {
		m.set.scheduleRemoval(key, now.Add(outageRemovalDelay))
	}
	m.markSynced()
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
		known, lasting, ask := m.needsPeers(started)
		if !ask {
			continue
		}
		copied, err := m.Peers.Fetch(ctx, known, lasting)
		if err != nil {
			m.Log.Info("no records from another host", zap.String("error", err.Error()))
			continue
		}
		select {
		case updates <- update{peer: true, records: copied.Records, pendingRemovals: copied.PendingRemovals, position: copied.Position, lasting: copied.Lasting, askedLasting: lasting}:
		case <-ctx.Done():
			return
		}
	}
}

// needsPeers returns the position of the copy, whether other hosts are to be asked
// for a newer one, and whether for their lasting record.
func (m *Mirror) needsPeers(started time.Time) (known dcstore.Position, lasting, ask bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Lasting.Key != "" && m.synced && m.lastingAsks > 0 && m.lastingTries > 0 {
		m.lastingTries--
		return m.position, true, true
	}
	if !m.storeReached {
		return m.position, false, m.Clock.Since(started) >= peerFetchDelay
	}
	return m.position, false, m.unavailable
}
