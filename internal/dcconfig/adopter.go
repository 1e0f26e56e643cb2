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

// fetchTimeout is the time after which a fetch from a peer without an answer
// no longer keeps other peers from being asked.
const fetchTimeout = time.Second

// Errors of offers. An offer with an error changes nothing.
var (
	// ErrOlder reports an offer below the revision in force, such as a store
	// that was restored from an old copy.
	ErrOlder = errors.New("offered configuration is older than the one in force")
	// ErrForked reports an offer that does not continue the chain that the
	// revision in force belongs to.
	ErrForked = errors.New("offered configuration belongs to another chain than the one in force")
)

// Adopter holds the revision in force on one host. Callers serialise access.
type Adopter struct {
	inForce *Accepted
	groups  map[dcid.GroupName]*settingsv1.ServiceGroup
	// known is the newest revision in force or heard of.
	known     dcid.Revision
	confirmed time.Time
	// fetchingFrom is the peer that a fetch is running from, since fetchingSince.
	fetchingFrom  dcid.HostID
	fetchingSince time.Time
}

// NewAdopter returns an Adopter without a configuration.
func NewAdopter() *Adopter {
	return &Adopter{}
}

// InForce returns the revision in force, nil when there is none.
func (a *Adopter) InForce() *Accepted {
	return a.inForce
}

// Known returns the newest revision in force or heard of.
func (a *Adopter) Known() dcid.Revision {
	return a.known
}

// Confirmed returns when freshness was last confirmed: the store or a peer
// showed the revision in force while no newer one was known. It is zero before
// the first time.
func (a *Adopter) Confirmed() time.Time {
	return a.confirmed
}

// OfferStore takes the answer of List(ctx, Prefix, 1, true) and reports
// whether a new revision came into force.
func (a *Adopter) OfferStore(records []dcstore.Record, now time.Time) (adopted bool, err error) {
	if len(records) == 0 {
		if a.known > 0 {
			return false, fmt.Errorf("%w: the store has none, revision %d is known", ErrOlder, a.known)
		}
		return false, nil
	}
	offered, err := Decode(records[0].Value)
	if err != nil {
		return false, err
	}
	return a.offer(offered, now)
}

// OfferPeer takes the answer of FetchConfig from a peer.
func (a *Adopter) OfferPeer(peer dcid.HostID, record *ledgerv1.ConfigRevision, now time.Time) (adopted bool, err error) {
	a.FetchFailed(peer)
	offered, err := Check(record)
	if err != nil {
		return false, err
	}
	return a.offer(offered, now)
}

// OfferOwn takes a revision that this host created or found in the store.
func (a *Adopter) OfferOwn(accepted *Accepted, now time.Time) (adopted bool, err error) {
	return a.offer(accepted, now)
}

func (a *Adopter) offer(offered *Accepted, now time.Time) (adopted bool, err error) {
	current := revisionOf(a.inForce)
	if offered.Revision < current {
		return false, fmt.Errorf("%w: offered %d, in force %d", ErrOlder, offered.Revision, current)
	}
	if a.forks(offered) {
		return false, fmt.Errorf("%w: revision %d", ErrForked, offered.Revision)
	}
	if offered.Revision > current {
		a.adopt(offered)
		adopted = true
	}
	a.confirm(now)
	return adopted, nil
}

// forks compares digests where they can be compared: with the same revision
// and with the next one.
func (a *Adopter) forks(offered *Accepted) bool {
	if a.inForce == nil {
		return false
	}
	digest := a.inForce.Record.GetDigest()
	switch offered.Revision {
	case a.inForce.Revision:
		return !bytes.Equal(offered.Record.GetDigest(), digest)
	case a.inForce.Revision + 1:
		return !bytes.Equal(offered.Record.GetPreviousDigest(), digest)
	}
	return false
}

func (a *Adopter) adopt(accepted *Accepted) {
	a.inForce = accepted
	a.known = max(a.known, accepted.Revision)
	a.groups = make(map[dcid.GroupName]*settingsv1.ServiceGroup)
	for _, group := range accepted.Configuration.GetServiceGroups() {
		a.groups[dcid.GroupName(group.GetName())] = group
	}
}

// confirm records freshness, unless a newer revision is known to exist.
func (a *Adopter) confirm(now time.Time) {
	if a.inForce != nil && a.inForce.Revision >= a.known && now.After(a.confirmed) {
		a.confirmed = now
	}
}

// Heard takes the revision in a peer's heartbeat and reports whether to call
// FetchConfig on that peer now. A peer with the same revision confirms
// freshness; an older one confirms nothing, since it may be cut off itself.
func (a *Adopter) Heard(peer dcid.HostID, revision dcid.Revision, now time.Time) (fetch bool) {
	current := revisionOf(a.inForce)
	a.known = max(a.known, revision)
	if revision == current {
		a.confirm(now)
	}
	if revision <= current || a.fetching(now) {
		return false
	}
	a.fetchingFrom = peer
	a.fetchingSince = now
	return true
}

func (a *Adopter) fetching(now time.Time) bool {
	return a.fetchingFrom != "" && now.Sub(a.fetchingSince) < fetchTimeout
}

// FetchFailed allows a fetch from another peer at once.
func (a *Adopter) FetchFailed(peer dcid.HostID) {
	if a.fetchingFrom == peer {
		a.fetchingFrom = ""
	}
}

// Serve applies the stale-configuration rule of a group: OK,
// ConfigurationMissing, GroupUnknown or ConfigurationStale.
func (a *Adopter) Serve(name dcid.GroupName, now time.Time) dcreason.Code {
	if a.inForce == nil {
		return dcreason.ConfigurationMissing
	}
	group, ok := a.groups[name]
	if !ok {
		return dcreason.GroupUnknown
	}
	stale := group.GetStaleConfiguration()
	if stale.GetRule() != dcsettings.StaleRefuseAfter {
		return dcreason.OK
	}
	if a.confirmed.IsZero() || now.Sub(a.confirmed) > stale.GetAfter().AsDuration() {
		return dcreason.ConfigurationStale
	}
	return dcreason.OK
}
