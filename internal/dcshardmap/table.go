package dcshardmap

import (
	"time"

	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Server is a configured server of a service.
type Server struct {
	Address dcid.ServerAddr
	Domain  dcid.FailureDomain
}

// Service is a configured service. A service without servers makes the group
// unpinnable rather than being left out of answers.
type Service struct {
	Name    dcid.ServiceName
	Servers []Server
}

// Table is the shard map of one service group.
type Table struct{}

// New returns an empty table.
func New() *Table { return &Table{} }

// Configure sets the services and servers of the group. What is known of
// servers that stay is kept.
func (t *Table) Configure(services []Service) {}

// SetUsable tells whether a server may receive new work. Servers are usable
// until told otherwise.
func (t *Table) SetUsable(server dcid.ServerAddr, usable bool) {}

// Report replaces the claims of a server. asked is when the status was
// requested: evidence from a later time stays in force.
func (t *Table) Report(server dcid.ServerAddr, status *upstreamv1.Status, asked time.Time) error {
	return nil
}

// VersionGone records that a server answered 409 for a shard at a version and
// epoch.
func (t *Table) VersionGone(server dcid.ServerAddr, shard dcid.ShardID, version dcid.IndexVersion, epoch dcid.MapEpoch, now time.Time) {
}

// ShardGone records that a server answered 410 for a shard of an epoch.
func (t *Table) ShardGone(server dcid.ServerAddr, shard dcid.ShardID, epoch dcid.MapEpoch, now time.Time) {
}

// Pin returns the newest complete snapshot, else the one with the most held
// shards, or nil when the shards of a service are not known.
func (t *Table) Pin() *Pin { return nil }

// PinNewer returns a complete pin that is newer than the given one, or nil.
func (t *Table) PinNewer(than *Pin) *Pin { return nil }
