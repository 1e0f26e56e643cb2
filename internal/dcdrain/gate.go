package dcdrain

import (
	"cmp"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
)

// Gate limits how many hosts of a rolling restart are unavailable at once.
type Gate struct {
	Self dcid.HostID
	// Expected is the number of hosts of the deployment; hosts that are not
	// known count as unavailable. 0 counts only known hosts.
	Expected int
	// MaxUnavailable is the number of hosts that may be unavailable at once,
	// this one included; 0 means 1.
	MaxUnavailable int
	// Override lets the host leave regardless of the others.
	Override bool
}

// Check reports whether this host may start to leave, and returns the hosts
// that are unavailable.
func (g Gate) Check(hosts []dcmembership.Host) (unavailable []dcid.HostID, ok bool) {
	present := 0
	for _, host := range hosts {
		switch {
		case host.ID == g.Self || host.State == dcmembership.Alive:
			present++
		case host.State == dcmembership.Gone && g.Expected > 0:
			// Gone hosts may have been replaced; the comparison with Expected
			// accounts for them.
		default:
			unavailable = append(unavailable, host.ID)
		}
	}
	missing := max(len(unavailable), g.Expected-present)
	return unavailable, g.Override || missing < cmp.Or(g.MaxUnavailable, 1)
}

// MustYield reports whether this host, which is leaving, must cancel its stop
// because MaxUnavailable or more leaving hosts have lower ids. It resolves the
// case of two hosts that passed Check before they learned of each other. It is
// called until Drain starts to refuse requests.
func (g Gate) MustYield(hosts []dcmembership.Host) bool {
	earlier := 0
	for _, host := range hosts {
		if host.State == dcmembership.Leaving && host.ID < g.Self {
			earlier++
		}
	}
	return !g.Override && earlier >= cmp.Or(g.MaxUnavailable, 1)
}
