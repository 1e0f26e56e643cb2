package dchost

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dchostlist"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

// leavingThreshold is the time after which no host may send work to a leaving
// server.
const leavingThreshold = 3 * time.Second

// recordingUpstream counts the requests that one host sends to each server.
type recordingUpstream struct {
	*dcupstream.Client
	requests *requestLog
	host     int
}

// requestLog counts the requests of each host to each server. It can also make
// status polls of a server time out.
type requestLog struct {
	mu   sync.Mutex
	sent map[int]map[dcid.ServerAddr]int
	// unresponsive holds the servers whose status polls get no answer.
	unresponsive map[dcid.ServerAddr]bool
	// pendingPolls is the number of running polls of such servers.
	pendingPolls atomic.Int64
}

func newRequestLog() *requestLog {
	return &requestLog{sent: map[int]map[dcid.ServerAddr]int{}, unresponsive: map[dcid.ServerAddr]bool{}}
}

func (l *requestLog) add(host int, server dcid.ServerAddr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent[host] == nil {
		l.sent[host] = map[dcid.ServerAddr]int{}
	}
	l.sent[host][server]++
}

func (l *requestLog) count(host int, server dcid.ServerAddr) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent[host][server]
}

func (l *requestLog) timeOutStatusPolls(server dcid.ServerAddr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive[server] = true
}

func (u *recordingUpstream) Search(ctx context.Context, search dcupstream.Search) dcupstream.Response {
	u.requests.add(u.host, search.Server)
	return u.Client.Search(ctx, search)
}

func (u *recordingUpstream) Status(ctx context.Context, server dcid.ServerAddr) (*upstreamv1.Status, error) {
	u.requests.mu.Lock()
	unresponsive := u.requests.unresponsive[server]
	u.requests.mu.Unlock()
	if unresponsive {
		u.requests.pendingPolls.Add(1)
		defer u.requests.pendingPolls.Add(-1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return u.Client.Status(ctx, server)
}

// newLeavingTier returns a tier that reads the host list and counts the
// requests to each server.
func newLeavingTier(t *testing.T, hosts int) (*tier, *requestLog) {
	t.Helper()
	requests := newRequestLog()
	tier := newTierWith(t, hosts, func(r *tier, number int, host *Host) {
		host.Upstream = &recordingUpstream{Client: host.Upstream.(*dcupstream.Client), requests: requests, host: number}
		host.HostList = r.fleet.Platform.Hosts
		host.Settings.HostList = &settingsv1.HostListSettings{Interval: durationpb.New(time.Second)}
	})
	// All tasks that wait for the fake time are counted. Time can therefore never
	// run ahead of the hosts, however slow the machine is.
	tier.blockedTasks, tier.maxSettle = requests.pendingPolls.Load, time.Minute
	return tier, requests
}

// advanceTime advances the fake time by a duration, in steps of clockStep.
func (r *tier) advanceTime(duration time.Duration) {
	r.t.Helper()
	until := r.clock.Now().Add(duration)
	r.waitFor(duration.String(), func() bool { return !r.clock.Now().Before(until) })
}

// TestEachSignalStopsNewWork guards against a host that sends new work to a
// leaving server after 3 s, when the server gives a single signal that only one
// host sees first.
func TestEachSignalStopsNewWork(t *testing.T) {
	signals := map[string]func(*tier, *requestLog, *dcstandin.UpstreamServer){
		"draining answer": func(r *tier, requests *requestLog, server *dcstandin.UpstreamServer) {
			requests.timeOutStatusPolls(dcid.ServerAddr(server.Server.Addr()))
			server.SetFaults(func(faults *dcstandin.Faults) { faults.Draining = true })
			r.queryUntil(0, func() bool { return !r.hosts[0].servers.usable(dcid.ServerAddr(server.Server.Addr())) })
		},
		"draining status": func(r *tier, _ *requestLog, server *dcstandin.UpstreamServer) {
			server.SetFaults(func(faults *dcstandin.Faults) { faults.Draining = true })
		},
		"closed connection": func(_ *tier, _ *requestLog, server *dcstandin.UpstreamServer) {
			server.Kill()
		},
		"host list, while the status says serving": func(r *tier, _ *requestLog, server *dcstandin.UpstreamServer) {
			r.fleet.Platform.Hosts.SetState(server.Server.Addr(), dchostlist.Leaving)
		},
		"silence": func(r *tier, requests *requestLog, server *dcstandin.UpstreamServer) {
			requests.timeOutStatusPolls(dcid.ServerAddr(server.Server.Addr()))
			server.SetFaults(func(faults *dcstandin.Faults) { faults.Frozen = true })
			r.advanceTime(unresponsiveTimeout)
		},
		"operator": func(r *tier, _ *requestLog, server *dcstandin.UpstreamServer) {
			r.applyChange("kitchen", "leave", 1, func(configuration *settingsv1.Configuration) {
				markLeaving(configuration, dcid.ServerAddr(server.Server.Addr()))
			})
		},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			tier, requests := newLeavingTier(t, 4)
			tier.start()
			server := tier.fleet.Select(dcstandin.Selector{Group: testGroup})[0]
			tier.queryUntil(0, func() bool { return requests.count(0, dcid.ServerAddr(server.Server.Addr())) > 0 })
			signal(tier, requests, server)
			tier.advanceTime(leavingThreshold)
			for host := range tier.hosts {
				before := requests.count(host, dcid.ServerAddr(server.Server.Addr()))
				for range 5 {
					checkComplete(t, tier.query(host, "rye"))
				}
				if got := requests.count(host, dcid.ServerAddr(server.Server.Addr())) - before; got != 0 {
					t.Errorf("host %d sent %d requests to the leaving server", host, got)
				}
			}
		})
	}
}

// queryUntil sends queries to a host until a condition is met.
func (r *tier) queryUntil(host int, condition func() bool) {
	r.t.Helper()
	const maxQueries = 1000
	for range maxQueries {
		if condition() {
			return
		}
		checkComplete(r.t, r.query(host, "rye"))
	}
	r.t.Fatalf("condition was not met after %d queries", maxQueries)
}

func markLeaving(configuration *settingsv1.Configuration, server dcid.ServerAddr) {
	for _, group := range configuration.GetServiceGroups() {
		for _, service := range group.GetServices() {
			for _, upstream := range service.GetUpstreams() {
				if slices.Contains(upstream.GetServers(), string(server)) {
					upstream.Leaving = append(upstream.Leaving, string(server))
				}
			}
		}
	}
}

// applyChange applies the test configuration with a change, as the revision
// after base.
func (r *tier) applyChange(department, operation string, base uint32, change func(*settingsv1.Configuration)) {
	r.t.Helper()
	configuration := r.configuration()
	change(configuration)
	document, err := protojson.Marshal(configuration)
	if err != nil {
		r.t.Fatal(err)
	}
	answer := &callerv1.ApplyResponse{}
	message := &callerv1.ApplyRequest{BaseRevision: base, OperationId: operation, Document: string(document)}
	if status := r.call(0, request{department: department, path: "/v1/config/apply", message: message}, answer); status != 200 {
		r.t.Fatalf("apply: status %d, %v", status, answer)
	}
}
