package dcroster

import (
	"github.com/dandelioncart/dandelioncart/internal/dcexchange"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// nextArrival numbers a host that comes into the list. The caller holds the lock.
func (r *Roster) nextArrival() int {
	r.arrivals++
	return r.arrivals
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
