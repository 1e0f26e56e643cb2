package dcshardmap

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Conflict is an epoch of a service about which reports contradict each other.
type Conflict struct {
	Service dcid.ServiceName
	Epoch   dcid.MapEpoch
}

// combinedEpoch is one epoch of one service, combined from the reports of all
// its servers.
type combinedEpoch struct {
	epoch dcid.MapEpoch
	total int
	// shards are the known shards of the epoch, sorted. They are fewer than
	// total when no report names some of the shards.
	shards []dcid.ShardID
	// replicas are the usable servers for each shard and version.
	replicas map[dcid.ShardID]map[dcid.IndexVersion][]Replica
	// held is the number of shards with a usable server, for each version.
	held map[dcid.IndexVersion]int
}

func (e *combinedEpoch) allShardsNamed() bool {
	return len(e.shards) == e.total
}

// combinedService lists the epochs of a service about which the reports agree,
// newest first.
type combinedService struct {
	name   dcid.ServiceName
	epochs []*combinedEpoch
}

// buildSnapshot computes the snapshot and the conflicts from all reports.
func buildSnapshot(t *Table) (*Snapshot, []Conflict) {
	var conflicts []Conflict
	combined := make([]combinedService, 0, len(t.services))
	versions := make(map[dcid.IndexVersion]struct{})
	for _, service := range t.services {
		merged, serviceConflicts := t.merged(service)
		combined = append(combined, merged)
		conflicts = append(conflicts, serviceConflicts...)
		for _, epoch := range merged.epochs {
			for version := range epoch.held {
				versions[version] = struct{}{}
			}
		}
	}
	newest := slices.Sorted(maps.Keys(versions))
	slices.Reverse(newest)
	return pickSnapshot(combined, newest), conflicts
}

// pickSnapshot returns the snapshot of the newest complete version or, when
// none is complete, of the version with the largest fraction of held shards.
// versions must be sorted newest first. It returns nil when there is no version,
// or when a service has no epoch whose shards are all known by name.
func pickSnapshot(services []combinedService, versions []dcid.IndexVersion) *Snapshot {
	if len(services) == 0 {
		return nil
	}
	var (
		best      []*combinedEpoch
		version   dcid.IndexVersion
		bestHeld  = -1
		bestTotal = 1
	)
	for _, candidate := range versions {
		epochs, held, total := chooseEpochs(services, candidate)
		if epochs == nil {
			return nil
		}
		if held*bestTotal > bestHeld*total {
			best, version, bestHeld, bestTotal = epochs, candidate, held, total
		}
		if held == total {
			break
		}
	}
	if best == nil {
		return nil
	}
	return newSnapshot(services, best, version)
}

// chooseEpochs chooses an epoch for each service at a version: the one with the
// largest fraction of held shards, the newest among equals. It returns nil when
// a service has no epoch whose shards are all known by name.
func chooseEpochs(services []combinedService, version dcid.IndexVersion) (epochs []*combinedEpoch, held, total int) {
	for _, service := range services {
		var best *combinedEpoch
		for _, epoch := range service.epochs {
			if !epoch.allShardsNamed() {
				continue
			}
			if best == nil || epoch.held[version]*best.total > best.held[version]*epoch.total {
				best = epoch
			}
		}
		if best == nil {
			return nil, 0, 0
		}
		epochs = append(epochs, best)
		held += best.held[version]
		total += best.total
	}
	return epochs, held, total
}

func newSnapshot(services []combinedService, epochs []*combinedEpoch, version dcid.IndexVersion) *Snapshot {
	snapshot := &Snapshot{Version: version}
	for i, epoch := range epochs {
		service := ServiceSnapshot{Service: services[i].name, Epoch: epoch.epoch}
		for _, shard := range epoch.shards {
			replicas := epoch.replicas[shard][version]
			service.Shards = append(service.Shards, Shard{ID: shard, Replicas: replicas})
		}
		snapshot.Services = append(snapshot.Services, service)
		snapshot.TotalShards += epoch.total
		snapshot.HeldShards += epoch.held[version]
	}
	return snapshot
}

// merged combines the reports of the servers of a service, epoch by epoch.
func (t *Table) merged(service serviceState) (combinedService, []Conflict) {
	var conflicts []Conflict
	merged := combinedService{name: service.name}
	for epoch, total := range agreedTotals(service.servers) {
		combined, ok := t.combineEpoch(service.servers, epoch, total)
		if !ok {
			conflicts = append(conflicts, Conflict{Service: service.name, Epoch: epoch})
			continue
		}
		merged.epochs = append(merged.epochs, combined)
	}
	slices.SortFunc(merged.epochs, func(a, b *combinedEpoch) int { return cmp.Compare(b.epoch, a.epoch) })
	slices.SortFunc(conflicts, func(a, b Conflict) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return merged, conflicts
}

// agreedTotals returns for each epoch the number of shards that more servers
// report than any other number, or 0 when several numbers tie for the most
// reports.
// A tie is never resolved, because with too small a number a partial answer
// would count as complete.
func agreedTotals(servers []*serverState) map[dcid.MapEpoch]int {
	votes := make(map[dcid.MapEpoch]map[int]int)
	for _, server := range servers {
		for epoch, total := range server.totals {
			if votes[epoch] == nil {
				votes[epoch] = make(map[int]int)
			}
			votes[epoch][total]++
		}
	}
	agreed := make(map[dcid.MapEpoch]int, len(votes))
	for epoch, counts := range votes {
		most := 0
		for total, count := range counts {
			switch {
			case count > most:
				agreed[epoch], most = total, count
			case count == most:
				agreed[epoch] = 0
			}
		}
	}
	return agreed
}

// combineEpoch combines the claims about one epoch of the servers that report
// the agreed total. It returns false when total is 0, that is, when there is no
// agreed total, or when the servers name more shards than total.
func (t *Table) combineEpoch(servers []*serverState, epoch dcid.MapEpoch, total int) (*combinedEpoch, bool) {
	if total == 0 {
		return nil, false
	}
	result := &combinedEpoch{
		epoch:    epoch,
		total:    total,
		replicas: make(map[dcid.ShardID]map[dcid.IndexVersion][]Replica, total),
		held:     make(map[dcid.IndexVersion]int),
	}
	contradicted := make(map[dcid.ShardID]struct{})
	for _, server := range servers {
		if server.totals[epoch] == total {
			t.addServer(result, server, contradicted)
		}
	}
	for shard, versions := range result.replicas {
		result.shards = append(result.shards, shard)
		delete(contradicted, shard)
		for version, replicas := range versions {
			if len(replicas) > 0 {
				result.held[version]++
			}
			slices.SortStableFunc(replicas, warmFirst)
		}
	}
	if len(result.shards) > total {
		return nil, false
	}
	// A shard whose claims were all contradicted must still be listed in the
	// coverage. It is left out when the number of shards would then not be total,
	// since its name may be the wrong one.
	if len(result.shards)+len(contradicted) == total {
		result.shards = slices.AppendSeq(result.shards, maps.Keys(contradicted))
	}
	slices.Sort(result.shards)
	return result, true
}

// addServer adds the claims of one server. From a server that is not usable it
// takes the names of the shards, but the server is not a replica of them.
// Shards of contradicted claims are added to contradicted.
func (t *Table) addServer(combined *combinedEpoch, server *serverState, contradicted map[dcid.ShardID]struct{}) {
	usable := t.usable(server)
	for held := range server.held {
		if held.epoch != combined.epoch {
			continue
		}
		if _, ok := server.contradicted[held]; ok {
			contradicted[held.shard] = struct{}{}
			continue
		}
		versions := combined.replicas[held.shard]
		if versions == nil {
			versions = make(map[dcid.IndexVersion][]Replica)
			combined.replicas[held.shard] = versions
		}
		if usable {
			versions[held.version] = append(versions[held.version], Replica{
				Server: server.Address,
				Domain: server.Domain,
				Cold:   server.state == stateCold,
			})
		}
	}
}

// warmFirst sorts warm servers before cold ones.
func warmFirst(a, b Replica) int {
	switch {
	case a.Cold == b.Cold:
		return 0
	case a.Cold:
		return 1
	default:
		return -1
	}
}
