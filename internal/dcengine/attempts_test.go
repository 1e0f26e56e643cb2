package dcengine

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

// setMaxAttempts puts a configuration into effect whose routes have a limit on attempts.
func setMaxAttempts(tb testing.TB, engine *Engine, attempts int) {
	tb.Helper()
	configuration := engine.Table().Configuration
	configuration.Version++
	configuration.Routes = slices.Clone(configuration.Routes)
	for i := range configuration.Routes {
		configuration.Routes[i].MaxAttempts = attempts
	}
	table, err := dcroute.NewTable(configuration)
	if err != nil {
		tb.Fatal(err)
	}
	engine.UpdateTable(table)
}

// memoryOfRequest returns the bytes that a query allocates.
func memoryOfRequest(t *testing.T, attempts int) int64 {
	return testing.Benchmark(func(b *testing.B) { benchmarkRequest(b, newTestEngine(t, answering()), attempts) }).AllocedBytesPerOp()
}

func answering() *fakeSender {
	return &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer { return answeredBy(server) }}
}

func benchmarkRequest(b *testing.B, engine *Engine, attempts int) {
	setMaxAttempts(b, engine, attempts)
	b.ReportAllocs()
	for b.Loop() {
		if reply := engine.Handle(context.Background(), newTestRequest(engine, "/query/x")); reply.Code != dcreason.OK {
			b.Fatalf("reply %+v", reply)
		}
	}
}

// BenchmarkRequest measures a query at several limits on attempts.
func BenchmarkRequest(b *testing.B) {
	for _, attempts := range []int{2, 64, math.MaxInt32} {
		b.Run(fmt.Sprintf("%d-attempts", attempts), func(b *testing.B) {
			benchmarkRequest(b, newTestEngine(b, answering()), attempts)
		})
	}
}

// TestMemoryOfRequest guards against a host that runs out of memory because a request
// takes as much as the limit on its attempts would need, which operators may set as high
// as they like.
func TestMemoryOfRequest(t *testing.T) {
	want := memoryOfRequest(t, 2)
	for _, attempts := range []int{64, math.MaxInt32, math.MaxInt} {
		if got := memoryOfRequest(t, attempts); math.Abs(float64(got-want)) > 0.1*float64(want) {
			t.Errorf("a request takes %d bytes with at most %d attempts, and %d with at most 2", got, attempts, want)
		}
	}
}

// TestAttemptsWithoutLimit guards against a limit on attempts that is so high that it
// counts as none at all, and against sends without end to servers that refuse.
func TestAttemptsWithoutLimit(t *testing.T) {
	for _, attempts := range []int{2, 64, math.MaxInt32, math.MaxInt} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, count int) dcforward.Answer {
					if count == 1 {
						return dcforward.Answer{Outcome: dcbalance.Refused, Code: dcreason.UpstreamShed}
					}
					return answeredBy(server)
				}}
				engine := newTestEngine(t, sender)
				setMaxAttempts(t, engine, attempts)
				time.Sleep(engine.ExtraLoad.Span)
				if reply := engine.Handle(t.Context(), newTestRequest(engine, "/safe/x")); reply.Code != dcreason.OK || sender.count() != 2 {
					t.Errorf("reply %+v after %d sends, want an answer of the second server", reply, sender.count())
				}
				sender.answer = func(context.Context, dcid.ServerID, int) dcforward.Answer {
					time.Sleep(time.Millisecond)
					return dcforward.Answer{Outcome: dcbalance.Refused, Code: dcreason.UpstreamShed}
				}
				before := sender.count()
				reply := engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
				if sends := sender.count() - before; reply.Status != 503 || sends > 2+int(engine.ExtraLoad.Slack) {
					t.Errorf("reply %+v after %d sends, want a refusal within the budget of extra sends", reply, sends)
				}
			})
		})
	}
}
