package dcroster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"
)

const (
	// sourcesPerDomain is the number of hosts of a failure domain that watch the
	// store. The second one serves the others if the first one is gone.
	sourcesPerDomain = 2
	// maxOtherSources limits the sources of other failure domains that a host asks if
	// those of its own do not answer.
	maxOtherSources = 2
)

// source is a host that watches the store, with its rank in an order of hosts.
type source struct {
	rank uint64
	host *hostv1.Record
}

// domainSources holds the hosts of a failure domain of the lowest ranks.
type domainSources struct {
	sources []source
	// hosts is the number of hosts of the domain.
	hosts int
}

// add counts a host, and keeps it if its rank is low enough. A host without a
// control address cannot be a source.
func (d *domainSources) add(host *hostv1.Record) {
	d.hosts++
	if host.GetControlAddress() == "" {
		return
	}
	d.sources = append(d.sources, source{sourceRank(host, host.GetFailureDomain()), host})
	slices.SortFunc(d.sources, compareSources)
	d.sources = d.sources[:min(len(d.sources), sourcesPerDomain)]
}

// Sources returns the control addresses of the hosts from which this one takes the
// records of the store, in the order of preference: the sources of its failure
// domain, and then some of other domains. It returns none if this host is a source
// itself, and while the list is not known. Hosts that are leaving are no sources for
// others. The order differs between hosts, so that the sources share the work.
func (r *Roster) Sources() (addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced {
		return nil
	}
	own := r.Self.GetFailureDomain()
	domains := map[string]*domainSources{own: {}}
	now := r.Clock.Now()
	for _, other := range r.peers {
		present := other.listed || now.Sub(other.lastSeen) < leaseTTL
		if !present || other.record.GetState() == hostv1.State_STATE_LEAVING || now.Before(other.leavingUntil) {
			continue
		}
		domain := domains[other.record.GetFailureDomain()]
		if domain == nil {
			domain = &domainSources{}
			domains[other.record.GetFailureDomain()] = domain
		}
		domain.add(other.record)
	}
	if !r.leaving {
		domains[own].add(r.Self)
	}
	near := domains[own]
	isSelf := func(s source) bool { return s.host == r.Self }
	if near.hosts <= sourcesPerDomain || len(near.sources) == 0 || slices.ContainsFunc(near.sources, isSelf) {
		return nil
	}
	var far []source
	for name, domain := range domains {
		if name != own {
			far = append(far, domain.sources...)
		}
	}
	far = r.spread(far)
	for _, source := range append(r.spread(near.sources), far[:min(len(far), maxOtherSources)]...) {
		addresses = append(addresses, source.host.GetControlAddress())
	}
	return addresses
}

// spread orders sources by a rank that differs between hosts.
func (r *Roster) spread(sources []source) []source {
	for i := range sources {
		sources[i].rank = sourceRank(sources[i].host, r.Self.GetHostId())
	}
	slices.SortFunc(sources, compareSources)
	return sources
}

// sourceRank returns the rank of a host for a subject (rendezvous hashing).
func sourceRank(host *hostv1.Record, subject string) uint64 {
	return xxhash.Sum64String(host.GetHostId() + "\x00source\x00" + subject)
}

func compareSources(a, b source) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.host.GetHostId(), b.host.GetHostId()))
}
