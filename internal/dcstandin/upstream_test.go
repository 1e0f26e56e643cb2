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

// TestSearchLabels guards against an answer that does not say what it was read
// from, and against a search that runs on labels that the server lacks.
func TestSearchLabels(t *testing.T) {
	b := newFixture(t, nil)
	got := b.send(t.Context(), searchCall())
	b.expectAnswer(got, http.StatusOK, "Request-Id", "r1", "Shard", "shard-0", "Index-Version", "v1",
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
		b.expectAnswer(b.send(t.Context(), c.call), c.status, refusalHeaders("serving")...)
	}
	b.expectAnswer(b.send(t.Context(), searchCall("Deadline-Ms", "soon")), http.StatusBadRequest)
	if stats := b.first().Stats(); stats.Searches != 1 || stats.Refused != len(cases) {
		t.Errorf("counted %+v", stats)
	}
}

// TestRefusalBeforeStart guards against a refusal without the proof that
// nothing ran, and against work done by a server that refuses.
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
			b := newFixture(t, nil)
			b.first().SetFaults(func(f *dcstandin.Faults) { *f = c.faults })
			b.expectAnswer(b.send(t.Context(), searchCall()), http.StatusServiceUnavailable, refusalHeaders(c.state)...)
			b.expectAnswer(b.send(t.Context(), orderCall()), http.StatusServiceUnavailable, refusalHeaders(c.state)...)
			expectRuns(b, 0)
		})
	}
}

// TestSlotsAndQueue guards against a server that runs more than its slots,
// queues more than its limit or starts work after the deadline.
func TestSlotsAndQueue(t *testing.T) {
	b := newFixture(t, withBaseTime(300*time.Millisecond))
	first := b.start(t.Context(), searchCall())
	b.running(1, 0)
	second := b.start(t.Context(), searchCall())
	b.running(1, 1)
	b.expectAnswer(b.send(t.Context(), searchCall()), http.StatusServiceUnavailable, refusalHeaders("serving")...)
	b.clock.Advance(300 * time.Millisecond)
	b.expectAnswer(<-first, http.StatusOK, "Server-Timing", timingHeader(0, 300*time.Millisecond))
	b.running(1, 0)
	third := b.start(t.Context(), searchCall("Deadline-Ms", "100"))
	b.running(1, 1)
	b.clock.Advance(100 * time.Millisecond)
	b.expectAnswer(<-third, http.StatusServiceUnavailable, refusalHeaders("serving")...)
	b.clock.Advance(200 * time.Millisecond)
	b.expectAnswer(<-second, http.StatusOK, "Server-Timing", timingHeader(300*time.Millisecond, 300*time.Millisecond))
}

// TestCancellation guards against a search that holds its slot after the
// client cancelled it.
func TestCancellation(t *testing.T) {
	b := newFixture(t, withBaseTime(time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	done := b.start(ctx, searchCall())
	b.running(1, 0)
	cancel()
	<-done
	b.running(0, 0)
	if stats := b.first().Stats(); stats.Cancelled != 1 {
		t.Errorf("counted %+v, want one cancellation", stats)
	}
	done = b.start(t.Context(), searchCall())
	b.running(1, 0)
	b.clock.Advance(time.Second)
	b.expectAnswer(<-done, http.StatusGatewayTimeout, "Not-Started", "")
}

// TestOrders guards against a second run that the journal does not show, and
// against an outcome that cannot be asked for.
func TestOrders(t *testing.T) {
	b := newFixture(t, withBaseTime(time.Second))
	address := b.first().Server.Addr()
	outcome := func(status int) answer {
		t.Helper()
		request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/v1/orders/k1", nil)
		request.Header.Set("Department", "bakery")
		response, err := b.client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		got := answer{status: response.StatusCode, header: response.Header}
		b.expectAnswer(got, status)
		return got
	}
	ctx, cancel := context.WithCancel(t.Context())
	lost := b.start(ctx, orderCall("Deadline-Ms", "500"))
	b.running(1, 0)
	outcome(http.StatusNotFound)
	cancel()
	<-lost
	b.clock.Advance(time.Second)
	b.running(0, 0)
	outcome(http.StatusOK)
	expectRuns(b, 1)
	if duplicates := b.fleet.RunLog.Duplicates(); len(duplicates) != 0 {
		t.Errorf("duplicates %v", duplicates)
	}
	again := b.start(t.Context(), orderCall())
	b.running(1, 0)
	b.clock.Advance(time.Second)
	b.expectAnswer(<-again, http.StatusOK, "Idempotency-Key", "k1")
	want := []dcstandin.OrderID{{Department: "bakery", Key: "k1"}}
	if diff := cmp.Diff(want, b.fleet.RunLog.Duplicates()); diff != "" {
		t.Error(diff)
	}
}

// TestAssignReplicas guards against a shard whose two servers share a failure
// domain, which losing the domain would take away.
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
		for shard, in := range holders {
			if len(in) != 2 {
				t.Errorf("%d servers: %s is held in %v", servers, shard, in)
			}
		}
	}
}
