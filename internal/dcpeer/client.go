package dcpeer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
	"github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1/peerv1connect"
)

const (
	defaultTimeout         = time.Second
	defaultMaxMessageBytes = 4 << 20
	// idleConnTimeout and maxIdleConns bound the connections kept at 1,300 hosts, where
	// each interval has other random peers.
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 64
	// maxIdleConnsPerHost serves claims, which run at once, without new connections.
	maxIdleConnsPerHost = 16
	maxStubs            = 4096
)

// Options of a Client and a handler.
type Options struct {
	// TLS is the configuration of mutual TLS; plain HTTP when nil. The client
	// presents its certificate and checks the server's. The handler's side
	// belongs to its listener.
	TLS *tls.Config
	// Timeout bounds each call; the context may end it earlier.
	Timeout time.Duration
	// MaxMessageBytes bounds each message that is sent or received.
	MaxMessageBytes int
}

// Client implements Peer with connect-go. It keeps connections for reuse.
type Client struct {
	options   Options
	scheme    string
	transport *http.Transport

	mu    sync.Mutex
	stubs map[string]peerv1connect.PeerServiceClient
}

var _ Peer = (*Client)(nil)

// NewClient returns a client; Close it after use.
func NewClient(options Options) *Client {
	options.Timeout = cmp.Or(options.Timeout, defaultTimeout)
	options.MaxMessageBytes = cmp.Or(options.MaxMessageBytes, defaultMaxMessageBytes)
	client := &Client{options: options, scheme: "http", stubs: map[string]peerv1connect.PeerServiceClient{}}
	client.transport = &http.Transport{
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	}
	if options.TLS != nil {
		client.scheme = "https"
		client.transport.TLSClientConfig = options.TLS.Clone()
		client.transport.ForceAttemptHTTP2 = true
	}
	return client
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// stub returns the generated client for an address. The table is emptied when
// it is full, since hosts that were replaced never come back.
func (c *Client) stub(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stub, ok := c.stubs[address]; ok {
		return stub
	}
	if len(c.stubs) >= maxStubs {
		clear(c.stubs)
	}
	stub := peerv1connect.NewPeerServiceClient(
		&http.Client{Transport: c.transport},
		c.scheme+"://"+address,
		connect.WithReadMaxBytes(c.options.MaxMessageBytes),
	)
	c.stubs[address] = stub
	return stub
}

// call runs one unary call with the timeout.
func call[Request, Response any](
	ctx context.Context,
	c *Client,
	address string,
	method func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
	request *Request,
) (response *Response, err error) {
	defer func() { err = eris.Wrapf(err, "call peer %s", address) }()
	if err := c.checkSize(any(request).(proto.Message)); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	answer, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// checkSize refuses a message before the call. The limit of connect-go 1.21.1
// alone reports the error but still sends the call with an empty body, which
// the peer runs as an empty message.
func (c *Client) checkSize(message proto.Message) error {
	if size := proto.Size(message); size > c.options.MaxMessageBytes {
		return connect.NewError(connect.CodeResourceExhausted, eris.Errorf("message of %d bytes, at most %d are sent", size, c.options.MaxMessageBytes))
	}
	return nil
}

// Exchange implements Peer.
func (c *Client) Exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return call(ctx, c, address, c.stub(address).Exchange, request)
}

// FetchConfig implements Peer.
func (c *Client) FetchConfig(ctx context.Context, address string, request *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	return call(ctx, c, address, c.stub(address).FetchConfig, request)
}

// Claim implements Peer.
func (c *Client) Claim(ctx context.Context, address string, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return call(ctx, c, address, c.stub(address).Claim, request)
}

// Record implements Peer.
func (c *Client) Record(ctx context.Context, address string, request *peerv1.RecordRequest) (*peerv1.RecordResponse, error) {
	return call(ctx, c, address, c.stub(address).Record, request)
}

// Lookup implements Peer.
func (c *Client) Lookup(ctx context.Context, address string, request *peerv1.LookupRequest) (*peerv1.LookupResponse, error) {
	return call(ctx, c, address, c.stub(address).Lookup, request)
}

// PushSuspicion implements Peer.
func (c *Client) PushSuspicion(ctx context.Context, address string, request *peerv1.PushSuspicionRequest) (*peerv1.PushSuspicionResponse, error) {
	return call(ctx, c, address, c.stub(address).PushSuspicion, request)
}

// FetchCounters implements Peer.
func (c *Client) FetchCounters(ctx context.Context, address string, request *peerv1.FetchCountersRequest) (*peerv1.FetchCountersResponse, error) {
	return call(ctx, c, address, c.stub(address).FetchCounters, request)
}
