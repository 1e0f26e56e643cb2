// Package dcreportdepartmentcommand implements the command that reports a
// department's own requests.
package dcreportdepartmentcommand

import (
	"context"
	"strconv"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
)

// Options are the arguments of the report department command.
type Options struct {
	dccommand.Target
	dccommand.Output
	dccommand.Period
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `Requests are counted by outcome and by reason. The report names the hosts and
minutes that it covers, and the counters that were lost with a failed host.

Examples:

  dandelioncart report department --since 24h
  dandelioncart report department --from 2026-12-01T06:00:00Z --until 2026-12-01T07:00:00Z --json

` + dccommand.ExitHelp()
}

// Run prints the report.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	response, err := dccommand.FetchReport(ctx, env, &o.Target, &o.Period, "department")
	if err != nil {
		return err
	}
	if o.JSON {
		return dccommand.WriteJSON(env.Out, response)
	}
	dccommand.WriteReportCoverage(env, response)
	rows := [][]string{{"SERVICE-GROUP", "DEPARTMENT", "REQUESTS", "OUTCOMES", "REASONS"}}
	for _, row := range response.GetRows() {
		rows = append(rows, []string{
			row.GetServiceGroup(),
			row.GetDepartment(),
			strconv.FormatUint(uint64(row.GetRequests()), 10),
			dccommand.FormatCounts(row.GetOutcomes()),
			dccommand.FormatCounts(row.GetReasons()),
		})
	}
	return dccommand.WriteTable(env.Out, rows)
}
