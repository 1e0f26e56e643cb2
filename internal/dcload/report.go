package dcload

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/dandelioncart/dandelioncart/internal/dcplot"
	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
)

// Report presents results as a page of tables and charts.
func Report(results *benchv1.Results) dcplot.Page {
	return dcplot.Page{
		Title: "Experiment " + results.GetExperiment().GetName(),
		Notes: []string{
			"Latencies count from the intended send time and hold for good requests within the measured interval.",
			"Extra load is the share of sub-queries above one for each shard of each query.",
		},
		Tables: []dcplot.Table{loadTable(results), costTable(results), reasonTable(results), comparisonTable(results)},
		Charts: charts(results),
	}
}

// loadTable has a row for each load of each run.
func loadTable(results *benchv1.Results) dcplot.Table {
	table := dcplot.Table{
		Title: "Loads",
		Header: []string{"variant", "seed", "group", "department", "requests", "good", "goodput /s", "p50 ms", "p99 ms",
			"p99.9 ms", "refused p99 ms", "coverage", "complete", "resent", "violations"},
	}
	for _, run := range results.GetRuns() {
		for _, load := range run.GetLoads() {
			table.Rows = append(table.Rows, []string{
				run.GetVariant(), formatCount(run.GetSeed()), load.GetServiceGroup(), load.GetDepartment(),
				formatCount(load.GetRequests()), formatCount(load.GetGood()), formatDecimal(load.GetGoodput()), formatDecimal(load.GetP50Ms()),
				formatDecimal(load.GetP99Ms()), formatDecimal(load.GetP999Ms()), formatDecimal(load.GetRefusedP99Ms()), fmt.Sprintf("%.4f", load.GetCoverage()),
				formatCount(load.GetComplete()), formatCount(load.GetResent()), formatCount(load.GetViolations()),
			})
		}
	}
	return table
}

// costTable has a row for each run, with the totals of the upstreams and the
// cost of the hosts.
func costTable(results *benchv1.Results) dcplot.Table {
	table := dcplot.Table{
		Title: "Upstreams and hosts",
		Header: []string{"variant", "seed", "searches", "extra load", "double runs", "crashes", "refused connections",
			"host cpu s", "largest host MB"},
	}
	for _, run := range results.GetRuns() {
		var cpuSeconds, largestMB float64
		for _, host := range run.GetHosts() {
			cpuSeconds += host.GetCpuSeconds()
			largestMB = max(largestMB, host.GetResidentMb())
		}
		upstream := run.GetUpstream()
		table.Rows = append(table.Rows, []string{
			run.GetVariant(), formatCount(run.GetSeed()), formatCount(upstream.GetSearches()),
			fmt.Sprintf("%.4f", upstream.GetExtraLoad()), formatCount(upstream.GetDoubleRuns()),
			formatCount(upstream.GetCrashes()), formatCount(upstream.GetRefusedConnections()),
			formatDecimal(cpuSeconds), formatDecimal(largestMB),
		})
	}
	return table
}

// reasonTable has a row for each load of each run, with the number of requests
// for each reason code.
func reasonTable(results *benchv1.Results) dcplot.Table {
	table := dcplot.Table{Title: "Requests by reason", Header: []string{"variant", "seed", "group", "department", "reasons"}}
	for _, run := range results.GetRuns() {
		for _, load := range run.GetLoads() {
			var parts []string
			for _, reason := range slices.Sorted(maps.Keys(load.GetReasons())) {
				parts = append(parts, fmt.Sprintf("%s %d", reason, load.GetReasons()[reason]))
			}
			table.Rows = append(table.Rows, []string{run.GetVariant(), formatCount(run.GetSeed()),
				load.GetServiceGroup(), load.GetDepartment(), strings.Join(parts, ", ")})
		}
	}
	return table
}

// comparisonTable has a row for each figure of each variant but the first.
func comparisonTable(results *benchv1.Results) dcplot.Table {
	table := dcplot.Table{Title: "Comparison with the first variant (medians)",
		Header: []string{"variant", "figure", "first", "this", "ratio"}}
	for _, row := range results.GetComparisons() {
		table.Rows = append(table.Rows, []string{row.GetVariant(), row.GetFigure(),
			fmt.Sprintf("%.4g", row.GetBase()), fmt.Sprintf("%.4g", row.GetValue()), fmt.Sprintf("%.3f", row.GetRatio())})
	}
	return table
}

// chartSpec describes a chart over time with one line for each run.
type chartSpec struct {
	title, unit string
	logarithmic bool
	value       func(*benchv1.Second) float64
}

// timeCharts are the charts over the seconds of the measured interval.
var timeCharts = []chartSpec{
	{"Median latency", "ms", true, (*benchv1.Second).GetP50Ms},
	{"99th percentile of latency", "ms", true, (*benchv1.Second).GetP99Ms},
	{"Coverage of good answers", "fraction", false, (*benchv1.Second).GetCoverage},
	{"Good answers", "1/s", false, func(s *benchv1.Second) float64 { return float64(s.GetGood()) }},
	{"Refused or failed", "1/s", false, func(s *benchv1.Second) float64 { return float64(s.GetRefused()) }},
}

func charts(results *benchv1.Results) (drawings []dcplot.Drawing) {
	for _, spec := range timeCharts {
		chart := dcplot.LineChart{Title: spec.title, XLabel: "time (s)", YLabel: spec.unit, LogY: spec.logarithmic}
		for _, run := range results.GetRuns() {
			series := dcplot.Series{Name: fmt.Sprintf("%s, seed %d", run.GetVariant(), run.GetSeed())}
			for _, second := range run.GetSeconds() {
				series.Points = append(series.Points, dcplot.Point{X: float64(second.GetSecond()), Y: spec.value(second)})
			}
			chart.Series = append(chart.Series, series)
		}
		drawings = append(drawings, chart)
	}
	return append(drawings, departmentGoodput(results))
}

// departmentGoodput returns a chart of the goodput over the runs with one line
// for each load.
func departmentGoodput(results *benchv1.Results) dcplot.LineChart {
	chart := dcplot.LineChart{Title: "Goodput by department", XLabel: "run", YLabel: "1/s"}
	seriesByLoad := map[string]*dcplot.Series{}
	var names []string
	for index, run := range results.GetRuns() {
		for _, load := range run.GetLoads() {
			name := load.GetServiceGroup() + "/" + load.GetDepartment()
			if seriesByLoad[name] == nil {
				seriesByLoad[name] = &dcplot.Series{Name: name}
				names = append(names, name)
			}
			seriesByLoad[name].Points = append(seriesByLoad[name].Points, dcplot.Point{X: float64(index + 1), Y: load.GetGoodput()})
		}
	}
	for _, name := range names {
		chart.Series = append(chart.Series, *seriesByLoad[name])
	}
	return chart
}

func formatCount(value uint32) string { return strconv.FormatUint(uint64(value), 10) }

func formatDecimal(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }
