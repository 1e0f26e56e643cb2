package dcroster

import (
	"time"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcquota"
)

// QuotaView returns the list of hosts for the choice of the granting hosts.
func (r *Roster) QuotaView() dcquota.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.place()
	view := dcquota.View{
		Self: dcid.HostID(r.Self.GetHostId()), Leaving: r.leaving, Confirmed: r.confirmedAt,
		Resumed: r.resumed, Selected: r.set.Has(dcid.HostID(r.Self.GetHostId())),
	}
	if r.synced && !r.recordMissing {
		view.Joined = r.joinedAt
	}
	view.SharesConfirmed = r.synced && !r.confirmedAt.IsZero() && elapsedAtMost(r.confirmedAt, now) < shareTime
	for _, host := range r.presentPeers() {
		id := dcid.HostID(host.GetHostId())
		leaving := host.GetState() == hostv1.State_STATE_LEAVING || now.Before(r.peers[id].leavingUntil)
		view.Members = append(view.Members, dcquota.Member{ID: id, Address: host.GetControlAddress(), Leaving: leaving, Selected: r.set.Has(id)})
	}
	for id, at := range r.departedSharers {
		if now.Sub(at) >= shareTime {
			delete(r.departedSharers, id)
			continue
		}
		view.Departed = append(view.Departed, id)
	}
	return view
}

// ConfirmedAt returns the time of the last renewal that the store answered, zero
// before the first.
func (r *Roster) ConfirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}

// setJoined sets the time at which the record of this host was written, zero if the
// list may not hold it. A record that is written again while the list holds it, since
// other fields have changed, does not change that time.
func (r *Roster) setJoined(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.IsZero() || r.joinedAt.IsZero() {
		r.joinedAt = at
	}
	if r.sharingSince.IsZero() {
		r.sharingSince = at
	}
}
