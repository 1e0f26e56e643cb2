// Package dcaddress decides which hosts a caller of a service group uses, in
// which order and for how long.
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
	// Addresses in the order in which the caller tries them.
	Addresses []string
	Lifetime  time.Duration
}

// Group is the part of a service group that steering uses.
type Group struct {
	Name dcid.GroupName
	// Servers is the number of servers of the group.
	Servers int
}

// Resolver builds address answers.
type Resolver struct {
	// Lifetime of an answer.
	Lifetime time.Duration
	// MinSubsetSize is the largest number of hosts that all groups share, and the
	// smallest number that a steered group gets.
	MinSubsetSize int
	// TotalServers is the number of servers of all groups.
	TotalServers int
	// Weight gives a host its share of callers; nil means equal shares.
	Weight func(dcid.HostID) float64
	Random *rand.Rand

	version uint64
	subset  map[Group][]dcmembership.Host
}

// maxCachedGroups bounds the cache of steered hosts.
const maxCachedGroups = 1024

// AnswerCached answers as Answer does, from a membership whose version tells when its
// hosts have changed. It ranks the hosts once for each group and version, since
// ranking 1,300 hosts takes longer than all other steps together.
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

func (r *Resolver) buildAnswer(subset []dcmembership.Host) Answer {
	r.shuffle(subset)
	answer := Answer{Lifetime: cmp.Or(r.Lifetime, defaultLifetime)}
	for _, host := range subset {
		answer.Addresses = append(answer.Addresses, host.CallerAddress)
	}
	return answer
}

// hostsInBestState returns the hosts in the best state that any host has. A suspect may
// only be cut off from this host; a leaving one still serves.
func hostsInBestState(hosts []dcmembership.Host) []dcmembership.Host {
	order := []dcmembership.State{dcmembership.Alive, dcmembership.Suspect, dcmembership.Leaving, dcmembership.Gone}
	for _, state := range order {
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

// Subset returns the hosts that the callers of a group use: all when they are
// few, else a share of them that matches the group's share of servers, by
// rendezvous hashing and spread over the failure domains.
func (r *Resolver) Subset(group Group, hosts []dcmembership.Host) []dcmembership.Host {
	full := cmp.Or(r.MinSubsetSize, defaultMinSubsetSize)
	size := r.subsetSize(group, len(hosts), full)
	if size >= len(hosts) {
		return slices.Clone(hosts)
	}
	ranked := dcmembership.RendezvousRank(string(group.Name), hosts)
	domains := map[dcid.FailureDomain]int{}
	for _, host := range hosts {
		domains[host.Domain] = 0
	}
	quota := (size + len(domains) - 1) / len(domains)
	var chosen, spare []dcmembership.Host
	for _, host := range ranked {
		if len(chosen) == size {
			break
		}
		if domains[host.Domain] >= quota {
			spare = append(spare, host)
			continue
		}
		domains[host.Domain]++
		chosen = append(chosen, host)
	}
	missing := min(size-len(chosen), len(spare))
	return append(chosen, spare[:missing]...)
}

func (r *Resolver) subsetSize(group Group, hosts, full int) int {
	if hosts <= full || r.TotalServers <= 0 || group.Servers <= 0 {
		return hosts
	}
	size := (hosts*group.Servers + r.TotalServers - 1) / r.TotalServers
	return min(max(size, full), hosts)
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

func (r *Resolver) weight(id dcid.HostID) float64 {
	if r.Weight == nil {
		return 1
	}
	// A host of weight 0 comes last instead of never.
	return max(r.Weight(id), math.SmallestNonzeroFloat32)
}
