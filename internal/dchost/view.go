package dchost

import (
	"slices"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcconfig"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// view is the configuration in force with the state that is derived from it. It
// is replaced as a whole when a new revision comes into force.
type view struct {
	accepted *dcconfig.AcceptedRevision
	groups   map[dcid.GroupName]*group
	targets  map[dcid.ServerAddr]*target
	// sortedTargets holds the targets, sorted by address.
	sortedTargets []*target
	// maxBody is the largest body in bytes that any group accepts.
	maxBody int64
}

func (v *view) configuration() *settingsv1.Configuration {
	if v.accepted == nil {
		return nil
	}
	return v.accepted.Configuration
}

func (v *view) revision() dcid.Revision {
	if v.accepted == nil {
		return 0
	}
	return v.accepted.Revision
}

// department returns the settings of a department, nil if there is none.
func (v *view) department(name dcid.Department) *settingsv1.Department {
	for _, department := range v.configuration().GetDepartments() {
		if department.GetName() == string(name) {
			return department
		}
	}
	return nil
}

// nextView builds the view of a revision. Groups and servers that remain keep
// their state.
func (h *Host) nextView(accepted *dcconfig.AcceptedRevision) *view {
	old := h.view.Load()
	next := &view{
		accepted: accepted,
		groups:   map[dcid.GroupName]*group{},
		targets:  map[dcid.ServerAddr]*target{},
	}
	seats := int(accepted.Configuration.GetEntryHosts())
	for _, rules := range accepted.Configuration.GetServiceGroups() {
		name := dcid.GroupName(rules.GetName())
		groupState, ok := old.groups[name]
		if !ok {
			groupState = newGroup(h)
		}
		groupState.configure(rules, seats)
		next.groups[name] = groupState
		next.maxBody = max(next.maxBody, int64(rules.GetMaxBodyBytes()))
		h.addTargets(next, old, groupState, rules, seats)
	}
	for _, added := range next.targets {
		next.sortedTargets = append(next.sortedTargets, added)
	}
	slices.SortFunc(next.sortedTargets, func(a, b *target) int {
		if a.addr < b.addr {
			return -1
		}
		return 1
	})
	return next
}

// addTargets adds the servers of a group to the next view. Servers of the old
// view keep their state.
func (h *Host) addTargets(next, old *view, g *group, rules *settingsv1.ServiceGroup, seats int) {
	for _, service := range rules.GetServices() {
		for _, upstream := range service.GetUpstreams() {
			for _, server := range upstream.GetServers() {
				addr := dcid.ServerAddr(server)
				targetState, ok := next.targets[addr]
				if !ok {
					targetState = old.targets[addr]
				}
				if targetState == nil {
					targetState = &target{addr: addr}
				}
				next.targets[addr] = targetState
				targetState.configure(g, int(rules.GetConnections()), seats, slices.Contains(upstream.GetLeaving(), server))
			}
		}
	}
}

// serversOf returns the addresses of all servers of a service.
func serversOf(service *settingsv1.Service) (servers []dcid.ServerAddr) {
	for _, upstream := range service.GetUpstreams() {
		for _, server := range upstream.GetServers() {
			servers = append(servers, dcid.ServerAddr(server))
		}
	}
	return servers
}

func countServers(rules *settingsv1.ServiceGroup) (count int) {
	for _, service := range rules.GetServices() {
		count += len(serversOf(service))
	}
	return count
}
