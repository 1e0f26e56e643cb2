package dcrelay

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"
	"github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1/hostv1connect"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

const (
	// shareDelay is the pause before suspicions are sent. Those that follow each
	// other, as when a server with several requests crashes, are sent together.
	shareDelay = 50 * time.Millisecond
	// shareAttempts is the number of times that suspicions are sent to a host that
	// does not answer, retryDelay apart.
	shareAttempts = 3
	retryDelay    = 500 * time.Millisecond
	// parallelCalls limits the calls to other hosts at the same time.
	parallelCalls = 16
	// maxPendingSuspicions limits the suspicions that wait to be sent.
	maxPendingSuspicions = 1024
)

// Sharer passes what this host knows of requests that crash servers, and that it
// stops, to the other hosts. Set the exported fields before Run.
type Sharer struct {
	HTTP *http.Client
	// Addresses returns the addresses of other hosts.
	Addresses func() []string
	// Merge is called with the suspicions of other hosts.
	Merge func(suspicions []*peerv1.Suspicion)
	// Host returns the record of this host.
	Host func() *hostv1.Record
	// Sending is called before suspicions are sent, Missed with the addresses of hosts to
	// which they could not be sent, and Overflow if some are sent to no host.
	Sending  func()
	Missed   func(addresses []string)
	Overflow func()
	Clock    clockwork.Clock
	Log      *zap.Logger

	mu sync.Mutex
	// pending holds the suspicions to send by digest, and overflowed is set if there
	// were more.
	pending    map[string]*peerv1.Suspicion
	overflowed bool
	// announcing is set if the record of this host is to be sent at once.
	announcing bool
	// changed is notified when there is something to send.
	changed signal
}

// Announce sends the record of this host to the other hosts at once. It does not
// block.
func (s *Sharer) Announce() {
	s.mu.Lock()
	s.announcing = true
	s.mu.Unlock()
	s.changed.notify()
}

// Share sends suspicions to the other hosts soon. It does not block.
func (s *Sharer) Share(suspicions []*peerv1.Suspicion) {
	s.mu.Lock()
	if s.pending == nil {
		s.pending = make(map[string]*peerv1.Suspicion)
	}
	for _, suspicion := range suspicions {
		if _, ok := s.pending[suspicion.GetDigest()]; ok || len(s.pending) < maxPendingSuspicions {
			s.pending[suspicion.GetDigest()] = suspicion
		} else {
			s.overflowed = true
		}
	}
	s.mu.Unlock()
	s.changed.notify()
}

// Run sends what this host learns or announces, until ctx ends. What other hosts know
// is exchanged by an Exchanger.
func (s *Sharer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.changed.notified():
		}
		s.mu.Lock()
		announcing := s.announcing
		s.announcing = false
		s.mu.Unlock()
		if !announcing {
			sleep(ctx, s.Clock, shareDelay, nil)
		}
		s.mu.Lock()
		suspicions, overflowed := slices.Collect(maps.Values(s.pending)), s.overflowed
		s.pending, s.overflowed = nil, false
		s.mu.Unlock()
		if overflowed {
			s.Overflow()
		}
		if announcing || len(suspicions) > 0 {
			s.send(ctx, suspicions)
		}
	}
}

// send sends suspicions to all other hosts, and takes those that they return.
func (s *Sharer) send(ctx context.Context, suspicions []*peerv1.Suspicion) {
	s.Sending()
	addresses := s.Addresses()
	for attempt := range shareAttempts {
		if attempt > 0 {
			sleep(ctx, s.Clock, retryDelay, nil)
		}
		if addresses = s.sendOnce(ctx, addresses, suspicions); len(addresses) == 0 || ctx.Err() != nil {
			return
		}
	}
	s.Log.Info("suspicions not shared with all hosts", zap.Int("suspicions", len(suspicions)), zap.Strings("unreached", addresses))
	s.Missed(addresses)
}

// sendOnce returns the addresses of the hosts that did not answer.
func (s *Sharer) sendOnce(ctx context.Context, addresses []string, suspicions []*peerv1.Suspicion) (failed []string) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	for _, address := range addresses {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			stub := hostv1connect.NewHostServiceClient(s.HTTP, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
			response, err := stub.ShareSuspicions(ctx, connect.NewRequest(&hostv1.ShareSuspicionsRequest{Suspicions: suspicions, Host: s.Host()}))
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, address)
				return nil
			}
			s.Merge(response.Msg.GetSuspicions())
			return nil
		})
	}
	_ = group.Wait()
	return failed
}
