package dchost

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/crypto/argon2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcconnpool"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcpeer"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testCredential = "a credential for tests"
	testGroup      = "search"
	testOrders     = "mill"
	testService    = "mill-01"
	testSchema     = "2026-06"
	testShards     = 6
	// clockStep is the step in which the fake time advances. maxSteps is the number
	// of steps after which waitFor fails.
	clockStep = 25 * time.Millisecond
	maxSteps  = 4000
	// minSettle gives the loops time to notice their timers. maxSettle limits the
	// wait for their work to end, unless a tier sets its own limit.
	minSettle = time.Millisecond
	maxSettle = 10 * time.Millisecond
)

// tier is a set of hosts in this process that use a fake clock and stand-in
// servers on loopback. The fake time advances only in waitFor and waitForEnd.
type tier struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	fleet   *dcstandin.Fleet
	network *dcpeer.Network
	hosts   []*Host
	// loops holds the clock of each host, which observes its background loops.
	loops  []*hostClock
	stops  []context.CancelFunc
	ended  []chan error
	client *http.Client
	logs   *logBuffer
	// blockedTasks returns the number of background tasks that wait for the fake
	// time; nil if unknown.
	blockedTasks func() int64
	// maxSettle limits the wait for background work before the fake time advances.
	maxSettle time.Duration
	// configureHost may replace the dependencies of a host before it runs; may be
	// nil.
	configureHost func(r *tier, number int, host *Host)
}

// logBuffer collects the logs of all hosts.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (b *logBuffer) logger() *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(b), zap.DebugLevel))
}

// newTier starts stand-in servers and the given number of hosts, without a
// configuration.
func newTier(t *testing.T, hosts int) *tier {
	t.Helper()
	return newTierWith(t, hosts, nil)
}

// newTierWith is like newTier and calls configureHost for each host before it
// runs.
func newTierWith(t *testing.T, hosts int, configureHost func(r *tier, number int, host *Host)) *tier {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC))
	fleet, err := dcstandin.NewFleet(&standinv1.Profile{
		FailureDomains: []string{"a", "b", "c"},
		Groups: []*standinv1.Group{
			{Name: testGroup, Services: 2, Servers: 3, Slots: 4, QueueLimit: 8, Versions: []string{"v1", "v2"}},
			{Name: testOrders, Services: 2, Servers: 3, Slots: 4, QueueLimit: 8, Versions: []string{"v1"}},
		},
	}, clock)
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.Start(); err != nil {
		t.Fatal(err)
	}
	tier := &tier{t: t, clock: clock, fleet: fleet, network: dcpeer.NewNetwork(), logs: &logBuffer{}, maxSettle: maxSettle, client: &http.Client{Transport: &http.Transport{}}, configureHost: configureHost}
	for i := range hosts {
		tier.startHost(i)
	}
	t.Cleanup(tier.close)
	return tier
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (r *tier) startHost(number int) {
	host := New()
	host.CallerListener, host.PeerListener = listenLoopback(r.t), listenLoopback(r.t)
	host.Settings = &settingsv1.HostSettings{
		HostId:                    fmt.Sprintf("host-%d", number),
		FailureDomain:             string(rune('a' + number%3)),
		StopTimeout:               durationpb.New(30 * time.Second),
		AddressLifetime:           durationpb.New(5 * time.Second),
		HeartbeatInterval:         durationpb.New(time.Second),
		StatusInterval:            durationpb.New(time.Second),
		BootstrapCredentialDigest: testDigest(),
	}
	if len(r.hosts) > 0 {
		host.Settings.SeedPeers = []string{r.hosts[0].PeerListener.Addr().String()}
	}
	upstream := &dcupstream.Client{Pool: dcconnpool.Pool{Clock: r.clock}}
	loops := newHostClock(r.clock)
	r.loops = append(r.loops, loops)
	host.Store, host.Upstream, host.Clock, host.Log = r.fleet.Platform.Store, upstream, loops, r.logs.logger()
	host.Random, host.Seed = rand.New(rand.NewSource(int64(number))), uint64(number)
	if r.configureHost != nil {
		r.configureHost(r, number, host)
	}
	address := host.PeerListener.Addr().String()
	host.Peer = r.network.From(address)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		err := host.Run(ctx)
		upstream.Close()
		ended <- err
	}()
	<-host.Prepared()
	r.network.Attach(address, peerService{host})
	r.hosts, r.stops, r.ended = append(r.hosts, host), append(r.stops, stop), append(r.ended, ended)
}

// close stops all hosts at once and waits for their end.
func (r *tier) close() {
	// A loop that has ended cannot be distinguished from one that is still awake,
	// so the wait must be short.
	r.maxSettle = maxSettle
	for i, host := range r.hosts {
		host.StopNow()
		r.stops[i]()
	}
	for _, ended := range r.ended {
		r.waitForEnd(ended)
	}
	r.client.CloseIdleConnections()
	r.fleet.Close()
}

// waitFor advances the fake time until a condition is met. Before each step it
// waits for the background work of the hosts, unless that work itself waits for
// the fake time.
func (r *tier) waitFor(what string, condition func() bool) {
	r.t.Helper()
	for range maxSteps {
		r.settle()
		if condition() {
			return
		}
		r.clock.Advance(clockStep)
	}
	r.t.Fatalf("%s did not happen within %s", what, maxSteps*clockStep)
}

// settle lets the hosts work before the fake time advances. The wait ends after
// maxSettle, since some work itself waits for the fake time. Without the lower
// bound, all steps of a waitFor passed within 50 ms on a busy machine, before
// the loops of the hosts had run once.
func (r *tier) settle() {
	start := time.Now()
	for elapsed := time.Duration(0); elapsed < r.maxSettle; elapsed = time.Since(start) {
		if elapsed >= minSettle && !r.hasPendingWork() {
			return
		}
		runtime.Gosched()
	}
}

// hasPendingWork reports whether a loop has not caught up with the clock, or a
// background task is running that is not known to wait for the fake time.
func (r *tier) hasPendingWork() bool {
	var running int64
	for i, host := range r.hosts {
		if r.loops[i].busy() {
			return true
		}
		running += host.tasks.running.Load() - r.loops[i].delayed()
	}
	if r.blockedTasks != nil {
		running -= r.blockedTasks()
	}
	return running > 0
}

// waitForEnd advances the fake time until a host has ended.
func (r *tier) waitForEnd(ended chan error) {
	for {
		select {
		case err := <-ended:
			if err != nil {
				r.t.Error(err)
			}
			return
		default:
			r.settle()
			r.clock.Advance(clockStep)
		}
	}
}

// testDigest returns an argon2id digest of testCredential with the cheapest
// parameters.
func testDigest() string {
	salt := make([]byte, 8)
	hash := argon2.IDKey([]byte(testCredential), salt, 1, 8, 1, 16)
	encode := base64.RawStdEncoding.EncodeToString
	return fmt.Sprintf("$argon2id$v=19$m=8,t=1,p=1$%s$%s", encode(salt), encode(hash))
}

func (r *tier) configuration() *settingsv1.Configuration {
	department := func(name string, administrator bool) *settingsv1.Department {
		return &settingsv1.Department{Name: name, CredentialDigests: []string{testDigest()}, Administrator: administrator}
	}
	configuration := &settingsv1.Configuration{
		Deployment:       "test",
		FailureDomains:   []string{"a", "b", "c"},
		EntryHosts:       int32(len(r.hosts)),
		LedgerPartitions: 4,
		Departments:      []*settingsv1.Department{department("operations", true), department("kitchen", false), department("accounts", false)},
	}
	for _, ready := range r.fleet.Ready().GetGroups() {
		group := &settingsv1.ServiceGroup{
			Name: ready.GetName(), Owner: "kitchen", Kind: "query", Coverage: "complete",
			Shares:         []*settingsv1.DepartmentShare{{Department: "kitchen", Weight: 1}},
			SchemaVersions: []string{testSchema}, Slots: 4, Connections: 40, MaxBodyBytes: 1024, MaxQueue: 64,
			MaxDeadline: durationpb.New(10 * time.Second), Services: ready.GetServices(), HedgeQuantile: 0.95, ExtraLoad: 0.05,
			Quarantine: &settingsv1.Quarantine{Canary: true, Duration: durationpb.New(time.Minute)},
			Objectives: []*settingsv1.Objective{{Kind: "coverage", Target: 0.99}},
		}
		if ready.GetName() == testOrders {
			group.Kind, group.KeyRetention, group.Coverage, group.HedgeQuantile = "order", durationpb.New(24*time.Hour), "", 0
			group.Objectives = []*settingsv1.Objective{{Kind: "latency", Target: 0.99, Threshold: durationpb.New(time.Second)}}
		}
		configuration.ServiceGroups = append(configuration.ServiceGroups, group)
	}
	return configuration
}

// start applies the configuration on the first host and waits until all hosts
// are ready.
func (r *tier) start() {
	r.t.Helper()
	document, err := protojson.Marshal(r.configuration())
	if err != nil {
		r.t.Fatal(err)
	}
	answer := &callerv1.ApplyResponse{}
	r.waitFor("the first apply", func() bool {
		return r.call(0, request{department: "operations", path: "/v1/config/apply", message: &callerv1.ApplyRequest{OperationId: "first", Document: string(document)}}, answer) == http.StatusOK
	})
	r.waitForReady()
}

func (r *tier) waitForReady() {
	r.t.Helper()
	r.waitFor("readiness", func() bool {
		return !slices.ContainsFunc(r.hosts, func(host *Host) bool { return !host.ready() || !r.knowsAll(host) })
	})
}

// knowsAll reports whether a host has received a heartbeat from every other
// host and knows their revisions.
func (r *tier) knowsAll(host *Host) bool {
	known := host.members.hosts()
	return len(known) == len(r.hosts) && !slices.ContainsFunc(known, func(other dcmembership.Host) bool {
		return other.Revision < 1 || other.ID != host.self.ID && other.LastHeard.IsZero()
	})
}

// request is a request of a caller. Zero fields take the defaults.
type request struct {
	department string
	credential string
	path       string
	message    proto.Message
	body       string
	timeout    string
	noTimeout  bool
}

// call sends a request and parses the response, whatever its status.
func (r *tier) call(host int, req request, answer proto.Message) (status int) {
	r.t.Helper()
	method, body := http.MethodGet, []byte(nil)
	if req.message != nil {
		text, err := protojson.Marshal(req.message)
		if err != nil {
			r.t.Fatal(err)
		}
		method, body = http.MethodPost, text
	}
	if req.body != "" {
		method, body = http.MethodPost, []byte(req.body)
	}
	call, err := http.NewRequest(method, "http://"+r.hosts[host].CallerListener.Addr().String()+req.path, bytes.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	call.SetBasicAuth(orDefault(req.department, "kitchen"), orDefault(req.credential, testCredential))
	if !req.noTimeout {
		call.Header.Set(TimeoutHeader, orDefault(req.timeout, "5000"))
	}
	response, err := r.client.Do(call)
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	proto.Reset(answer)
	if err := protojson.Unmarshal(text, answer); err != nil {
		r.t.Fatalf("%s: status %d, %q: %v", req.path, response.StatusCode, text, err)
	}
	return response.StatusCode
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// key returns an order key issued at the fake time plus an offset.
func (r *tier) key(offset time.Duration) string {
	id := uuid.Must(uuid.NewV7())
	ms := r.clock.Now().Add(offset).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

func (r *tier) query(host int, body string) *callerv1.QueryResponse {
	r.t.Helper()
	answer := &callerv1.QueryResponse{}
	r.call(host, request{path: "/v1/query", message: &callerv1.QueryRequest{ServiceGroup: testGroup, SchemaVersion: testSchema, Body: []byte(body)}}, answer)
	return answer
}

func (r *tier) order(host int, key, body string) *callerv1.OrderResponse {
	r.t.Helper()
	answer := &callerv1.OrderResponse{}
	r.call(host, request{path: "/v1/order", message: &callerv1.OrderRequest{ServiceGroup: testOrders, Service: testService, SchemaVersion: testSchema, Key: key, Body: []byte(body)}}, answer)
	return answer
}

func (r *tier) lookup(host int, key string) *callerv1.OrderResponse {
	r.t.Helper()
	answer := &callerv1.OrderResponse{}
	r.call(host, request{path: "/v1/orders/" + testOrders + "/" + key}, answer)
	return answer
}
