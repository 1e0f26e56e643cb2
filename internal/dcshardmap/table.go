package dcshardmap

import (
	"time"

	"github.com/rotisserie/eris"

	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Server is a configured server of a service.
type Server struct {
	Address dcid.ServerAddr
	Domain  dcid.FailureDomain
}

// Service is a configured service. While a service has no servers, there is no
// snapshot of the group: the service must not silently be left out of answers.
type Service struct {
	Name    dcid.ServiceName
	Servers []Server
}

type serviceState struct {
	name    dcid.ServiceName
	servers []*serverState
}

// Table is the shard map of one service group. It is not safe for concurrent
// use.
type Table struct {
	services []serviceState
	servers  map[dcid.ServerAddr]*serverState
	unusable map[dcid.ServerAddr]struct{}
	// snapshot and conflicts are current unless stale is set.
	snapshot  *Snapshot
	conflicts []Conflict
	stale     bool
}

// New returns an empty table.
func New() *Table {
	return &Table{
		servers:  make(map[dcid.ServerAddr]*serverState),
		unusable: make(map[dcid.ServerAddr]struct{}),
	}
}

// Configure sets the services and servers of the group. It keeps what is known
// about servers that remain. A server that is listed twice counts only for the
// first service.
func (t *Table) Configure(services []Service) {
	earlier := t.servers
	t.servers = make(map[dcid.ServerAddr]*serverState)
	t.services = make([]serviceState, 0, len(services))
	for _, service := range services {
		state := serviceState{name: service.Name}
		for _, server := range service.Servers {
			if _, ok := t.servers[server.Address]; ok {
				continue
			}
			kept := earlier[server.Address]
			if kept == nil {
				kept = &serverState{}
			}
			kept.Server = server
			t.servers[server.Address] = kept
			state.servers = append(state.servers, kept)
		}
		t.services = append(t.services, state)
	}
	t.stale = true
}

// SetUsable sets whether a server may receive new work. Servers are usable by
// default.
func (t *Table) SetUsable(server dcid.ServerAddr, usable bool) {
	_, unusable := t.unusable[server]
	if usable != unusable {
		return
	}
	if usable {
		delete(t.unusable, server)
	} else {
		t.unusable[server] = struct{}{}
	}
	t.stale = true
}

// ApplyReport replaces the claims of a server by those of a status report.
// requestedAt is the time at which the status was requested: a claim that an
// answer contradicted at that time or later stays contradicted. The error wraps
// ErrServerUnknown, ErrReportStale or ErrReportInvalid.
func (t *Table) ApplyReport(server dcid.ServerAddr, status *upstreamv1.Status, requestedAt time.Time) (err error) {
	defer func() { err = eris.Wrapf(err, "report of server %s", server) }()
	state := t.servers[server]
	if state == nil {
		return ErrServerUnknown
	}
	if requestedAt.Before(state.requestedAt) {
		return ErrReportStale
	}
	parsed, err := parseStatus(status)
	if err != nil {
		return err
	}
	state.accept(parsed, requestedAt)
	t.stale = true
	return nil
}

// VersionGone records that a server answered 409 for a shard at a version and
// epoch. The claim counts again when a report requested after now repeats it.
func (t *Table) VersionGone(server dcid.ServerAddr, shard dcid.ShardID, version dcid.IndexVersion, epoch dcid.MapEpoch, now time.Time) {
	state := t.servers[server]
	if state == nil {
		return
	}
	if state.contradict(claim{epoch: epoch, shard: shard, version: version}, now) {
		t.stale = true
	}
}

// ShardGone records that a server answered 410 for a shard of an epoch, which
// contradicts the claims of all versions of it.
func (t *Table) ShardGone(server dcid.ServerAddr, shard dcid.ShardID, epoch dcid.MapEpoch, now time.Time) {
	state := t.servers[server]
	if state == nil {
		return
	}
	for held := range state.held {
		if held.epoch != epoch || held.shard != shard {
			continue
		}
		if state.contradict(held, now) {
			t.stale = true
		}
	}
}

// Snapshot returns the newest complete snapshot: the newest index version and,
// for each service, the newest epoch in which every shard is held by a usable
// server. When no version is complete, it returns the version with the largest
// fraction of held shards, the newest among equals. It returns nil when the
// shards of a service are not known.
func (t *Table) Snapshot() *Snapshot {
	t.refresh()
	return t.snapshot
}

// NewerSnapshot returns the current snapshot if it is newer than base and the
// fraction of its shards that are held is not smaller, otherwise nil.
func (t *Table) NewerSnapshot(base *Snapshot) *Snapshot {
	t.refresh()
	if t.snapshot == nil || base == nil || !isNewer(t.snapshot, base) {
		return nil
	}
	if t.snapshot.HeldShards*base.TotalShards < base.HeldShards*t.snapshot.TotalShards {
		return nil
	}
	return t.snapshot
}

// Conflicts returns the epochs that cannot be part of a snapshot because
// reports contradict each other.
func (t *Table) Conflicts() []Conflict {
	t.refresh()
	return t.conflicts
}

func (t *Table) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	t.snapshot, t.conflicts = buildSnapshot(t)
}

// usable reports whether a server may receive new work: it is not set as
// unusable, has reported its status and is not draining.
func (t *Table) usable(server *serverState) bool {
	if _, unusable := t.unusable[server.Address]; unusable {
		return false
	}
	return server.reported && server.state != stateDraining
}

// isNewer reports whether snapshot a has a later version than b, or the same
// version and a later epoch of any service.
func isNewer(a, b *Snapshot) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	epochs := make(map[dcid.ServiceName]dcid.MapEpoch, len(b.Services))
	for _, service := range b.Services {
		epochs[service.Service] = service.Epoch
	}
	for _, service := range a.Services {
		if service.Epoch > epochs[service.Service] {
			return true
		}
	}
	return false
}
