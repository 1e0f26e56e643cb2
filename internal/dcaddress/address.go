// Package dcaddress decides which hosts a caller of a service group uses, in
// which order, and for how long the answer is valid.
package dcaddress

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
)

const (
	defaultLifetime      = 5 * time.Second
	defaultMinSubsetSize = 8
)

// Answer is an address answer.
type Answer struct {
	// Addresses are in the order in which the caller tries them.
	Addresses []string
	Lifetime  time.Duration
}

// Group is the part of a service group that determines its subset of hosts.
type Group struct {
	Name dcid.GroupName
	// Servers is the number of servers of the group.
	Servers int
}

// Resolver builds address answers.
type Resolver struct {
	// Lifetime is the lifetime of an answer; 0 means 5 s.
	Lifetime time.Duration
	// MinSubsetSize is the smallest number of hosts in a subset. With no more
	// hosts than this, all groups use all hosts. 0 means 8.
	MinSubsetSize int
	// TotalServers is the number of servers of all groups.
	TotalServers int
	// Weight returns a host's share of callers; nil means equal shares.
	Weight func(dcid.HostID) float64
	Random *rand.Rand

	// version is the version of the hosts from which the subsets in subset were
	// chosen.
	version uint64
	subset  map[Group][]dcmembership.Host
}

// maxCachedGroups bounds the cache of subsets.
const maxCachedGroups = 1024

// AnswerCached returns what Answer returns, for hosts that change only with
// version. It ranks the hosts once for each group and version, since ranking
// 1,300 hosts takes longer than all other steps together.
func (r *Resolver) AnswerCached(group Group, version uint64, hosts func() []dcmembership.Host) Answer {
	if r.subset == nil || r.version != version || len(r.subset) >= maxCachedGroups {
		r.subset = map[Group][]dcmembership.Host{}
		r.version = version
	}
	subset, ok := r.subset[group]
	if !ok {
		subset = r.Subset(group, hostsInBestState(hosts()))
		r.subset[group] = subset
	}
	return r.buildAnswer(slices.Clone(subset))
}

// Answer returns the addresses for a caller of the group. It is empty only when
// hosts is.
func (r *Resolver) Answer(group Group, hosts []dcmembership.Host) Answer {
	return r.buildAnswer(r.Subset(group, hostsInBestState(hosts)))
}

// buildAnswer returns the hosts of a subset in random order, which it shuffles
// in place.
func (r *Resolver) buildAnswer(subset []dcmembership.Host) Answer {
	r.shuffle(subset)
	answer := Answer{Lifetime: cmp.Or(r.Lifetime, defaultLifetime)}
	for _, host := range subset {
		answer.Addresses = append(answer.Addresses, host.CallerAddress)
	}
	return answer
}

// hostsInBestState returns the hosts in the most preferred state that any host
// has. A suspect host may only be cut off from this host, and a leaving one
// still serves.
func hostsInBestState(hosts []dcmembership.Host) []dcmembership.Host {
	preference := []dcmembership.State{dcmembership.Alive, dcmembership.Suspect, dcmembership.Leaving, dcmembership.Gone}
	for _, state := range preference {
		var found []dcmembership.Host
		for _, host := range hosts {
			if host.State == state && host.CallerAddress != "" {
				found = append(found, host)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return nil
}

// Subset returns the hosts that the callers of a group use. These are all hosts
// when there are few, and otherwise a fraction that matches the group's share
// of servers. They are chosen by rendezvous hashing and spread over the failure
// domains.
func (r *Resolver) Subset(group Group, hosts []dcmembership.Host) []dcmembership.Host {
	minSize := cmp.Or(r.MinSubsetSize, defaultMinSubsetSize)
	size := r.subsetSize(group, len(hosts), minSize)
	if size >= len(hosts) {
		return slices.Clone(hosts)
	}
	ranked := dcmembership.RendezvousRank(string(group.Name), hosts)
	domains := map[dcid.FailureDomain]int{}
	for _, host := range hosts {
		domains[host.Domain] = 0
	}
	quota := (size + len(domains) - 1) / len(domains)
	var chosen, skipped []dcmembership.Host
	for _, host := range ranked {
		if len(chosen) == size {
			break
		}
		if domains[host.Domain] >= quota {
			skipped = append(skipped, host)
			continue
		}
		domains[host.Domain]++
		chosen = append(chosen, host)
	}
	missing := min(size-len(chosen), len(skipped))
	return append(chosen, skipped[:missing]...)
}

// subsetSize returns the number of hosts in the subset of a group.
func (r *Resolver) subsetSize(group Group, hosts, minSize int) int {
	if hosts <= minSize || r.TotalServers <= 0 || group.Servers <= 0 {
		return hosts
	}
	size := (hosts*group.Servers + r.TotalServers - 1) / r.TotalServers
	return min(max(size, minSize), hosts)
}

// shuffle orders hosts by weighted random sampling without replacement
// (Efraimidis and Spirakis, 2006).
func (r *Resolver) shuffle(hosts []dcmembership.Host) {
	keys := make(map[dcid.HostID]float64, len(hosts))
	for _, host := range hosts {
		keys[host.ID] = r.Random.ExpFloat64() / r.weight(host.ID)
	}
	slices.SortFunc(hosts, func(x, y dcmembership.Host) int {
		return cmp.Or(cmp.Compare(keys[x.ID], keys[y.ID]), cmp.Compare(x.ID, y.ID))
	})
}

// weight returns the weight of a host, which is above 0.
func (r *Resolver) weight(id dcid.HostID) float64 {
	if r.Weight == nil {
		return 1
	}
	// A host of weight 0 is placed last rather than left out.
	return max(r.Weight(id), math.SmallestNonzeroFloat32)
}
