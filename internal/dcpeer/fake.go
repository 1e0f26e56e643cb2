package dcpeer

import (
	"context"
	"errors"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

// Errors of the in-memory network. Both have the connect code unavailable.
var (
	// ErrCut reports a call that did not reach the peer.
	ErrCut = connect.NewError(connect.CodeUnavailable, errors.New("peer cannot be reached"))
	// ErrReplyLost reports a call that the peer answered in vain.
	ErrReplyLost = connect.NewError(connect.CodeUnavailable, errors.New("reply of the peer was lost"))
)

// link is the direction from a caller to a peer.
type link struct {
	from, to string
}

// Network is an in-memory network for tests, with cuts, delays and lost
// replies. Messages are copied, as on a wire. It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	services map[string]Service
	cut      map[link]bool
	held     map[link]bool
	lost     map[link]int
	waiting  []*heldCall
	// arrived is closed and replaced when a call is held.
	arrived chan struct{}
}

// heldCall is a call that waits for Deliver.
type heldCall struct {
	link    link
	deliver chan struct{}
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		services: map[string]Service{},
		cut:      map[link]bool{},
		held:     map[link]bool{},
		lost:     map[link]int{},
		arrived:  make(chan struct{}),
	}
}

// Attach makes a service reachable at an address; nil detaches it.
func (n *Network) Attach(address string, service Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if service == nil {
		delete(n.services, address)
		return
	}
	n.services[address] = service
}

// Cut fails calls from one address to another, or lets them pass again.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

// Hold makes calls from one address to another wait for Deliver. Calls that
// already wait are not affected when it ends.
func (n *Network) Hold(from, to string, hold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[link{from, to}] = hold
}

// LoseReplies makes the next calls from one address to another run and fail.
func (n *Network) LoseReplies(from, to string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost[link{from, to}] = count
}

// Deliver lets the oldest held calls go on and returns how many there were, at
// most count.
func (n *Network) Deliver(count int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count = min(count, len(n.waiting))
	for _, waiting := range n.waiting[:count] {
		close(waiting.deliver)
	}
	n.waiting = slices.Delete(n.waiting, 0, count)
	return count
}

// AwaitHeld returns when at least count calls are held.
func (n *Network) AwaitHeld(ctx context.Context, count int) error {
	for {
		n.mu.Lock()
		held, arrived := len(n.waiting), n.arrived
		n.mu.Unlock()
		if held >= count {
			return nil
		}
		select {
		case <-arrived:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// From returns the Peer of a host at an address.
func (n *Network) From(address string) Peer {
	return caller{network: n, address: address}
}

// hold waits for delivery when the link is held.
func (n *Network) hold(ctx context.Context, path link) error {
	n.mu.Lock()
	if !n.held[path] {
		n.mu.Unlock()
		return nil
	}
	waiting := &heldCall{link: path, deliver: make(chan struct{})}
	n.waiting = append(n.waiting, waiting)
	close(n.arrived)
	n.arrived = make(chan struct{})
	n.mu.Unlock()
	select {
	case <-waiting.deliver:
		return nil
	case <-ctx.Done():
		n.abandon(waiting)
		return ctx.Err()
	}
}

func (n *Network) abandon(waiting *heldCall) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting = slices.DeleteFunc(n.waiting, func(other *heldCall) bool { return other == waiting })
}

// reach returns the service at the end of a link.
func (n *Network) reach(path link) (Service, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	service, ok := n.services[path.to]
	if !ok || n.cut[path] {
		return nil, ErrCut
	}
	return service, nil
}

// loses reports whether the reply to a call is lost.
func (n *Network) loses(path link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[path] {
		return true
	}
	if n.lost[path] == 0 {
		return false
	}
	n.lost[path]--
	return true
}

// caller is the Peer of one host.
type caller struct {
	network *Network
	address string
}

func transmit[Request, Response proto.Message](
	ctx context.Context,
	c caller,
	to string,
	method func(Service, context.Context, Request) (Response, error),
	request Request,
) (response Response, err error) {
	path := link{c.address, to}
	request = proto.CloneOf(request)
	if err := c.network.hold(ctx, path); err != nil {
		return response, err
	}
	service, err := c.network.reach(path)
	if err != nil {
		return response, err
	}
	answer, err := method(service, ctx, request)
	if c.network.loses(path) {
		return response, ErrReplyLost
	}
	if err != nil {
		return response, err
	}
	return proto.CloneOf(answer), nil
}

func (c caller) Exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return transmit(ctx, c, address, Service.Exchange, request)
}

func (c caller) FetchConfig(ctx context.Context, address string, request *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	return transmit(ctx, c, address, Service.FetchConfig, request)
}

func (c caller) Claim(ctx context.Context, address string, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return transmit(ctx, c, address, Service.Claim, request)
}

func (c caller) Record(ctx context.Context, address string, request *peerv1.RecordRequest) (*peerv1.RecordResponse, error) {
	return transmit(ctx, c, address, Service.Record, request)
}

func (c caller) Lookup(ctx context.Context, address string, request *peerv1.LookupRequest) (*peerv1.LookupResponse, error) {
	return transmit(ctx, c, address, Service.Lookup, request)
}

func (c caller) PushSuspicion(ctx context.Context, address string, request *peerv1.PushSuspicionRequest) (*peerv1.PushSuspicionResponse, error) {
	return transmit(ctx, c, address, Service.PushSuspicion, request)
}

func (c caller) FetchCounters(ctx context.Context, address string, request *peerv1.FetchCountersRequest) (*peerv1.FetchCountersResponse, error) {
	return transmit(ctx, c, address, Service.FetchCounters, request)
}
