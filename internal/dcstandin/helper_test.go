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

// fixture is a running fleet with one service of three servers, on a fake
// clock.
type fixture struct {
	*testing.T
	fleet  *dcstandin.Fleet
	clock  *clockwork.FakeClock
	client *http.Client
}

// newFixture starts a fleet. change may alter the group of the service; nil
// leaves it as it is.
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

// first returns the server of failure domain a, which holds shard-0.
func (fx *fixture) first() *dcstandin.UpstreamServer {
	return fx.fleet.Select(dcstandin.Selector{})[0]
}

// call is one POST request to a server with the usual labels.
type call struct {
	path    string
	body    string
	headers map[string]string
}

// answer is the response to a call. Status 0 means that no response came.
type answer struct {
	status int
	header http.Header
	body   string
}

// searchCall returns a search of shard-0. headers are pairs of a name and a
// value that replace the usual labels.
func searchCall(headers ...string) call {
	return newCall("/v1/shards/shard-0/search", headers)
}

// orderCall returns an order. headers are as for searchCall.
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

// send sends a call to the first server and waits for its response.
func (fx *fixture) send(ctx context.Context, c call) answer {
	fx.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fx.first().Server.Addr()+c.path, strings.NewReader(c.body))
	if err != nil {
		fx.Fatal(err)
	}
	// Without GetBody the transport does not resend requests with an
	// Idempotency-Key header after a lost connection.
	request.GetBody = nil
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	response, err := fx.client.Do(request)
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
func (fx *fixture) start(ctx context.Context, c call) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- fx.send(ctx, c) }()
	return done
}

// waitUntil waits for a state of the fleet. Only the time limit of go test ends
// a wait that does not succeed.
func (fx *fixture) waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// running waits until the first server runs and queues the given numbers of
// requests, and until their timers are set. Every request has one for its
// deadline, and a running one has another for its service time.
func (fx *fixture) running(running, waiting int) {
	fx.Helper()
	fx.waitUntil(func() bool {
		status := fx.first().Status()
		return int(status.GetRunning()) == running && int(status.GetWaiting()) == waiting
	})
	if err := fx.clock.BlockUntilContext(fx.Context(), 2*running+waiting); err != nil {
		fx.Fatal(err)
	}
}

// get sends a GET request and waits for its response.
func (fx *fixture) get(url string) answer {
	fx.Helper()
	response, err := fx.client.Get(url)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(text)}
}

// expectAnswer checks the status of a response, and its headers against pairs
// of a name and a value.
func (fx *fixture) expectAnswer(got answer, status int, headers ...string) {
	fx.Helper()
	if got.status != status {
		fx.Errorf("status %d, want %d: %s", got.status, status, got.body)
	}
	for i := 0; i < len(headers); i += 2 {
		if value := got.header.Get(headers[i]); value != headers[i+1] {
			fx.Errorf("%s is %q, want %q", headers[i], value, headers[i+1])
		}
	}
}

// expectRuns checks how many runs of the order of orderCall the RunLog shows.
func expectRuns(fx *fixture, count int) {
	fx.Helper()
	id := dcstandin.OrderID{Department: "bakery", Key: "k1"}
	if got := len(fx.fleet.RunLog.Runs(id)); got != count {
		fx.Errorf("order ran %d times, want %d", got, count)
	}
}

// withBaseTime returns a change for newFixture that sets the time that a
// request runs.
func withBaseTime(duration time.Duration) func(*standinv1.Group) {
	return func(g *standinv1.Group) { g.BaseTime = durationpb.New(duration) }
}

// refusalHeaders returns the headers of the response to a request that did not
// start.
func refusalHeaders(state string) []string {
	return []string{"Not-Started", "true", "Server-State", state}
}

// timingHeader returns the value of the Server-Timing header.
func timingHeader(queue, run time.Duration) string {
	return fmt.Sprintf("queue;dur=%d.000, run;dur=%d.000", queue.Milliseconds(), run.Milliseconds())
}
