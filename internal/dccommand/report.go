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

// FetchReport requests the report with the given name for a period from the
// entry hosts.
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
	response := &callerv1.ReportResponse{}
	if err := target.CallIdempotent(ctx, env, request, response); err != nil {
		return nil, err
	}
	return response, CheckResult(response.GetResult())
}

// WriteReportCoverage prints which hosts and minutes a report covers and which
// parts are missing.
func WriteReportCoverage(env *Environment, response *callerv1.ReportResponse) {
	if len(response.GetCoveredHosts()) == 0 {
		_, _ = fmt.Fprintln(env.Out, "no counters were found for this period")
		return
	}
	_, _ = fmt.Fprintf(env.Out, "from %s until %s, hosts: %s\n", response.GetFrom(), response.GetUntil(), strings.Join(response.GetCoveredHosts(), ", "))
	for _, gap := range response.GetGaps() {
		_, _ = fmt.Fprintf(env.Out, "missing: %s\n", gap)
	}
}

// FormatGoodRatio formats the ratio of good requests to all requests of a row,
// or "-" when there were none.
func FormatGoodRatio(row *callerv1.ReportRow) string {
	if row.GetRequests() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", float64(row.GetGood())/float64(row.GetRequests()))
}

// FormatCounts formats counts as name=count pairs, sorted by name.
func FormatCounts(counts map[string]uint32) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, name+"="+strconv.FormatUint(uint64(counts[name]), 10))
	}
	return strings.Join(parts, " ")
}

// BurnWindows returns the windows for which any row has a burn rate, shortest
// first.
func BurnWindows(response *callerv1.ReportResponse) []string {
	windows := map[string]bool{}
	for _, row := range response.GetRows() {
		for window := range row.GetBurn() {
			windows[window] = true
		}
	}
	return slices.SortedFunc(maps.Keys(windows), compareWindows)
}

// compareWindows orders windows such as 5m and 1h by duration. Strings that are
// not durations count as zero and come first. Equal durations are in lexical
// order.
func compareWindows(a, b string) int {
	aLength, _ := time.ParseDuration(a)
	bLength, _ := time.ParseDuration(b)
	if aLength != bLength {
		return int(max(-1, min(1, aLength-bLength)))
	}
	return strings.Compare(a, b)
}
