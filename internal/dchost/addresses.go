package dchost

import (
	"sync"

	"github.com/dandelioncart/dandelioncart/internal/dcaddress"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// addressState holds the resolver of address answers for the configuration in
// force. mu guards its fields.
type addressState struct {
	mu       sync.Mutex
	resolver *dcaddress.Resolver
	revision dcid.Revision
}

// resolveAddresses returns the addresses that callers of a group use. The
// ranking of hosts is cached until the membership or the configuration changes.
func (h *Host) resolveAddresses(current *view, rules *settingsv1.ServiceGroup) dcaddress.Answer {
	h.addresses.mu.Lock()
	defer h.addresses.mu.Unlock()
	if h.addresses.resolver == nil || h.addresses.revision != current.revision() {
		h.addresses.resolver = h.newResolver(current)
		h.addresses.revision = current.revision()
	}
	group := dcaddress.Group{Name: dcid.GroupName(rules.GetName()), Servers: countServers(rules)}
	return h.addresses.resolver.AnswerCached(group, h.members.version(), h.members.hosts)
}

func (h *Host) newResolver(current *view) *dcaddress.Resolver {
	total := 0
	for _, rules := range current.configuration().GetServiceGroups() {
		total += countServers(rules)
	}
	return &dcaddress.Resolver{
		Lifetime:     h.Settings.GetAddressLifetime().AsDuration(),
		TotalServers: total,
		Random:       h.newRandom(),
	}
}

func (s *memberState) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Version()
}
