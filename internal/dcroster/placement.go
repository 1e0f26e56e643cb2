package dcroster

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcplacement"
)

// placementInterval is the longest time for which a selection of hosts is kept while
// no host comes, goes or stops. A selection takes processor time that grows with the
// number of hosts, and each request needs its result.
const placementInterval = 100 * time.Millisecond

// CallerAddressesFor returns the addresses at which callers of a failure domain
// should use hosts.
func (r *Roster) CallerAddressesFor(domain dcid.FailureDomain) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.place()
	return r.set.Addresses(domain, dcid.FailureDomain(r.Self.GetFailureDomain()))
}

// Selected reports whether callers use this host, and of how many hosts.
func (r *Roster) Selected() (selected bool, hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.place()
	return r.set.Has(dcid.HostID(r.Self.GetHostId())), r.set.Len()
}

// place selects the hosts that callers use, unless that was done within
// placementInterval. The caller holds the lock.
func (r *Roster) place() {
	now := r.Clock.Now()
	if !r.placedAt.IsZero() && now.Sub(r.placedAt) < placementInterval {
		return
	}
	r.placedAt = now
	var hosts []dcplacement.Host
	for _, record := range r.servingHosts() {
		hosts = append(hosts, dcplacement.Host{
			ID: dcid.HostID(record.GetHostId()), Domain: dcid.FailureDomain(record.GetFailureDomain()),
			Address: record.GetCallerAddress(), Cores: record.GetCores(), Busy: record.GetBusy(),
		})
	}
	maxWhole := len(hosts)
	if r.MaxWhole != nil {
		maxWhole = r.MaxWhole()
	}
	set := dcplacement.Select(hosts, maxWhole)
	self := dcid.HostID(r.Self.GetHostId())
	if set.Len() != r.set.Len() || set.Has(self) != r.set.Has(self) {
		r.Log.Info("hosts selected for callers", zap.Int("selected", set.Len()), zap.Int("hosts", len(hosts)), zap.Bool("this-host", set.Has(self)))
	}
	lost := r.set.Lost(hosts)
	r.set = set
	r.shares.Update(set, len(r.presentPeers())+1, set.Has(self), lost, now)
}
