package dcengine

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// refuseFor returns the refusal of a server that wants no requests for a time.
func refuseFor(delay time.Duration) dcforward.Answer {
	return dcforward.Answer{Outcome: dcbalance.Refused, Code: dcreason.UpstreamShed, Status: http.StatusServiceUnavailable, RetryDelay: delay}
}

// TestServerWantsNoRequests guards against requests to a server within the time
// for which it wants none, and against leaving it out for longer.
func TestServerWantsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 3 * time.Second
		var refusedAt time.Time
		arrivals := 0
		sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
			if server == "p1-a" {
				arrivals++
				if refusedAt.IsZero() {
					refusedAt = time.Now()
					return refuseFor(delay)
				}
			}
			time.Sleep(5 * time.Millisecond)
			return answeredBy(server)
		}}
		engine := newTestEngine(t, sender)
		for arrivals == 0 {
			engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
		}
		for time.Since(refusedAt) < delay-10*time.Millisecond {
			if reply := engine.Handle(t.Context(), newTestRequest(engine, "/safe/x")); reply.Code != dcreason.OK {
				t.Fatalf("reply %+v while another server takes requests", reply)
			}
			time.Sleep(time.Millisecond)
		}
		if arrivals != 1 {
			t.Errorf("%d requests reached the server in the time for which it wanted none", arrivals-1)
		}
		for range 200 {
			engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
			time.Sleep(50 * time.Millisecond)
		}
		if arrivals == 1 {
			t.Error("the server got no request after that time")
		}
	})
}

// TestAllServersWantNoRequests guards against requests that wait although no
// server takes them, and against a retry delay that sends their callers back too
// early.
func TestAllServersWantNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 4 * time.Second
		sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
			if strings.HasPrefix(string(server), "p1") {
				return refuseFor(delay)
			}
			return answeredBy(server)
		}}
		engine := newTestEngine(t, sender)
		started := time.Now()
		first := engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
		time.Sleep(time.Second)
		sends, at := sender.count(), time.Now()
		second := engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
		if sends != 2 || sender.count() != sends || time.Since(at) != 0 {
			t.Errorf("%d sends for the first request, %d for the second, refused after %v; want 2, 0 and at once", sends, sender.count()-sends, time.Since(at))
		}
		for name, c := range map[string]struct {
			reply Reply
			at    time.Time
		}{"first": {first, started}, "second": {second, at}} {
			end := started.Add(delay)
			if c.reply.Code != dcreason.UpstreamShed || c.reply.Status != http.StatusServiceUnavailable || c.at.Add(c.reply.RetryAfter).Before(end) || c.reply.RetryAfter > delay+time.Second {
				t.Errorf("%s: reply %+v, want a refusal with the rest of %v", name, c.reply, delay)
			}
		}
		// A query can do without that shard.
		if reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x")); reply.Code != dcreason.OK || reply.MissingShards != 1 || time.Since(at) != 0 {
			t.Errorf("query: reply %+v after %v, want all but one shard at once", reply, time.Since(at))
		}
	})
}

// TestWrongRetryDelay guards against a server that is out of use for an hour
// because of a wrong value.
func TestWrongRetryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{answer: func(_ context.Context, server dcid.ServerID, count int) dcforward.Answer {
			if count <= 2 {
				return refuseFor(time.Hour)
			}
			return answeredBy(server)
		}}
		engine := newTestEngine(t, sender)
		engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
		time.Sleep(11 * time.Second)
		if reply := engine.Handle(t.Context(), newTestRequest(engine, "/safe/x")); reply.Code != dcreason.OK {
			t.Errorf("reply %+v after 11 s, want an answer", reply)
		}
	})
}
