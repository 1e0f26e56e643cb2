// Package dcshardmap holds the shard map of one service group: which servers
// hold which shards, in which index versions. The map is built from the status
// reports of servers, which may be out of date, and corrected by what servers
// answer to sub-queries. A query runs on a snapshot of the map.
package dcshardmap

import (
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Replica is a server that holds a shard.
type Replica struct {
	Server dcid.ServerAddr
	Domain dcid.FailureDomain
	// Cold reports that the server started recently and therefore answers slowly.
	Cold bool
}

// Shard is one shard of a snapshot. Replicas is empty when no usable server
// holds the shard.
type Shard struct {
	ID       dcid.ShardID
	Replicas []Replica
}

// ServiceSnapshot is the part of a snapshot about one service.
type ServiceSnapshot struct {
	Service dcid.ServiceName
	Epoch   dcid.MapEpoch
	// Shards are all shards of the service in the epoch, sorted by ID.
	Shards []Shard
}

// Snapshot is the shard map of a service group at one index version and one
// epoch for each service. It is immutable and shared between queries.
type Snapshot struct {
	Version  dcid.IndexVersion
	Services []ServiceSnapshot
	// TotalShards is the number of shards of all services.
	TotalShards int
	// HeldShards is the number of shards that have a replica.
	HeldShards int
}

// Complete reports whether every shard has a replica.
func (s *Snapshot) Complete() bool {
	return s.HeldShards == s.TotalShards
}
