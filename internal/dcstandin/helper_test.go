package dcstandin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// fixture is a running fleet with one service of three servers.
type fixture struct {
	*testing.T
	fleet  *dcstandin.Fleet
	clock  *clockwork.FakeClock
	client *http.Client
}

func newFixture(t *testing.T, change func(*standinv1.Group)) *fixture {
	t.Helper()
	group := &standinv1.Group{
		Name: "mill", Services: 1, Servers: 3, Slots: 1, QueueLimit: 1, Versions: []string{"v1"},
	}
	if change != nil {
		change(group)
	}
	clock := clockwork.NewFakeClock()
	fleet, err := dcstandin.NewFleet(&standinv1.Profile{
		FailureDomains: []string{"a", "b", "c"},
		Groups:         []*standinv1.Group{group},
	}, clock)
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.Start(); err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	t.Cleanup(fleet.Close)
	t.Cleanup(transport.CloseIdleConnections)
	return &fixture{T: t, fleet: fleet, clock: clock, client: &http.Client{Transport: transport}}
}

// first returns the server that holds shard-0.
func (b *fixture) first() *dcstandin.UpstreamServer {
	return b.fleet.Select(dcstandin.Selector{})[0]
}

// call is one request to a server with the usual labels.
type call struct {
	path    string
	body    string
	headers map[string]string
}

// answer is what came back; status 0 means that no answer came.
type answer struct {
	status int
	header http.Header
	body   string
}

func searchCall(headers ...string) call {
	return newCall("/v1/shards/shard-0/search", headers)
}

func orderCall(headers ...string) call {
	return newCall("/v1/orders", headers)
}

func newCall(path string, headers []string) call {
	c := call{path: path, body: "flour", headers: map[string]string{
		"Request-Id": "r1", "Index-Version": "v1", "Map-Epoch": "1", "Attempt": "2",
		"Deadline-Ms": "1000", "Idempotency-Key": "k1", "Department": "bakery",
	}}
	for i := 0; i < len(headers); i += 2 {
		c.headers[headers[i]] = headers[i+1]
	}
	return c
}

func (b *fixture) send(ctx context.Context, c call) answer {
	b.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.first().Server.Addr()+c.path, strings.NewReader(c.body))
	if err != nil {
		b.Fatal(err)
	}
	// Without GetBody the transport does not resend requests with an
	// Idempotency-Key header after a lost connection.
	request.GetBody = nil
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, response.Header, string(text)}
}

// start sends a call in the background.
func (b *fixture) start(ctx context.Context, c call) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- b.send(ctx, c) }()
	return done
}

// waitUntil waits for a state of the fleet; the time limit of go test ends it.
func (b *fixture) waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// running waits until the first server runs and queues so many requests, and
// until their timers are set: each has one for its deadline, and each running
// one another for its service time.
func (b *fixture) running(running, waiting int) {
	b.Helper()
	b.waitUntil(func() bool {
		status := b.first().Status()
		return int(status.GetRunning()) == running && int(status.GetWaiting()) == waiting
	})
	if err := b.clock.BlockUntilContext(b.Context(), 2*running+waiting); err != nil {
		b.Fatal(err)
	}
}

func (b *fixture) get(url string) answer {
	b.Helper()
	response, err := b.client.Get(url)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(text)}
}

func (b *fixture) expectAnswer(got answer, status int, headers ...string) {
	b.Helper()
	if got.status != status {
		b.Errorf("status %d, want %d: %s", got.status, status, got.body)
	}
	for i := 0; i < len(headers); i += 2 {
		if value := got.header.Get(headers[i]); value != headers[i+1] {
			b.Errorf("%s is %q, want %q", headers[i], value, headers[i+1])
		}
	}
}

func expectRuns(b *fixture, count int) {
	b.Helper()
	key := dcstandin.OrderID{Department: "bakery", Key: "k1"}
	if got := len(b.fleet.RunLog.Runs(key)); got != count {
		b.Errorf("order ran %d times, want %d", got, count)
	}
}

func withBaseTime(duration time.Duration) func(*standinv1.Group) {
	return func(g *standinv1.Group) { g.BaseTime = durationpb.New(duration) }
}

func refusalHeaders(state string) []string {
	return []string{"Not-Started", "true", "Server-State", state}
}

func timingHeader(queue, run time.Duration) string {
	return fmt.Sprintf("queue;dur=%d.000, run;dur=%d.000", queue.Milliseconds(), run.Milliseconds())
}
