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
	// ErrUnreachable reports a call that did not reach the peer.
	ErrUnreachable = connect.NewError(connect.CodeUnavailable, errors.New("peer cannot be reached"))
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
	mu          sync.Mutex
	services    map[string]Service
	blocked     map[link]bool
	held        map[link]bool
	lostReplies map[link]int
	waiting     []*heldCall
	// callHeld is closed and replaced when a call is held.
	callHeld chan struct{}
}

// heldCall is a call that waits for DeliverHeld.
type heldCall struct {
	link      link
	delivered chan struct{}
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		services:    map[string]Service{},
		blocked:     map[link]bool{},
		held:        map[link]bool{},
		lostReplies: map[link]int{},
		callHeld:    make(chan struct{}),
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

// SetBlocked fails calls from one address to another, or lets them pass again.
func (n *Network) SetBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = blocked
}

// SetHeld makes calls from one address to another wait for DeliverHeld. Calls that
// already wait are not affected when it ends.
func (n *Network) SetHeld(from, to string, hold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[link{from, to}] = hold
}

// LoseReplies makes the next calls from one address to another run and fail.
func (n *Network) LoseReplies(from, to string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lostReplies[link{from, to}] = count
}

// DeliverHeld lets the oldest held calls go on and returns how many there were, at
// most count.
func (n *Network) DeliverHeld(count int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count = min(count, len(n.waiting))
	for _, waiting := range n.waiting[:count] {
		close(waiting.delivered)
	}
	n.waiting = slices.Delete(n.waiting, 0, count)
	return count
}

// AwaitHeld returns when at least count calls are held.
func (n *Network) AwaitHeld(ctx context.Context, count int) error {
	for {
		n.mu.Lock()
		held, callHeld := len(n.waiting), n.callHeld
		n.mu.Unlock()
		if held >= count {
			return nil
		}
		select {
		case <-callHeld:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// From returns the Peer of a host at an address.
func (n *Network) From(address string) Peer {
	return networkPeer{network: n, address: address}
}

// waitIfHeld waits for delivery when the link is held.
func (n *Network) waitIfHeld(ctx context.Context, path link) error {
	n.mu.Lock()
	if !n.held[path] {
		n.mu.Unlock()
		return nil
	}
	waiting := &heldCall{link: path, delivered: make(chan struct{})}
	n.waiting = append(n.waiting, waiting)
	close(n.callHeld)
	n.callHeld = make(chan struct{})
	n.mu.Unlock()
	select {
	case <-waiting.delivered:
		return nil
	case <-ctx.Done():
		n.removeHeldCall(waiting)
		return ctx.Err()
	}
}

func (n *Network) removeHeldCall(waiting *heldCall) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting = slices.DeleteFunc(n.waiting, func(other *heldCall) bool { return other == waiting })
}

// serviceAt returns the service at the end of a link.
func (n *Network) serviceAt(path link) (Service, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	service, ok := n.services[path.to]
	if !ok || n.blocked[path] {
		return nil, ErrUnreachable
	}
	return service, nil
}

// takeLostReply reports whether the reply to a call is lost.
func (n *Network) takeLostReply(path link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked[path] {
		return true
	}
	if n.lostReplies[path] == 0 {
		return false
	}
	n.lostReplies[path]--
	return true
}

// networkPeer is the Peer of one host.
type networkPeer struct {
	network *Network
	address string
}

func transmit[Request, Response proto.Message](
	ctx context.Context,
	c networkPeer,
	to string,
	method func(Service, context.Context, Request) (Response, error),
	request Request,
) (response Response, err error) {
	path := link{c.address, to}
	request = proto.CloneOf(request)
	if err := c.network.waitIfHeld(ctx, path); err != nil {
		return response, err
	}
	service, err := c.network.serviceAt(path)
	if err != nil {
		return response, err
	}
	answer, err := method(service, ctx, request)
	if c.network.takeLostReply(path) {
		return response, ErrReplyLost
	}
	if err != nil {
		return response, err
	}
	return proto.CloneOf(answer), nil
}

func (c networkPeer) Exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return transmit(ctx, c, address, Service.Exchange, request)
}

func (c networkPeer) FetchConfig(ctx context.Context, address string, request *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	return transmit(ctx, c, address, Service.FetchConfig, request)
}

func (c networkPeer) Claim(ctx context.Context, address string, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return transmit(ctx, c, address, Service.Claim, request)
}

func (c networkPeer) Record(ctx context.Context, address string, request *peerv1.RecordRequest) (*peerv1.RecordResponse, error) {
	return transmit(ctx, c, address, Service.Record, request)
}

func (c networkPeer) Lookup(ctx context.Context, address string, request *peerv1.LookupRequest) (*peerv1.LookupResponse, error) {
	return transmit(ctx, c, address, Service.Lookup, request)
}

func (c networkPeer) PushSuspicion(ctx context.Context, address string, request *peerv1.PushSuspicionRequest) (*peerv1.PushSuspicionResponse, error) {
	return transmit(ctx, c, address, Service.PushSuspicion, request)
}

func (c networkPeer) FetchCounters(ctx context.Context, address string, request *peerv1.FetchCountersRequest) (*peerv1.FetchCountersResponse, error) {
	return transmit(ctx, c, address, Service.FetchCounters, request)
}
