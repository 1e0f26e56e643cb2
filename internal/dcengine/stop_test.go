package dcengine

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// TestStopAdmission guards against a stopping engine that passes on a request that
// it may not answer in time, or that refuses one that it will.
func TestStopAdmission(t *testing.T) {
	const (
		// The timeout of the routes is 500 ms, their latency target 100 ms.
		window  = 450 * time.Millisecond
		latency = 100 * time.Millisecond
		known   = unrecordedAnswers + minLongestSamples
	)
	for name, c := range map[string]struct {
		// answers is the number of earlier answers that took latency each.
		answers int
		// elapsed is the time since the stop began.
		elapsed time.Duration
		refused bool
	}{
		"latency unknown, early":    {0, 0, false},
		"latency unknown, later":    {0, latency, true},
		"too few latencies, later":  {known - 1, latency, true},
		"short latency, later":      {known, latency, false},
		"short latency, late":       {known, window - latency, true},
		"after the end of the stop": {known, window + time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
					time.Sleep(latency)
					return answeredBy(server)
				}}
				engine := newTestEngine(t, sender)
				for range c.answers {
					engine.Handle(t.Context(), newTestRequest(engine, "/unsafe/x"))
				}
				engine.Stop(engine.Clock.Now().Add(window))
				time.Sleep(c.elapsed)
				reply := engine.Handle(t.Context(), newTestRequest(engine, "/unsafe/x"))
				refused := reply.Status == http.StatusServiceUnavailable && reply.Code == dcreason.HostStopping && reply.RetryAfter > 0
				if refused != c.refused || sender.count() == c.answers != c.refused {
					t.Errorf("status %d (%s), %d sends", reply.Status, reply.Code, sender.count())
				}
			})
		})
	}
}

// TestEndRequests guards against a request without an answer at the end of a stop,
// and against one that may have run and is answered as not run.
func TestEndRequests(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		answer func(ctx context.Context, server dcid.ServerID, count int) dcforward.Answer
		status int
		code   dcreason.Code
	}{
		"running": {"/unsafe/x", func(ctx context.Context, _ dcid.ServerID, _ int) dcforward.Answer { return blockUntilDone(ctx) }, http.StatusBadGateway, dcreason.OutcomeUnknown},
		"safe":    {"/safe/x", func(ctx context.Context, _ dcid.ServerID, _ int) dcforward.Answer { return blockUntilDone(ctx) }, http.StatusBadGateway, dcreason.OutcomeUnknown},
		"not run yet": {"/unsafe/x", func(context.Context, dcid.ServerID, int) dcforward.Answer {
			return dcforward.Answer{Outcome: dcbalance.Refused}
		}, http.StatusServiceUnavailable, dcreason.HostStopping},
		"enough shards": {"/query/x", func(ctx context.Context, server dcid.ServerID, _ int) dcforward.Answer {
			if server[:2] == "p4" {
				return blockUntilDone(ctx)
			}
			return answeredBy(server)
		}, http.StatusOK, dcreason.OK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := newTestEngine(t, &fakeSender{answer: c.answer})
				request := newTestRequest(engine, c.path)
				replies := make(chan Reply, 1)
				go func() { replies <- engine.Handle(t.Context(), request) }()
				// The first send has ended by then, and a refused one waits for its retry.
				time.Sleep(time.Millisecond)
				engine.EndRequests()
				reply := <-replies
				if took := engine.Clock.Since(request.Arrived); reply.Status != c.status || reply.Code != c.code || took > 2*time.Millisecond {
					t.Errorf("status %d (%s) after %v, want %d (%s)", reply.Status, reply.Code, took, c.status, c.code)
				}
				// Sends that are still in progress end at the deadline.
				time.Sleep(time.Second)
			})
		})
	}
}
