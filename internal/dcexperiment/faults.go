package dcexperiment

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
)

// faultActions maps the name of a fault action to the function that performs it.
var faultActions = map[string]func(*session, context.Context, *benchv1.Fault) error{
	"kill-host": func(s *session, _ context.Context, fault *benchv1.Fault) error {
		s.deployment.KillHost(int(fault.GetHost()) - 1)
		return nil
	},
	"stop-host": func(s *session, ctx context.Context, fault *benchv1.Fault) error {
		return s.deployment.StopHost(ctx, int(fault.GetHost())-1)
	},
	"start-host": func(s *session, _ context.Context, fault *benchv1.Fault) error {
		return s.deployment.StartHost(int(fault.GetHost()) - 1)
	},
	"restart-host": (*session).restartHost,
	"apply-config": (*session).applyConfig,
	"faults":       adminAction(http.MethodPut, "/v1/faults"),
	"power":        adminAction(http.MethodPost, "/v1/power"),
	"index":        adminAction(http.MethodPost, "/v1/index"),
	"store":        adminAction(http.MethodPut, "/v1/store"),
	"host-list":    adminAction(http.MethodPut, "/v1/host-list"),
}

// requiresHost lists the fault actions that need a host number.
var requiresHost = map[string]bool{
	"kill-host": true, "stop-host": true, "start-host": true, "restart-host": true, "apply-config": true,
}

// restartHost stops a host gracefully, starts it again and waits until it is
// ready to take requests.
func (s *session) restartHost(ctx context.Context, fault *benchv1.Fault) error {
	index := int(fault.GetHost()) - 1
	if err := s.deployment.StopHost(ctx, index); err != nil {
		return err
	}
	if err := s.deployment.StartHost(index); err != nil {
		return err
	}
	return s.deployment.WaitReady(ctx, index)
}

// applyConfig applies a configuration change and records the time until it is in
// force on every running host.
func (s *session) applyConfig(ctx context.Context, fault *benchv1.Fault) error {
	duration, err := s.deployment.ChangeConfiguration(ctx, int(fault.GetHost())-1)
	if err != nil {
		return err
	}
	s.spreadsMS = append(s.spreadsMS, float64(duration)/float64(time.Millisecond))
	return nil
}

// adminAction returns a function that calls the admin endpoint of the stand-ins
// with the selector and the body of the fault.
func adminAction(method, path string) func(*session, context.Context, *benchv1.Fault) error {
	return func(s *session, ctx context.Context, fault *benchv1.Fault) error {
		target := path
		if fault.GetSelector() != "" {
			target += "?" + fault.GetSelector()
		}
		return s.deployment.CallAdmin(ctx, method, target, []byte(fault.GetBody()))
	}
}

// injectFaults injects the faults in the order of their times, which are relative
// to start. A fault whose action is still running when the next one is due delays
// the next one. Variants without faults return at once.
func (s *session) injectFaults(ctx context.Context, start time.Time) error {
	if s.variant.GetWithoutFaults() {
		return nil
	}
	ordered := slices.SortedStableFunc(slices.Values(s.runner.Experiment.GetFaults()), func(a, b *benchv1.Fault) int {
		return cmp.Compare(a.GetAt().AsDuration(), b.GetAt().AsDuration())
	})
	for _, fault := range ordered {
		if err := s.sleepUntil(ctx, start.Add(fault.GetAt().AsDuration())); err != nil {
			return err
		}
		s.runner.printProgress("variant %s, seed %d: injecting fault %s", s.variant.GetName(), s.seed, fault.GetAction())
		if err := faultActions[fault.GetAction()](s, ctx, fault); err != nil {
			return err
		}
	}
	return nil
}
