package dcrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcexchange"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcquarantine"
)

// testNetwork connects hosts in memory. It is an http.RoundTripper for the calls of one
// host to the others.
type testNetwork struct {
	mu    sync.Mutex
	hosts map[string]*testHost
	// away holds the addresses of hosts that the network does not reach.
	away map[string]bool
	// calls counts the calls of all hosts.
	calls int
}

// testHost is a host with its part in the exchange.
type testHost struct {
	network   *testNetwork
	record    *hostv1.Record
	exchanger *Exchanger
	sharer    *Sharer
	handler   http.Handler

	mu    sync.Mutex
	table dcquarantine.Table
	// listed holds the other hosts that the list of this host has, and synced is set
	// once it has been read.
	listed map[string]dcexchange.Peer
	synced bool
	// leaving holds the hosts that have said that they stop.
	leaving map[dcid.HostID]bool
}

// newTestHost returns a host of a network whose list of hosts is not read yet.
func (n *testNetwork) newTestHost(id string) *testHost {
	h := &testHost{network: n, listed: make(map[string]dcexchange.Peer), leaving: make(map[dcid.HostID]bool), record: &hostv1.Record{
		HostId: id, ControlAddress: id + ":1", State: hostv1.State_STATE_SERVING, Started: timestamppb.Now(),
	}}
	client := &http.Client{Transport: h}
	h.exchanger = &Exchanger{
		HTTP: client, Host: h.current, Peers: h.peers, Merge: h.merge, Suspicions: h.suspicions, HostLeaves: h.takeLeaving,
		Clock: clockwork.NewRealClock(), Log: zap.NewNop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(1, 0)),
	}
	h.sharer = &Sharer{
		HTTP: client, Addresses: h.addresses, Merge: h.merge, Host: h.current, Sending: h.exchanger.Sending, Missed: h.exchanger.Missed, Overflow: h.exchanger.MissedByAll,
		Clock: clockwork.NewRealClock(), Log: zap.NewNop(),
	}
	server := &RecordServer{
		Merge: h.merge, HostLeaves: h.takeLeaving, Exchange: h.exchanger.Answer,
		Suspicions: func() []*peerv1.Suspicion {
			all, _ := h.suspicions("")
			return all
		},
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	h.handler = mux
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts, n.away = make(map[string]*testHost), make(map[string]bool)
	}
	n.hosts[h.record.GetControlAddress()] = h
	return h
}

// run runs the host until the context ends.
func (h *testHost) run(ctx context.Context) {
	go func() { _ = h.exchanger.Run(ctx) }()
	go func() { _ = h.sharer.Run(ctx) }()
}

// RoundTrip implements http.RoundTripper. A host that is away does not answer.
func (h *testHost) RoundTrip(request *http.Request) (*http.Response, error) {
	n := h.network
	n.mu.Lock()
	n.calls++
	callee := n.hosts[request.URL.Host]
	reached := callee != nil && !n.away[request.URL.Host] && !n.away[h.record.GetControlAddress()]
	n.mu.Unlock()
	if !reached {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	callee.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

func (n *testNetwork) setAway(h *testHost, away bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.away[h.record.GetControlAddress()] = away
}

func (n *testNetwork) callCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// current returns the record of the host.
func (h *testHost) current() *hostv1.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return proto.CloneOf(h.record)
}

// change changes the record of the host.
func (h *testHost) change(change func(record *hostv1.Record)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h.record)
}

func (h *testHost) peers() (peers []dcexchange.Peer, synced bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, peer := range h.listed {
		peers = append(peers, peer)
	}
	return peers, h.synced
}

func (h *testHost) addresses() (addresses []string) {
	peers, _ := h.peers()
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// list puts other hosts into the list of this one, with the number of their arrival.
func (h *testHost) list(arrival int, others ...*testHost) {
	h.mu.Lock()
	for _, other := range others {
		if address := other.record.GetControlAddress(); other != h {
			h.listed[address] = dcexchange.Peer{ID: dcid.HostID(other.record.GetHostId()), Address: address, Started: other.record.GetStarted().AsTime(), Arrival: arrival}
		}
	}
	h.synced = true
	h.mu.Unlock()
	h.exchanger.HostsChanged()
}

func (h *testHost) merge(suspicions []*peerv1.Suspicion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Merge(suspicions, time.Now())
}

func (h *testHost) suspicions(after dcquarantine.Digest) (suspicions []*peerv1.Suspicion, more bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.EntriesAfter(after, 256<<10, time.Now())
}

func (h *testHost) takeLeaving(host dcid.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving[host] = true
}

// crash records a crash under a request at this host, and sends it to the others.
func (h *testHost) crash(digest dcquarantine.Digest) {
	h.mu.Lock()
	changed := h.table.RecordCrash(digest, "a-server:1", dcquarantine.Rule{}, time.Now())
	h.mu.Unlock()
	h.sharer.Share(changed)
}

// known returns the number of requests that the host suspects.
func (h *testHost) known() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, _ := h.table.EntriesAfter("", 1<<30, time.Now())
	return len(all)
}

// TestExchange guards against a host that never learns which requests crash servers if it
// was not there, or not reached, when the others were told, and against others that never
// learn what it knows.
func TestExchange(t *testing.T) {
	for name, c := range map[string]struct {
		// play makes both hosts miss something, and returns when they are in touch.
		play func(a, b *testHost, run func(*testHost))
		want int
	}{
		"host starts with stale seeds, before its list is read": {want: 1, play: func(a, b *testHost, run func(*testHost)) {
			a.list(1)
			run(a)
			a.crash("one")
			b.exchanger.Seeds = []string{"gone:1"}
			time.Sleep(3 * time.Second)
			run(b)
			time.Sleep(3 * time.Second)
			b.list(1, a)
		}},
		"host starts without the list": {want: 1, play: func(a, b *testHost, run func(*testHost)) {
			a.list(1)
			run(a)
			a.crash("one")
			b.exchanger.Seeds = []string{"gone:1", "a:1"}
			run(b)
		}},
		"host is seen later by those that started before": {want: 1, play: func(a, b *testHost, run func(*testHost)) {
			b.list(1)
			run(a)
			run(b)
			a.crash("one")
			time.Sleep(3 * time.Second)
			a.list(1, b)
		}},
		"hosts were cut off from each other": {want: 3, play: func(a, b *testHost, run func(*testHost)) {
			a.list(1, b)
			b.list(1, a)
			run(a)
			run(b)
			time.Sleep(5 * time.Second)
			a.network.setAway(a, true)
			a.crash("one")
			b.crash("two")
			time.Sleep(11 * time.Second)
			a.crash("three")
			a.network.setAway(a, false)
		}},
		"host returns to the list, and the host that knew more is gone": {want: 1, play: func(a, b *testHost, run func(*testHost)) {
			a.list(1, b)
			b.list(1, a)
			run(a)
			run(b)
			time.Sleep(5 * time.Second)
			a.merge([]*peerv1.Suspicion{{Digest: "one", Servers: []string{"x:1"}, State: "quarantined", UntilMs: time.Now().Add(time.Minute).UnixMilli()}})
			a.list(2, b)
		}},
		"new process": {want: 1, play: func(a, b *testHost, run func(*testHost)) {
			a.list(1, b)
			b.list(1, a)
			run(a)
			run(b)
			time.Sleep(5 * time.Second)
			a.crash("one")
			time.Sleep(5 * time.Second)
			b.mu.Lock()
			b.table = dcquarantine.Table{}
			b.mu.Unlock()
			b.change(func(record *hostv1.Record) { record.Started = timestamppb.Now() })
			a.list(1, b)
		}},
		"more than fits into a message": {want: 4000, play: func(a, b *testHost, run func(*testHost)) {
			for i := range 2000 {
				a.table.RecordCrash(dcquarantine.Digest(fmt.Sprintf("%064d", 2*i)), "a-server-with-a-long-name.example:12345", dcquarantine.Rule{}, time.Now())
				b.table.RecordCrash(dcquarantine.Digest(fmt.Sprintf("%064d", 2*i+1)), "a-server-with-a-long-name.example:12345", dcquarantine.Rule{}, time.Now())
			}
			b.list(1, a)
			run(a)
			run(b)
		}},
		"more at once than are sent at once": {want: 1500, play: func(a, b *testHost, run func(*testHost)) {
			a.list(1, b)
			b.list(1, a)
			run(a)
			run(b)
			time.Sleep(5 * time.Second)
			for i := range 1500 {
				a.crash(dcquarantine.Digest(fmt.Sprintf("%064d", i)))
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				network := &testNetwork{}
				a := network.newTestHost("a")
				time.Sleep(time.Second)
				b := network.newTestHost("b")
				c.play(a, b, func(h *testHost) { h.run(ctx) })
				time.Sleep(ExchangeBound)
				if a.known() != c.want || b.known() != c.want {
					t.Errorf("after %v the hosts know %d and %d requests, want %d", ExchangeBound, a.known(), b.known(), c.want)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestExchangeWithEarlierVersion guards against hosts that learn nothing from one another
// while the hosts are replaced by those of a newer version in turn.
func TestExchangeWithEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := &testNetwork{}
		a, b := network.newTestHost("a"), network.newTestHost("b")
		b.handler = earlierVersion(t, b)
		const each = 2000
		for i := range each {
			a.crash(dcquarantine.Digest(fmt.Sprintf("%064d", 2*i)))
		}
		b.crash(dcquarantine.Digest(fmt.Sprintf("%064d", 1)))
		a.list(1, b)
		a.run(ctx)
		time.Sleep(ExchangeBound)
		if a.known() != each+1 || b.known() != each+1 {
			t.Errorf("the hosts know %d and %d requests, want %d", a.known(), b.known(), each+1)
		}
		cancel()
		synctest.Wait()
	})
}

// earlierVersion returns the handler of a host that does not know of exchanges.
func earlierVersion(t *testing.T, h *testHost) http.Handler {
	server := &RecordServer{Merge: h.merge, HostLeaves: func(dcid.HostID) {}, Suspicions: func() []*peerv1.Suspicion {
		all, _ := h.suspicions("")
		return all
	}}
	server.Exchange = func(request *hostv1.ShareSuspicionsRequest) *hostv1.ShareSuspicionsResponse {
		if len(request.GetSuspicions()) > 0 {
			h.merge(request.GetSuspicions())
			return &hostv1.ShareSuspicionsResponse{}
		}
		return &hostv1.ShareSuspicionsResponse{Suspicions: server.Suspicions()}
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	return mux
}

// TestOneHostKnows guards against a host that has started and asks only hosts that know
// nothing, while the one that knows something was itself told by a host that is gone.
func TestOneHostKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := &testNetwork{}
		var hosts []*testHost
		for i := range 30 {
			hosts = append(hosts, network.newTestHost(fmt.Sprintf("h%d", i)))
		}
		for _, host := range hosts {
			host.list(1, hosts...)
			host.run(ctx)
		}
		time.Sleep(5 * time.Second)
		hosts[17].merge([]*peerv1.Suspicion{{Digest: "one", Servers: []string{"x:1"}, State: "suspected", UntilMs: time.Now().Add(time.Minute).UnixMilli()}})
		started := network.newTestHost("new")
		started.list(2, hosts...)
		started.run(ctx)
		time.Sleep(time.Second)
		for _, host := range hosts {
			host.list(2, started)
		}
		time.Sleep(ExchangeBound)
		if started.known() != 1 {
			t.Errorf("the host knows %d requests %v after all have it in their lists, want 1", started.known(), ExchangeBound)
		}
		cancel()
		synctest.Wait()
	})
}

// TestLeavingAfterAbsence guards against a host that directs callers to one that stops,
// because it was not reached when that one said so.
func TestLeavingAfterAbsence(t *testing.T) {
	for name, absence := range map[string]time.Duration{"shorter than the attempts": time.Second, "longer than the attempts": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				network := &testNetwork{}
				a, b := network.newTestHost("a"), network.newTestHost("b")
				a.list(1, b)
				b.list(1, a)
				a.run(ctx)
				b.run(ctx)
				time.Sleep(5 * time.Second)
				network.setAway(b, true)
				a.change(func(record *hostv1.Record) { record.State = hostv1.State_STATE_LEAVING })
				a.sharer.Announce()
				time.Sleep(absence)
				network.setAway(b, false)
				time.Sleep(ExchangeBound)
				b.mu.Lock()
				defer b.mu.Unlock()
				if !b.leaving["a"] {
					t.Errorf("the host does not know %v after its return that the other one stops", ExchangeBound)
				}
				cancel()
			})
		})
	}
}

// TestCallsOfCalmHosts guards against calls between hosts that are in touch and have
// nothing new, and against more than a few calls of each host when all start, or all
// return to the list, and none knows anything.
func TestCallsOfCalmHosts(t *testing.T) {
	for _, count := range []int{4, 134} {
		t.Run(fmt.Sprintf("%d-hosts", count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				network := &testNetwork{}
				var hosts []*testHost
				for i := range count {
					hosts = append(hosts, network.newTestHost(fmt.Sprintf("h%d", i)))
					time.Sleep(time.Millisecond)
				}
				for _, host := range hosts {
					host.list(1, hosts...)
					host.run(ctx)
				}
				time.Sleep(5 * time.Second)
				atStart := network.callCount()
				if most := 3 * count; atStart > most || atStart < count/2 {
					t.Errorf("%d calls at the start, want at most %d", atStart, most)
				}
				time.Sleep(10 * time.Minute)
				for _, host := range hosts {
					host.list(2, hosts...)
				}
				time.Sleep(time.Minute)
				if calls := network.callCount() - atStart; calls > 0 {
					t.Errorf("%d calls afterwards, want none", calls)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestSettled guards against a host that counts as ready before the others had time to
// tell it which requests crash servers, and against one that waits for hosts that do not
// answer, or for none.
func TestSettled(t *testing.T) {
	for name, c := range map[string]struct {
		play func(a, b *testHost)
		// after is the time until the host settles.
		after time.Duration
	}{
		"host alone":                {play: func(a, _ *testHost) { a.list(1) }},
		"other host answers":        {play: func(a, b *testHost) { a.list(1, b) }},
		"other host does not":       {play: func(a, b *testHost) { a.network.setAway(b, true); a.list(1, b) }, after: settleTime},
		"list is read a while late": {play: func(a, b *testHost) { time.AfterFunc(3*time.Second, func() { a.list(1, b) }) }, after: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				network := &testNetwork{}
				b := network.newTestHost("b")
				time.Sleep(time.Second)
				a := network.newTestHost("a")
				a.run(ctx)
				c.play(a, b)
				time.Sleep(c.after - time.Millisecond)
				synctest.Wait()
				if c.after > 0 && a.exchanger.Settled() {
					t.Errorf("settled before %v", c.after)
				}
				time.Sleep(2 * time.Millisecond)
				synctest.Wait()
				if !a.exchanger.Settled() {
					t.Errorf("not settled after %v", c.after)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
