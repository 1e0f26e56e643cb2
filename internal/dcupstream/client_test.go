package dcupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/dandelioncart/dandelioncart/internal/dcconnpool"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer serves a handler until the test ends and returns its address.
func startServer(t *testing.T, handler http.HandlerFunc) dcid.ServerAddr {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return dcid.ServerAddr(server.Listener.Addr().String())
}

// newClient returns a client with a fake clock, 4 connections for each server
// and a body limit of 8 bytes.
func newClient(t *testing.T) *Client {
	t.Helper()
	client := &Client{Pool: dcconnpool.Pool{Clock: clockwork.NewFakeClock(), DefaultLimit: 4}, MaxBodyBytes: 8}
	t.Cleanup(client.Close)
	return client
}

// newSearch returns a search with a label and a remaining time of 250 ms.
func newSearch(client *Client, server dcid.ServerAddr) Search {
	label := Label{Request: "r1", Service: "s", Shard: "shard 1/2", Version: "v7", Epoch: 3, Attempt: 2}
	return Search{Server: server, Label: label, Schema: "1", Deadline: client.Clock.Now().Add(250 * time.Millisecond), Body: []byte("q")}
}

// echoLabels repeats the labels of a request in the response headers.
func echoLabels(writer http.ResponseWriter, request *http.Request) {
	for _, name := range []string{HeaderRequestID, HeaderIndexVersion, HeaderMapEpoch, HeaderAttempt} {
		writer.Header().Set(name, request.Header.Get(name))
	}
	writer.Header().Set(HeaderShard, request.PathValue("shard"))
}

// respondAndClose writes raw bytes to the connection and closes it.
func respondAndClose(writer http.ResponseWriter, response string) {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err == nil {
		_, _ = io.WriteString(conn, response)
		_ = conn.Close()
	}
}

// TestSearchClassification guards against a wrong outcome: a request that
// crashed a server, or one that gets the late copy of a refusal, would be sent again
// if it were reported as not-run, and a response with a wrong label would be merged
// if it were reported as ran.
func TestSearchClassification(t *testing.T) {
	const truncated = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"
	cases := []struct {
		name    string
		handler http.HandlerFunc
		outcome dcreason.Outcome
		code    dcreason.Code
		body    string
	}{
		{"answer", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "hit") }, dcreason.Ran, dcreason.OK, "hit"},
		{"other version", func(w http.ResponseWriter, r *http.Request) { w.Header().Set(HeaderIndexVersion, "v8") }, dcreason.Unknown, dcreason.UpstreamMalformed, ""},
		{"other request", func(w http.ResponseWriter, r *http.Request) { w.Header().Set(HeaderRequestID, "r2") }, dcreason.Unknown, dcreason.UpstreamMalformed, ""},
		{"no attempt", func(w http.ResponseWriter, r *http.Request) { w.Header().Del(HeaderAttempt) }, dcreason.Unknown, dcreason.UpstreamMalformed, ""},
		{"body too long", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "123456789") }, dcreason.Unknown, dcreason.UpstreamMalformed, ""},
		{"shed", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderNotStarted, "true")
			w.WriteHeader(503)
		}, dcreason.NotRun, dcreason.UpstreamShed, ""},
		{"draining", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderNotStarted, "true")
			w.Header().Set(HeaderServerState, "draining")
			w.WriteHeader(503)
		}, dcreason.NotRun, dcreason.UpstreamDraining, ""},
		{"refusal of another request", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderRequestID, "r2")
			w.Header().Set(HeaderNotStarted, "true")
			w.WriteHeader(503)
		}, dcreason.Unknown, dcreason.UpstreamMalformed, ""},
		{"refusal of an earlier attempt", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderAttempt, "1")
			w.Header().Set(HeaderNotStarted, "true")
			w.WriteHeader(503)
		}, dcreason.Unknown, dcreason.UpstreamMalformed, ""},
		{"503 without proof", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) }, dcreason.Unknown, dcreason.UpstreamError, ""},
		{"conflict", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(409) }, dcreason.Unknown, dcreason.VersionGone, ""},
		{"gone", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(410) }, dcreason.Unknown, dcreason.ShardGone, ""},
		{"error", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(500) }, dcreason.Unknown, dcreason.UpstreamError, ""},
		{"crash", func(w http.ResponseWriter, r *http.Request) { respondAndClose(w, "") }, dcreason.Unknown, dcreason.UpstreamCrashed, ""},
		{"crash during the response", func(w http.ResponseWriter, r *http.Request) { respondAndClose(w, truncated) }, dcreason.Unknown, dcreason.UpstreamCrashed, ""},
		{"not HTTP", func(w http.ResponseWriter, r *http.Request) { respondAndClose(w, "garbage\r\n\r\n") }, dcreason.Unknown, dcreason.UpstreamMalformed, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.HandleFunc("POST /v1/shards/{shard}/search", func(w http.ResponseWriter, r *http.Request) {
				if got := r.Header.Get(HeaderDeadline); got != "250" {
					t.Errorf("%s: %q, want the remaining time, 250", HeaderDeadline, got)
				}
				echoLabels(w, r)
				c.handler(w, r)
			})
			client := newClient(t)
			got := client.Search(t.Context(), newSearch(client, startServer(t, mux.ServeHTTP)))
			if got.Outcome != c.outcome || got.Code != c.code || string(got.Body) != c.body || !got.NewConnection {
				t.Errorf("got %s %s %q, new connection %t, want %s %s %q, new connection true", got.Outcome, got.Code, got.Body, got.NewConnection, c.outcome, c.code, c.body)
			}
		})
	}
}

// TestUnsent guards against an unsent request that is not reported as not-run,
// and against one that keeps a connection counted as open.
func TestUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := dcid.ServerAddr(listener.Addr().String())
	_ = listener.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name  string
		ctx   context.Context
		limit int
		late  time.Duration
		code  dcreason.Code
	}{
		{"refused", t.Context(), 1, 0, dcreason.ConnectionRefused},
		{"cancelled while waiting for a connection", cancelled, 0, 0, dcreason.Cancelled},
		{"late", t.Context(), 1, time.Second, dcreason.DeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newClient(t)
			client.SetLimit(closed, c.limit)
			order := Order{Server: closed, Request: "r1", Key: "k", Deadline: client.Clock.Now().Add(time.Millisecond - c.late)}
			if got := client.Order(c.ctx, order); got.Outcome != dcreason.NotRun || got.Code != c.code {
				t.Errorf("got %s %s, want not-run %s", got.Outcome, got.Code, c.code)
			}
			if got := client.ConnectionStats(closed); got.Open != 0 {
				t.Errorf("%d connections counted as open, want 0", got.Open)
			}
		})
	}
}

// TestOrderIsNotResent guards against an order that net/http sends twice. If a
// reused connection fails, net/http repeats a request that has an
// Idempotency-Key header, provided that its body is empty or can be rewound.
func TestOrderIsNotResent(t *testing.T) {
	for _, body := range []string{"", "flour"} {
		t.Run("body "+body, func(t *testing.T) {
			received := make(chan string, 8)
			addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				received <- r.Header.Get(HeaderIdempotencyKey)
				if r.Header.Get(HeaderIdempotencyKey) == "second" {
					respondAndClose(w, "")
					return
				}
				echoLabels(w, r)
			})
			client := newClient(t)
			order := Order{Server: addr, Request: "r1", Key: "first", Attempt: 1, Body: []byte(body), Deadline: client.Clock.Now().Add(time.Second)}
			if got := client.Order(t.Context(), order); got.Outcome != dcreason.Ran {
				t.Fatalf("first order: %s %s", got.Outcome, got.Code)
			}
			order.Key = "second"
			got := client.Order(t.Context(), order)
			if got.Outcome != dcreason.Unknown || got.Code != dcreason.UpstreamCrashed || got.NewConnection {
				t.Errorf("got %s %s, new connection %t, want unknown upstream-crashed on the reused connection", got.Outcome, got.Code, got.NewConnection)
			}
			if len(received) != 2 {
				t.Errorf("server received %d orders, want 2", len(received))
			}
		})
	}
}

// TestConnectionLimit guards against more connections than this host's share:
// with a limit of 2, a third request waits until the limit is raised. A lower
// limit closes idle connections.
func TestConnectionLimit(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-leave
		echoLabels(w, r)
	})
	client := newClient(t)
	client.SetLimit(addr, 2)
	done := make(chan Response, 3)
	for range 3 {
		go func() {
			order := Order{Server: addr, Request: "r1", Key: "k", Attempt: 1, Deadline: client.Clock.Now().Add(time.Second)}
			done <- client.Order(context.Background(), order)
		}()
	}
	<-entered
	<-entered
	want := dcconnpool.ConnectionStats{Open: 2, Limit: 2, Dials: 2}
	if diff := cmp.Diff(want, client.ConnectionStats(addr)); diff != "" {
		t.Error(diff)
	}
	client.SetLimit(addr, 3)
	<-entered
	close(leave)
	for range 3 {
		if got := <-done; got.Outcome != dcreason.Ran {
			t.Errorf("got %s %s, want ran", got.Outcome, got.Code)
		}
	}
	client.SetLimit(addr, 1)
	want = dcconnpool.ConnectionStats{Open: 1, Limit: 1, Dials: 3}
	if diff := cmp.Diff(want, client.ConnectionStats(addr)); diff != "" {
		t.Error(diff)
	}
}

// TestCancelReachesServer guards against a cancelled request that keeps running
// on the server, such as the slower one of a hedged search.
func TestCancelReachesServer(t *testing.T) {
	entered, gone := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(entered)
		<-r.Context().Done()
		close(gone)
	})
	client := newClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-entered; cancel() }()
	got := client.Search(ctx, newSearch(client, addr))
	if got.Outcome != dcreason.Unknown || got.Code != dcreason.Cancelled {
		t.Errorf("got %s %s, want unknown cancelled", got.Outcome, got.Code)
	}
	<-gone
}

// TestQueueTime guards against a queue time that is read from another metric
// or from a malformed header.
func TestQueueTime(t *testing.T) {
	cases := map[string]time.Duration{
		"queue;dur=1.5, run;dur=2":                  1500 * time.Microsecond,
		`run;dur=2, queue;desc="waiting";dur="0.5"`: 500 * time.Microsecond,
		"run;dur=2":      -1,
		"queue;dur=-2":   -1,
		"queue;dur=soon": -1,
		"queue":          -1,
		"":               -1,
	}
	for header, want := range cases {
		if got := queueTime(http.Header{HeaderServerTiming: {header}}); got != want {
			t.Errorf("%q: %s, want %s", header, got, want)
		}
	}
}

// TestStatus guards against a status that is not decoded, or that is rejected
// because of a field that this version does not know.
func TestStatus(t *testing.T) {
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"state":"serving","maps":[{"epoch":2,"total-shards":1,"shards":[{"shard":"a","versions":["v1"]}]}],"new":1}`)
	})
	status, err := newClient(t).Status(t.Context(), addr)
	if err != nil || status.GetState() != "serving" || status.GetMaps()[0].GetShards()[0].GetVersions()[0] != "v1" {
		t.Errorf("got %v, %v", status, err)
	}
}

// TestCrashWithoutResponse guards against a wrong outcome when the server resets
// the connection after it has read the request and before the status line.
func TestCrashWithoutResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	client := newClient(t)
	got := client.Search(t.Context(), newSearch(client, dcid.ServerAddr(listener.Addr().String())))
	if got.Outcome != dcreason.Unknown || got.Code != dcreason.UpstreamCrashed {
		t.Errorf("got %s %s, want unknown upstream-crashed", got.Outcome, got.Code)
	}
	if strings.Contains(string(got.Body), "q") {
		t.Error("response has the body of the request, though the server sent none")
	}
}
