// Package dcshardmap holds the shard map of one service group. It is built
// from status reports of servers, which are hints, and corrected by evidence
// from answers. Queries run on a pin of it.
package dcshardmap

import (
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Replica is a server that holds a shard.
type Replica struct {
	Server dcid.ServerAddr
	Domain dcid.FailureDomain
	// Cold reports that the server has started recently and answers slowly.
	Cold bool
}

// Shard is one shard of a pinned map. Replicas is empty when no usable server
// holds the shard.
type Shard struct {
	ID       dcid.ShardID
	Replicas []Replica
}

// ServicePin is the part of a pin about one service.
type ServiceSnapshot struct {
	Service dcid.ServiceName
	Epoch   dcid.MapEpoch
	// Shards are all shards of the service in the epoch, ordered by id.
	Shards []Shard
}

// Pin is one snapshot of a service group: one index version and one epoch for
// each service. It is immutable and shared between queries.
type Snapshot struct {
	Version  dcid.IndexVersion
	Services []ServiceSnapshot
	// Total is the number of shards of all services.
	TotalShards int
	// Held is the number of shards that have a replica.
	HeldShards int
}

// Complete reports whether every shard has a replica.
func (s *Snapshot) Complete() bool {
	return s.HeldShards == s.TotalShards
}
