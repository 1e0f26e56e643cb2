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

// SchemaVersion is the schema version that every service group of a local
// deployment accepts.
const SchemaVersion = "v1"

// administratorDepartment is the department that may change the shared parts of
// the configuration. It owns all service groups.
const administratorDepartment = "operations"

const (
	maxDeadline      = 10 * time.Second
	keyRetention     = 24 * time.Hour
	latencyThreshold = 250 * time.Millisecond
	ledgerPartitions = 16
)

// Credential returns the credential of a department in a local deployment.
func Credential(department string) string {
	return department + "-local-credential"
}

// GroupConfigs holds the configuration of service groups by the name of the
// group.
type GroupConfigs map[string]GroupConfig

// GroupConfig is the part of a service group's configuration that depends on its
// callers.
type GroupConfig struct {
	// Kind is dcsettings.KindQuery or dcsettings.KindOrder.
	Kind string
	// Weights holds the weight of each department that calls the group.
	Weights map[string]float64
}

// buildConfiguration returns the configuration of the deployment, as an operator
// would write it. ready lists the services and servers of the stand-ins. Service
// groups that are not in groups are left out.
func buildConfiguration(profile *standinv1.Profile, ready *standinv1.Ready, groups GroupConfigs, hosts int) (configuration *settingsv1.Configuration, err error) {
	defer func() { err = eris.Wrap(err, "build configuration") }()
	configuration = &settingsv1.Configuration{
		Deployment:       "local",
		FailureDomains:   profile.GetFailureDomains(),
		EntryHosts:       int32(hosts),
		LedgerPartitions: ledgerPartitions,
	}
	profileGroups := map[string]*standinv1.Group{}
	for _, profileGroup := range profile.GetGroups() {
		profileGroups[profileGroup.GetName()] = profileGroup
	}
	departments := map[string]bool{administratorDepartment: true}
	for _, group := range ready.GetGroups() {
		config, ok := groups[group.GetName()]
		if !ok {
			continue
		}
		configuration.ServiceGroups = append(configuration.ServiceGroups, buildGroup(group, profileGroups[group.GetName()], config))
		for department := range config.Weights {
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

// buildGroup returns the configuration of one service group.
func buildGroup(group *standinv1.ReadyGroup, profileGroup *standinv1.Group, config GroupConfig) *settingsv1.ServiceGroup {
	result := &settingsv1.ServiceGroup{
		Name: group.GetName(), Owner: administratorDepartment, Kind: config.Kind, SchemaVersions: []string{SchemaVersion},
		Slots: profileGroup.GetSlots(), Connections: profileGroup.GetConnections(), ConnectTime: profileGroup.GetConnectTime(),
		MaxDeadline: durationpb.New(maxDeadline), Services: group.GetServices(),
		Objectives: []*settingsv1.Objective{{Kind: dcsettings.ObjectiveLatency, Target: 0.99, Threshold: durationpb.New(latencyThreshold)}},
	}
	for department, weight := range config.Weights {
		result.Shares = append(result.Shares, &settingsv1.DepartmentShare{Department: department, Weight: weight})
	}
	if config.Kind == dcsettings.KindOrder {
		result.KeyRetention = durationpb.New(keyRetention)
		return result
	}
	result.Coverage = dcsettings.CoveragePartial
	result.MinCoverage = 0.5
	result.HedgeQuantile = 0.95
	result.ExtraLoad = 0.05
	result.Quarantine = &settingsv1.Quarantine{Canary: true, Duration: durationpb.New(10 * time.Minute)}
	return result
}

// encodeDocument returns the configuration as a document that config apply
// accepts. The document is JSON, which is also YAML, with durations as Go duration
// strings. protojson leaves out zero values, so the fields of query groups whose
// default is not zero are added.
func encodeDocument(configuration *settingsv1.Configuration) (text string, err error) {
	defer func() { err = eris.Wrap(err, "encode configuration") }()
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
