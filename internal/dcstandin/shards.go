package dcstandin

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"
)

// ShardMap holds the shards that a server has in one map epoch.
type ShardMap struct {
	Epoch dcid.MapEpoch
	// Total is the number of shards of the service in this epoch.
	Total  int
	Shards []dcid.ShardID
}

// SetMap adds a shard map, or replaces that of the same epoch.
func (u *Upstream) SetMap(shards ShardMap) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maps[shards.Epoch] = shards
}

// DropMap removes the shard map of an epoch. Searches that name the epoch are
// then refused with 409.
func (u *Upstream) DropMap(epoch dcid.MapEpoch) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.maps, epoch)
}

// AddVersion makes an index version available on every shard.
func (u *Upstream) AddVersion(version dcid.IndexVersion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !slices.Contains(u.versions, version) {
		u.versions = append(u.versions, version)
		slices.Sort(u.versions)
	}
}

// DropVersion removes an index version. Searches that name it are then refused
// with 409.
func (u *Upstream) DropVersion(version dcid.IndexVersion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.versions = slices.DeleteFunc(u.versions, func(held dcid.IndexVersion) bool { return held == version })
}

// Status returns the status that the server reports, which LyingStatus makes
// false.
func (u *Upstream) Status() *upstreamv1.Status {
	u.mu.Lock()
	defer u.mu.Unlock()
	status := &upstreamv1.Status{
		State:   u.state(),
		Running: int32(len(u.slots)),
		Waiting: int32(u.waiting),
	}
	if u.faults.LyingStatus {
		status.State, status.Running, status.Waiting = stateServing, 0, 0
	}
	for _, epoch := range slices.Sorted(maps.Keys(u.maps)) {
		status.Maps = append(status.Maps, u.mapStatus(u.maps[epoch]))
	}
	return status
}

func (u *Upstream) mapStatus(shards ShardMap) *upstreamv1.MapEpoch {
	entry := &upstreamv1.MapEpoch{Epoch: uint32(shards.Epoch), TotalShards: int32(shards.Total)}
	for _, shard := range shards.Shards {
		held := &upstreamv1.HeldShard{Shard: string(shard)}
		for _, version := range u.versions {
			held.Versions = append(held.Versions, string(version))
		}
		entry.Shards = append(entry.Shards, held)
	}
	return entry
}

// States of a server in its status and in the Server-State header.
const (
	stateServing  = "serving"
	stateCold     = "cold"
	stateDraining = "draining"
)

// state returns the state of the server. The caller holds mu.
func (u *Upstream) state() string {
	switch {
	case u.faults.Draining:
		return stateDraining
	case u.coldFraction() > 0:
		return stateCold
	}
	return stateServing
}

// currentState locks mu and returns the state of the server.
func (u *Upstream) currentState() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state()
}

// ShardName returns the name of the shard with a number, from 0.
func ShardName(number int) dcid.ShardID {
	return dcid.ShardID(fmt.Sprintf("shard-%d", number))
}

// AssignReplicas assigns total shards to servers with the given failure
// domains. Each shard is on two servers, in different failure domains if there
// are several, or on the only server. AssignReplicas returns the shards of each
// server.
func AssignReplicas(total int, domains []dcid.FailureDomain) [][]dcid.ShardID {
	held := make([][]dcid.ShardID, len(domains))
	for number := range total {
		first := number % len(domains)
		held[first] = append(held[first], ShardName(number))
		if second := replicaServer(first, domains); second != first {
			held[second] = append(held[second], ShardName(number))
		}
	}
	return held
}

// replicaServer returns the next server after first in another failure domain,
// or else the next server.
func replicaServer(first int, domains []dcid.FailureDomain) int {
	for step := 1; step < len(domains); step++ {
		next := (first + step) % len(domains)
		if domains[next] != domains[first] {
			return next
		}
	}
	return (first + 1) % len(domains)
}
