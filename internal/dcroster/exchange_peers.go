package dcroster

import (
	"google.golang.org/protobuf/proto"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcexchange"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// nextArrival numbers a host that comes into the list. The caller holds the lock.
func (r *Roster) nextArrival() int {
	r.arrivals++
	return r.arrivals
}

// isSameBesidesStart reports whether two records differ only in the start of the process,
// if at all.
func isSameBesidesStart(a, b *hostv1.Record) bool {
	if a == nil || b == nil || proto.Equal(a.GetStarted(), b.GetStarted()) {
		return proto.Equal(a, b)
	}
	other := proto.CloneOf(b)
	other.Started = a.GetStarted()
	return proto.Equal(a, other)
}

// ExchangePeers returns the other hosts for the plan of exchanges, and whether the list
// has been read.
func (r *Roster) ExchangePeers() (peers []dcexchange.Peer, synced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, host := range r.presentPeers() {
		if host.GetControlAddress() == "" {
			continue
		}
		id := dcid.HostID(host.GetHostId())
		peer := dcexchange.Peer{ID: id, Address: host.GetControlAddress(), Arrival: r.peers[id].arrival}
		if started := host.GetStarted(); started != nil {
			peer.Started = started.AsTime()
		}
		peers = append(peers, peer)
	}
	return peers, r.synced
}
