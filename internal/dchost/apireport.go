package dchost

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcburn"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// collectTimeout limits how long a report waits for the counters of peers.
const collectTimeout = 500 * time.Millisecond

func serveDepartment(c *call) (proto.Message, decision) {
	return c.report(func(answer *callerv1.ReportResponse, report dcburn.Report, department dcid.Department) {
		for _, name := range slices.Sorted(maps.Keys(report.Groups)) {
			answer.Rows = append(answer.Rows, reportRow(name, department, report.Groups[name]))
		}
	}, func() []dcid.Department { return []dcid.Department{c.department} })
}

func serveBurn(c *call) (proto.Message, decision) {
	return c.report(c.burnRows, c.visibleDepartments)
}

// report collects the counters of all hosts and calls fill for each of the
// departments to add its rows to the response.
func (c *call) report(fill func(*callerv1.ReportResponse, dcburn.Report, dcid.Department), departments func() []dcid.Department) (proto.Message, decision) {
	answer := &callerv1.ReportResponse{}
	d := c.authenticate()
	var from, until time.Time
	if d.ok() {
		from, until, d = parseInterval(c.request.URL.Query(), c.wallNow())
	}
	if d.ok() {
		c.collectCounters(from, until)
		for _, department := range departments() {
			c.counters.mu.Lock()
			report := c.counters.counters.Report(dcburn.Scope{Department: department, From: from, Until: until, Hosts: c.expectedHosts(from)})
			c.counters.mu.Unlock()
			fill(answer, report, department)
			answer.CoveredHosts, answer.Gaps = describeCoverage(report)
		}
		answer.From, answer.Until = from.UTC().Format(time.RFC3339), until.UTC().Format(time.RFC3339)
	}
	answer.Result = c.result(d)
	return answer, d
}

// expectedHosts returns the hosts that a report must cover. A host that started
// after from is expected only from its start on.
func (c *call) expectedHosts(from time.Time) (expectedHosts []dcburn.ExpectedHost) {
	for _, host := range c.members.hosts() {
		expectedHost := dcburn.ExpectedHost{Host: host.ID}
		if started := time.Unix(0, host.Incarnation); started.After(from) {
			expectedHost.From = started
		}
		expectedHosts = append(expectedHosts, expectedHost)
	}
	return expectedHosts
}

// describeCoverage returns the hosts that a report covers and a description of
// each gap.
func describeCoverage(report dcburn.Report) (hosts, gaps []string) {
	for _, host := range report.Hosts {
		hosts = append(hosts, string(host))
	}
	for _, gap := range report.Gaps {
		gaps = append(gaps, fmt.Sprintf("host %s lacks %d minutes from %s until %s",
			gap.Host, gap.Minutes, gap.From.UTC().Format(time.RFC3339), gap.Until.UTC().Format(time.RFC3339)))
	}
	return hosts, gaps
}

// collectCounters fetches the counter rows that peers hold and merges them into
// the counters of this host. Peers that do not answer are left out.
func (c *call) collectCounters(from, until time.Time) {
	ctx, cancel := withTimeout(c.request.Context(), c.Clock, collectTimeout)
	defer cancel()
	request := &peerv1.FetchCountersRequest{FromMinute: from.Unix() / 60, UntilMinute: until.Unix() / 60}
	var calls sync.WaitGroup
	for _, peer := range c.members.hosts() {
		if peer.ID == c.self.ID || !slices.Contains(reachableStates, peer.State) {
			continue
		}
		calls.Go(func() {
			response, err := c.Peer.FetchCounters(ctx, peer.PeerAddress, request)
			if err == nil {
				c.counters.merge(response.GetRows(), c.wallNow())
			}
		})
	}
	calls.Wait()
}

func reportRow(group dcid.GroupName, department dcid.Department, totals *dcburn.Totals) *callerv1.ReportRow {
	return &callerv1.ReportRow{
		ServiceGroup: string(group),
		Department:   string(department),
		Requests:     uint32(totals.Requests),
		Reasons:      convertCounts(totals.Reasons),
		Outcomes:     convertCounts(totals.Outcomes),
	}
}

func convertCounts(totals map[string]uint64) map[string]uint32 {
	converted := make(map[string]uint32, len(totals))
	for name, count := range totals {
		converted[name] = uint32(count)
	}
	return converted
}

// burnRows adds one row for each objective that applies to the department.
func (c *call) burnRows(answer *callerv1.ReportResponse, report dcburn.Report, department dcid.Department) {
	for _, rules := range c.view.configuration().GetServiceGroups() {
		totals, ok := report.Groups[dcid.GroupName(rules.GetName())]
		if !ok {
			continue
		}
		for _, objective := range rules.GetObjectives() {
			if listed := objective.GetDepartments(); len(listed) > 0 && !slices.Contains(listed, string(department)) {
				continue
			}
			answer.Rows = append(answer.Rows, c.burnRow(rules, objective, department, totals))
		}
	}
}

func (c *call) burnRow(rules *settingsv1.ServiceGroup, objective *settingsv1.Objective, department dcid.Department, totals *dcburn.Totals) *callerv1.ReportRow {
	row := reportRow(dcid.GroupName(rules.GetName()), department, totals)
	row.Objective = objectiveKey(objective)
	row.Good = uint32(totals.Good[row.Objective])
	row.Burn = map[string]float64{}
	c.counters.mu.Lock()
	defer c.counters.mu.Unlock()
	burn := c.counters.counters.Burn(dcburn.Objective{
		Group:      dcid.GroupName(rules.GetName()),
		Department: department,
		Key:        row.Objective,
		Target:     objective.GetTarget(),
	}, c.wallNow())
	for window, rate := range burn.Rates {
		row.Burn[windowName(window)] = rate
	}
	return row
}

// windowName formats the length of a window, for example as 5m, 1h or 72h.
func windowName(window time.Duration) string {
	text := strings.TrimSuffix(window.String(), "0s")
	return strings.TrimSuffix(text, "0m")
}
