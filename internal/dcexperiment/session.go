package dcexperiment

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcload"
	"github.com/dandelioncart/dandelioncart/internal/dclocal"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
	"github.com/dandelioncart/dandelioncart/pkg/dcclient"
)

// session is a run of one repetition of one variant on a started deployment.
type session struct {
	runner     *Runner
	deployment *dclocal.Deployment
	variant    *benchv1.Variant
	seed       uint32
	warmUp     time.Duration
	duration   time.Duration

	// requesters and recorders have one element for each load.
	requesters []*dcload.ClientRequester
	recorders  []*dcload.Recorder
	// before and after are the stand-ins' reports at the start and at the end of
	// the measured interval.
	before *standinv1.Report
	after  *standinv1.Report
	// costs and counters are the usage and the increases of the counters within
	// the measured interval.
	costs    []*benchv1.HostCost
	counters subQueryCounters
	// spreadsMS holds, for each configuration change, the time in milliseconds
	// until it was in force on every running host.
	spreadsMS []float64
}

func newSession(runner *Runner, deployment *dclocal.Deployment, variant *benchv1.Variant, seed uint32) *session {
	return &session{
		runner: runner, deployment: deployment, variant: variant, seed: seed,
		warmUp:   runner.Experiment.GetWarmUp().AsDuration(),
		duration: runner.Experiment.GetDuration().AsDuration(),
	}
}

// run sends the loads, injects the faults and takes the measurements. It returns
// after the last answer.
func (s *session) run(ctx context.Context) error {
	clock := s.runner.Clock
	start := clock.Now()
	tasks := []func(context.Context) error{
		func(ctx context.Context) error { return s.measure(ctx, start) },
		func(ctx context.Context) error { return s.injectFaults(ctx, start.Add(s.warmUp)) },
	}
	for index, load := range s.runner.Experiment.GetLoads() {
		tasks = append(tasks, s.generator(index, load, start))
	}
	return runConcurrently(ctx, tasks...)
}

// generator returns a function that sends a load. index is the number of the load
// from 0; it makes the seed of each load different.
func (s *session) generator(index int, load *benchv1.Load, start time.Time) func(context.Context) error {
	load = proto.CloneOf(load)
	if s.variant.RateFactor != nil {
		load.Rate *= s.variant.GetRateFactor()
	}
	if load.GetSchemaVersion() == "" {
		load.SchemaVersion = dclocal.SchemaVersion
	}
	client := dcclient.New(load.GetDepartment(), dclocal.Credential(load.GetDepartment()), s.deployment.CallerAddresses()...)
	requester := &dcload.ClientRequester{Client: client, Services: s.deployment.Services(load.GetServiceGroup())}
	recorder := &dcload.Recorder{Load: load, WarmUp: s.warmUp, Duration: s.duration}
	s.requesters = append(s.requesters, requester)
	s.recorders = append(s.recorders, recorder)
	generator := &dcload.Generator{
		Load: load, Requester: requester, Recorder: recorder, Clock: s.runner.Clock,
		Seed: uint64(s.seed)<<8 + uint64(index), Until: s.warmUp + s.duration,
	}
	if after := load.GetStartAfter().AsDuration(); after > 0 {
		generator.From = s.warmUp + after
	}
	return func(ctx context.Context) error {
		defer client.Close()
		generator.Run(ctx, start)
		return nil
	}
}

// measure reads the counters of the stand-ins and of the hosts at the start and
// at the end of the measured interval.
func (s *session) measure(ctx context.Context, start time.Time) (err error) {
	if err := s.sleepUntil(ctx, start.Add(s.warmUp)); err != nil {
		return err
	}
	if s.before, err = s.deployment.Report(ctx); err != nil {
		return err
	}
	startReadings := s.readHosts(ctx)
	s.runner.printProgress("variant %s, seed %d: measuring for %s", s.variant.GetName(), s.seed, s.duration)
	if err := s.sleepUntil(ctx, start.Add(s.warmUp+s.duration)); err != nil {
		return err
	}
	if s.after, err = s.deployment.Report(ctx); err != nil {
		return err
	}
	s.costs, s.counters = subtractReadings(startReadings, s.readHosts(ctx))
	return nil
}

func (s *session) sleepUntil(ctx context.Context, at time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.runner.Clock.After(at.Sub(s.runner.Clock.Now())):
		return nil
	}
}

// collect builds the results of the run. It must be called after run has
// returned.
func (s *session) collect(ctx context.Context) (run *benchv1.Run, err error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	finalReport, err := s.deployment.Report(ctx)
	if err != nil {
		return nil, err
	}
	run = &benchv1.Run{Variant: s.variant.GetName(), Seed: s.seed, Hosts: s.costs,
		Seconds: dcload.MergeSeconds(s.recorders), SpreadMs: s.spreadsMS}
	for index, recorder := range s.recorders {
		result := recorder.Result()
		if err := s.checkNotRun(ctx, s.requesters[index], result); err != nil {
			return nil, err
		}
		run.Loads = append(run.Loads, result)
	}
	run.Upstream = s.upstreamTotals(finalReport)
	return run, nil
}

// checkNotRun adds a violation to result for each order that was reported as not
// run but ran, according to the run log of the stand-ins.
func (s *session) checkNotRun(ctx context.Context, requester *dcload.ClientRequester, result *benchv1.LoadResult) error {
	if result.GetKind() != dcsettings.KindOrder {
		return nil
	}
	ran, err := s.deployment.RanOrders(ctx, result.GetDepartment(), requester.NotRun())
	if err != nil {
		return err
	}
	for _, key := range ran {
		result.Violations++
		result.ViolationExamples = append(result.ViolationExamples, fmt.Sprintf("order %s ran and was reported as not run", key))
	}
	return nil
}

// upstreamTotals returns the totals of the upstreams. The searches and the extra
// load are those of the measured interval. The other counts are those of the
// whole run, which includes the warm-up.
func (s *session) upstreamTotals(finalReport *standinv1.Report) *benchv1.UpstreamTotals {
	totals := &benchv1.UpstreamTotals{
		DoubleRuns: uint32(len(finalReport.GetDuplicates())),
		ExtraLoad:  s.counters.extraLoad(),
	}
	before := map[string]*standinv1.ServerReport{}
	for _, server := range s.before.GetServers() {
		before[server.GetServer()] = server
	}
	for _, server := range s.after.GetServers() {
		totals.Searches += uint32(server.GetSearches() - before[server.GetServer()].GetSearches())
	}
	for _, server := range finalReport.GetServers() {
		totals.Crashes += uint32(server.GetCrashes())
		totals.RefusedConnections += uint32(server.GetExcessConnections())
	}
	return totals
}
