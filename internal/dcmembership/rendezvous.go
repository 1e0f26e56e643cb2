package dcmembership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// RendezvousScore returns the rendezvous hashing (highest random weight) score
// of a host for a key.
func RendezvousScore(key string, id dcid.HostID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// RendezvousRank returns the hosts in rendezvous order for a key, the highest
// score first. Removing a host moves only the keys for which it ranked first.
func RendezvousRank(key string, hosts []Host) []Host {
	type scored struct {
		host  Host
		score uint64
	}
	ranked := make([]scored, 0, len(hosts))
	for _, host := range hosts {
		ranked = append(ranked, scored{host: host, score: RendezvousScore(key, host.ID)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.ID, b.host.ID))
	})
	ordered := make([]Host, 0, len(ranked))
	for _, r := range ranked {
		ordered = append(ordered, r.host)
	}
	return ordered
}

// Owners returns the ids of the first count alive hosts in rendezvous order, or
// of all of them when fewer are alive.
func Owners(key string, hosts []Host, count int) []dcid.HostID {
	alive := make([]Host, 0, len(hosts))
	for _, host := range hosts {
		if host.State == Alive {
			alive = append(alive, host)
		}
	}
	ranked := RendezvousRank(key, alive)
	owners := make([]dcid.HostID, 0, count)
	for _, host := range ranked[:min(count, len(ranked))] {
		owners = append(owners, host.ID)
	}
	return owners
}
