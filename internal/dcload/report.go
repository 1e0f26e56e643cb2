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

// Report lays out results as a page with tables and plots.
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

func loadTable(results *benchv1.Results) dcplot.Table {
	table := dcplot.Table{
		Title: "Loads",
		Header: []string{"variant", "seed", "group", "department", "requests", "good", "goodput /s", "p50 ms", "p99 ms",
			"p99.9 ms", "refused p99 ms", "coverage", "complete", "resent", "violations"},
	}
	for _, run := range results.GetRuns() {
		for _, load := range run.GetLoads() {
			table.Rows = append(table.Rows, []string{
				run.GetVariant(), count(run.GetSeed()), load.GetServiceGroup(), load.GetDepartment(),
				count(load.GetRequests()), count(load.GetGood()), decimal(load.GetGoodput()), decimal(load.GetP50Ms()),
				decimal(load.GetP99Ms()), decimal(load.GetP999Ms()), decimal(load.GetRefusedP99Ms()), fmt.Sprintf("%.4f", load.GetCoverage()),
				count(load.GetComplete()), count(load.GetResent()), count(load.GetViolations()),
			})
		}
	}
	return table
}

func costTable(results *benchv1.Results) dcplot.Table {
	table := dcplot.Table{
		Title: "Upstreams and hosts",
		Header: []string{"variant", "seed", "searches", "extra load", "double runs", "crashes", "refused connections",
			"host cpu s", "largest host MB"},
	}
	for _, run := range results.GetRuns() {
		var cpu, memory float64
		for _, host := range run.GetHosts() {
			cpu += host.GetCpuSeconds()
			memory = max(memory, host.GetResidentMb())
		}
		upstream := run.GetUpstream()
		table.Rows = append(table.Rows, []string{
			run.GetVariant(), count(run.GetSeed()), count(upstream.GetSearches()),
			fmt.Sprintf("%.4f", upstream.GetExtraLoad()), count(upstream.GetDoubleRuns()),
			count(upstream.GetCrashes()), count(upstream.GetRefusedConnections()),
			decimal(cpu), decimal(memory),
		})
	}
	return table
}

func reasonTable(results *benchv1.Results) dcplot.Table {
	table := dcplot.Table{Title: "Requests by reason", Header: []string{"variant", "seed", "group", "department", "reasons"}}
	for _, run := range results.GetRuns() {
		for _, load := range run.GetLoads() {
			var parts []string
			for _, reason := range slices.Sorted(maps.Keys(load.GetReasons())) {
				parts = append(parts, fmt.Sprintf("%s %d", reason, load.GetReasons()[reason]))
			}
			table.Rows = append(table.Rows, []string{run.GetVariant(), count(run.GetSeed()),
				load.GetServiceGroup(), load.GetDepartment(), strings.Join(parts, ", ")})
		}
	}
	return table
}

func comparisonTable(results *benchv1.Results) dcplot.Table {
	table := dcplot.Table{Title: "Comparison with the first variant (medians)",
		Header: []string{"variant", "figure", "first", "this", "ratio"}}
	for _, row := range results.GetComparisons() {
		table.Rows = append(table.Rows, []string{row.GetVariant(), row.GetFigure(),
			fmt.Sprintf("%.4g", row.GetBase()), fmt.Sprintf("%.4g", row.GetValue()), fmt.Sprintf("%.3f", row.GetRatio())})
	}
	return table
}

// chartOf describes one chart over time, a line for each run.
type chartOf struct {
	title, unit string
	logarithmic bool
	value       func(*benchv1.Second) float64
}

var overTime = []chartOf{
	{"Median latency", "ms", true, (*benchv1.Second).GetP50Ms},
	{"99th percentile of latency", "ms", true, (*benchv1.Second).GetP99Ms},
	{"Coverage of good answers", "fraction", false, (*benchv1.Second).GetCoverage},
	{"Good answers", "1/s", false, func(s *benchv1.Second) float64 { return float64(s.GetGood()) }},
	{"Refused or failed", "1/s", false, func(s *benchv1.Second) float64 { return float64(s.GetRefused()) }},
}

func charts(results *benchv1.Results) (list []dcplot.Drawing) {
	for _, description := range overTime {
		chart := dcplot.LineChart{Title: description.title, XLabel: "time (s)", YLabel: description.unit, LogY: description.logarithmic}
		for _, run := range results.GetRuns() {
			series := dcplot.Series{Name: fmt.Sprintf("%s, seed %d", run.GetVariant(), run.GetSeed())}
			for _, second := range run.GetSeconds() {
				series.Points = append(series.Points, dcplot.Point{X: float64(second.GetSecond()), Y: description.value(second)})
			}
			chart.Series = append(chart.Series, series)
		}
		list = append(list, chart)
	}
	return append(list, departmentShares(results))
}

// departmentShares plots the goodput of each load for each run.
func departmentShares(results *benchv1.Results) dcplot.LineChart {
	chart := dcplot.LineChart{Title: "Goodput by department", XLabel: "run", YLabel: "1/s"}
	byLoad := map[string]*dcplot.Series{}
	var order []string
	for index, run := range results.GetRuns() {
		for _, load := range run.GetLoads() {
			name := load.GetServiceGroup() + "/" + load.GetDepartment()
			if byLoad[name] == nil {
				byLoad[name] = &dcplot.Series{Name: name}
				order = append(order, name)
			}
			byLoad[name].Points = append(byLoad[name].Points, dcplot.Point{X: float64(index + 1), Y: load.GetGoodput()})
		}
	}
	for _, name := range order {
		chart.Series = append(chart.Series, *byLoad[name])
	}
	return chart
}

func count(value uint32) string { return strconv.FormatUint(uint64(value), 10) }

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }
