// Package dcbenchcapacitycommand implements the command that measures the cost
// of each role and extrapolates it to the target size.
package dcbenchcapacitycommand

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/dandelioncart/dandelioncart/internal/dccapacity"
	"github.com/dandelioncart/dandelioncart/internal/dccommand"
)

// Options are the arguments of the capacity command.
type Options struct {
	dccommand.Output
	Seed uint64 `default:"1" help:"Seed of the random choices."`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `Runs the decision packages at several sizes in this process, fits a line to the
measurements of each cost, and prints the cost of each role at the target size.
It takes a few minutes.

Examples:

  dandelioncart-bench capacity
  dandelioncart-bench capacity --json > capacity.json`
}

// Run takes the measurements and prints the report.
func (o *Options) Run(_ context.Context, env *dccommand.Environment) error {
	report, err := dccapacity.Measure(o.Seed, func(measurement string) {
		fmt.Fprintf(env.Err, "measure %s\n", measurement)
	})
	if err != nil {
		return err
	}
	if o.JSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return printReport(env, report)
}

// printReport prints the fitted lines, the cost of each role and the times that
// a suspicion and a revision take to reach all hosts.
func printReport(env *dccommand.Environment, report *dccapacity.Report) error {
	fits := [][]string{{"FIGURE", "UNIT", "SIZES", "INTERCEPT", "SLOPE", "R2", "MAX-ERROR"}}
	for _, series := range report.Series {
		first, last := series.Points[0], series.Points[len(series.Points)-1]
		fits = append(fits, []string{series.Figure, series.Unit, fmt.Sprintf("%g-%g", first.Size, last.Size),
			fmt.Sprintf("%.3g", series.Fit.Intercept), fmt.Sprintf("%.3g", series.Fit.Slope),
			fmt.Sprintf("%.3f", series.Fit.RSquared), fmt.Sprintf("%.0f%%", 100*series.Fit.MaxError)})
	}
	if err := dccommand.WriteTable(env.Out, fits); err != nil {
		return err
	}
	rows := [][]string{{"ROLE", "CORE-%", "MB", "B/S", "STORE-CALLS/S", "BASIS"}}
	for _, row := range append(report.Rows, report.ControlPlane()) {
		rows = append(rows, []string{row.Role, fmt.Sprintf("%.3f", 100*row.Cores), fmt.Sprintf("%.2f", row.MemoryBytes/(1<<20)),
			fmt.Sprintf("%.0f", row.BytesPerSecond), fmt.Sprintf("%.1f", row.StoreCallsPerSecond), row.Basis})
	}
	fmt.Fprintln(env.Out)
	if err := dccommand.WriteTable(env.Out, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.Out, "\nsuspected by all hosts after %d s, revision in force on all hosts after %d s (limit %g s)\n",
		report.SuspectSeconds, report.RevisionSeconds, dccapacity.LimitConfigInForce.Seconds())
	return err
}
