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
type epochView struct {
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

func (v *epochView) named() bool {
	return len(v.shards) == v.total
}

// serviceView lists the consistent epochs of a service, newest first.
type serviceView struct {
	name   dcid.ServiceName
	epochs []*epochView
}

// build computes the pin from everything known.
func build(t *Table) (*Pin, []Conflict) {
	var conflicts []Conflict
	views := make([]serviceView, 0, len(t.services))
	versions := make(map[dcid.IndexVersion]struct{})
	for _, service := range t.services {
		view, bad := t.view(service)
		views = append(views, view)
		conflicts = append(conflicts, bad...)
		for _, epoch := range view.epochs {
			for version := range epoch.held {
				versions[version] = struct{}{}
			}
		}
	}
	newest := slices.Sorted(maps.Keys(versions))
	slices.Reverse(newest)
	return pick(views, newest), conflicts
}

// pick prefers the newest complete version, then the one with the most held
// shards. Versions are ordered newest first.
func pick(views []serviceView, versions []dcid.IndexVersion) *Pin {
	if len(views) == 0 {
		return nil
	}
	var (
		best      []*epochView
		version   dcid.IndexVersion
		bestHeld  = -1
		bestTotal = 1
	)
	for _, candidate := range versions {
		epochs, held, total := choose(views, candidate)
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
	return newPin(views, best, version)
}

// choose picks an epoch for each service at a version: the newest of those
// with the fewest shards missing. It returns nil when a service has no epoch
// whose shards are all known by name.
func choose(views []serviceView, version dcid.IndexVersion) (epochs []*epochView, held, total int) {
	for _, view := range views {
		var best *epochView
		for _, epoch := range view.epochs {
			if !epoch.named() {
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

func newPin(views []serviceView, epochs []*epochView, version dcid.IndexVersion) *Pin {
	pin := &Pin{Version: version}
	for i, epoch := range epochs {
		service := ServicePin{Service: views[i].name, Epoch: epoch.epoch}
		for _, shard := range epoch.shards {
			replicas := epoch.replicas[shard][version]
			service.Shards = append(service.Shards, Shard{ID: shard, Replicas: replicas})
		}
		pin.Services = append(pin.Services, service)
		pin.Total += epoch.total
		pin.Held += epoch.held[version]
	}
	return pin
}

// view combines the reports of a service's servers.
func (t *Table) view(service serviceState) (serviceView, []Conflict) {
	var conflicts []Conflict
	view := serviceView{name: service.name}
	for epoch, total := range agreedTotals(service.servers) {
		combined, ok := t.combine(service.servers, epoch, total)
		if !ok {
			conflicts = append(conflicts, Conflict{Service: service.name, Epoch: epoch})
			continue
		}
		view.epochs = append(view.epochs, combined)
	}
	slices.SortFunc(view.epochs, func(a, b *epochView) int { return cmp.Compare(b.epoch, a.epoch) })
	slices.SortFunc(conflicts, func(a, b Conflict) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return view, conflicts
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
func (t *Table) combine(servers []*serverState, epoch dcid.MapEpoch, total int) (*epochView, bool) {
	if total == 0 {
		return nil, false
	}
	view := &epochView{
		epoch:    epoch,
		total:    total,
		replicas: make(map[dcid.ShardID]map[dcid.IndexVersion][]Replica, total),
		held:     make(map[dcid.IndexVersion]int),
	}
	denied := make(map[dcid.ShardID]struct{})
	for _, server := range servers {
		if server.totals[epoch] == total {
			t.addServer(view, server, denied)
		}
	}
	for shard, versions := range view.replicas {
		view.shards = append(view.shards, shard)
		delete(denied, shard)
		for version, replicas := range versions {
			if len(replicas) > 0 {
				view.held[version]++
			}
			slices.SortStableFunc(replicas, serveFirst)
		}
	}
	if len(view.shards) > total {
		return nil, false
	}
	// A shard whose every claim was contradicted still has to be named in the
	// coverage, unless the name itself is what makes the count wrong.
	if len(view.shards)+len(denied) == total {
		view.shards = slices.AppendSeq(view.shards, maps.Keys(denied))
	}
	slices.Sort(view.shards)
	return view, true
}

// addServer adds the claims of one server. A server that is not usable names
// shards and versions but is no replica of them.
func (t *Table) addServer(view *epochView, server *serverState, denied map[dcid.ShardID]struct{}) {
	usable := t.usable(server)
	for held := range server.held {
		if held.epoch != view.epoch {
			continue
		}
		if _, ok := server.denied[held]; ok {
			denied[held.shard] = struct{}{}
			continue
		}
		versions := view.replicas[held.shard]
		if versions == nil {
			versions = make(map[dcid.IndexVersion][]Replica)
			view.replicas[held.shard] = versions
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
func serveFirst(a, b Replica) int {
	switch {
	case a.Cold == b.Cold:
		return 0
	case a.Cold:
		return 1
	default:
		return -1
	}
}
