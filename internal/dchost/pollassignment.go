package dchost

import (
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

const (
	// pollersPerServer is the number of hosts that poll a server in each status
	// interval; heartbeats carry what they find. With one, the loss of a host
	// together with a server would hide the server for longer than 3 s.
	pollersPerServer = 2
	// unassignedPollIntervals is the number of intervals after which a host polls a server
	// that others own, for the shard map, which heartbeats do not carry.
	unassignedPollIntervals = 10
	// outdatedMapWindow is the time for which every host polls every server after an
	// answer shows that the shard map has changed.
	outdatedMapWindow = 3 * time.Second
	// unansweredAfter is the time without an answer after which a host polls a
	// server itself. It is below the poll timeout, so that the poll has ended
	// when the server counts as silent.
	unansweredAfter = 500 * time.Millisecond
)

// pollAssignment decides which servers this host polls in an interval.
type pollAssignment struct {
	host     *Host
	version  uint64
	hosts    []dcmembership.Host
	assigned map[dcid.ServerAddr]bool
}

// due reports whether a target is to be polled now.
func (d *pollAssignment) due(target *target, now time.Time, interval time.Duration) bool {
	if now.Before(target.lastPoll.Add(unassignedPollIntervals*interval)) &&
		!d.host.mapRecentlyOutdated(now) &&
		!target.unanswered(now) &&
		d.host.servers.usable(target.addr) &&
		!d.isAssigned(target.addr) {
		return false
	}
	target.lastPoll = now
	return true
}

// unanswered reports a server with requests of this host in flight that has
// answered nothing for a while. Waiting for its owners to find it frozen took
// about 6 s.
func (t *target) unanswered(now time.Time) bool {
	return t.inFlight.Load() > 0 && t.sinceLastAnswer(now) >= unansweredAfter
}

// isAssigned reports whether this host is an owner of the server by rendezvous
// hashing over the hosts that are alive.
func (d *pollAssignment) isAssigned(addr dcid.ServerAddr) bool {
	if version := d.host.members.version(); d.assigned == nil || d.version != version {
		d.version, d.hosts, d.assigned = version, d.host.members.hosts(), map[dcid.ServerAddr]bool{}
	}
	assigned, known := d.assigned[addr]
	if !known {
		assigned = slices.Contains(dcmembership.Owners(string(addr), d.hosts, pollersPerServer), d.host.self.ID)
		d.assigned[addr] = assigned
	}
	return assigned
}

// mapRecentlyOutdated reports whether an answer has shown lately that the shard map is
// out of date.
func (h *Host) mapRecentlyOutdated(now time.Time) bool {
	seen := h.mapOutdatedAt.Load()
	return seen != 0 && now.Before(time.Unix(0, seen).Add(outdatedMapWindow))
}

// recordOutdatedMap takes a response that shows that the shard map is out of
// date.
func (h *Host) recordOutdatedMap(code dcreason.Code) {
	if code == dcreason.VersionGone || code == dcreason.ShardGone {
		h.mapOutdatedAt.Store(h.wallNow().UnixNano())
	}
}
