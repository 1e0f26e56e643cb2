package dcsettings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

const digestText = "$argon2id$v=19$m=8,t=1,p=1$AAAAAAAAAAA$AAAAAAAAAAAAAAAAAAAAAA"

const baseConfiguration = `deployment: test
failure-domains: [north, south]
entry-hosts: 2
departments:
  - name: office
    administrator: true
    credential-digests: ['` + digestText + `']
  - {name: yard, credential-digests: ['` + digestText + `']}
service-groups:
  - &rules
    name: find
    owner: yard
    kind: query
    shares: [{department: yard}]
    schema-versions: ["1"]
    slots: 2
    connections: 3
    max-deadline: 2s
    services:
      - name: one
        upstreams:
          - {failure-domain: north, servers: ["10.0.0.1:80"]}
  - <<: *rules
    name: send
    kind: order
    services:
      - name: one
        upstreams:
          - {failure-domain: south, servers: ["10.0.0.2:80"]}
`

const baseHost = `host-id: host-1
failure-domain: north
callers: {listen: "10.0.0.1:7100"}
peers: {listen: "10.0.0.1:7101"}
store:
  endpoints: ["http://10.0.0.9:2379"]
`

func parseConfiguration(document string) (proto.Message, error) {
	return ParseConfiguration("f.yaml", []byte(document))
}

func parseHost(document string) (proto.Message, error) {
	return ParseHost("f.yaml", []byte(document))
}

// TestConfigurationErrors guards against invalid configurations that are
// accepted, and against errors with the wrong line or field. Each case replaces
// a part of baseConfiguration.
func TestConfigurationErrors(t *testing.T) {
	cases := []struct {
		old, new string
		want     []string
	}{
		{"deployment: test", "deployment: test\ndeployment: test", []string{"2: deployment: field is given twice"}},
		{"deployment: test", "deployment: test\ncolour: red", []string{"2: colour: unknown field"}},
		{"deployment: test", "deployment: 7", []string{"1: deployment: must be text, found the number 7"}},
		{"deployment: test", "deployment:", []string{"1: deployment: has no value"}},
		{"deployment: test", "deployment: Test_1", []string{`1: deployment: "Test_1" must be kebab-case`}},
		{"entry-hosts: 2", "entry-hosts: 0", []string{"3: entry-hosts: 0 must be between 1"}},
		{"entry-hosts: 2", "entry-hosts: 2.5", []string{"3: entry-hosts: must be a whole number"}},
		{"entry-hosts: 2", "entry-hosts: 99999999999", []string{"3: entry-hosts: 99999999999 is out of range"}},
		{"entry-hosts: 2", "entry-hosts: 3", []string{"17: service-groups[0].connections: 3 is too small"}},
		{"[north, south]", "[north, north]", []string{"2: failure-domains[1]: failure domain \"north\" is already used at line 2", "29: service-groups[1].services[0].upstreams[0].failure-domain: failure domain \"south\" is not declared"}},
		{"administrator: true", "administrator: false", []string{"4: departments: none has administrator"}},
		{"administrator: true", "administrator: maybe", []string{"6: departments[0].administrator: must be true or false", "4: departments: none has"}},
		{"name: yard, ", "name: office, ", []string{"8: departments[1].name: department \"office\" is already used at line 5", "12: service-groups[0].owner: department \"yard\" does not exist", "14: service-groups[0].shares[0].department: department \"yard\" does not exist"}},
		{"['" + digestText + "']}", "[secret]}", []string{"8: departments[1].credential-digests[0]: is not an argon2id digest"}},
		{"owner: yard", "owner: mill", []string{"12: service-groups[0].owner: department \"mill\" does not exist"}},
		{"kind: query", "kind: search", []string{"13: service-groups[0].kind: \"search\" must be one of: query, order"}},
		{"{department: yard}", "{department: mill}", []string{"14: service-groups[0].shares[0].department: department \"mill\" does not exist"}},
		{"{department: yard}", "{department: yard, weight: 0}", []string{"14: service-groups[0].shares[0].weight: 0 must be above 0"}},
		{"{department: yard}", "{department: yard, weight: .nan}", []string{"14: service-groups[0].shares[0].weight: must be a finite number"}},
		{"max-deadline: 2s", "max-deadline: 250", []string{`18: service-groups[0].max-deadline: duration "250" has no unit; write for example 250ms`}},
		{"max-deadline: 2s", "max-deadline: 0", []string{`18: service-groups[0].max-deadline: duration "0" has no unit`}},
		{"max-deadline: 2s", "max-deadline: 2 parsecs", []string{"18: service-groups[0].max-deadline: unknown unit"}},
		{"max-deadline: 2s", "max-deadline: -2s", []string{"18: service-groups[0].max-deadline: -2s must be between"}},
		{"    max-deadline: 2s\n", "", []string{"10: service-groups[0].max-deadline: is missing", "22: service-groups[1].max-deadline: is missing"}},
		{"max-deadline: 2s", "max-deadline: 2s\n    min-coverage: 0.5", []string{"19: service-groups[0].min-coverage: contradicts coverage complete", "19: service-groups[1].min-coverage: only applies to groups of kind query"}},
		{"max-deadline: 2s", "max-deadline: 2s\n    key-retention: 24h", []string{"19: service-groups[0].key-retention: only applies to groups of kind order"}},
		{"kind: order", "kind: order\n    hedge-quantile: 1.5", []string{"26: service-groups[1].hedge-quantile: 1.5 must be between 0 and 1", "26: service-groups[1].hedge-quantile: only applies to groups of kind query"}},
		{"kind: order", "kind: order\n    objectives: [{kind: latency, target: 0.9}]", []string{"26: service-groups[1].objectives[0].threshold: is missing"}},
		{"kind: order", "kind: order\n    objectives: [{kind: latency, target: 1, threshold: 1s, departments: [office]}]", []string{"26: service-groups[1].objectives[0].target: 1 must be", `departments[0]: department "office" has no share`}},
		{"kind: order", "kind: order\n    stale-configuration: {rule: refuse-after}", []string{"26: service-groups[1].stale-configuration.after: is missing"}},
		{"kind: order", "kind: order\n    stale-configuration: {after: 5s}", []string{"26: service-groups[1].stale-configuration.after: contradicts rule serve"}},
		{"name: send", "name: find", []string{"24: service-groups[1].name: service group \"find\" is already used at line 11"}},
		{"10.0.0.2:80", "10.0.0.1:80", []string{"29: service-groups[1].services[0].upstreams[0].servers[0]: server \"10.0.0.1:80\" is already listed at line 22"}},
		{"10.0.0.2:80", "server:80", []string{"must be an IP address and port"}},
		{`["10.0.0.2:80"]`, `["10.0.0.2:80"], leaving: ["10.0.0.9:80"]`, []string{"29: service-groups[1].services[0].upstreams[0].leaving[0]: server \"10.0.0.9:80\" is not in servers"}},
		{"failure-domain: south", "failure-domain: west", []string{"failure-domain: failure domain \"west\" is not declared"}},
		{"<<: *rules", "<<: text", []string{"23: service-groups[1]: merge key must name a mapping", ".owner: is missing", ".slots: is missing", ".connections: is missing", ".shares: is missing", ".schema-versions: is missing", ".max-deadline: is missing"}},
		{"<<: *rules", "<<: *none", []string{"not valid YAML: unknown anchor 'none'"}},
		{"deployment: test", "deployment: [", []string{"not valid YAML"}},
		{baseConfiguration, "", []string{"1: document is empty"}},
		{baseConfiguration, "[]", []string{"1: must be a mapping of fields, found a list"}},
		{baseConfiguration, baseConfiguration + "---\na: 1\n", []string{"file holds more than one document"}},
		{baseConfiguration, strings.Repeat("#", MaxDocumentBytes+1), []string{"document is larger than"}},
	}
	for _, c := range cases {
		checkErrors(t, baseConfiguration, c.old, c.new, c.want, parseConfiguration)
	}
}

func TestHostErrors(t *testing.T) {
	cases := []struct {
		old, new string
		want     []string
	}{
		{"host-id: host-1\n", "", []string{"1: host-id: is missing"}},
		{"10.0.0.1:7100", "0.0.0.0:7100", []string{"3: callers.advertise: is missing"}},
		{"10.0.0.1:7101", "localhost:7101", []string{"4: peers.listen: \"localhost:7101\" must be an IP address"}},
		{"http://10.0.0.9:2379", "10.0.0.9:2379", []string{"6: store.endpoints[0]:"}},
		{"store:\n", "store:\n  prefix: tier\n", []string{"6: store.prefix: \"tier\" must end with a slash"}},
		{"store:\n", "log: {level: loud}\nstore:\n", []string{"5: log.level: \"loud\" must be one of"}},
		{"store:\n", "peer-tls: {certificate-file: a.pem}\nstore:\n", []string{"5: peer-tls.authority-file", "5: peer-tls.key-file"}},
		{"store:\n", "heartbeat-interval: 1h\nstore:\n", []string{"5: heartbeat-interval: 1h0m0s must be between"}},
	}
	for _, c := range cases {
		checkErrors(t, baseHost, c.old, c.new, c.want, parseHost)
	}
}

func checkErrors(t *testing.T, base, old, changed string, want []string, parse func(string) (proto.Message, error)) {
	t.Helper()
	if !strings.Contains(base, old) {
		t.Fatalf("base document does not hold %q", old)
	}
	_, err := parse(strings.Replace(base, old, changed, 1))
	var errs Errors
	if !errors.As(err, &errs) {
		t.Errorf("%.40q: got %v, want %q", changed, err, want)
		return
	}
	for _, text := range want {
		if !strings.Contains(err.Error(), text) {
			t.Errorf("%.40q: no error contains %q in:\n%s", changed, text, err)
		}
	}
	if len(errs) != len(want) {
		t.Errorf("%.40q: got %d errors, want %d:\n%s", changed, len(errs), len(want), err)
	}
}

// TestAllErrorsInOrder guards against a decoder that stops at the first error or
// reports errors out of order.
func TestAllErrorsInOrder(t *testing.T) {
	document := strings.NewReplacer("entry-hosts: 2", "entry-hosts: none", "slots: 2", "slots: -1", "deployment: test", "deployment: T").Replace(baseConfiguration)
	_, err := ParseConfiguration("f.yaml", []byte(document))
	var errs Errors
	if !errors.As(err, &errs) {
		t.Fatal(err)
	}
	var lines []int
	for _, fieldErr := range errs {
		lines = append(lines, fieldErr.Line)
	}
	if diff := cmp.Diff([]int{1, 3, 16}, lines); diff != "" {
		t.Errorf("lines (-want +got):\n%s\n%s", diff, err)
	}
}

// TestDefaultsAndMerge guards against missing defaults and wrong precedence of
// merged fields.
func TestDefaultsAndMerge(t *testing.T) {
	configuration, err := ParseConfiguration("f.yaml", []byte(baseConfiguration))
	if err != nil {
		t.Fatal(err)
	}
	find, send := configuration.GetServiceGroups()[0], configuration.GetServiceGroups()[1]
	got := fmt.Sprint(configuration.GetLedgerPartitions(), find.GetCoverage(), find.GetHedgeQuantile(), find.GetExtraLoad(), find.GetKeyRetention().AsDuration(),
		send.GetName(), send.GetOwner(), send.GetCoverage(), send.GetHedgeQuantile(), send.GetKeyRetention().AsDuration(), send.GetMaxDeadline().AsDuration(),
		send.GetQuarantine().GetCanary(), send.GetQuarantine().GetDuration().AsDuration(), send.GetStaleConfiguration().GetRule(), send.GetShares()[0].GetWeight())
	want := fmt.Sprint(int32(16), "complete", 0.95, 0.05, time.Duration(0), "send", "yard", "", 0.0, 24*time.Hour, 2*time.Second, true, 10*time.Minute, "serve", 1.0)
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	host, err := ParseHost("f.yaml", []byte(baseHost))
	if err != nil || host.GetLog().GetLevel() != "info" || host.GetStore().GetPrefix() != "dandelioncart/" {
		t.Errorf("host %v, error %v", host, err)
	}
}

// TestZeroIsNotDefault guards against a default that replaces an explicit zero.
func TestZeroIsNotDefault(t *testing.T) {
	document := strings.Replace(baseConfiguration, "slots: 2", "slots: 2\n    extra-load: 0\n    quarantine: {canary: false}", 1)
	configuration, err := ParseConfiguration("f.yaml", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	group := configuration.GetServiceGroups()[0]
	if group.GetExtraLoad() != 0 || group.GetQuarantine().GetCanary() {
		t.Errorf("explicit zero was replaced: %v", group)
	}
}

// TestAliasExpansionLimit guards against unbounded work for nested aliases, whose
// expansion grows exponentially, for an alias inside its own anchor, and for deep
// nesting.
func TestAliasExpansionLimit(t *testing.T) {
	multiply := "a0: &a0 {deployment: x}\n"
	for i := 1; i < 30; i++ {
		multiply += fmt.Sprintf("a%d: &a%d {<<: [*a%d, *a%d]}\n", i, i, i-1, i-1)
	}
	for _, document := range []string{
		multiply + "<<: *a29\n",
		"<<: &a {<<: *a}\n",
		"departments: &a [*a, *a]\n",
		"service-groups: " + strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
	} {
		if _, err := ParseConfiguration("f.yaml", []byte(document)); err == nil {
			t.Errorf("%.30q was accepted", document)
		}
	}
}

func TestExamples(t *testing.T) {
	sizes := map[string]string{
		"prairie-west": "kitchen-search 10 30, mill-orders 15 45, scale-calc 1 40, coop-accounts 1 20",
		"qalyubia":     "export-desk 10 30, billing-desk 15 45, kiln-permits 1 8, workshop-roll 1 4",
	}
	for deployment, want := range sizes {
		directory := filepath.Join("..", "..", "examples", deployment)
		document, err := os.ReadFile(filepath.Join(directory, "configuration.yaml"))
		if err != nil {
			t.Fatal(err)
		}
		configuration, err := ParseConfiguration("configuration.yaml", document)
		if err != nil {
			t.Fatal(err)
		}
		if got := describeSize(configuration); got != want {
			t.Errorf("%s has %s, want %s", deployment, got, want)
		}
		for i := 1; i <= 4; i++ {
			host, err := LoadHost(filepath.Join(directory, fmt.Sprintf("host-%d.yaml", i)))
			if err != nil || !strings.Contains(configuration.String(), host.GetFailureDomain()) {
				t.Errorf("host %d: %v %v", i, host, err)
			}
		}
	}
}

func describeSize(configuration *settingsv1.Configuration) string {
	var groups []string
	for _, group := range configuration.GetServiceGroups() {
		servers := 0
		for _, service := range group.GetServices() {
			for _, upstream := range service.GetUpstreams() {
				servers += len(upstream.GetServers())
			}
		}
		groups = append(groups, fmt.Sprintf("%s %d %d", group.GetName(), len(group.GetServices()), servers))
	}
	return strings.Join(groups, ", ")
}

// FuzzParse guards against panics, unbounded work, errors without a line, and
// results that differ between two runs.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		baseConfiguration, baseHost, "", "a: &a [*a]", "<<: {<<: {}}", "? [a]\n: b", "!!binary x: !!int y",
		"deployment: !!str 5\nentry-hosts: 0x7\n", "service-groups: [{objectives: [{threshold: 1h30}]}]", "\xff\xfe", "entry-hosts: !!int a",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		_, hostErr := ParseHost("f.yaml", document)
		first, err := ParseConfiguration("f.yaml", document)
		for _, found := range []error{hostErr, err} {
			var errs Errors
			if errors.As(found, &errs) && errs[0].Line < 1 {
				t.Errorf("error without a line: %s", errs[0])
			}
		}
		second, again := ParseConfiguration("f.yaml", document)
		if (err == nil) != (again == nil) || !cmp.Equal(first, second, protocmp.Transform()) {
			t.Errorf("parsing twice gives different results: %v, %v", err, again)
		}
	})
}
