package dcrelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcexchange"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcquarantine"
)

// TestShareSuspicions guards against a request that crashes servers once for each
// host because the hosts do not tell each other, and against a host that has just
// started and does not know of it.
func TestShareSuspicions(t *testing.T) {
	var mu sync.Mutex
	got := make(map[string][]string)
	record := func(host string) func([]*peerv1.Suspicion) {
		return func(suspicions []*peerv1.Suspicion) {
			mu.Lock()
			defer mu.Unlock()
			for _, suspicion := range suspicions {
				got[host] = append(got[host], suspicion.GetDigest())
			}
		}
	}
	other := &Exchanger{
		Host:  func() *hostv1.Record { return &hostv1.Record{HostId: "other"} },
		Merge: record("other"),
		Suspicions: func(dcquarantine.Digest) ([]*peerv1.Suspicion, bool) {
			return []*peerv1.Suspicion{{Digest: "known"}}, false
		},
		Clock: clockwork.NewRealClock(),
	}
	server := &RecordServer{Merge: record("other"), Exchange: other.Answer}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	listener := httptest.NewServer(mux)
	defer listener.Close()
	self := func() *hostv1.Record { return &hostv1.Record{HostId: "self", State: hostv1.State_STATE_SERVING} }
	addresses := []string{strings.TrimPrefix(listener.URL, "http://"), "127.0.0.1:1"}
	exchanger := &Exchanger{
		HTTP:       listener.Client(),
		Host:       self,
		Peers:      func() ([]dcexchange.Peer, bool) { return nil, false },
		Seeds:      addresses,
		Merge:      record("self"),
		Suspicions: func(dcquarantine.Digest) ([]*peerv1.Suspicion, bool) { return nil, false },
		Clock:      clockwork.NewRealClock(),
		Log:        zap.NewNop(),
		Scope:      tally.NoopScope,
		Random:     rand.New(rand.NewPCG(1, 0)),
	}
	sharer := &Sharer{
		HTTP:      listener.Client(),
		Addresses: func() []string { return addresses },
		Merge:     record("self"),
		Host:      self,
		Sending:   exchanger.Sending,
		Missed:    exchanger.Missed,
		Overflow:  exchanger.MissedByAll,
		Clock:     clockwork.NewRealClock(),
		Log:       zap.NewNop(),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	done := make(chan error, 2)
	go func() { done <- sharer.Run(ctx) }()
	go func() { done <- exchanger.Run(ctx) }()
	sharer.Share([]*peerv1.Suspicion{{Digest: "new"}})
	sharer.Share([]*peerv1.Suspicion{{Digest: "new"}})
	for ctx.Err() == nil {
		mu.Lock()
		complete := len(got["other"]) > 0 && len(got["self"]) > 0
		mu.Unlock()
		if complete {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(got["other"]) == 0 || got["other"][0] != "new" || len(got["self"]) == 0 || got["self"][0] != "known" {
		t.Errorf("suspicions %v, want the new one at the other host and the known one here", got)
	}
}

// TestAnnounce guards against other hosts that direct callers to a host that stops
// until the store reports the change, and against a host that counts as stopping
// because it shares suspicions.
func TestAnnounce(t *testing.T) {
	leaves := make(chan dcid.HostID, 8)
	shared := make(chan struct{}, 8)
	server := &RecordServer{
		Merge:      func([]*peerv1.Suspicion) { shared <- struct{}{} },
		Suspicions: func() []*peerv1.Suspicion { return nil },
		HostLeaves: func(host dcid.HostID) { leaves <- host },
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	listener := httptest.NewServer(mux)
	defer listener.Close()
	var state atomic.Int32
	state.Store(int32(hostv1.State_STATE_SERVING))
	sharer := &Sharer{
		HTTP:      listener.Client(),
		Addresses: func() []string { return []string{strings.TrimPrefix(listener.URL, "http://")} },
		Merge:     func([]*peerv1.Suspicion) {},
		Host: func() *hostv1.Record {
			return &hostv1.Record{HostId: "self", State: hostv1.State(state.Load())}
		},
		Sending: func() {},
		Missed:  func([]string) {},
		Clock:   clockwork.NewRealClock(),
		Log:     zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- sharer.Run(ctx) }()
	sharer.Share([]*peerv1.Suspicion{{Digest: "new"}})
	<-shared
	if len(leaves) > 0 {
		t.Error("a host that serves counts as stopping")
	}
	state.Store(int32(hostv1.State_STATE_LEAVING))
	sharer.Announce()
	if host := <-leaves; host != "self" {
		t.Errorf("host %q announced its stop, want self", host)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
