package dcengine

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// TestOverload guards against queries that take the work of all shards and then
// fail because some shards refuse theirs, against refusals of queries that ran
// or that fail for another reason, and against refusals after the overload.
func TestOverload(t *testing.T) {
	const (
		span  = 6 * time.Second
		pause = 20 * time.Millisecond
	)
	for name, outcome := range map[string]dcbalance.Outcome{"refused": dcbalance.Refused, "failed": dcbalance.Failed} {
		synctest.Test(t, func(t *testing.T) {
			var down atomic.Bool
			sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
				if down.Load() && (strings.HasPrefix(string(server), "p2") || strings.HasPrefix(string(server), "p3")) {
					return dcforward.Answer{Outcome: outcome, Status: http.StatusServiceUnavailable}
				}
				return answeredBy(server)
			}}
			engine := newTestEngine(t, sender)
			drive := func() (replies, refusals int) {
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(pause) {
					before := sender.count()
					reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x"))
					replies++
					if reply.Code != dcreason.Overloaded {
						continue
					}
					refusals++
					if sender.count() != before || reply.Status != http.StatusServiceUnavailable || reply.RetryAfter <= 0 {
						t.Errorf("refusal %+v after %d sends", reply, sender.count()-before)
					}
				}
				return replies, refusals
			}
			if _, refusals := drive(); refusals > 0 {
				t.Errorf("%s: %d refusals while all is well", name, refusals)
			}
			down.Store(true)
			replies, refusals := drive()
			if overloaded := outcome == dcbalance.Refused; overloaded != (refusals > replies/2) {
				t.Errorf("%s: %d of %d refused in the overload", name, refusals, replies)
			}
			down.Store(false)
			drive()
			if _, refusals := drive(); refusals > 0 {
				t.Errorf("%s: %d refusals after the overload", name, refusals)
			}
		})
	}
}

// TestFailuresAreNotOverload guards against refusals of a route whose requests
// fail at the servers that run them, because others refused them first.
func TestFailuresAreNotOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, count int) dcforward.Answer {
			if count%2 == 1 {
				return dcforward.Answer{Outcome: dcbalance.Refused, Status: http.StatusServiceUnavailable}
			}
			return dcforward.Answer{Outcome: dcbalance.Failed, Status: http.StatusInternalServerError, Proof: "p"}
		}}
		engine := newTestEngine(t, sender)
		// Few enough for the budget of extra sends.
		for range 15 {
			if reply := engine.Handle(t.Context(), newTestRequest(engine, "/unsafe/x")); reply.Code != dcreason.UpstreamError {
				t.Fatalf("reply %+v", reply)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}
