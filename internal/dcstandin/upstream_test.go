package dcstandin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
)

// TestSearchLabels guards against a response that does not say what it was read
// from, and against a search that runs although the server does not hold its
// labels.
func TestSearchLabels(t *testing.T) {
	fx := newFixture(t, nil)
	got := fx.send(t.Context(), searchCall())
	fx.expectAnswer(got, http.StatusOK, "Request-Id", "r1", "Shard", "shard-0", "Index-Version", "v1",
		"Map-Epoch", "1", "Attempt", "2", "Server-Timing", timingHeader(0, 0))
	var body dcstandin.SearchResponse
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatal(err)
	}
	want := dcstandin.SearchResponse{Service: "mill", Shard: "shard-0", Version: "v1", Epoch: 1,
		Request: "r1", Query: dcstandin.QueryDigest([]byte("flour"))}
	if diff := cmp.Diff(want, body); diff != "" {
		t.Error(diff)
	}
	unknown := searchCall()
	unknown.path = "/v1/shards/shard-1/search"
	cases := []struct {
		call   call
		status int
	}{
		{searchCall("Index-Version", "v2"), http.StatusConflict},
		{searchCall("Map-Epoch", "2"), http.StatusConflict},
		{unknown, http.StatusGone},
		{searchCall("Deadline-Ms", "0"), http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		fx.expectAnswer(fx.send(t.Context(), c.call), c.status, refusalHeaders("serving")...)
	}
	fx.expectAnswer(fx.send(t.Context(), searchCall("Deadline-Ms", "soon")), http.StatusBadRequest)
	if stats := fx.first().Stats(); stats.Searches != 1 || stats.Refused != len(cases) {
		t.Errorf("counters are %+v", stats)
	}
}

// TestRefusalBeforeStart guards against a refusal without the headers that
// prove that nothing ran, and against work done by a server that refuses.
func TestRefusalBeforeStart(t *testing.T) {
	cases := []struct {
		name   string
		state  string
		faults dcstandin.Faults
	}{
		{"draining", "draining", dcstandin.Faults{Draining: true}},
		{"load shedding", "serving", dcstandin.Faults{Shed: 1}},
		{"cold and shedding", "cold", dcstandin.Faults{Shed: 1, ColdFactor: 2, ColdFor: time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, nil)
			fx.first().SetFaults(func(f *dcstandin.Faults) { *f = c.faults })
			fx.expectAnswer(fx.send(t.Context(), searchCall()), http.StatusServiceUnavailable, refusalHeaders(c.state)...)
			fx.expectAnswer(fx.send(t.Context(), orderCall()), http.StatusServiceUnavailable, refusalHeaders(c.state)...)
			expectRuns(fx, 0)
		})
	}
}

// TestSlotsAndQueue guards against a server that runs more requests than it has
// slots, queues more than its limit or starts a request after the deadline.
func TestSlotsAndQueue(t *testing.T) {
	fx := newFixture(t, withBaseTime(300*time.Millisecond))
	first := fx.start(t.Context(), searchCall())
	fx.running(1, 0)
	second := fx.start(t.Context(), searchCall())
	fx.running(1, 1)
	fx.expectAnswer(fx.send(t.Context(), searchCall()), http.StatusServiceUnavailable, refusalHeaders("serving")...)
	fx.clock.Advance(300 * time.Millisecond)
	fx.expectAnswer(<-first, http.StatusOK, "Server-Timing", timingHeader(0, 300*time.Millisecond))
	fx.running(1, 0)
	third := fx.start(t.Context(), searchCall("Deadline-Ms", "100"))
	fx.running(1, 1)
	fx.clock.Advance(100 * time.Millisecond)
	fx.expectAnswer(<-third, http.StatusServiceUnavailable, refusalHeaders("serving")...)
	fx.clock.Advance(200 * time.Millisecond)
	fx.expectAnswer(<-second, http.StatusOK, "Server-Timing", timingHeader(300*time.Millisecond, 300*time.Millisecond))
}

// TestCancellation guards against a search that keeps its slot after the client
// has cancelled it or its deadline has passed.
func TestCancellation(t *testing.T) {
	fx := newFixture(t, withBaseTime(time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	done := fx.start(ctx, searchCall())
	fx.running(1, 0)
	cancel()
	<-done
	fx.running(0, 0)
	if stats := fx.first().Stats(); stats.Cancelled != 1 {
		t.Errorf("counters are %+v, want one cancellation", stats)
	}
	done = fx.start(t.Context(), searchCall())
	fx.running(1, 0)
	fx.clock.Advance(time.Second)
	fx.expectAnswer(<-done, http.StatusGatewayTimeout, "Not-Started", "")
}

// TestOrders guards against a second run that the RunLog does not show, and
// against an order that ran without a recorded outcome.
func TestOrders(t *testing.T) {
	fx := newFixture(t, withBaseTime(time.Second))
	address := fx.first().Server.Addr()
	outcome := func(status int) answer {
		t.Helper()
		request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/v1/orders/k1", nil)
		request.Header.Set("Department", "bakery")
		response, err := fx.client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		got := answer{status: response.StatusCode, header: response.Header}
		fx.expectAnswer(got, status)
		return got
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := fx.start(ctx, orderCall("Deadline-Ms", "500"))
	fx.running(1, 0)
	outcome(http.StatusNotFound)
	cancel()
	<-cancelled
	fx.clock.Advance(time.Second)
	fx.running(0, 0)
	outcome(http.StatusOK)
	expectRuns(fx, 1)
	if duplicates := fx.fleet.RunLog.Duplicates(); len(duplicates) != 0 {
		t.Errorf("duplicates are %v, want none", duplicates)
	}
	repeated := fx.start(t.Context(), orderCall())
	fx.running(1, 0)
	fx.clock.Advance(time.Second)
	fx.expectAnswer(<-repeated, http.StatusOK, "Idempotency-Key", "k1")
	want := []dcstandin.OrderID{{Department: "bakery", Key: "k1"}}
	if diff := cmp.Diff(want, fx.fleet.RunLog.Duplicates()); diff != "" {
		t.Error(diff)
	}
}

// TestAssignReplicas guards against a shard whose two servers share a failure
// domain, so that it is lost with that domain.
func TestAssignReplicas(t *testing.T) {
	for servers := 2; servers <= 40; servers++ {
		domains := make([]dcid.FailureDomain, servers)
		for i := range domains {
			domains[i] = dcid.FailureDomain("abc"[i%3 : i%3+1])
		}
		holders := make(map[dcid.ShardID]map[dcid.FailureDomain]int)
		for i, shards := range dcstandin.AssignReplicas(servers, domains) {
			for _, shard := range shards {
				if holders[shard] == nil {
					holders[shard] = make(map[dcid.FailureDomain]int)
				}
				holders[shard][domains[i]]++
			}
		}
		if len(holders) != servers {
			t.Errorf("%d servers: %d shards", servers, len(holders))
		}
		for shard, held := range holders {
			if len(held) != 2 {
				t.Errorf("%d servers: %s is held in %v", servers, shard, held)
			}
		}
	}
}
