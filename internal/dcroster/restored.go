package dcroster

import (
	"time"

	"go.uber.org/zap"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// Restored is called after the store was restored from an older copy. This host
// takes a new lease and writes its record again. Other hosts that do not write
// theirs are dropped: the copy may list hosts that were gone already.
func (r *Roster) Restored(era dcstore.Era) {
	r.mu.Lock()
	r.era, r.restored, r.joinedAt = max(r.era, era), true, time.Time{}
	for _, other := range r.peers {
		other.unconfirmed = other.listed
	}
	r.mu.Unlock()
	r.Clock.AfterFunc(rewriteTime, r.dropUnconfirmed)
	r.wakeUp()
}

// dropUnconfirmed removes the hosts whose record was not written again.
func (r *Roster) dropUnconfirmed() {
	r.mu.Lock()
	var dropped []string
	for id, other := range r.peers {
		if !other.unconfirmed {
			continue
		}
		other.unconfirmed = false
		if r.Clock.Since(other.lastSeen) < leaseTTL {
			other.listed = false
			continue
		}
		r.depart(id)
		dropped = append(dropped, string(id))
	}
	r.mu.Unlock()
	if len(dropped) > 0 {
		r.Log.Info("hosts dropped, they did not write their records again after the store was restored", zap.Strings("peers", dropped))
		r.notifyChange()
	}
}

// depart removes a host. The caller holds the lock.
func (r *Roster) depart(id dcid.HostID) {
	if r.set.Has(id) && r.peers[id].record.GetState() == hostv1.State_STATE_SERVING {
		if r.departedSharers == nil {
			r.departedSharers = make(map[dcid.HostID]time.Time)
		}
		r.departedSharers[id] = r.Clock.Now()
	}
	delete(r.peers, id)
	if r.departed == nil {
		r.departed = make(map[dcid.HostID]time.Time)
	}
	r.departed[id] = r.Clock.Now()
}
