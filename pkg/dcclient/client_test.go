package dcclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/pkg/dcclient"
)

// reply defines how one host of the tier responds to a request: it refuses the
// connection, closes it without a response, or sends a result.
type reply struct {
	refuseConnection bool
	dropResponse     bool
	status           int
	outcome          string
	reason           string
	key              string
}

var (
	refuseConnection = reply{refuseConnection: true}
	dropResponse     = reply{dropResponse: true}
	ran              = reply{status: 200, outcome: "ran", reason: "ok"}
	stopping         = reply{status: 503, outcome: "not-run", reason: "host-stopping"}
)

func (r reply) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.dropResponse {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(r.status)
	fmt.Fprintf(w, `{"result":{"outcome":%q,"reason":%q,"host-id":"h1"},"key":%q,"new-field":1}`, r.outcome, r.reason, r.key)
}

// fakeTier is an entry host that returns the addresses of the given hosts and
// counts the lookups.
type fakeTier struct {
	entry   *httptest.Server
	lookups atomic.Int32
}

// newFakeTier returns a fakeTier with hosts. Because the first call of a client
// begins with the second address, it lists the first host second.
func newFakeTier(t *testing.T, lifetime time.Duration, hosts ...http.Handler) *fakeTier {
	t.Helper()
	list := make([]string, len(hosts))
	for i, host := range hosts {
		list[(i+1)%len(hosts)] = listen(t, host)
	}
	tier := &fakeTier{}
	tier.entry = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		tier.lookups.Add(1)
		_ = json.NewEncoder(w).Encode(map[string]any{"addresses": list, "lifetime-ms": lifetime.Milliseconds(),
			"result": map[string]any{"outcome": "ran", "reason": "ok"}})
	}))
	t.Cleanup(tier.entry.Close)
	return tier
}

// listen starts a host and returns its address. For a host that refuses
// connections, nothing listens on the address.
func listen(t *testing.T, host http.Handler) string {
	t.Helper()
	if r, ok := host.(reply); ok && r.refuseConnection {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		return listener.Addr().String()
	}
	server := httptest.NewServer(host)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (f *fakeTier) client(t *testing.T) *dcclient.Client {
	client := dcclient.New("bakery", "secret", f.entry.Listener.Addr().String())
	t.Cleanup(client.Close)
	return client
}

// contextWithDeadline returns a context that ends after an hour or with the
// test.
func contextWithDeadline(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	t.Cleanup(cancel)
	return ctx
}

// TestRetry guards against sending again a request that may have run, against
// the outcome not-run without proof, and against giving up on a request that is
// proven not to have run.
func TestRetry(t *testing.T) {
	malformed := reply{status: 200, outcome: "maybe"}
	queueFull := reply{status: 429, outcome: "not-run", reason: "queue-full"}
	storeUnavailable := reply{status: 503, outcome: "not-run", reason: "store-unavailable"}
	unknownOutcome := reply{status: 200, outcome: "unknown", reason: "outcome-unknown"}
	otherKey := reply{status: 200, outcome: "ran", key: "other"}
	cases := []struct {
		name     string
		kind     string
		hosts    []reply
		outcome  dcclient.Outcome
		reason   string
		attempts int
		wantErr  bool
	}{
		{"refused connection", "query", []reply{refuseConnection, ran}, "ran", "ok", 2, false},
		{"stopping host", "query", []reply{stopping, ran}, "ran", "ok", 2, false},
		{"all stopping", "query", []reply{stopping, stopping}, "not-run", "host-stopping", 2, false},
		{"stopping, then refused", "query", []reply{stopping, refuseConnection}, "not-run", "host-stopping", 2, false},
		{"load shedding", "query", []reply{queueFull, ran}, "not-run", "queue-full", 1, false},
		{"lost query", "query", []reply{dropResponse, ran}, "unknown", "connection-failed", 1, true},
		{"malformed answer", "query", []reply{malformed, ran}, "unknown", "connection-failed", 1, true},
		{"ran with error status", "query", []reply{{status: 500, outcome: "ran", reason: "ok"}, stopping}, "ran", "ok", 1, false},
		{"not run with status 200", "query", []reply{{status: 200, outcome: "not-run", reason: "host-stopping"}, ran}, "ran", "ok", 2, false},
		{"none answers", "query", []reply{refuseConnection, refuseConnection}, "not-run", "connection-failed", 4, true},
		{"lost order", "order", []reply{dropResponse, ran}, "ran", "ok", 2, false},
		{"lost order, then refused", "order", []reply{dropResponse, storeUnavailable}, "unknown", "outcome-unknown", 2, false},
		{"lost order, then no host", "order", []reply{dropResponse, refuseConnection}, "unknown", "connection-failed", 4, true},
		{"order for another key", "order", []reply{otherKey, unknownOutcome}, "unknown", "outcome-unknown", 2, false},
		{"unknown order", "order", []reply{unknownOutcome, ran}, "unknown", "outcome-unknown", 1, false},
		{"order without store", "order", []reply{storeUnavailable, ran}, "ran", "ok", 2, false},
		{"lost lookup", "lookup", []reply{dropResponse, ran}, "ran", "ok", 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var hosts []http.Handler
			for _, host := range c.hosts {
				hosts = append(hosts, host)
			}
			client := newFakeTier(t, time.Hour, hosts...).client(t)
			result, err := sendRequest(contextWithDeadline(t), client, c.kind)
			if result.Outcome != c.outcome || result.Reason != c.reason || result.Attempts != c.attempts {
				t.Errorf("got %+v, want %s %s after %d attempts", result, c.outcome, c.reason, c.attempts)
			}
			if (err != nil) != c.wantErr {
				t.Errorf("error is %v", err)
			}
		})
	}
}

// sendRequest sends a request of the given kind to the tier.
func sendRequest(ctx context.Context, client *dcclient.Client, kind string) (dcclient.Result, error) {
	switch kind {
	case "order":
		answer, err := client.Order(ctx, dcclient.Order{Group: "mill", Service: "mill", Key: "k1"})
		return answer.Result, err
	case "lookup":
		answer, err := client.OrderOutcome(ctx, "mill", "k1")
		return answer.Result, err
	}
	answer, err := client.Query(ctx, dcclient.Query{Group: "mill"})
	return answer.Result, err
}

// TestAddressLifetime guards against addresses that are used after their
// lifetime or looked up too often, and against sending all requests to one
// address.
func TestAddressLifetime(t *testing.T) {
	var first, second atomic.Int32
	countingHandler := func(count *atomic.Int32) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			ran.ServeHTTP(w, r)
		}
	}
	tier := newFakeTier(t, 5*time.Second, countingHandler(&first), countingHandler(&second))
	client := tier.client(t)
	clock := clockwork.NewFakeClock()
	client.Clock = clock
	query := func() {
		t.Helper()
		ctx, cancel := clockwork.WithTimeout(t.Context(), clock, time.Hour)
		defer cancel()
		if _, err := client.Query(ctx, dcclient.Query{Group: "mill"}); err != nil {
			t.Fatal(err)
		}
	}
	for range 10 {
		query()
	}
	if lookups := tier.lookups.Load(); lookups != 1 || first.Load() != 5 || second.Load() != 5 {
		t.Errorf("asked %d times, %d and %d queries, want 1, 5 and 5", lookups, first.Load(), second.Load())
	}
	clock.Advance(5 * time.Second)
	query()
	if lookups := tier.lookups.Load(); lookups != 2 {
		t.Errorf("asked %d times, want 2", lookups)
	}
}

// TestRequest guards against a request without deadline, department, credential
// or kebab-case fields, and against an answer that lacks data of the response.
func TestRequest(t *testing.T) {
	host := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		department, credential, _ := r.BasicAuth()
		remaining, _ := strconv.Atoi(r.Header.Get("Request-Timeout-Ms"))
		var body map[string]any
		_ = json.NewDecoder(r.Body).Decode(&body)
		if department != "bakery" || credential != "secret" || remaining < 1 || remaining > 3600000 || body["service-group"] != "mill" {
			t.Errorf("request has %s:%s, %d ms and %v", department, credential, remaining, body)
		}
		_, _ = w.Write([]byte(`{"result":{"outcome":"ran","reason":"ok"},"index-version":"v1","elapsed-us":1500,
			"coverage":[{"service":"mill","map-epoch":1,"covered":["a"],"missing":[{"shard":"b","reason":"no-server"}]}],
			"shards":[{"service":"mill","shard":"a","body":"ZmxvdXI="}]}`))
	})
	client := newFakeTier(t, time.Hour, host).client(t)
	answer, err := client.Query(contextWithDeadline(t), dcclient.Query{Group: "mill"})
	if err != nil {
		t.Fatal(err)
	}
	want := dcclient.QueryAnswer{
		Result:       dcclient.Result{Outcome: dcclient.Ran, Reason: "ok", Attempts: 1},
		IndexVersion: "v1",
		Coverage: []dcclient.Coverage{{Service: "mill", MapEpoch: 1, Covered: []string{"a"},
			Missing: []dcclient.MissingShard{{Shard: "b", Reason: "no-server"}}}},
		Shards:  []dcclient.Shard{{Service: "mill", Shard: "a", Body: []byte("flour")}},
		Elapsed: 1500 * time.Microsecond,
	}
	if diff := cmp.Diff(want, answer); diff != "" {
		t.Error(diff)
	}
	if answer.Complete() {
		t.Error("answer with a missing shard is called complete")
	}
}

// TestNoDeadline guards against a request without a deadline, which could wait
// forever.
func TestNoDeadline(t *testing.T) {
	answer, err := newFakeTier(t, time.Hour, ran).client(t).Query(context.Background(), dcclient.Query{Group: "mill"})
	if err == nil || answer.Result.Outcome != dcclient.NotRun || !strings.Contains(err.Error(), "deadline") {
		t.Errorf("result %+v, error %v", answer.Result, err)
	}
}

// TestNoEntry guards against the outcome ran or unknown when no entry responds,
// so that nothing was sent.
func TestNoEntry(t *testing.T) {
	client := dcclient.New("bakery", "secret", listen(t, refuseConnection))
	defer client.Close()
	answer, err := client.Order(contextWithDeadline(t), dcclient.Order{Group: "mill", Key: "k1"})
	if err == nil || answer.Result.Outcome != dcclient.NotRun {
		t.Errorf("result %+v, error %v", answer.Result, err)
	}
}
