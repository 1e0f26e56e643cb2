package dchost

import (
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

const (
	// pollOwners is the number of hosts that poll a server in each status
	// interval; heartbeats carry what they find. With one, the loss of a host
	// together with a server would hide the server for longer than 3 s.
	pollOwners = 2
	// idlePolls is the number of intervals after which a host polls a server
	// that others own, for the shard map, which heartbeats do not carry.
	idlePolls = 10
	// mapChange is the time for which every host polls every server after an
	// answer shows that the shard map has changed.
	mapChange = 3 * time.Second
	// unansweredAfter is the time without an answer after which a host polls a
	// server itself. It is below the poll timeout, so that the poll has ended
	// when the server counts as silent.
	unansweredAfter = 500 * time.Millisecond
)

// pollDuty decides which servers this host polls in an interval.
type pollDuty struct {
	host    *Host
	version uint64
	hosts   []dcmembership.Host
	owned   map[dcid.ServerAddr]bool
}

// due reports whether a target is to be polled now.
func (d *pollDuty) due(target *target, now time.Time, interval time.Duration) bool {
	if now.Before(target.lastPoll.Add(idlePolls*interval)) &&
		!d.host.mapChanging(now) &&
		!target.unanswered(now) &&
		d.host.servers.usable(target.addr) &&
		!d.owns(target.addr) {
		return false
	}
	target.lastPoll = now
	return true
}

// unanswered reports a server with requests of this host in flight that has
// answered nothing for a while. Waiting for its owners to find it frozen took
// about 6 s.
func (t *target) unanswered(now time.Time) bool {
	return t.inFlight.Load() > 0 && t.silence(now) >= unansweredAfter
}

// owns reports whether this host is an owner of the server by rendezvous
// hashing over the hosts that are alive.
func (d *pollDuty) owns(addr dcid.ServerAddr) bool {
	if version := d.host.members.version(); d.owned == nil || d.version != version {
		d.version, d.hosts, d.owned = version, d.host.members.hosts(), map[dcid.ServerAddr]bool{}
	}
	owned, known := d.owned[addr]
	if !known {
		owned = slices.Contains(dcmembership.Owners(string(addr), d.hosts, pollOwners), d.host.self.ID)
		d.owned[addr] = owned
	}
	return owned
}

// mapChanging reports whether an answer has shown lately that the shard map is
// out of date.
func (h *Host) mapChanging(now time.Time) bool {
	seen := h.mapEvidence.Load()
	return seen != 0 && now.Before(time.Unix(0, seen).Add(mapChange))
}

// noteMapEvidence takes a response that shows that the shard map is out of
// date.
func (h *Host) noteMapEvidence(code dcreason.Code) {
	if code == dcreason.VersionGone || code == dcreason.ShardGone {
		h.mapEvidence.Store(h.wall().UnixNano())
	}
}
