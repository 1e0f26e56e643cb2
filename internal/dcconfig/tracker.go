package dcconfig

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// fetchTimeout is the time after which an unanswered fetch from one peer no
// longer prevents a fetch from another peer.
const fetchTimeout = time.Second

// Errors of offered revisions. An offer that returns an error changes nothing.
var (
	// ErrOlder reports an offer below the revision in force, for example from a
	// store that was restored from an old copy.
	ErrOlder = errors.New("offered configuration is older than the one in force")
	// ErrForked reports an offer that does not continue the chain of the
	// revision in force.
	ErrForked = errors.New("offered configuration belongs to another chain than the one in force")
)

// RevisionTracker tracks the configuration revision in force on one host and
// the newest revision known to exist. It is not safe for concurrent use.
type RevisionTracker struct {
	inForce *AcceptedRevision
	groups  map[dcid.GroupName]*settingsv1.ServiceGroup
	// newestKnown is the newest revision that is in force or was reported by a
	// peer.
	newestKnown   dcid.Revision
	lastConfirmed time.Time
	// fetchingFrom is the peer that a fetch is in progress from, started at
	// fetchingSince.
	fetchingFrom  dcid.HostID
	fetchingSince time.Time
}

// NewRevisionTracker returns a RevisionTracker without a configuration.
func NewRevisionTracker() *RevisionTracker {
	return &RevisionTracker{}
}

// InForce returns the revision in force, nil when there is none.
func (t *RevisionTracker) InForce() *AcceptedRevision {
	return t.inForce
}

// NewestKnown returns the newest revision that is in force or was reported by a
// peer.
func (t *RevisionTracker) NewestKnown() dcid.Revision {
	return t.newestKnown
}

// LastConfirmed returns when the revision in force was last confirmed to be
// fresh: the store or a peer reported it while no newer one was known. It is
// zero before the first confirmation.
func (t *RevisionTracker) LastConfirmed() time.Time {
	return t.lastConfirmed
}

// OfferStore takes the result of List(ctx, RevisionPrefix, 1, true) and reports
// whether a new revision came into force.
func (t *RevisionTracker) OfferStore(records []dcstore.Record, now time.Time) (adopted bool, err error) {
	if len(records) == 0 {
		if t.newestKnown > 0 {
			return false, fmt.Errorf("%w: the store has none, revision %d is known", ErrOlder, t.newestKnown)
		}
		return false, nil
	}
	offered, err := Decode(records[0].Value)
	if err != nil {
		return false, err
	}
	return t.offer(offered, now)
}

// OfferPeer takes the response of FetchConfig from a peer.
func (t *RevisionTracker) OfferPeer(peer dcid.HostID, record *ledgerv1.ConfigRevision, now time.Time) (adopted bool, err error) {
	t.FetchFailed(peer)
	offered, err := Verify(record)
	if err != nil {
		return false, err
	}
	return t.offer(offered, now)
}

// OfferLocal takes a revision that this host created or found in the store.
func (t *RevisionTracker) OfferLocal(accepted *AcceptedRevision, now time.Time) (adopted bool, err error) {
	return t.offer(accepted, now)
}

func (t *RevisionTracker) offer(offered *AcceptedRevision, now time.Time) (adopted bool, err error) {
	current := revisionOf(t.inForce)
	if offered.Revision < current {
		return false, fmt.Errorf("%w: offered %d, in force %d", ErrOlder, offered.Revision, current)
	}
	if t.isFork(offered) {
		return false, fmt.Errorf("%w: revision %d", ErrForked, offered.Revision)
	}
	if offered.Revision > current {
		t.adopt(offered)
		adopted = true
	}
	t.confirmFreshness(now)
	return adopted, nil
}

// isFork reports whether the offered revision contradicts the one in force.
// Digests can be compared only for the same revision and for the next one.
func (t *RevisionTracker) isFork(offered *AcceptedRevision) bool {
	if t.inForce == nil {
		return false
	}
	digest := t.inForce.Record.GetDigest()
	switch offered.Revision {
	case t.inForce.Revision:
		return !bytes.Equal(offered.Record.GetDigest(), digest)
	case t.inForce.Revision + 1:
		return !bytes.Equal(offered.Record.GetPreviousDigest(), digest)
	}
	return false
}

// adopt puts a revision in force.
func (t *RevisionTracker) adopt(accepted *AcceptedRevision) {
	t.inForce = accepted
	t.newestKnown = max(t.newestKnown, accepted.Revision)
	t.groups = make(map[dcid.GroupName]*settingsv1.ServiceGroup)
	for _, group := range accepted.Configuration.GetServiceGroups() {
		t.groups[dcid.GroupName(group.GetName())] = group
	}
}

// confirmFreshness records that the revision in force is fresh, unless a newer
// revision is known to exist.
func (t *RevisionTracker) confirmFreshness(now time.Time) {
	if t.inForce != nil && t.inForce.Revision >= t.newestKnown && now.After(t.lastConfirmed) {
		t.lastConfirmed = now
	}
}

// ObserveRevision takes the revision in a peer's heartbeat and reports whether
// to call FetchConfig on that peer now. A peer with the same revision confirms
// freshness. A peer with an older one confirms nothing, since it may itself be
// cut off.
func (t *RevisionTracker) ObserveRevision(peer dcid.HostID, revision dcid.Revision, now time.Time) (fetch bool) {
	current := revisionOf(t.inForce)
	t.newestKnown = max(t.newestKnown, revision)
	if revision == current {
		t.confirmFreshness(now)
	}
	if revision <= current || t.fetchInProgress(now) {
		return false
	}
	t.fetchingFrom = peer
	t.fetchingSince = now
	return true
}

func (t *RevisionTracker) fetchInProgress(now time.Time) bool {
	return t.fetchingFrom != "" && now.Sub(t.fetchingSince) < fetchTimeout
}

// FetchFailed ends the fetch from a peer, so that another peer can be asked at
// once.
func (t *RevisionTracker) FetchFailed(peer dcid.HostID) {
	if t.fetchingFrom == peer {
		t.fetchingFrom = ""
	}
}

// CheckGroup applies the stale-configuration rule of a service group. It
// returns OK, ConfigurationMissing, GroupUnknown or ConfigurationStale.
func (t *RevisionTracker) CheckGroup(name dcid.GroupName, now time.Time) dcreason.Code {
	if t.inForce == nil {
		return dcreason.ConfigurationMissing
	}
	group, ok := t.groups[name]
	if !ok {
		return dcreason.GroupUnknown
	}
	stale := group.GetStaleConfiguration()
	if stale.GetRule() != dcsettings.StaleRefuseAfter {
		return dcreason.OK
	}
	if t.lastConfirmed.IsZero() || now.Sub(t.lastConfirmed) > stale.GetAfter().AsDuration() {
		return dcreason.ConfigurationStale
	}
	return dcreason.OK
}
