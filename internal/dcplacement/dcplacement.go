// Package dcplacement selects the hosts that callers use, and divides among the
// hosts what all of them share. It opens no sockets and reads no clock.
//
// It answers the load of a deployment in which each host would see only a few
// requests a second: fewer hosts keep their connections to the servers open, learn
// sooner which servers are slow, and divide the budget of extra sends among fewer.
package dcplacement

import (
	"cmp"
	"slices"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// MaxAddresses is the number of addresses that callers read. Deployments with
	// more hosts have to select.
	MaxAddresses = 64
	// MaxHostsWithQuotas is the number of hosts up to which callers use all of them
	// if departments have quotas. The grants of a quota are divided among the hosts
	// that callers use, and are too small to be useful if those are many.
	MaxHostsWithQuotas = 16
	// baseHosts is the number of hosts of each failure domain that callers use while
	// none of them is busy. One of them can be lost while another one is replaced.
	baseHosts = 3
	// hostsPerBusy is the number of hosts that are added for each busy one. If all are
	// busy, the set doubles with each change of the list.
	hostsPerBusy = 1
	// minHosts is the smallest number of hosts in an answer. Callers of domains with
	// fewer hosts also use those of the others.
	minHosts = 2
)

// Host is a host that serves callers.
type Host struct {
	ID      dcid.HostID
	Domain  dcid.FailureDomain
	Address string
	// Cores is the number of processor cores that the host may use, 0 when unknown.
	Cores float64
	// Busy is set while the host uses most of its processor time.
	Busy bool
}

// Set holds the hosts that callers use, by failure domain.
type Set struct {
	byDomain map[dcid.FailureDomain][]Host
	ids      map[dcid.HostID]bool
	// whole is set if callers use all hosts.
	whole bool
}

// Select returns the set of hosts that callers use. With no more than maxWhole
// hosts, these are all. Otherwise they are those with the most processor cores of
// each domain. All hosts select from the same list, so that their answers agree.
func Select(hosts []Host, maxWhole int) Set {
	set := Set{byDomain: make(map[dcid.FailureDomain][]Host), ids: make(map[dcid.HostID]bool), whole: len(hosts) <= maxWhole}
	for _, host := range hosts {
		set.byDomain[host.Domain] = append(set.byDomain[host.Domain], host)
	}
	for domain, candidates := range set.byDomain {
		if !set.whole {
			set.byDomain[domain] = fromDomain(candidates)
		}
		for _, host := range set.byDomain[domain] {
			set.ids[host.ID] = true
		}
	}
	return set
}

// fromDomain returns the hosts of one domain that callers use.
func fromDomain(candidates []Host) []Host {
	slices.SortFunc(candidates, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.ID, b.ID))
	})
	size := baseHosts
	for i := 0; i < len(candidates) && i < size; i++ {
		if candidates[i].Busy {
			size += hostsPerBusy
		}
	}
	return candidates[:min(size, len(candidates))]
}

// Has reports whether callers use a host.
func (s Set) Has(id dcid.HostID) bool { return s.ids[id] }

// Lost reports whether a host of the set is not among the hosts that serve now.
func (s Set) Lost(serving []Host) bool {
	found := 0
	for _, host := range serving {
		if s.ids[host.ID] {
			found++
		}
	}
	return found < len(s.ids)
}

// Len returns the number of hosts that callers use.
func (s Set) Len() int { return len(s.ids) }

// Whole reports whether callers use all hosts.
func (s Set) Whole() bool { return s.whole }

// Addresses returns the addresses for a caller of a failure domain that asks a host
// of domain own. A caller asks a host of another domain when none of its own domain
// answers, so that it gets the hosts of all domains then.
func (s Set) Addresses(domain, own dcid.FailureDomain) (addresses []string) {
	var selected []Host
	if near := s.byDomain[domain]; !s.whole && domain == own && len(near) >= minHosts {
		selected = slices.Clone(near)
	} else {
		for _, hosts := range s.byDomain {
			selected = append(selected, hosts...)
		}
	}
	slices.SortFunc(selected, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	for _, host := range selected[:min(len(selected), MaxAddresses)] {
		addresses = append(addresses, host.Address)
	}
	return addresses
}
