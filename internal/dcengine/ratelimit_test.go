package dcengine

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// limitedSender answers for servers, some of which name a rate limit.
type limitedSender struct {
	fakeSender
	mu sync.Mutex
	// limits holds the limit of each server, by a prefix of its ID.
	limits map[string]dcratelimit.Statement
	// arrivals holds the times of the sends to each server.
	arrivals map[dcid.ServerID][]time.Time
}

func newLimitedSender(limits map[string]dcratelimit.Statement) *limitedSender {
	s := &limitedSender{limits: limits, arrivals: make(map[dcid.ServerID][]time.Time)}
	s.answer = func(_ context.Context, server dcid.ServerID, _ int) dcforward.Answer {
		time.Sleep(workTime)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.arrivals[server] = append(s.arrivals[server], time.Now())
		answer := answeredBy(server)
		answer.RateLimit.Kind = dcratelimit.Absent
		for prefix, limit := range s.limits {
			if strings.HasPrefix(string(server), prefix) {
				answer.RateLimit = limit
			}
		}
		return answer
	}
	return s
}

func (s *limitedSender) setLimits(limits map[string]dcratelimit.Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// most returns the largest number of sends to a server within a window.
func (s *limitedSender) most(server dcid.ServerID) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrivals := s.arrivals[server]
	for i, from := range arrivals {
		end, _ := slices.BinarySearchFunc(arrivals, from.Add(dcratelimit.Window), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// workTime is how long a server works on a request.
const workTime = 2 * time.Millisecond

func named(rate dcratelimit.Rate) dcratelimit.Statement {
	return dcratelimit.Statement{Kind: dcratelimit.Named, Rate: rate}
}

// load answers requests of a path at a rate for a time, and returns the replies.
func load(t *testing.T, engine *Engine, path string, gap, length time.Duration) (replies []Reply) {
	t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(gap) {
		replies = append(replies, engine.Handle(t.Context(), newTestRequest(engine, path)))
	}
	return replies
}

// TestRateLimit guards against more sends to a server than this host's share of
// its limit, first sends, hedges and retries together, against requests that fail
// although another server has room, and against a limit that takes another server
// out of use.
func TestRateLimit(t *testing.T) {
	for name, limit := range map[string]dcratelimit.Rate{"half": 20, "tiny": 0.01, "zero": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := newLimitedSender(map[string]dcratelimit.Statement{"p1-a": named(limit)})
				engine := newTestEngine(t, &sender.fakeSender)
				for _, reply := range load(t, engine, "/safe/x", 5*time.Millisecond, 12*time.Second) {
					if reply.Status != http.StatusOK {
						t.Fatalf("reply %+v, want status 200 from the other server", reply)
					}
				}
				// This host is one of two.
				if most, allowed := sender.most("p1-a"), 3*float64(limit)+5; float64(most) > allowed {
					t.Errorf("%d sends within %v, allowed %g for this host", most, dcratelimit.Window, allowed)
				}
				if got := len(sender.arrivals["p1-a"]); got < 2 {
					t.Errorf("%d sends to the limited server, want some that show whether the limit holds", got)
				}
				sender.setLimits(nil)
				load(t, engine, "/safe/x", 5*time.Millisecond, 8*time.Second)
				before := len(sender.arrivals["p1-a"])
				load(t, engine, "/safe/x", 5*time.Millisecond, 4*time.Second)
				if got := len(sender.arrivals["p1-a"]) - before; got < 50 {
					t.Errorf("%d sends in 4s after the limit has ended, want at least 50", got)
				}
			})
		})
	}
}

// TestChangingRateLimit guards against a limit that changes with each answer and
// is then exceeded, stops the requests for good, or fills the log.
func TestChangingRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const low, high, seconds = 1, 40, 12
		sender := newLimitedSender(nil)
		engine := newTestEngine(t, &sender.fakeSender)
		core, logs := observer.New(zap.InfoLevel)
		engine.service("p1").log = zap.New(core)
		for i, end := 0, time.Now().Add(seconds*time.Second); time.Now().Before(end); i++ {
			sender.setLimits(map[string]dcratelimit.Statement{"p1": named([]dcratelimit.Rate{low, high}[i%2])})
			engine.Handle(t.Context(), newTestRequest(engine, "/safe/x"))
			time.Sleep(5 * time.Millisecond)
		}
		for server, arrivals := range sender.arrivals {
			// This host is one of two.
			if most := sender.most(server); float64(most) > 3*high+5 || len(arrivals) < low*seconds/2 {
				t.Errorf("%d sends to %s within %v, %d in all, want at most %d and at least %d", most, server, dcratelimit.Window, len(arrivals), 3*high+5, low*seconds/2)
			}
		}
		if lines := logs.Len(); lines > 2*seconds+2 {
			t.Errorf("%d log lines in %d s for two servers, want at most one a second for each", lines, seconds)
		}
	})
}

// TestRateLimitIgnored guards against answers that set or end a limit although
// they say nothing of it: those that are no number, refusals and requests that
// were lost.
func TestRateLimitIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		outcome   dcbalance.Outcome
		statement dcratelimit.Statement
		limited   bool
	}{
		"absent":            {dcbalance.Answered, dcratelimit.Statement{Kind: dcratelimit.Absent}, false},
		"absent in failure": {dcbalance.Failed, dcratelimit.Statement{Kind: dcratelimit.Absent}, false},
		"absent in refusal": {dcbalance.Refused, dcratelimit.Statement{Kind: dcratelimit.Absent}, true},
		"absent, cut short": {dcbalance.Lost, dcratelimit.Statement{Kind: dcratelimit.Absent}, true},
		"no answer":         {dcbalance.Lost, dcratelimit.Statement{}, true},
		"malformed":         {dcbalance.Answered, dcratelimit.Statement{Kind: dcratelimit.Malformed}, true},
		"named in refusal":  {dcbalance.Refused, named(7), true},
		"named, cut short":  {dcbalance.Lost, named(7), true},
	} {
		engine := newTestEngine(t, &fakeSender{})
		service := engine.service("p1")
		now := engine.Clock.Now()
		record := func(outcome dcbalance.Outcome, statement dcratelimit.Statement) {
			now = now.Add(10 * time.Second)
			call, ok := service.pick([]dcid.ServerID{"p1-b"}, false, 2, now)
			if !ok {
				t.Fatalf("%s: no call to the server", name)
			}
			answer := dcforward.Answer{Outcome: outcome, RateLimit: statement}
			service.recordAnswer(call, &answer, 0, 0, engine.place("p1-a", statement), now.Add(time.Millisecond))
		}
		record(dcbalance.Answered, named(10))
		record(c.outcome, c.statement)
		service.pick([]dcid.ServerID{"p1-b"}, false, 2, now)
		for range 10 {
			service.pick([]dcid.ServerID{"p1-b"}, false, 2, now)
		}
		_, more := service.pick([]dcid.ServerID{"p1-b"}, false, 2, now)
		if limited := !more; limited != c.limited {
			t.Errorf("%s: limited %t, want %t", name, limited, c.limited)
		}
	}
}

// TestQueryWithLimitedShard guards against queries that fail, claim coverage that
// they lack, or wait for room that will not come, because all servers of one
// shard name a limit below the load.
func TestQueryWithLimitedShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := newLimitedSender(map[string]dcratelimit.Statement{"p2": named(10)})
		engine := newTestEngine(t, &sender.fakeSender)
		complete, total := 0, 0
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			arrived := time.Now()
			reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x"))
			total++
			if reply.Status != http.StatusOK || len(reply.Proofs)+reply.MissingShards != 4 {
				t.Fatalf("reply %+v, want status 200 with all shards accounted for", reply)
			}
			if reply.MissingShards == 0 {
				complete++
			} else if took := time.Since(arrived); took > 2*workTime && total > 100 {
				t.Fatalf("an answer without the shard took %v, want it as soon as the other shards have answered", took)
			}
		}
		if complete == 0 || complete == total {
			t.Errorf("%d of %d answers have all shards, want some", complete, total)
		}
	})
}

// TestRefusedByRateLimit guards against queries that cost other shards their work
// although too few shards have room, against a refusal that comes late or
// without a time to return, against callers who return all at once, and against
// refusals after the limits have ended.
func TestRefusedByRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := map[string]dcratelimit.Statement{"p2": named(4), "p3": named(4)}
		sender := newLimitedSender(limits)
		engine := newTestEngine(t, &sender.fakeSender)
		// One query of each second would be served.
		load(t, engine, "/query/x", 10*time.Millisecond, time.Second)
		served, refused := 0, 0
		var last time.Time
		for range 400 {
			before, arrived := sender.count(), time.Now()
			reply := engine.Handle(t.Context(), newTestRequest(engine, "/query/x"))
			if reply.Status == http.StatusOK {
				served++
			} else if reply.Code == dcreason.RateLimited {
				refused++
				if sender.count() != before || time.Since(arrived) > 0 || reply.Status != http.StatusServiceUnavailable || reply.RetryAfter <= 0 {
					t.Errorf("refusal %+v after %d sends and %v, want status 503 with a retry delay at once and no send", reply, sender.count()-before, time.Since(arrived))
				}
				if at := arrived.Add(reply.RetryAfter); at.Before(last) {
					t.Errorf("a caller may return %v before one that was refused earlier", last.Sub(at))
				} else {
					last = at
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		if refused == 0 || served == 0 {
			t.Errorf("%d served and %d refused, want some of both", served, refused)
		}
		sender.setLimits(nil)
		load(t, engine, "/query/x", 10*time.Millisecond, 4*time.Second)
		for _, reply := range load(t, engine, "/query/x", 10*time.Millisecond, time.Second) {
			if reply.Status != http.StatusOK || reply.MissingShards > 0 {
				t.Fatalf("reply %+v after the limits have ended, want a full answer", reply)
			}
		}
	})
}

// TestRateLimitReport guards against a limit that leaves no trace in logs and
// metrics, and against a log line for each answer that names it.
func TestRateLimitReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := newLimitedSender(map[string]dcratelimit.Statement{"p1-a": named(20)})
		engine := newTestEngine(t, &sender.fakeSender)
		core, logs := observer.New(zap.InfoLevel)
		scope := tally.NewTestScope("", nil)
		service := engine.service("p1")
		service.log, service.meter = zap.New(core), NewMeter(scope)
		load(t, engine, "/safe/x", 5*time.Millisecond, 4*time.Second)
		gauges := scope.Snapshot().Gauges()
		for metric, want := range map[string]float64{"server_rate_limit": 20, "server_rate_limit_share": 10, "server_rate_limit_in_force": 1} {
			if gauge := gauges[metric+"+server=p1-a,service=p1"]; gauge == nil || gauge.Value() != want {
				t.Errorf("%s: %v, want %g", metric, gauge, want)
			}
		}
		sender.setLimits(map[string]dcratelimit.Statement{"p1-a": {Kind: dcratelimit.Malformed}})
		load(t, engine, "/safe/x", 5*time.Millisecond, 4*time.Second)
		sender.setLimits(nil)
		load(t, engine, "/safe/x", 5*time.Millisecond, 4*time.Second)
		for _, message := range []string{"server names a rate limit", "rate limit of a server ignored, it is not a decimal number", "server names no rate limit any more"} {
			lines := logs.FilterMessage(message).All()
			if len(lines) != 1 {
				t.Errorf("%d lines %q, want 1", len(lines), message)
				continue
			}
			fields := lines[0].ContextMap()
			for _, field := range []string{"server", "limit", "share", "age", "passed-over"} {
				if _, ok := fields[field]; !ok {
					t.Errorf("%q: no field %s", message, field)
				}
			}
		}
		if gauge := scope.Snapshot().Gauges()["server_rate_limit_in_force+server=p1-a,service=p1"]; gauge == nil || gauge.Value() != 0 {
			t.Errorf("the limit is reported in force after its end: %v", gauge)
		}
	})
}
