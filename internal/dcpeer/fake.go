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

// Errors of the in-memory network. Both have the code connect.CodeUnavailable.
var (
	// ErrUnreachable reports a call that did not reach the peer and did not run.
	ErrUnreachable = connect.NewError(connect.CodeUnavailable, errors.New("peer cannot be reached"))
	// ErrReplyLost reports a call that ran on the peer but whose reply was lost.
	ErrReplyLost = connect.NewError(connect.CodeUnavailable, errors.New("reply of the peer was lost"))
)

// link is one direction of a connection: from a calling host to a called one.
type link struct {
	from, to string
}

// Network is an in-memory network for tests that can block links, hold calls
// and lose replies. Requests and responses are copied, as a real network does.
// It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	services map[string]Service
	blocked  map[link]bool
	held     map[link]bool
	// lostReplies holds the number of next replies to lose.
	lostReplies map[link]int
	// waiting holds the held calls, oldest first.
	waiting []*heldCall
	// callHeld is closed and replaced when a call is held.
	callHeld chan struct{}
}

// heldCall is a call that waits for DeliverHeld, which closes delivered.
type heldCall struct {
	link      link
	delivered chan struct{}
}

// NewNetwork returns a network without services.
func NewNetwork() *Network {
	return &Network{
		services:    map[string]Service{},
		blocked:     map[link]bool{},
		held:        map[link]bool{},
		lostReplies: map[link]int{},
		callHeld:    make(chan struct{}),
	}
}

// Attach makes a service reachable at an address. A nil service detaches the
// address.
func (n *Network) Attach(address string, service Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if service == nil {
		delete(n.services, address)
		return
	}
	n.services[address] = service
}

// SetBlocked makes calls from one address to another fail, or succeed again.
// Calls in the other direction are not affected. A call that is running when
// its link becomes blocked loses its reply.
func (n *Network) SetBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = blocked
}

// SetHeld makes calls from one address to another wait for DeliverHeld, or
// pass again. Calls that already wait still need DeliverHeld after that.
func (n *Network) SetHeld(from, to string, hold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[link{from, to}] = hold
}

// LoseReplies makes the next count calls from one address to another run on
// the peer and return ErrReplyLost.
func (n *Network) LoseReplies(from, to string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lostReplies[link{from, to}] = count
}

// DeliverHeld delivers the oldest held calls of the network, at most count of
// them, and returns their number.
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

// AwaitHeld blocks until at least count calls are held.
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

// From returns the Peer with which the host at an address calls others.
func (n *Network) From(address string) Peer {
	return networkPeer{network: n, address: address}
}

// waitIfHeld blocks until the call is delivered, if its link is held.
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

// removeHeldCall removes a held call whose context ended.
func (n *Network) removeHeldCall(waiting *heldCall) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting = slices.DeleteFunc(n.waiting, func(other *heldCall) bool { return other == waiting })
}

// serviceAt returns the service that a link leads to, or ErrUnreachable.
func (n *Network) serviceAt(path link) (Service, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	service, ok := n.services[path.to]
	if !ok || n.blocked[path] {
		return nil, ErrUnreachable
	}
	return service, nil
}

// takeLostReply reports whether the reply to a call is lost: its link is
// blocked, or LoseReplies applies to it. It counts the reply in the latter case.
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

// networkPeer is the Peer of one host in a Network.
type networkPeer struct {
	network *Network
	address string
}

// transmit calls a method of the service at an address over the network, with
// its faults. An error of the service is returned unless the reply is lost.
func transmit[Request, Response proto.Message](
	ctx context.Context,
	peer networkPeer,
	to string,
	method func(Service, context.Context, Request) (Response, error),
	request Request,
) (response Response, err error) {
	path := link{peer.address, to}
	request = proto.CloneOf(request)
	if err := peer.network.waitIfHeld(ctx, path); err != nil {
		return response, err
	}
	service, err := peer.network.serviceAt(path)
	if err != nil {
		return response, err
	}
	reply, err := method(service, ctx, request)
	if peer.network.takeLostReply(path) {
		return response, ErrReplyLost
	}
	if err != nil {
		return response, err
	}
	return proto.CloneOf(reply), nil
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
