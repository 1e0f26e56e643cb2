package dcengine

import (
	"context"
	"testing"

	tally "github.com/uber-go/tally/v4"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// TestServiceCounters guards against extra sends that cannot be attributed to a
// service, and against a budget that denies them without a trace.
func TestServiceCounters(t *testing.T) {
	sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, count int) dcforward.Answer {
		if count == 1 || count == 3 {
			return dcforward.Answer{Outcome: dcbalance.Lost}
		}
		answer := answeredBy(server)
		answer.Waited = delayedSend
		return answer
	}}
	engine := newTestEngine(t, sender)
	scope := tally.NewTestScope("", nil)
	engine.Meter = NewMeter(scope)
	// The slack allows the one extra send of the first request only.
	engine.SetExtraLoad(ExtraLoad{Slack: 4, Span: engine.ExtraLoad.Span})
	for _, service := range engine.services.byName {
		service.meter = engine.Meter
		service.extra.Started = engine.Clock.Now().Add(-engine.ExtraLoad.Span)
	}
	engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
	engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
	counters := scope.Snapshot().Counters()
	for name, want := range map[string]int64{"service_requests": 2, "service_first_sends": 2, "service_extra_sends": 1, "service_delayed_sends": 1} {
		if counter := counters[name+"+service=p1"]; counter == nil || counter.Value() != want {
			t.Errorf("%s of p1: %v, want %d", name, counter, want)
		}
	}
	if gauge := scope.Snapshot().Gauges()["extra_sends_sharers+"]; gauge == nil || gauge.Value() != 2 {
		t.Errorf("extra_sends_sharers: %v, want 2", gauge)
	}
	if counter := counters["service_extra_sends_denied+service=p1"]; counter == nil || counter.Value() == 0 {
		t.Error("the denied retry of the second request is not counted")
	}
}
