// Package dcbenchruncommand implements the command that runs an experiment and
// writes its results.
package dcbenchruncommand

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dcexperiment"
	"github.com/dandelioncart/dandelioncart/internal/dcload"
	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
)

// Options are the arguments of the run command.
type Options struct {
	dccommand.Output
	Experiment string `arg:"" type:"existingfile" help:"YAML file of the experiment."`
	Binaries   string `type:"existingdir" default:"bin" help:"Directory of the programs."`
	Out        string `type:"path" default:"out" help:"Directory for results, report and logs."`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `Starts stand-ins and hosts for each variant and repetition, sends open-loop load,
injects the faults, and writes results.json, report.html and the logs of all
processes. It fails when a response violated a guarantee of the tier or when an
order ran more than once.

Examples:

  dandelioncart-bench run examples/experiments/stragglers.yaml
  dandelioncart-bench run examples/experiments/killed-host.yaml --out out/kill --json`
}

// Run runs the experiment, writes the result files and prints the tables of the
// report.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) (err error) {
	experiment, err := dcexperiment.Load(o.Experiment)
	if err != nil {
		return err
	}
	runner := &dcexperiment.Runner{
		File: o.Experiment, Experiment: experiment, Binaries: o.Binaries,
		Directory: filepath.Join(o.Out, experiment.GetName()), Clock: env.Clock, Progress: env.Err,
	}
	results, err := runner.Run(ctx)
	if err != nil {
		return err
	}
	if err := writeResults(runner.Directory, results); err != nil {
		return err
	}
	if err := o.print(env, results); err != nil {
		return err
	}
	return checkViolations(results)
}

func (o *Options) print(env *dccommand.Environment, results *benchv1.Results) error {
	if o.JSON {
		return dccommand.WriteJSON(env.Out, results)
	}
	for _, table := range dcload.Report(results).Tables {
		rows := append([][]string{table.Header}, table.Rows...)
		if err := dccommand.WriteTable(env.Out, rows); err != nil {
			return err
		}
		if _, err := env.Out.Write([]byte("\n")); err != nil {
			return err
		}
	}
	return nil
}

// writeResults writes results.json and report.html to the directory.
func writeResults(directory string, results *benchv1.Results) error {
	encoded, err := protojson.MarshalOptions{Multiline: true}.Marshal(results)
	if err != nil {
		return eris.Wrap(err, "encode results")
	}
	if err := os.WriteFile(filepath.Join(directory, "results.json"), encoded, 0o644); err != nil {
		return err
	}
	var page bytes.Buffer
	if err := dcload.Report(results).Write(&page); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, "report.html"), page.Bytes(), 0o644)
}

// checkViolations returns an error when an order ran more than once or a
// response violated a guarantee of the tier.
func checkViolations(results *benchv1.Results) error {
	for _, run := range results.GetRuns() {
		if count := run.GetUpstream().GetDoubleRuns(); count > 0 {
			return eris.Errorf("variant %s, seed %d: %d orders ran more than once", run.GetVariant(), run.GetSeed(), count)
		}
		for _, load := range run.GetLoads() {
			if load.GetViolations() > 0 {
				return eris.Errorf("variant %s, seed %d: %d responses violated a guarantee of the tier, for example: %s",
					run.GetVariant(), run.GetSeed(), load.GetViolations(), load.GetViolationExamples()[0])
			}
		}
	}
	return nil
}
