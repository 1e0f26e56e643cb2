package dcstore_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// refusedURL returns a URL whose port refuses connections.
func refusedURL(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return "http://" + listener.Addr().String()
}

// startServer serves a handler until the test ends and returns its URL.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// respondWith returns a handler that responds with a status and a body.
func respondWith(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

// abortResponse closes the connection without a response.
func abortResponse(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// truncateResponse sends part of a response and then closes the connection.
func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"succeeded":true`)
	panic(http.ErrAbortHandler)
}

// TestClassification guards against a write that may have happened but is
// reported as not done, which would let an order run twice, and against the
// reverse, which would needlessly leave the outcome of orders unknown.
func TestClassification(t *testing.T) {
	unavailable, unknown := dcstore.ErrUnavailable, dcstore.ErrUnknownOutcome
	cases := []struct {
		name        string
		endpoint    func(*testing.T) string
		read, write error
	}{
		{"refused", refusedURL, unavailable, unavailable},
		{"closed after write", func(t *testing.T) string { return startServer(t, abortResponse) }, unavailable, unknown},
		{"truncated response", func(t *testing.T) string { return startServer(t, truncateResponse) }, unavailable, unknown},
		{"not JSON", func(t *testing.T) string { return startServer(t, respondWith(200, "<html>")) }, unavailable, unknown},
		{"server error", func(t *testing.T) string { return startServer(t, respondWith(503, `{"code":14}`)) }, unavailable, unknown},
		{"redirect", func(t *testing.T) string { return startServer(t, respondWith(307, "")) }, unavailable, unknown},
		{"too many requests", func(t *testing.T) string { return startServer(t, respondWith(429, `{"code":8}`)) }, unavailable, unavailable},
		{"lease not found", func(t *testing.T) string { return startServer(t, respondWith(404, `{"code":5}`)) }, dcstore.ErrLeaseExpired, dcstore.ErrLeaseExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			client := dcstore.NewClient([]string{c.endpoint(t)}, time.Minute, "")
			defer client.Close()
			_, err := client.Get(ctx, "a")
			want(t, err, c.read)
			_, err = client.Wait(ctx, "a", 0)
			want(t, err, c.read)
			_, err = client.CompareAndSwap(ctx, dcstore.Swap{Key: "a"})
			want(t, err, c.write)
			want(t, client.Delete(ctx, "a", 1), c.write)
			_, err = client.GrantLease(ctx, time.Second)
			want(t, err, c.write)
			want(t, client.KeepAlive(ctx, 1), c.write)
			want(t, client.Revoke(ctx, 1), c.write)
		})
	}
}

// TestMalformedCall guards against a call that the service rejects being
// reported as an outage or as an unknown outcome.
func TestMalformedCall(t *testing.T) {
	client := dcstore.NewClient([]string{startServer(t, respondWith(400, `{"code":3,"message":"bad key"}`))}, time.Minute, "")
	defer client.Close()
	_, err := client.CompareAndSwap(context.Background(), dcstore.Swap{Key: "a"})
	if err == nil || errors.Is(err, dcstore.ErrUnavailable) || errors.Is(err, dcstore.ErrUnknownOutcome) {
		t.Errorf("error is %v, want the error of the service, which is neither ErrUnavailable nor ErrUnknownOutcome", err)
	}
}

// TestNextEndpoint guards against a write that is sent to a second endpoint
// although the first may have applied it. The call after a failed one uses the
// second endpoint.
func TestNextEndpoint(t *testing.T) {
	var calls atomic.Int32
	counted := func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		respondWith(200, `{"header":{"revision":"5"},"succeeded":true}`)(w, nil)
	}
	cases := []struct {
		name  string
		first func(*testing.T) string
		calls int32
		err   error
	}{
		{"refused", refusedURL, 1, nil},
		{"closed after write", func(t *testing.T) string { return startServer(t, abortResponse) }, 0, dcstore.ErrUnknownOutcome},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls.Store(0)
			client := dcstore.NewClient([]string{c.first(t), startServer(t, counted)}, time.Minute, "")
			defer client.Close()
			_, err := client.CompareAndSwap(context.Background(), dcstore.Swap{Key: "a"})
			want(t, err, c.err)
			if got := calls.Load(); got != c.calls {
				t.Errorf("second endpoint got %d calls, want %d", got, c.calls)
			}
			_, err = client.CompareAndSwap(context.Background(), dcstore.Swap{Key: "a"})
			want(t, err, nil)
		})
	}
}

// TestTimeout guards against a call that does not end at its timeout, and
// against a Wait that does.
func TestTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	arrived := make(chan struct{}, 2)
	release := make(chan struct{})
	url := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-release
	})
	defer close(release)
	client := dcstore.NewClient([]string{url}, time.Minute, "")
	client.Clock = clock
	waiting, stopWaiting := context.WithCancel(context.Background())
	waited := make(chan error, 1)
	go func() {
		_, err := client.Wait(waiting, "a", 0)
		waited <- err
	}()
	<-arrived
	swapped := make(chan error, 1)
	go func() {
		_, err := client.CompareAndSwap(context.Background(), dcstore.Swap{Key: "a"})
		swapped <- err
	}()
	<-arrived
	clock.Advance(time.Minute)
	want(t, <-swapped, dcstore.ErrUnknownOutcome)
	select {
	case err := <-waited:
		t.Errorf("Wait ended at the timeout of the other calls: %v", err)
	default:
	}
	stopWaiting()
	want(t, <-waited, dcstore.ErrUnavailable)
}

// TestLostReplyOverGateway guards against a stand-in whose lost reply differs
// from that of the real service: the write takes effect, and the client reports
// an unknown outcome.
func TestLostReplyOverGateway(t *testing.T) {
	fake := dcstore.NewFake(clockwork.NewFakeClock())
	server := httptest.NewServer(dcstandin.NewGateway(fake))
	defer server.Close()
	client := dcstore.NewClient([]string{server.URL}, time.Minute, "")
	defer client.Close()
	fake.SetFaults(func(f *dcstore.FakeFaults) { f.LoseReplies = 1 })
	_, err := client.CompareAndSwap(context.Background(), dcstore.Swap{Key: "a", Value: []byte("1")})
	want(t, err, dcstore.ErrUnknownOutcome)
	record, err := client.Get(context.Background(), "a")
	want(t, err, nil)
	if string(record.Value) != "1" {
		t.Errorf("value is %q, want that of the write whose reply was lost", record.Value)
	}
}
