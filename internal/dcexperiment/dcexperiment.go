// Package dcexperiment runs experiments. For each variant and repetition it
// starts a local deployment, sends the loads, injects the faults at their
// scheduled times, and collects the measurements.
package dcexperiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/dandelioncart/dandelioncart/internal/dcload"
	"github.com/dandelioncart/dandelioncart/internal/dclocal"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// collectTimeout limits the time for reading the counters and the run log of
// the stand-ins after the last answer.
const collectTimeout = 15 * time.Second

// Runner runs one experiment. Set the exported fields before Run.
type Runner struct {
	// File is the path of the experiment file. The path of the profile is relative
	// to its directory.
	File       string
	Experiment *benchv1.Experiment
	// Binaries is the directory that holds the programs.
	Binaries string
	// Directory receives one subdirectory for each run, with settings and logs.
	Directory string
	Clock     clockwork.Clock
	// Progress receives progress messages, one line for each step.
	Progress io.Writer
}

// Load reads and validates an experiment file.
func Load(file string) (experiment *benchv1.Experiment, err error) {
	text, err := dcsettings.ReadFile(file)
	if err != nil {
		return nil, err
	}
	experiment = &benchv1.Experiment{}
	if err := dcsettings.Parse(file, text, experiment); err != nil {
		return nil, err
	}
	return experiment, validate(experiment)
}

func validate(experiment *benchv1.Experiment) error {
	switch {
	case experiment.GetHosts() < 1:
		return eris.New("hosts must be 1 or more")
	case experiment.GetDuration().AsDuration() <= 0:
		return eris.New("duration must be positive")
	case len(experiment.GetLoads()) == 0:
		return eris.New("the experiment has no loads")
	}
	for _, load := range experiment.GetLoads() {
		if load.GetRate() <= 0 || load.GetDeadline().AsDuration() <= 0 {
			return eris.Errorf("load of service group %s: rate and deadline must be positive", load.GetServiceGroup())
		}
	}
	for _, fault := range experiment.GetFaults() {
		if _, ok := faultActions[fault.GetAction()]; !ok {
			return eris.Errorf("unknown fault action %q", fault.GetAction())
		}
		if requiresHost[fault.GetAction()] && (fault.GetHost() < 1 || fault.GetHost() > experiment.GetHosts()) {
			return eris.Errorf("fault action %s needs a host from 1 to %d", fault.GetAction(), experiment.GetHosts())
		}
	}
	return nil
}

// Run runs every variant with every seed and compares the variants. The variants
// alternate, so that a change in the speed of the machine over time affects all
// of them. Run stops at the first error.
func (r *Runner) Run(ctx context.Context) (results *benchv1.Results, err error) {
	defer func() { err = eris.Wrapf(err, "run experiment %s", r.Experiment.GetName()) }()
	variants := r.Experiment.GetVariants()
	if len(variants) == 0 {
		variants = []*benchv1.Variant{{Name: "default"}}
	}
	results = &benchv1.Results{Experiment: r.Experiment}
	for repetition := range max(r.Experiment.GetRepetitions(), 1) {
		for _, variant := range variants {
			seed := r.Experiment.GetSeed() + uint32(repetition)
			run, err := r.runVariant(ctx, variant, seed)
			if err != nil {
				return nil, err
			}
			results.Runs = append(results.Runs, run)
		}
	}
	results.Comparisons = dcload.Compare(results.GetRuns())
	return results, nil
}

// runVariant runs one repetition of one variant on a new deployment.
func (r *Runner) runVariant(ctx context.Context, variant *benchv1.Variant, seed uint32) (run *benchv1.Run, err error) {
	directory := filepath.Join(r.Directory, fmt.Sprintf("%s-%d", variant.GetName(), seed))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, err
	}
	r.printProgress("variant %s, seed %d: starting the deployment", variant.GetName(), seed)
	deployment := &dclocal.Deployment{
		Binaries:            r.Binaries,
		Profile:             filepath.Join(filepath.Dir(r.File), r.Experiment.GetProfile()),
		Hosts:               int(r.Experiment.GetHosts()),
		Groups:              groupConfigs(r.Experiment.GetLoads()),
		ModifyConfiguration: func(configuration *settingsv1.Configuration) { applyVariant(configuration, variant) },
		Directory:           directory,
		Clock:               r.Clock,
		HTTPClient:          http.DefaultClient,
	}
	if err := deployment.Start(ctx); err != nil {
		return nil, err
	}
	defer deployment.Stop()
	session := newSession(r, deployment, variant, seed)
	if err := session.run(ctx); err != nil {
		return nil, err
	}
	return session.collect(ctx)
}

func (r *Runner) printProgress(format string, arguments ...any) {
	fmt.Fprintf(r.Progress, format+"\n", arguments...)
}

// groupConfigs returns the kind of each service group and the weights of its
// departments, as the loads define them. The kind is that of the first load of
// the group. A weight below 1 counts as 1.
func groupConfigs(loads []*benchv1.Load) dclocal.GroupConfigs {
	groups := dclocal.GroupConfigs{}
	for _, load := range loads {
		config, ok := groups[load.GetServiceGroup()]
		if !ok {
			config = dclocal.GroupConfig{Kind: load.GetKind(), Weights: map[string]float64{}}
			groups[load.GetServiceGroup()] = config
		}
		config.Weights[load.GetDepartment()] = max(load.GetWeight(), 1)
	}
	return groups
}

// applyVariant changes the rules of all query groups to those that the variant
// sets. Order groups are not changed.
func applyVariant(configuration *settingsv1.Configuration, variant *benchv1.Variant) {
	for _, group := range configuration.GetServiceGroups() {
		if group.GetKind() != dcsettings.KindQuery {
			continue
		}
		if variant.HedgeQuantile != nil {
			group.HedgeQuantile = variant.GetHedgeQuantile()
		}
		if variant.ExtraLoad != nil {
			group.ExtraLoad = variant.GetExtraLoad()
		}
		if variant.Canary != nil {
			group.Quarantine.Canary = variant.GetCanary()
		}
		if variant.MaxQueue != nil {
			group.MaxQueue = variant.GetMaxQueue()
		}
	}
}

// runConcurrently runs the tasks concurrently, waits for all of them and returns
// the first error. The context of the tasks is canceled at the first error.
func runConcurrently(ctx context.Context, tasks ...func(context.Context) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, task := range tasks {
		group.Go(func() error { return task(ctx) })
	}
	return group.Wait()
}
