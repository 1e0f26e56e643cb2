package dccommand

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// FetchReport gets the report with the given name for a period.
func FetchReport(ctx context.Context, env *Environment, target *Target, period *Period, name string) (*callerv1.ReportResponse, error) {
	from, until, err := period.Bounds(env)
	if err != nil {
		return nil, err
	}
	request := Request{
		Path: "/v1/report/" + name,
		Query: url.Values{
			"from":  {from.Format(time.RFC3339)},
			"until": {until.Format(time.RFC3339)},
		},
	}
	answer := &callerv1.ReportResponse{}
	if err := target.CallIdempotent(ctx, env, request, answer); err != nil {
		return nil, err
	}
	return answer, CheckResult(answer.GetResult())
}

// WriteReportCoverage says which hosts and minutes a report covers and what it
// lacks.
func WriteReportCoverage(env *Environment, answer *callerv1.ReportResponse) {
	if len(answer.GetCoveredHosts()) == 0 {
		_, _ = fmt.Fprintln(env.Out, "no counters were found for this period")
		return
	}
	_, _ = fmt.Fprintf(env.Out, "from %s until %s, hosts: %s\n", answer.GetFrom(), answer.GetUntil(), strings.Join(answer.GetCoveredHosts(), ", "))
	for _, gap := range answer.GetGaps() {
		_, _ = fmt.Fprintf(env.Out, "missing: %s\n", gap)
	}
}

// FormatGoodRatio formats the share of good requests.
func FormatGoodRatio(row *callerv1.ReportRow) string {
	if row.GetRequests() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", float64(row.GetGood())/float64(row.GetRequests()))
}

// FormatCounts formats counts by name, in order of name.
func FormatCounts(counts map[string]uint32) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, name+"="+strconv.FormatUint(uint64(counts[name]), 10))
	}
	return strings.Join(parts, " ")
}

// BurnWindows returns the burn windows of all rows, shortest first.
func BurnWindows(answer *callerv1.ReportResponse) []string {
	found := map[string]bool{}
	for _, row := range answer.GetRows() {
		for window := range row.GetBurn() {
			found[window] = true
		}
	}
	return slices.SortedFunc(maps.Keys(found), compareWindows)
}

// compareWindows orders texts such as 5m and 1h by length of time. Others come
// first, in order of text.
func compareWindows(one, other string) int {
	first, _ := time.ParseDuration(one)
	second, _ := time.ParseDuration(other)
	if first != second {
		return int(max(-1, min(1, first-second)))
	}
	return strings.Compare(one, other)
}
