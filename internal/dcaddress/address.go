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
	defaultLifetime  = 5 * time.Second
	defaultFullHosts = 8
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

// Answerer builds address answers.
type Answerer struct {
	// Lifetime of an answer.
	Lifetime time.Duration
	// FullHosts is the largest number of hosts that all groups share, and the
	// smallest number that a steered group gets.
	FullHosts int
	// TotalServers is the number of servers of all groups.
	TotalServers int
	// Weight gives a host its share of callers; nil means equal shares.
	Weight func(dcid.HostID) float64
	Random *rand.Rand

	version uint64
	steered map[Group][]dcmembership.Host
}

// maxGroups bounds the cache of steered hosts.
const maxGroups = 1024

// Current answers as Answer does, from a membership whose version tells when its
// hosts have changed. It ranks the hosts once for each group and version, since
// ranking 1,300 hosts takes longer than all other steps together.
func (a *Answerer) Current(group Group, version uint64, hosts func() []dcmembership.Host) Answer {
	if a.steered == nil || a.version != version || len(a.steered) >= maxGroups {
		a.steered = map[Group][]dcmembership.Host{}
		a.version = version
	}
	steered, ok := a.steered[group]
	if !ok {
		steered = a.Steer(group, usable(hosts()))
		a.steered[group] = steered
	}
	return a.order(slices.Clone(steered))
}

// Answer returns the addresses for a caller of the group. It is empty only when
// hosts is.
func (a *Answerer) Answer(group Group, hosts []dcmembership.Host) Answer {
	return a.order(a.Steer(group, usable(hosts)))
}

func (a *Answerer) order(steered []dcmembership.Host) Answer {
	a.shuffle(steered)
	answer := Answer{Lifetime: cmp.Or(a.Lifetime, defaultLifetime)}
	for _, host := range steered {
		answer.Addresses = append(answer.Addresses, host.CallerAddress)
	}
	return answer
}

// usable returns the hosts in the best state that any host has. A suspect may
// only be cut off from this host; a leaving one still serves.
func usable(hosts []dcmembership.Host) []dcmembership.Host {
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

// Steer returns the hosts that the callers of a group use: all when they are
// few, else a share of them that matches the group's share of servers, by
// rendezvous hashing and spread over the failure domains.
func (a *Answerer) Steer(group Group, hosts []dcmembership.Host) []dcmembership.Host {
	full := cmp.Or(a.FullHosts, defaultFullHosts)
	size := a.groupSize(group, len(hosts), full)
	if size >= len(hosts) {
		return slices.Clone(hosts)
	}
	ranked := dcmembership.Rank(string(group.Name), hosts)
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

func (a *Answerer) groupSize(group Group, hosts, full int) int {
	if hosts <= full || a.TotalServers <= 0 || group.Servers <= 0 {
		return hosts
	}
	size := (hosts*group.Servers + a.TotalServers - 1) / a.TotalServers
	return min(max(size, full), hosts)
}

// shuffle orders hosts by weighted random sampling without replacement
// (Efraimidis and Spirakis, 2006).
func (a *Answerer) shuffle(hosts []dcmembership.Host) {
	keys := make(map[dcid.HostID]float64, len(hosts))
	for _, host := range hosts {
		keys[host.ID] = a.Random.ExpFloat64() / a.weight(host.ID)
	}
	slices.SortFunc(hosts, func(x, y dcmembership.Host) int {
		return cmp.Or(cmp.Compare(keys[x.ID], keys[y.ID]), cmp.Compare(x.ID, y.ID))
	})
}

func (a *Answerer) weight(id dcid.HostID) float64 {
	if a.Weight == nil {
		return 1
	}
	// A host of weight 0 comes last instead of never.
	return max(a.Weight(id), math.SmallestNonzeroFloat32)
}
