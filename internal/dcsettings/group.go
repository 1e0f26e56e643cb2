package dcsettings

import (
	"fmt"
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcdocument"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

const (
	maxDeadline     = 10 * time.Minute
	maxKeyRetention = 7 * 24 * time.Hour
	maxSlots        = 10_000
	maxConnections  = 100_000
	maxBodyBytes    = 16 << 20
	maxQueue        = 1_000_000
	maxWeight       = 1000
)

// checkGroup checks a service group and records its errors.
func (c *groupChecker) checkGroup(path string, group *settingsv1.ServiceGroup) {
	check := c.check
	check.name(path+".name", group.GetName())
	c.checkDepartment(path+".owner", group.GetOwner())
	check.oneOf(path+".kind", group.GetKind(), KindQuery, KindOrder)
	check.intBetween(path+".slots", group.GetSlots(), 1, maxSlots)
	check.intBetween(path+".max-body-bytes", group.GetMaxBodyBytes(), 1, maxBodyBytes)
	check.intBetween(path+".max-queue", group.GetMaxQueue(), 1, maxQueue)
	check.durationBetween(path+".connect-time", group.GetConnectTime(), 0, time.Minute)
	check.durationBetween(path+".max-deadline", group.GetMaxDeadline(), time.Millisecond, maxDeadline)
	check.fraction(path+".extra-load", group.GetExtraLoad())
	check.fraction(path+".hedge-quantile", group.GetHedgeQuantile())
	c.checkConnections(path+".connections", group.GetConnections())
	c.checkShares(path+".shares", group.GetShares())
	c.checkSchemaVersions(path+".schema-versions", group.GetSchemaVersions())
	c.checkCoverage(path, group)
	c.checkOrderRules(path, group)
	c.checkStaleConfiguration(path+".stale-configuration", group.GetStaleConfiguration())
	check.durationBetween(path+".quarantine.duration", group.GetQuarantine().GetDuration(), time.Second, 24*time.Hour)
	c.checkObjectives(path, group)
	c.checkServices(path+".services", group.GetServices())
}

// checkConnections checks that there are enough connections for one share per
// entry host and one spare share. The spare share covers a host that was replaced
// but still holds its connections.
func (c *groupChecker) checkConnections(path string, connections int32) {
	c.check.intBetween(path, connections, 1, maxConnections)
	shares := int64(c.configuration.GetEntryHosts()) + 1
	if connections > 0 && int64(connections) < shares {
		c.check.at(path, "%d is too small: %d entry hosts and one spare share need at least %d", connections, shares-1, shares)
	}
}

func (c *groupChecker) checkShares(path string, shares []*settingsv1.DepartmentShare) {
	if len(shares) == 0 {
		c.check.at(path, "is missing; list the departments that may call the group")
	}
	var departments []string
	for i, share := range shares {
		at := fmt.Sprintf("%s[%d]", path, i)
		departments = append(departments, share.GetDepartment())
		c.checkDepartment(at+".department", share.GetDepartment())
		if share.GetWeight() <= 0 || share.GetWeight() > maxWeight {
			c.check.at(at+".weight", "%g must be above 0 and at most %d", share.GetWeight(), maxWeight)
		}
	}
	c.check.unique("department", path, ".department", departments)
}

func (c *groupChecker) checkSchemaVersions(path string, versions []string) {
	if len(versions) == 0 {
		c.check.at(path, "is missing; list the schema versions that are accepted")
	}
	for i, version := range versions {
		if version == "" || len(version) > maxNameBytes {
			c.check.at(fmt.Sprintf("%s[%d]", path, i), "must have 1 to %d bytes", maxNameBytes)
		}
	}
	c.check.unique("schema version", path, "", versions)
}

func (c *groupChecker) checkCoverage(path string, group *settingsv1.ServiceGroup) {
	if group.GetKind() != KindQuery {
		return
	}
	coverage := group.GetCoverage()
	c.check.oneOf(path+".coverage", coverage, CoverageComplete, CoveragePartial)
	c.check.fraction(path+".min-coverage", group.GetMinCoverage())
	if coverage == CoverageComplete && c.check.isSet(path+".min-coverage") {
		c.check.at(path+".min-coverage", "contradicts coverage complete; remove it or set coverage: partial")
	}
	if c.check.isSet(path + ".key-retention") {
		c.check.at(path+".key-retention", "only applies to groups of kind order; remove it")
	}
}

// checkOrderRules checks the fields of groups of kind order. Fields of queries
// are errors there, because an order is sent to one server and is never hedged.
func (c *groupChecker) checkOrderRules(path string, group *settingsv1.ServiceGroup) {
	if group.GetKind() != KindOrder {
		return
	}
	for _, field := range []string{".coverage", ".min-coverage", ".hedge-quantile"} {
		if c.check.isSet(path + field) {
			c.check.at(path+field, "only applies to groups of kind query; remove it")
		}
	}
	low := max(time.Minute, group.GetMaxDeadline().AsDuration())
	c.check.durationBetween(path+".key-retention", group.GetKeyRetention(), low, maxKeyRetention)
}

func (c *groupChecker) checkStaleConfiguration(path string, stale *settingsv1.StaleConfiguration) {
	c.check.oneOf(path+".rule", stale.GetRule(), StaleServe, StaleRefuseAfter)
	switch stale.GetRule() {
	case StaleServe:
		if c.check.isSet(path + ".after") {
			c.check.at(path+".after", "contradicts rule serve; remove it or set rule: refuse-after")
		}
	case StaleRefuseAfter:
		c.check.durationBetween(path+".after", stale.GetAfter(), time.Second, 24*time.Hour)
	}
}

func (c *groupChecker) checkObjectives(path string, group *settingsv1.ServiceGroup) {
	seen := map[string]bool{}
	for i, objective := range group.GetObjectives() {
		at := fmt.Sprintf("%s.objectives[%d]", path, i)
		c.check.oneOf(at+".kind", objective.GetKind(), ObjectiveLatency, ObjectiveCoverage)
		if objective.GetTarget() <= 0 || objective.GetTarget() >= 1 {
			c.check.at(at+".target", "%g must be above 0 and below 1", objective.GetTarget())
		}
		c.checkThreshold(at, group, objective)
		for j, department := range objective.GetDepartments() {
			c.checkObjectiveDepartment(fmt.Sprintf("%s.departments[%d]", at, j), group, department)
		}
		key := fmt.Sprint(objective.GetKind(), objective.GetThreshold().AsDuration(), objective.GetDepartments())
		if seen[key] {
			c.check.at(at, "repeats an earlier objective; keep one")
		}
		seen[key] = true
	}
}

func (c *groupChecker) checkThreshold(at string, group *settingsv1.ServiceGroup, objective *settingsv1.Objective) {
	switch objective.GetKind() {
	case ObjectiveLatency:
		high := max(time.Millisecond, group.GetMaxDeadline().AsDuration())
		c.check.durationBetween(at+".threshold", objective.GetThreshold(), time.Microsecond, high)
	case ObjectiveCoverage:
		if objective.GetThreshold() != nil {
			c.check.at(at+".threshold", "only applies to objectives of kind latency; remove it")
		}
		if group.GetKind() == KindOrder {
			c.check.at(at+".kind", "coverage only applies to groups of kind query")
		}
	}
}

// checkObjectiveDepartment checks that a department of an objective has a share
// of the group.
func (c *groupChecker) checkObjectiveDepartment(path string, group *settingsv1.ServiceGroup, name string) {
	hasShare := slices.ContainsFunc(group.GetShares(), func(share *settingsv1.DepartmentShare) bool {
		return share.GetDepartment() == name
	})
	if !hasShare {
		c.check.at(path, "department %q has no share of this group", dcdocument.Truncate(name))
	}
}

func (c *groupChecker) checkServices(path string, services []*settingsv1.Service) {
	if len(services) == 0 {
		c.check.at(path, "is missing; list at least one service")
	}
	var names []string
	for i, service := range services {
		at := fmt.Sprintf("%s[%d]", path, i)
		names = append(names, service.GetName())
		c.check.name(at+".name", service.GetName())
		c.checkUpstreams(at+".upstreams", service.GetUpstreams())
	}
	c.check.unique("service", path, ".name", names)
}

func (c *groupChecker) checkUpstreams(path string, upstreams []*settingsv1.Upstream) {
	if len(upstreams) == 0 {
		c.check.at(path, "is missing; list servers by failure domain")
	}
	var domains []string
	for i, upstream := range upstreams {
		at := fmt.Sprintf("%s[%d]", path, i)
		domain := upstream.GetFailureDomain()
		domains = append(domains, domain)
		if !c.domains[domain] {
			c.check.at(at+".failure-domain", "failure domain %q is not declared; add it to failure-domains", dcdocument.Truncate(domain))
		}
		c.checkServers(at, upstream)
	}
	c.check.unique("failure domain", path, ".failure-domain", domains)
}

// checkServers checks the servers of an upstream. A server may be listed only
// once in the whole configuration.
func (c *groupChecker) checkServers(path string, upstream *settingsv1.Upstream) {
	if len(upstream.GetServers()) == 0 {
		c.check.at(path+".servers", "is missing; list at least one server")
	}
	for i, server := range upstream.GetServers() {
		at := fmt.Sprintf("%s.servers[%d]", path, i)
		c.check.address(at, server)
		if earlier, found := c.servers[server]; found && server != "" {
			c.check.at(at, "server %q is already listed at line %d", dcdocument.Truncate(server), c.check.line(earlier))
			continue
		}
		c.servers[server] = at
	}
	for i, server := range upstream.GetLeaving() {
		if !slices.Contains(upstream.GetServers(), server) {
			c.check.at(fmt.Sprintf("%s.leaving[%d]", path, i), "server %q is not in servers", dcdocument.Truncate(server))
		}
	}
}
