// Package dcreportburncommand implements the command that reports how fast
// objectives spend their error budgets.
package dcreportburncommand

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options are the arguments of the report burn command.
type Options struct {
	dccommand.Target
	dccommand.Output
	dccommand.Period
	HTML string `name:"html" help:"Also write a self-contained page with plots to this file." type:"path" placeholder:"FILE"`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `A burn rate of 1 spends the error budget of an objective exactly; at a higher
rate the budget runs out early. The report names the hosts and minutes that it
covers.

Examples:

  dandelioncart report burn --since 6h
  dandelioncart report burn --html burn.html

` + dccommand.ExitHelp()
}

// Run prints the report and, when --html is set, writes the HTML page.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	response, err := dccommand.FetchReport(ctx, env, &o.Target, &o.Period, "burn")
	if err != nil {
		return err
	}
	if o.HTML != "" {
		if err := o.writePage(env, response); err != nil {
			return err
		}
	}
	if o.JSON {
		return dccommand.WriteJSON(env.Out, response)
	}
	dccommand.WriteReportCoverage(env, response)
	return dccommand.WriteTable(env.Out, tableRows(response))
}

// tableRows returns a header row and one row for each combination of service
// group, department and objective.
func tableRows(response *callerv1.ReportResponse) [][]string {
	windows := dccommand.BurnWindows(response)
	header := []string{"SERVICE-GROUP", "DEPARTMENT", "OBJECTIVE", "REQUESTS", "GOOD"}
	for _, window := range windows {
		header = append(header, "BURN-"+window)
	}
	rows := [][]string{header}
	for _, row := range response.GetRows() {
		cells := []string{
			row.GetServiceGroup(),
			row.GetDepartment(),
			row.GetObjective(),
			strconv.FormatUint(uint64(row.GetRequests()), 10),
			dccommand.FormatGoodRatio(row),
		}
		for _, window := range windows {
			cells = append(cells, formatBurnRate(row, window))
		}
		rows = append(rows, cells)
	}
	return rows
}

// formatBurnRate formats the burn rate of a window, or "-" when the row has
// none.
func formatBurnRate(row *callerv1.ReportRow, window string) string {
	rate, ok := row.GetBurn()[window]
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.2f", rate)
}

func (o *Options) writePage(env *dccommand.Environment, response *callerv1.ReportResponse) error {
	var out bytes.Buffer
	if err := newPage(response).Write(&out); err != nil {
		return err
	}
	return os.WriteFile(o.HTML, out.Bytes(), 0o600)
}
