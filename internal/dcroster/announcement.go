package dcroster

import (
	"slices"
	"time"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// announcementTime is how long a host counts as leaving that said so itself. By then
// the store reports its change, or the end of its lease.
const announcementTime = leaseTTL

// PeerLeaves takes the announcement of another host that it is stopping, which
// arrives sooner than the change of its record.
func (r *Roster) PeerLeaves(id dcid.HostID) {
	r.mu.Lock()
	other := r.peers[id]
	if other != nil {
		other.leavingUntil = r.Clock.Now().Add(announcementTime)
		r.placedAt = time.Time{}
	}
	r.mu.Unlock()
	if other != nil {
		r.notifyChange()
	}
}

// withoutAnnounced removes the hosts that have announced their stop, unless all
// have: they still take requests for a time, which is better than no address. The
// caller holds the lock.
func (r *Roster) withoutAnnounced(hosts []*hostv1.Record) []*hostv1.Record {
	now := r.Clock.Now()
	remaining := slices.DeleteFunc(slices.Clone(hosts), func(host *hostv1.Record) bool {
		other := r.peers[dcid.HostID(host.GetHostId())]
		return other != nil && now.Before(other.leavingUntil)
	})
	if len(remaining) == 0 {
		return hosts
	}
	return remaining
}
