package dcmirror

import (
	"slices"
	"time"
)

const (
	// defaultMaxApplyDelay is the bound that applies when none is set. It is the
	// shortest one that the platform has named.
	defaultMaxApplyDelay = 3 * time.Second
	// storeCallReserve is the time for the call to the store of a host that has followed
	// another one until its confirmation was too old.
	storeCallReserve = 150 * time.Millisecond
	// maxFollowWait limits how long a call to a source waits, so that a silent source
	// is noticed.
	maxFollowWait = time.Second
	// followTimeout is how long a source may take beyond the time for which its call
	// waits. It answers from memory.
	followTimeout = 400 * time.Millisecond
	// followInterval is the shortest time between the starts of two calls to sources.
	followInterval = 100 * time.Millisecond
	// followRetry is the pause after all sources were asked without success.
	followRetry = 250 * time.Millisecond
	// followedTime is how long a host counts as followed after a call of a follower.
	followedTime = 5 * time.Second
	// reviewInterval is the longest time between two looks at the list of sources.
	reviewInterval = 250 * time.Millisecond
	// maxFollowers limits the calls of followers that wait at the same time. 1,300
	// hosts in 12 failure domains have about 54 followers for each source.
	maxFollowers = 512
)

// Fractions of the greatest age of a confirmation.
const (
	// oldFraction is the age from which a source's confirmation is of no use, so that
	// time is left to ask another source.
	oldFraction = 0.95
	// returnFraction is the age up to which a source's confirmation ends calls to the
	// store. The distance to oldFraction prevents fast changes to and fro.
	returnFraction = 0.75
	// refreshFraction is the age of a follower's confirmation from which a source
	// tells it a younger one.
	refreshFraction = 1.0 / 3
)

// maxAge returns the age of the store's confirmation from which a host calls the
// store itself, so that changes are in force within maxApplyDelay of their acceptance:
// half of that time, and less if it would not be enough for the removal of a record.
func maxAge(maxApplyDelay time.Duration) time.Duration {
	return max(min(maxApplyDelay/2, maxApplyDelay-removalDelay-storeCallReserve), maxApplyDelay/3)
}

// follower decides whether this host calls the store itself or follows another host.
type follower struct {
	maxAge time.Duration
	// sources are the addresses of the hosts to follow in the order of preference,
	// empty if this host is a source.
	sources []string
	// current is the index of the source to ask, and failures the number of calls
	// without success since the last success.
	current, failures int
	// served is set while the last call to the current source was a success.
	served bool
	// following is set while the host makes no calls to the store.
	following bool
	// retryAt is the time before which no source is asked.
	retryAt time.Time
}

// setSources takes a new list of sources. It keeps the current source if the list
// still has it. It reports whether the host became a source or a follower.
func (f *follower) setSources(sources []string) (roleChanged bool) {
	if slices.Equal(sources, f.sources) {
		return false
	}
	roleChanged = (len(sources) == 0) != (len(f.sources) == 0)
	before := f.source()
	f.sources = sources
	f.current = max(slices.Index(sources, before), 0)
	if before != f.source() {
		f.served, f.failures, f.retryAt = false, 0, time.Time{}
	}
	if len(sources) == 0 {
		f.following = false
	}
	return roleChanged
}

// source returns the address of the source to ask, empty if this host is a source.
func (f *follower) source() string {
	if len(f.sources) == 0 {
		return ""
	}
	return f.sources[f.current]
}

// wait returns how long the next call may wait for a change. The first call to a
// source does not wait, so that a host which needs another source soon has it.
func (f *follower) wait() time.Duration {
	if f.served && f.following {
		return maxFollowWait
	}
	return 0
}

// answered takes an answer with the given age of the source's confirmation, and
// reports whether the host now calls the store no longer.
func (f *follower) answered(age time.Duration, started, now time.Time) (nowFollows bool) {
	limit := oldFraction
	if !f.following {
		limit = returnFraction
	}
	if float64(age) > limit*float64(f.maxAge) {
		f.failed(now)
		return false
	}
	nowFollows = !f.following
	f.served, f.following, f.failures = true, true, 0
	f.retryAt = started.Add(followInterval)
	return nowFollows
}

// failed takes a call without a useful answer. The next source is asked at once,
// and after all of them there is a pause.
func (f *follower) failed(now time.Time) {
	f.served = false
	f.failures++
	if len(f.sources) == 0 {
		return
	}
	f.current = (f.current + 1) % len(f.sources)
	f.retryAt = now
	if f.failures%len(f.sources) == 0 {
		f.retryAt = now.Add(followRetry)
	}
}

// overdue ends the following if the confirmation of the copy is too old, and
// reports whether it did.
func (f *follower) overdue(age time.Duration, confirmed bool) bool {
	if !f.following || confirmed && age < f.maxAge {
		return false
	}
	f.following = false
	return true
}

// elapsedAtMost returns the time from one moment to a later one, by the monotonic
// clock or by the time of day, whichever says more. The monotonic clock does not
// count the time for which a machine is suspended.
func elapsedAtMost(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
