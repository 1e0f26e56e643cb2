package dcmirror

import (
	"context"
	"maps"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// watchWaitTolerance is how much earlier than announced the store may end a watch.
	watchWaitTolerance = 50 * time.Millisecond
	// firstProbeDelay is the time from the start of a watch to the probe that shows
	// that the store is still reached.
	firstProbeDelay = 100 * time.Millisecond
	// confirmationReserve is the part of MaxAge that a source keeps for the next watch,
	// the first probe after its start and the way to the followers.
	confirmationReserve = 250 * time.Millisecond
)

// Following connects the mirror with the hosts that it may follow.
type Following interface {
	// Sources returns the addresses of the hosts to follow in the order of preference,
	// none if this host is to call the store itself.
	Sources() []string
	// Follow asks a host for the changes of its copy.
	Follow(ctx context.Context, address string, query dcstore.FollowQuery) (dcstore.FollowAnswer, error)
}

// followed is the result of a call to a source.
type followed struct {
	source  string
	query   dcstore.FollowQuery
	started time.Time
	answer  dcstore.FollowAnswer
}

// Follow answers a host that follows this one: at once if this host's copy is
// newer, and otherwise when it changes, when its confirmation is younger by a good
// part, or when the time to wait has passed. A host whose own confirmation is old
// answers at once, so that the other host asks elsewhere.
func (m *Mirror) Follow(ctx context.Context, query dcstore.FollowQuery) dcstore.FollowAnswer {
	if m.followers.Add(1) > maxFollowers {
		m.followers.Add(-1)
		return dcstore.FollowAnswer{}
	}
	defer m.followers.Add(-1)
	started := m.Clock.Now()
	wait := min(query.Wait, maxFollowWait)
	for {
		m.mu.Lock()
		now := m.Clock.Now()
		m.followedAt = now
		held := now.Sub(started)
		next := m.answerIn(query, started, now)
		if next <= 0 || held >= wait || ctx.Err() != nil {
			answer := m.answer(query, held, now)
			m.mu.Unlock()
			return answer
		}
		changed := m.changedChannel()
		m.mu.Unlock()
		timer := m.Clock.NewTimer(min(next, wait-held))
		select {
		case <-changed:
		case <-timer.Chan():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// answerIn returns the time until a follower is to be answered unless something
// changes, 0 if that is due. The caller holds the lock.
func (m *Mirror) answerIn(query dcstore.FollowQuery, started, now time.Time) time.Duration {
	age, confirmed := m.confirmationAge(now)
	old := time.Duration(oldFraction * float64(m.maxAge()))
	if !m.synced || !confirmed || age >= old || m.position.After(query.Known) || !query.Confirmed {
		return 0
	}
	theirAge := query.ConfirmationAge + now.Sub(started)
	refresh := time.Duration(refreshFraction * float64(m.maxAge()))
	if theirAge-age < refresh/2 {
		// A younger confirmation wakes the caller.
		return old - age
	}
	return min(max(refresh-theirAge, 0), old-age)
}

// answer returns what a follower is told. The caller holds the lock.
func (m *Mirror) answer(query dcstore.FollowQuery, held time.Duration, now time.Time) dcstore.FollowAnswer {
	if !m.synced {
		return dcstore.FollowAnswer{}
	}
	answer := dcstore.FollowAnswer{Position: m.position, Waited: held}
	answer.ConfirmationAge, answer.Confirmed = m.confirmationAge(now)
	if m.position.After(query.Known) {
		answer.Records, answer.Removals, answer.Snapshot = m.set.since(query.Known, now)
	}
	m.Meter.answered(answer.Snapshot)
	return answer
}

// confirmationAge returns the time since the store last confirmed the copy, false
// if it never did. The caller holds the lock.
func (m *Mirror) confirmationAge(now time.Time) (time.Duration, bool) {
	if m.confirmed.IsZero() {
		return 0, false
	}
	return max(elapsedAtMost(m.confirmed, now), 0), true
}

// confirm records that the copy holds everything that the store had accepted at a
// time. The caller holds the lock.
func (m *Mirror) confirm(at time.Time) {
	if at.After(m.confirmed) {
		m.confirmed = at
		m.notifyFollowers()
	}
}

// notifyFollowers wakes the calls of followers. The caller holds the lock.
func (m *Mirror) notifyFollowers() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// changedChannel returns a channel that is closed at the next change of the copy,
// of its confirmation, or of the role. The caller holds the lock.
func (m *Mirror) changedChannel() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// maxApplyDelay returns the time within which changes must be in force.
func (m *Mirror) maxApplyDelay() time.Duration {
	if m.MaxApplyDelay > 0 {
		return m.MaxApplyDelay
	}
	return defaultMaxApplyDelay
}

// maxAge returns the age of the confirmation from which a follower calls the store.
func (m *Mirror) maxAge() time.Duration { return maxAge(m.maxApplyDelay()) }

// prove records that a call to the store has proved that the copy holds everything
// that the store had accepted at a time. The caller holds the lock.
func (m *Mirror) prove(at time.Time) {
	if at.After(m.proven) {
		m.proven = at
	}
	m.confirm(at)
}

// trusted limits a confirmation by a probe. A watch can be silent while probes that
// are seconds old hide it, so that what was last proved must not be so old that
// followers are late. The caller holds the lock.
func (m *Mirror) trusted(at time.Time) time.Time {
	limit := m.proven.Add(m.maxApplyDelay() - storeCallReserve - m.maxAge())
	if at.After(limit) {
		return limit
	}
	return at
}

// isFollowed reports whether a host has lately asked to follow this one.
func (m *Mirror) isFollowed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wasFollowed()
}

// wasFollowed is isFollowed for a caller that holds the lock.
func (m *Mirror) wasFollowed() bool {
	return !m.followedAt.IsZero() && m.Clock.Since(m.followedAt) < followedTime
}

// callsStore reports whether this host calls the store itself.
func (m *Mirror) callsStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.follower.following
}

// awaitRole waits while this host follows another one. It returns whether it has
// waited, and the position to continue with.
func (m *Mirror) awaitRole(ctx context.Context) (waited bool, position dcstore.Position) {
	for {
		m.mu.Lock()
		if !m.follower.following || ctx.Err() != nil {
			defer m.mu.Unlock()
			return waited, m.position
		}
		changed := m.changedChannel()
		m.mu.Unlock()
		waited = true
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// hasFollowed reports whether the copy is that of a source at its present position.
func (m *Mirror) hasFollowed() (dcstore.Position, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position, m.synced && m.position == m.followedPosition
}

// review looks at the list of sources and at the age of the confirmation, and
// returns when to do so again, false if never.
func (m *Mirror) review() (time.Time, bool) {
	if m.Following == nil {
		return time.Time{}, false
	}
	sources := m.Following.Sources()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if !m.synced {
		return now.Add(reviewInterval), true
	}
	m.follower.maxAge = m.maxAge()
	wasFollowing, source := m.follower.following, m.follower.source()
	if m.follower.setSources(sources) {
		role := "source"
		if len(sources) > 0 {
			role = "follower"
		}
		m.Log.Info("role changed", zap.String("role", role), zap.Strings("sources", sources))
	}
	age, confirmed := m.confirmationAge(now)
	if m.follower.overdue(age, confirmed) {
		m.Log.Info("store called, no source confirms its records", zap.Duration("age", age), zap.String("source", source))
	}
	if wasFollowing != m.follower.following || source != m.follower.source() {
		m.notifyFollowers()
	}
	m.Meter.update(len(sources) == 0, m.follower.following, age)
	next := reviewInterval
	if m.follower.following {
		next = min(next, m.maxAge()-age)
	}
	return now.Add(next), true
}

// followSources asks the sources for changes, one call after the other.
func (m *Mirror) followSources(ctx context.Context, updates chan<- update) {
	if m.Following == nil {
		return
	}
	for ctx.Err() == nil {
		call := m.nextFollow(ctx)
		if call == nil {
			continue
		}
		applied := make(chan struct{})
		callCtx, cancel := clockwork.WithTimeout(ctx, m.Clock, call.query.Wait+followTimeout)
		var err error
		call.answer, err = m.Following.Follow(callCtx, call.source, call.query)
		cancel()
		select {
		case updates <- update{followed: call, err: err, applied: applied}:
			<-applied
		case <-ctx.Done():
			return
		}
	}
}

// nextFollow returns the next call to a source. It returns nil after a pause if
// there is none.
func (m *Mirror) nextFollow(ctx context.Context) *followed {
	m.mu.Lock()
	now := m.Clock.Now()
	changed := m.changedChannel()
	source := m.follower.source()
	pause := reviewInterval
	if source != "" {
		pause = m.follower.retryAt.Sub(now)
	}
	if pause <= 0 {
		defer m.mu.Unlock()
		query := dcstore.FollowQuery{Known: m.position, Wait: m.follower.wait()}
		query.ConfirmationAge, query.Confirmed = m.confirmationAge(now)
		m.Meter.called()
		return &followed{source: source, query: query, started: now}
	}
	m.mu.Unlock()
	timer := m.Clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-changed:
	case <-ctx.Done():
	}
	return nil
}

// applyFollowed takes the answer of a source. The copy never returns to an older
// position: of a source that is behind, only the confirmation counts.
func (m *Mirror) applyFollowed(update update, now time.Time) {
	call := update.followed
	if call.source != m.follower.source() {
		return
	}
	answer := &call.answer
	switch {
	case update.err != nil:
		m.sourceFailed(call, "no answer", now)
		return
	case answer.Position == dcstore.Position{} || !answer.Confirmed:
		m.sourceFailed(call, "no confirmed copy", now)
		return
	case answer.Position.Before(m.position) && m.position.Era == 0:
		// Without eras, only a call to the store tells whether it was restored.
		m.sourceFailed(call, "copy behind, and the store names no era", now)
		return
	case answer.Position.Era < m.position.Era:
		m.sourceFailed(call, "copy of an earlier era", now)
		return
	case call.query.Known != m.position:
		// The copy has changed during the call, so that the changes do not fit.
		return
	}
	// The source read its copy at the earliest when it had held the call for the time
	// that it names.
	waited := min(max(answer.Waited, 0), now.Sub(call.started))
	confirmed := call.started.Add(waited - max(answer.ConfirmationAge, 0))
	// The own confirmation may be younger, by a call to the store that ends once this
	// host follows the source.
	age := max(elapsedAtMost(confirmed, now), 0)
	// A source that has lost the store takes copies of other hosts and holds removals
	// for as long as an outage needs. This host calls the store itself then.
	if age <= m.maxAge() {
		if answer.Position.After(m.position) {
			m.takeFollowed(answer, now)
		}
		m.confirm(confirmed)
	}
	wasServed := m.follower.served
	nowFollows := m.follower.answered(age, call.started, now)
	switch {
	case !m.follower.served:
		m.Log.Info("source not followed", zap.String("source", call.source), zap.String("reason", "confirmation too old"), zap.Duration("age", age))
	case nowFollows || !wasServed:
		m.Log.Info("source followed", zap.String("source", call.source), zap.Duration("age", age), positionField("position", m.position))
	}
	if !nowFollows {
		return
	}
	m.recovered(m.position, now)
	if m.cancelWatch != nil {
		m.cancelWatch()
		m.cancelWatch = nil
	}
	m.notifyFollowers()
}

// takeFollowed applies the changes, or the whole copy, of a source.
func (m *Mirror) takeFollowed(answer *dcstore.FollowAnswer, now time.Time) {
	restored := m.synced && answer.Position.Era > m.position.Era
	if restored {
		m.Log.Warn("source follows a store that was restored", positionField("position", answer.Position), positionField("own-position", m.position))
		m.set.recovered = now
	}
	m.setPosition(answer.Position)
	m.followedPosition = answer.Position
	if answer.Snapshot {
		m.set.resetLog()
		pending := maps.Clone(m.set.pendingRemoval)
		if m.synced && !restored {
			answer.Records = m.set.withoutDropped(answer.Records, answer.Removals)
		}
		m.set.replace(answer.Records, restored, now)
		m.set.takeRemovals(answer.Removals, now)
		m.set.keepEarlier(pending)
	} else {
		for _, record := range answer.Records {
			m.set.put(record, false)
		}
		m.set.takeRemovals(answer.Removals, now)
	}
	if restored {
		m.Observer.Restored(m.position.Era)
		m.set.putRewritten()
		m.lastingAsks, m.lastingTries = lastingAsks, lastingTries
	}
	m.markSynced()
}

func (m *Mirror) sourceFailed(call *followed, reason string, now time.Time) {
	if m.follower.served {
		m.Log.Info("source not followed", zap.String("source", call.source), zap.String("reason", reason))
	}
	m.follower.failed(now)
}

// confirmWatch records the confirmation by a watch that was answered. Without
// changes, the store has held the watch for the time that it was asked to.
func (m *Mirror) confirmWatch(update update, now time.Time) {
	confirmed := update.started
	if held := m.WatchWait - watchWaitTolerance; held > 0 && len(update.changes) == 0 && now.Sub(update.started) >= held {
		confirmed = update.started.Add(held)
		m.storeLatency = max(now.Sub(update.started)-m.WatchWait, 0)
	}
	m.prove(confirmed)
}

// followedProbeInterval returns the time from the end of a probe to the next one while
// hosts follow this one. Two probes are apart by that time and the latency of one, and
// the answer of the second arrives later by another one.
func (m *Mirror) followedProbeInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(probeInterval, max(m.maxAge()-confirmationReserve-2*m.storeLatency, 2*confirmationReserve))
}

// storePause shortens the pause before the next call to the store to what the age of
// the confirmation allows, so that followers of this host do not call the store.
func (m *Mirror) storePause(pause time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	age, confirmed := m.confirmationAge(now)
	if !confirmed || !m.wasFollowed() {
		return pause
	}
	forProbe := m.maxAge() - age
	forWatch := m.maxApplyDelay() - storeCallReserve - m.WatchWait - elapsedAtMost(m.proven, now)
	return min(pause, max(min(forProbe, forWatch)-m.storeLatency-confirmationReserve, followInterval))
}
