package dcreportburncommand

import (
	"fmt"
	"strings"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dcplot"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// newPage returns the HTML page of the report: the figures as a table and one
// chart for each service group.
func newPage(response *callerv1.ReportResponse) dcplot.Page {
	rows := tableRows(response)
	return dcplot.Page{
		Title:  "Burn report",
		Notes:  notes(response),
		Tables: []dcplot.Table{{Title: "Objectives", Header: rows[0], Rows: rows[1:]}},
		Charts: charts(response),
	}
}

// notes returns the lines that name the period, the hosts and the gaps of the
// report.
func notes(response *callerv1.ReportResponse) []string {
	notes := []string{fmt.Sprintf("From %s until %s. Hosts: %s.", response.GetFrom(), response.GetUntil(),
		strings.Join(response.GetCoveredHosts(), ", "))}
	for _, gap := range response.GetGaps() {
		notes = append(notes, "Missing: "+gap)
	}
	return notes
}

// charts returns one bar chart for each service group, in the order of the
// report.
func charts(response *callerv1.ReportResponse) []dcplot.Drawing {
	byGroup := map[string][]*callerv1.ReportRow{}
	var groups []string
	for _, row := range response.GetRows() {
		group := row.GetServiceGroup()
		if byGroup[group] == nil {
			groups = append(groups, group)
		}
		byGroup[group] = append(byGroup[group], row)
	}
	var drawings []dcplot.Drawing
	for _, group := range groups {
		drawings = append(drawings, newChart(group, byGroup[group], dccommand.BurnWindows(response)))
	}
	return drawings
}

// newChart returns a bar chart with one label for each department and objective
// of a service group and one series for each window.
func newChart(group string, rows []*callerv1.ReportRow, windows []string) dcplot.BarChart {
	bars := dcplot.BarChart{Title: group, YLabel: "burn rate (1 spends the budget exactly)"}
	for _, row := range rows {
		bars.Labels = append(bars.Labels, row.GetDepartment()+" "+row.GetObjective())
	}
	for _, window := range windows {
		series := dcplot.BarSeries{Name: window}
		for _, row := range rows {
			series.Values = append(series.Values, row.GetBurn()[window])
		}
		bars.Series = append(bars.Series, series)
	}
	return bars
}
