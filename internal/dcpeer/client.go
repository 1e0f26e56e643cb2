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
	// idleConnTimeout and maxIdleConns bound the idle connections in a tier of
	// 1,300 hosts, where a host calls other random peers in each interval.
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 64
	// maxIdleConnsPerHost lets concurrent claims reuse connections.
	maxIdleConnsPerHost = 16
	// maxStubs is the number of addresses whose generated clients are kept.
	maxStubs = 4096
)

// Options configures a Client or a handler.
type Options struct {
	// TLS is the configuration of mutual TLS; plain HTTP when nil. The client
	// presents its certificate and verifies that of the server. NewHandler
	// ignores it: the listener of the handler sets up TLS.
	TLS *tls.Config
	// Timeout limits each call of a Client, 1 s when 0. The context may end a
	// call earlier.
	Timeout time.Duration
	// MaxMessageBytes limits each message that is sent or received, 4 MiB when 0.
	MaxMessageBytes int
}

// Client implements Peer with connect-go. It reuses connections and is safe
// for concurrent use.
type Client struct {
	options   Options
	scheme    string
	transport *http.Transport

	mu    sync.Mutex
	stubs map[string]peerv1connect.PeerServiceClient
}

var _ Peer = (*Client)(nil)

// NewClient returns a client. The caller closes it after use.
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

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// stub returns the generated client for an address. It clears the table of
// clients when the table is full, since the addresses of replaced hosts are
// never called again.
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

// call makes one unary call within the timeout.
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
	reply, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// checkSize rejects a message above the size limit before the call. The limit
// on sent messages of connect-go 1.21.1 is not enough: it returns the error but
// still sends the call with an empty body, which the peer runs as an empty
// message.
func (c *Client) checkSize(message proto.Message) error {
	if size := proto.Size(message); size > c.options.MaxMessageBytes {
		return connect.NewError(connect.CodeResourceExhausted, eris.Errorf("message of %d bytes exceeds the limit of %d", size, c.options.MaxMessageBytes))
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
