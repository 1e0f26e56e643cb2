package dclocal

import (
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/dandelioncart/dandelioncart/internal/dcauth"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// SchemaVersion is accepted by every group of a local deployment.
const SchemaVersion = "v1"

// administratorDepartment may change the shared parts of the configuration.
const administratorDepartment = "operations"

const (
	maxDeadline      = 10 * time.Second
	keyRetention     = 24 * time.Hour
	latencyThreshold = 250 * time.Millisecond
	ledgerPartitions = 16
)

// Credential returns the credential of a department of a local deployment.
func Credential(department string) string {
	return department + "-local-credential"
}

// GroupConfigs describes the callers of a service group.
type GroupConfigs map[string]GroupConfig

// GroupConfig is how a group is called.
type GroupConfig struct {
	// Kind is dcsettings.KindQuery or dcsettings.KindOrder.
	Kind string
	// Weights of the departments that call it.
	Weights map[string]float64
}

// buildConfiguration returns the operators' configuration for stand-ins that
// are ready.
func buildConfiguration(profile *standinv1.Profile, ready *standinv1.Ready, uses GroupConfigs, hosts int) (configuration *settingsv1.Configuration, err error) {
	defer func() { err = eris.Wrap(err, "build configuration") }()
	configuration = &settingsv1.Configuration{
		Deployment:       "local",
		FailureDomains:   profile.GetFailureDomains(),
		EntryHosts:       int32(hosts),
		LedgerPartitions: ledgerPartitions,
	}
	shapes := map[string]*standinv1.Group{}
	for _, shape := range profile.GetGroups() {
		shapes[shape.GetName()] = shape
	}
	departments := map[string]bool{administratorDepartment: true}
	for _, group := range ready.GetGroups() {
		use, ok := uses[group.GetName()]
		if !ok {
			continue
		}
		configuration.ServiceGroups = append(configuration.ServiceGroups, buildGroup(group, shapes[group.GetName()], use))
		for department := range use.Weights {
			departments[department] = true
		}
	}
	for department := range departments {
		digest, err := dcauth.NewDigest(rand.Reader, Credential(department))
		if err != nil {
			return nil, err
		}
		configuration.Departments = append(configuration.Departments, &settingsv1.Department{
			Name: department, CredentialDigests: []string{digest}, Administrator: department == administratorDepartment,
		})
	}
	return configuration, nil
}

func buildGroup(group *standinv1.ReadyGroup, shape *standinv1.Group, use GroupConfig) *settingsv1.ServiceGroup {
	rules := &settingsv1.ServiceGroup{
		Name: group.GetName(), Owner: administratorDepartment, Kind: use.Kind, SchemaVersions: []string{SchemaVersion},
		Slots: shape.GetSlots(), Connections: shape.GetConnections(), ConnectTime: shape.GetConnectTime(),
		MaxDeadline: durationpb.New(maxDeadline), Services: group.GetServices(),
		Objectives: []*settingsv1.Objective{{Kind: dcsettings.ObjectiveLatency, Target: 0.99, Threshold: durationpb.New(latencyThreshold)}},
	}
	for department, weight := range use.Weights {
		rules.Shares = append(rules.Shares, &settingsv1.DepartmentShare{Department: department, Weight: weight})
	}
	if use.Kind == dcsettings.KindOrder {
		rules.KeyRetention = durationpb.New(keyRetention)
		return rules
	}
	rules.Coverage = dcsettings.CoveragePartial
	rules.MinCoverage = 0.5
	rules.HedgeQuantile = 0.95
	rules.ExtraLoad = 0.05
	rules.Quarantine = &settingsv1.Quarantine{Canary: true, Duration: durationpb.New(10 * time.Minute)}
	return rules
}

// encodeDocument returns the configuration as a document that config apply accepts;
// JSON is YAML, and its durations are Go duration text. Zero values that differ
// from their defaults are written out, since protojson leaves them out.
func encodeDocument(configuration *settingsv1.Configuration) (text string, err error) {
	defer func() { err = eris.Wrap(err, "write configuration") }()
	encoded, err := protojson.Marshal(configuration)
	if err != nil {
		return "", err
	}
	var fields map[string]any
	if err := json.Unmarshal(encoded, &fields); err != nil {
		return "", err
	}
	groups, _ := fields["service-groups"].([]any)
	for index, group := range configuration.GetServiceGroups() {
		if values, ok := groups[index].(map[string]any); ok && group.GetKind() == dcsettings.KindQuery {
			values["hedge-quantile"] = group.GetHedgeQuantile()
			values["extra-load"] = group.GetExtraLoad()
			values["quarantine"] = map[string]any{
				"canary":   group.GetQuarantine().GetCanary(),
				"duration": group.GetQuarantine().GetDuration().AsDuration().String(),
			}
		}
	}
	encoded, err = json.Marshal(fields)
	return string(encoded), err
}
