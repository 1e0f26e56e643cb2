package dcdrain

import (
	"cmp"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
)

// Gate lets the hosts of a rolling restart leave one after the other.
type Gate struct {
	Self dcid.HostID
	// Expected is the number of hosts of the deployment; hosts that are not
	// known count as missing. 0 counts only known hosts.
	Expected int
	// MaxUnavailable is the number of hosts that may be away at once, this one
	// included; 0 means 1.
	MaxUnavailable int
	// Override lets the host leave in any case.
	Override bool
}

// Check reports whether this host may start to leave, and which hosts are away.
func (g Gate) Check(hosts []dcmembership.Host) (away []dcid.HostID, ok bool) {
	present := 0
	for _, host := range hosts {
		switch {
		case host.ID == g.Self || host.State == dcmembership.Alive:
			present++
		case host.State == dcmembership.Gone && g.Expected > 0:
			// Gone hosts may have been replaced; Expected tells.
		default:
			away = append(away, host.ID)
		}
	}
	missing := max(len(away), g.Expected-present)
	return away, g.Override || missing < cmp.Or(g.MaxUnavailable, 1)
}

// MustYield reports that this host, which is leaving, must withdraw: too many
// others are leaving too, and it is not among the first by id. It resolves two
// hosts that passed Check before they heard of each other, and is called until
// Drain starts to refuse requests.
func (g Gate) MustYield(hosts []dcmembership.Host) bool {
	before := 0
	for _, host := range hosts {
		if host.State == dcmembership.Leaving && host.ID < g.Self {
			before++
		}
	}
	return !g.Override && before >= cmp.Or(g.MaxUnavailable, 1)
}
