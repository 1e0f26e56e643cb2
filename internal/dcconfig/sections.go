package dcconfig

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// textSection is reported for a document whose text alone differs, such as its
// comments or the order of its entries.
const textSection = "text"

// partitionsSection cannot change after the first revision: a key would be
// looked up in another partition than the one in which it was claimed.
const partitionsSection = "ledger-partitions"

// change is a section that differs between two configurations.
type change struct {
	section string
	// allowed lists the departments that may make the change in addition to
	// administrators.
	allowed []dcid.Department
	// administrators is set when administrator departments may make the change.
	administrators bool
}

// differences returns the changed sections in the order of the schema, each
// with the departments that may change it.
func differences(previous, next *settingsv1.Configuration) []change {
	changes := sharedDifferences(previous, next)
	changes = append(changes, departmentDifferences(previous, next)...)
	return append(changes, groupDifferences(previous, next)...)
}

func sharedDifferences(previous, next *settingsv1.Configuration) []change {
	var changes []change
	add := func(section string, changed bool) {
		if changed {
			changes = append(changes, change{section: section, administrators: true})
		}
	}
	add("deployment", previous.GetDeployment() != next.GetDeployment())
	add("failure-domains", !slices.Equal(previous.GetFailureDomains(), next.GetFailureDomains()))
	add("entry-hosts", previous.GetEntryHosts() != next.GetEntryHosts())
	add(partitionsSection, previous.GetLedgerPartitions() != next.GetLedgerPartitions())
	return changes
}

func departmentDifferences(previous, next *settingsv1.Configuration) []change {
	before, after := departmentsByName(previous), departmentsByName(next)
	var changes []change
	for _, name := range unionOfNames(before, after) {
		old, current := before[name], after[name]
		if proto.Equal(old, current) {
			continue
		}
		found := change{section: "departments/" + name, administrators: true}
		if old != nil && current != nil && old.GetAdministrator() == current.GetAdministrator() {
			found.allowed = []dcid.Department{dcid.Department(name)}
		}
		changes = append(changes, found)
	}
	return changes
}

func groupDifferences(previous, next *settingsv1.Configuration) []change {
	before, after := groupsByName(previous), groupsByName(next)
	departments := departmentsByName(next)
	var changes []change
	for _, name := range unionOfNames(before, after) {
		old, current := before[name], after[name]
		if proto.Equal(old, current) {
			continue
		}
		found := change{section: "service-groups/" + name}
		switch {
		case old == nil || current == nil:
			found.administrators = true
		case departments[old.GetOwner()] == nil:
			found.administrators = onlyOwnerChanged(old, current)
		default:
			found.allowed = []dcid.Department{dcid.Department(old.GetOwner())}
		}
		changes = append(changes, found)
	}
	return changes
}

// onlyOwnerChanged reports whether the owner is the only difference. It allows
// an administrator to hand over the group of a removed department without
// changing its rules.
func onlyOwnerChanged(old, current *settingsv1.ServiceGroup) bool {
	withNewOwner := proto.CloneOf(old)
	withNewOwner.Owner = current.GetOwner()
	return proto.Equal(withNewOwner, current)
}

// permits reports whether an author may make the change.
func (c change) permits(author dcid.Department, administrator bool) bool {
	if administrator && c.administrators {
		return true
	}
	return slices.Contains(c.allowed, author)
}

// refusal returns a message that says who may make the change.
func (c change) refusal(author dcid.Department) string {
	switch {
	case c.administrators && len(c.allowed) > 0:
		return fmt.Sprintf("department %s may not change %s: only %s or an administrator department may", author, c.section, c.allowed[0])
	case c.administrators:
		return fmt.Sprintf("department %s may not change %s: only an administrator department may", author, c.section)
	case len(c.allowed) > 0:
		return fmt.Sprintf("department %s may not change %s: only its owner %s may", author, c.section, c.allowed[0])
	default:
		return fmt.Sprintf("department %s may not change %s: its owner is removed by this document, so only the owner field may change", author, c.section)
	}
}

func sections(changes []change) []string {
	names := make([]string, len(changes))
	for i, found := range changes {
		names[i] = found.section
	}
	return names
}

func departmentsByName(configuration *settingsv1.Configuration) map[string]*settingsv1.Department {
	byName := map[string]*settingsv1.Department{}
	for _, department := range configuration.GetDepartments() {
		byName[department.GetName()] = department
	}
	return byName
}

func groupsByName(configuration *settingsv1.Configuration) map[string]*settingsv1.ServiceGroup {
	byName := map[string]*settingsv1.ServiceGroup{}
	for _, group := range configuration.GetServiceGroups() {
		byName[group.GetName()] = group
	}
	return byName
}

// unionOfNames returns the sorted keys of both maps.
func unionOfNames[V any](before, after map[string]V) []string {
	var names []string
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
