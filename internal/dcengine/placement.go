package dcengine

import "github.com/dandelioncart/dandelioncart/internal/dcplacement"

// MaxWholeHosts returns the number of hosts up to which callers use all of them.
func (e *Engine) MaxWholeHosts() int {
	if table := e.table.Load(); table != nil && table.RequiresKeys() {
		return dcplacement.MaxHostsWithQuotas
	}
	return dcplacement.MaxAddresses
}
