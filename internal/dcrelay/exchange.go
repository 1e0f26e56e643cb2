package dcrelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"
	"github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1/hostv1connect"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcexchange"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcquarantine"
)

const (
	// ExchangeBound is the time within which two hosts that reach each other again have
	// exchanged what they know: a call that had begun before and fails, a pause, and a
	// call.
	ExchangeBound = callTimeout + dcexchange.MaxRetryPause + callTimeout
	// settleTime limits how long Settled waits for the first exchange after the list of
	// hosts has been read. In that time one attempt can fail.
	settleTime = time.Second
	// parallelExchanges limits the exchanges at the same time. Those with hosts that do
	// not answer take callTimeout, and must not delay the others beyond ExchangeBound.
	parallelExchanges = 64
	// maxExchangeCalls limits the calls of one exchange. The suspicions of a full table
	// take a few.
	maxExchangeCalls = 16
)

// Exchanger exchanges what hosts know of requests that crash servers with each host that
// may lack some of it, or know more. Set the exported fields before Run.
type Exchanger struct {
	HTTP *http.Client
	// Host returns the record of this host.
	Host func() *hostv1.Record
	// Peers returns the other hosts, and whether the list of hosts has been read.
	Peers func() (peers []dcexchange.Peer, synced bool)
	// Seeds are the addresses of hosts that are called until the list has been read.
	// They may be stale.
	Seeds []string
	// Merge takes suspicions of another host, and Suspicions returns those of this one
	// in the order of digests from the one after a digest, and whether there are more.
	Merge      func(suspicions []*peerv1.Suspicion)
	Suspicions func(after dcquarantine.Digest) (suspicions []*peerv1.Suspicion, more bool)
	// HostLeaves is called with the ID of a host that says that it stops.
	HostLeaves func(host dcid.HostID)
	Clock      clockwork.Clock
	Log        *zap.Logger
	// Scope is the scope of the metrics.
	Scope  tally.Scope
	Random *rand.Rand

	mu   sync.Mutex
	plan dcexchange.Plan
	// listChanged is set if the list of hosts may have changed since it was taken into
	// the plan.
	listChanged bool
	// listRead is the time at which the list of hosts was first known, zero before.
	listRead time.Time
	// changed is notified when the list of hosts or the plan has changed.
	changed signal
}

// HostsChanged is called when the list of hosts has changed. It does not block.
func (e *Exchanger) HostsChanged() {
	e.mu.Lock()
	e.listChanged = true
	e.mu.Unlock()
	e.changed.notify()
}

// Sending is called before something is sent to the hosts of the list.
func (e *Exchanger) Sending() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plan.Sending()
}

// Missed is called with the addresses of hosts to which something could not be sent. It
// does not block.
func (e *Exchanger) Missed(addresses []string) {
	e.mu.Lock()
	for _, address := range addresses {
		e.plan.Missed(address, e.Clock.Now())
	}
	e.mu.Unlock()
	e.changed.notify()
}

// MissedByAll is called when something was sent to no host. It does not block.
func (e *Exchanger) MissedByAll() {
	peers, _ := e.Peers()
	addresses := make([]string, 0, len(peers))
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
	}
	e.Missed(addresses)
}

// Settled reports whether this host has exchanged with another one, knows no other one,
// or has waited long enough for one that answers.
func (e *Exchanger) Settled() bool {
	_, synced := e.Peers()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !synced:
		return false
	case e.listRead.IsZero():
		// Run has not taken the list yet.
		e.listChanged = true
		e.changed.notify()
		return false
	}
	return e.plan.Started() || e.Clock.Since(e.listRead) >= settleTime
}

// Run makes the exchanges that are due until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	self := e.Host()
	e.mu.Lock()
	e.plan.Random = e.Random
	e.plan.Self = dcexchange.Peer{ID: dcid.HostID(self.GetHostId()), Started: self.GetStarted().AsTime()}
	e.listChanged = true
	e.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(parallelExchanges)
	defer func() { _ = group.Wait() }()
	for ctx.Err() == nil {
		calls, next, ok := e.nextCalls()
		for _, call := range calls {
			group.Go(func() error {
				e.makeCall(ctx, call)
				return nil
			})
		}
		if len(calls) > 0 {
			continue
		}
		pause := time.Hour
		if ok {
			pause = next.Sub(e.Clock.Now())
		}
		sleep(ctx, e.Clock, pause, e.changed.notified())
	}
	return nil
}

// nextCalls returns the exchanges that are due, and the time of the next one if there is
// one.
func (e *Exchanger) nextCalls() (calls []dcexchange.Call, next time.Time, ok bool) {
	e.mu.Lock()
	changed := e.listChanged
	e.listChanged = false
	e.mu.Unlock()
	var peers []dcexchange.Peer
	synced := false
	knows := false
	if changed {
		peers, synced = e.knownPeers()
		suspicions, _ := e.Suspicions("")
		knows = len(suspicions) > 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if changed {
		e.plan.Update(peers, knows, now)
	}
	if synced && e.listRead.IsZero() {
		e.listRead = now
	}
	calls = e.plan.Due(now)
	next, ok = e.plan.Next()
	return calls, next, ok
}

// knownPeers returns the hosts of the list, and the seeds until it has been read.
func (e *Exchanger) knownPeers() (peers []dcexchange.Peer, synced bool) {
	peers, synced = e.Peers()
	if synced {
		return peers, true
	}
	known := []string{e.Host().GetControlAddress()}
	for _, peer := range peers {
		known = append(known, peer.Address)
	}
	for _, address := range OtherAddresses("", e.Seeds) {
		if !slices.Contains(known, address) {
			peers = append(peers, dcexchange.Peer{Address: address})
		}
	}
	return peers, false
}

// makeCall exchanges with one host and tells the plan how that ended.
func (e *Exchanger) makeCall(ctx context.Context, call dcexchange.Call) {
	started, err := e.exchangeWith(ctx, call.Address)
	e.Scope.Counter("host_exchanges").Inc(1)
	e.mu.Lock()
	now := e.Clock.Now()
	if err == nil {
		e.plan.Complete(call, started, now)
	} else {
		e.plan.Fail(call, now)
		// A host that does not answer may be gone.
		e.listChanged = true
	}
	e.mu.Unlock()
	if err != nil {
		e.Scope.Counter("host_exchanges_failed").Inc(1)
	}
	if err != nil && call.Attempt == 0 {
		e.Log.Info("host not reached for an exchange", zap.String("address", call.Address), zap.String("error", err.Error()))
	}
	e.changed.notify()
}

// exchangeWith sends what this host knows to the host at an address and takes what that
// one knows, in as many calls as needed. It returns the start of the process of that
// host, zero if it does not tell.
func (e *Exchanger) exchangeWith(ctx context.Context, address string) (started time.Time, err error) {
	defer func() { err = eris.Wrapf(err, "exchange with %s", address) }()
	stub := hostv1connect.NewHostServiceClient(e.HTTP, "http://"+address, connect.WithReadMaxBytes(maxRequestBytes))
	var sent dcquarantine.Digest
	request := &hostv1.ShareSuspicionsRequest{Exchange: true}
	request.Suspicions, request.More = e.Suspicions("")
	for range maxExchangeCalls {
		request.Host = e.Host()
		answer, err := e.call(ctx, stub, request)
		if err != nil {
			return time.Time{}, err
		}
		e.Merge(answer.GetSuspicions())
		if answer.GetHost() == nil && len(request.GetSuspicions()) > 0 {
			// A host of an earlier version tells what it knows only if it is sent nothing.
			sent = lastDigest(request.GetSuspicions(), sent)
			request = &hostv1.ShareSuspicionsRequest{Exchange: true, More: request.GetMore()}
			continue
		}
		host := answer.GetHost()
		if host.GetStarted() != nil {
			started = host.GetStarted().AsTime()
		}
		if host.GetState() == hostv1.State_STATE_LEAVING {
			e.HostLeaves(dcid.HostID(host.GetHostId()))
		}
		if !request.GetMore() && !answer.GetMore() {
			return started, nil
		}
		sent = lastDigest(request.GetSuspicions(), sent)
		next := &hostv1.ShareSuspicionsRequest{Exchange: true, After: string(lastDigest(answer.GetSuspicions(), dcquarantine.Digest(request.GetAfter())))}
		if request.GetMore() {
			next.Suspicions, next.More = e.Suspicions(sent)
		}
		request = next
	}
	return started, eris.Errorf("not complete after %d calls", maxExchangeCalls)
}

func (e *Exchanger) call(ctx context.Context, stub hostv1connect.HostServiceClient, request *hostv1.ShareSuspicionsRequest) (answer *hostv1.ShareSuspicionsResponse, err error) {
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, callTimeout)
	defer cancel()
	response, err := stub.ShareSuspicions(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// lastDigest returns the digest of the last suspicion, or that of an earlier one if there
// are none.
func lastDigest(suspicions []*peerv1.Suspicion, earlier dcquarantine.Digest) dcquarantine.Digest {
	if len(suspicions) == 0 {
		return earlier
	}
	return dcquarantine.Digest(suspicions[len(suspicions)-1].GetDigest())
}

// Answer answers a call of an exchange that another host has begun.
func (e *Exchanger) Answer(request *hostv1.ShareSuspicionsRequest) *hostv1.ShareSuspicionsResponse {
	host := request.GetHost()
	e.mu.Lock()
	call := e.plan.Answering(host.GetControlAddress())
	e.mu.Unlock()
	e.Merge(request.GetSuspicions())
	response := &hostv1.ShareSuspicionsResponse{Host: e.Host()}
	response.Suspicions, response.More = e.Suspicions(dcquarantine.Digest(request.GetAfter()))
	if request.GetAfter() != "" || request.GetMore() || response.GetMore() {
		// What this host learned between the calls may be missing in the answers.
		return response
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var started time.Time
	if host.GetStarted() != nil {
		started = host.GetStarted().AsTime()
	}
	e.plan.Answered(call, started, e.Clock.Now())
	return response
}
