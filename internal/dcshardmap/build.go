package dcshardmap

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Conflict is an epoch of a service that reports contradict each other about.
type Conflict struct {
	Service dcid.ServiceName
	Epoch   dcid.MapEpoch
}

// epochView is one epoch of one service as all reports describe it.
type combinedEpoch struct {
	epoch dcid.MapEpoch
	total int
	// shards are all shards of the epoch in order; fewer than total when some
	// are not known by name.
	shards []dcid.ShardID
	// replicas holds the usable servers for each shard and version.
	replicas map[dcid.ShardID]map[dcid.IndexVersion][]Replica
	// held counts the shards with a usable server for each version.
	held map[dcid.IndexVersion]int
}

func (e *combinedEpoch) allShardsNamed() bool {
	return len(e.shards) == e.total
}

// serviceView lists the consistent epochs of a service, newest first.
type combinedService struct {
	name   dcid.ServiceName
	epochs []*combinedEpoch
}

// build computes the pin from everything known.
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

// pick prefers the newest complete version, then the one with the most held
// shards. Versions are ordered newest first.
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

// choose picks an epoch for each service at a version: the newest of those
// with the fewest shards missing. It returns nil when a service has no epoch
// whose shards are all known by name.
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

// view combines the reports of a service's servers.
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
// report than any other number, or 0 when two numbers are reported equally
// often. Too small a number would let a partial answer pass as complete, so a
// tie is never resolved.
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

// combine merges the claims about one epoch of the servers that report the
// agreed total. It fails when there is no agreed total or when more shards are
// named than exist.
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
	// A shard whose every claim was contradicted still has to be named in the
	// coverage, unless the name itself is what makes the count wrong.
	if len(result.shards)+len(contradicted) == total {
		result.shards = slices.AppendSeq(result.shards, maps.Keys(contradicted))
	}
	slices.Sort(result.shards)
	return result, true
}

// addServer adds the claims of one server. A server that is not usable names
// shards and versions but is no replica of them.
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

// serveFirst orders servers that are warm before cold ones.
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
