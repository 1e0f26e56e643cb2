package dcsettings

import (
	"fmt"

	"github.com/dandelioncart/dandelioncart/internal/dcdocument"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// Values of the kind, coverage and stale-configuration rule of a group, and of
// the kind of an objective.
const (
	KindQuery         = "query"
	KindOrder         = "order"
	CoverageComplete  = "complete"
	CoveragePartial   = "partial"
	StaleServe        = "serve"
	StaleRefuseAfter  = "refuse-after"
	ObjectiveLatency  = "latency"
	ObjectiveCoverage = "coverage"
)

const (
	maxEntryHosts       = 10_000
	maxLedgerPartitions = 1024
	// maxCredentialDigests allows for both the old and the new credential while
	// a credential is being replaced.
	maxCredentialDigests = 2
)

// groupChecker checks service groups. It holds what these checks look up in
// other parts of the configuration.
type groupChecker struct {
	// check has the check methods and collects the errors.
	check         *decoder
	configuration *settingsv1.Configuration
	// departments and domains hold the declared names.
	departments map[string]bool
	domains     map[string]bool
	// servers maps the address of each server to the path of its first use.
	servers map[string]string
}

// checkConfiguration checks a decoded configuration and records its errors.
func checkConfiguration(check *decoder, configuration *settingsv1.Configuration) {
	check.name("deployment", configuration.GetDeployment())
	check.intBetween("entry-hosts", configuration.GetEntryHosts(), 1, maxEntryHosts)
	check.intBetween("ledger-partitions", configuration.GetLedgerPartitions(), 1, maxLedgerPartitions)
	checkDomains(check, configuration.GetFailureDomains())
	checkDepartments(check, configuration.GetDepartments())
	checker := newGroupChecker(check, configuration)
	var groups []string
	for i, group := range configuration.GetServiceGroups() {
		groups = append(groups, group.GetName())
		checker.checkGroup(fmt.Sprintf("service-groups[%d]", i), group)
	}
	check.unique("service group", "service-groups", ".name", groups)
	if len(groups) == 0 {
		check.at("service-groups", "is missing; list at least one service group")
	}
}

func newGroupChecker(check *decoder, configuration *settingsv1.Configuration) *groupChecker {
	checker := &groupChecker{
		check:         check,
		configuration: configuration,
		departments:   map[string]bool{},
		domains:       map[string]bool{},
		servers:       map[string]string{},
	}
	for _, department := range configuration.GetDepartments() {
		checker.departments[department.GetName()] = true
	}
	for _, domain := range configuration.GetFailureDomains() {
		checker.domains[domain] = true
	}
	return checker
}

func checkDomains(check *decoder, domains []string) {
	if len(domains) == 0 {
		check.at("failure-domains", "is missing; list at least one failure domain")
	}
	for i, domain := range domains {
		check.name(fmt.Sprintf("failure-domains[%d]", i), domain)
	}
	check.unique("failure domain", "failure-domains", "", domains)
}

func checkDepartments(check *decoder, departments []*settingsv1.Department) {
	var names []string
	administrators := 0
	for i, department := range departments {
		path := fmt.Sprintf("departments[%d]", i)
		names = append(names, department.GetName())
		check.name(path+".name", department.GetName())
		checkDigests(check, path+".credential-digests", department.GetCredentialDigests())
		if department.GetAdministrator() {
			administrators++
		}
	}
	check.unique("department", "departments", ".name", names)
	if administrators == 0 {
		check.at("departments", "none has administrator: true; nobody could change the shared parts")
	}
}

func checkDigests(check *decoder, path string, digests []string) {
	if len(digests) == 0 {
		check.at(path, "is missing; without a digest the department cannot authenticate")
	}
	if len(digests) > maxCredentialDigests {
		check.at(path, "lists %d digests; at most %d are accepted during a change", len(digests), maxCredentialDigests)
	}
	for i, digest := range digests {
		checkDigest(check, fmt.Sprintf("%s[%d]", path, i), digest, true)
	}
	check.unique("digest", path, "", digests)
}

// checkDepartment checks that a department is declared.
func (c *groupChecker) checkDepartment(path, name string) {
	switch {
	case name == "":
		c.check.at(path, "is missing; name a department")
	case !c.departments[name]:
		c.check.at(path, "department %q does not exist; add it to departments", dcdocument.Truncate(name))
	}
}
