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

// TestOverload guards against queries that use the capacity of all shards and
// then fail because some shards refuse them, against refusing queries that were
// already sent or that fail for another reason, and against refusals after the
// overload has ended.
func TestOverload(t *testing.T) {
	const (
		span  = 6 * time.Second
		pause = 20 * time.Millisecond
	)
	for name, outcome := range map[string]dcbalance.Outcome{"refused": dcbalance.Refused, "failed": dcbalance.Failed} {
		synctest.Test(t, func(t *testing.T) {
			var failing atomic.Bool
			sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
				if failing.Load() && (strings.HasPrefix(string(server), "p2") || strings.HasPrefix(string(server), "p3")) {
					return dcforward.Answer{Outcome: outcome, Status: http.StatusServiceUnavailable}
				}
				return answeredBy(server)
			}}
			engine := newTestEngine(t, sender)
			handleQueries := func() (replies, refusals int) {
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(pause) {
					before := sender.count()
					reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x"))
					replies++
					if reply.Code != dcreason.Overloaded {
						continue
					}
					refusals++
					if sender.count() != before || reply.Status != http.StatusServiceUnavailable || reply.RetryAfter <= 0 {
						t.Errorf("refusal %+v after %d sends, want status 503 with a retry delay and no send", reply, sender.count()-before)
					}
				}
				return replies, refusals
			}
			if _, refusals := handleQueries(); refusals > 0 {
				t.Errorf("%s: %d refusals without an overload", name, refusals)
			}
			failing.Store(true)
			replies, refusals := handleQueries()
			if overloaded := outcome == dcbalance.Refused; overloaded != (refusals > replies/2) {
				t.Errorf("%s: %d of %d refused during the overload", name, refusals, replies)
			}
			failing.Store(false)
			handleQueries()
			if _, refusals := handleQueries(); refusals > 0 {
				t.Errorf("%s: %d refusals after the overload", name, refusals)
			}
		})
	}
}

// TestFailuresAreNotOverload guards against refusing the requests of a route as
// overload when they fail at the servers that run them, after other servers
// refused them.
func TestFailuresAreNotOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, count int) dcforward.Answer {
			if count%2 == 1 {
				return dcforward.Answer{Outcome: dcbalance.Refused, Status: http.StatusServiceUnavailable}
			}
			return dcforward.Answer{Outcome: dcbalance.Failed, Status: http.StatusInternalServerError, Proof: "p"}
		}}
		engine := newTestEngine(t, sender)
		// 15 requests stay within the budget of extra sends.
		for range 15 {
			if reply := engine.Handle(t.Context(), newTestRequest(engine, "/unsafe/x")); reply.Code != dcreason.UpstreamError {
				t.Fatalf("reply %+v, want the code for an upstream error", reply)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}
