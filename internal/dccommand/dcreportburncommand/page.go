package dcreportburncommand

import (
	"fmt"
	"strings"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dcplot"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// newPage lays out the report with the figures as a table and one plot for each
// service group.
func newPage(answer *callerv1.ReportResponse) dcplot.Page {
	rows := tableRows(answer)
	return dcplot.Page{
		Title:  "Burn report",
		Notes:  notes(answer),
		Tables: []dcplot.Table{{Title: "Objectives", Header: rows[0], Rows: rows[1:]}},
		Charts: charts(answer),
	}
}

func notes(answer *callerv1.ReportResponse) []string {
	notes := []string{fmt.Sprintf("From %s until %s. Hosts: %s.", answer.GetFrom(), answer.GetUntil(),
		strings.Join(answer.GetCoveredHosts(), ", "))}
	for _, gap := range answer.GetGaps() {
		notes = append(notes, "Missing: "+gap)
	}
	return notes
}

// charts returns one bar chart for each service group, in order of the report.
func charts(answer *callerv1.ReportResponse) []dcplot.Drawing {
	byGroup := map[string][]*callerv1.ReportRow{}
	var groups []string
	for _, row := range answer.GetRows() {
		group := row.GetServiceGroup()
		if byGroup[group] == nil {
			groups = append(groups, group)
		}
		byGroup[group] = append(byGroup[group], row)
	}
	var drawn []dcplot.Drawing
	for _, group := range groups {
		drawn = append(drawn, newChart(group, byGroup[group], dccommand.BurnWindows(answer)))
	}
	return drawn
}

func newChart(group string, rows []*callerv1.ReportRow, windows []string) dcplot.Bars {
	bars := dcplot.Bars{Title: group, YLabel: "burn rate (1 spends the budget exactly)"}
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
