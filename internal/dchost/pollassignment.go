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
	// interval; heartbeats spread what they find. With only one, the loss of a
	// host together with a server would hide the loss of the server for longer
	// than 3 s.
	pollersPerServer = 2
	// unassignedPollIntervals is the number of status intervals after which a host
	// polls a server that is assigned to other hosts. The host needs the shard map
	// of the server, which heartbeats do not carry.
	unassignedPollIntervals = 10
	// outdatedMapWindow is how long every host polls every server after a response
	// has shown that the shard map has changed.
	outdatedMapWindow = 3 * time.Second
	// unansweredAfter is the time without a response after which a host polls a
	// server by itself. It is below the poll timeout, so that the poll has ended
	// when the server counts as unresponsive.
	unansweredAfter = 500 * time.Millisecond
)

// pollAssignment decides which servers this host polls in a status interval.
// Each server is assigned to pollersPerServer hosts. It is not safe for
// concurrent use.
type pollAssignment struct {
	host    *Host
	version uint64
	hosts   []dcmembership.Host
	// assigned caches the result of isAssigned for one version of the membership.
	assigned map[dcid.ServerAddr]bool
}

// due reports whether to poll a target now. If so, it sets the time of its last
// poll.
func (a *pollAssignment) due(target *target, now time.Time, interval time.Duration) bool {
	if now.Before(target.lastPoll.Add(unassignedPollIntervals*interval)) &&
		!a.host.mapRecentlyOutdated(now) &&
		!target.unanswered(now) &&
		a.host.servers.usable(target.addr) &&
		!a.isAssigned(target.addr) {
		return false
	}
	target.lastPoll = now
	return true
}

// unanswered reports whether requests of this host are in flight to the server
// and it has not answered any for unansweredAfter. When only the assigned hosts
// polled such a server, it took about 6 s to detect that it was frozen.
func (t *target) unanswered(now time.Time) bool {
	return t.inFlight.Load() > 0 && t.sinceLastAnswer(now) >= unansweredAfter
}

// isAssigned reports whether the server is assigned to this host, by rendezvous
// hashing over the alive hosts.
func (a *pollAssignment) isAssigned(addr dcid.ServerAddr) bool {
	if version := a.host.members.version(); a.assigned == nil || a.version != version {
		a.version, a.hosts, a.assigned = version, a.host.members.hosts(), map[dcid.ServerAddr]bool{}
	}
	assigned, known := a.assigned[addr]
	if !known {
		assigned = slices.Contains(dcmembership.Owners(string(addr), a.hosts, pollersPerServer), a.host.self.ID)
		a.assigned[addr] = assigned
	}
	return assigned
}

// mapRecentlyOutdated reports whether a response within outdatedMapWindow
// showed that the shard map was outdated.
func (h *Host) mapRecentlyOutdated(now time.Time) bool {
	outdatedAt := h.mapOutdatedAt.Load()
	return outdatedAt != 0 && now.Before(time.Unix(0, outdatedAt).Add(outdatedMapWindow))
}

// recordOutdatedMap records the time of a response whose code shows that the
// shard map is outdated.
func (h *Host) recordOutdatedMap(code dcreason.Code) {
	if code == dcreason.VersionGone || code == dcreason.ShardGone {
		h.mapOutdatedAt.Store(h.wallNow().UnixNano())
	}
}
