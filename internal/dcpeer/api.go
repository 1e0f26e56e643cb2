package dcpeer

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

// Service answers the calls of other hosts.
type Service interface {
	Exchange(ctx context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	FetchConfig(ctx context.Context, request *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error)
	Claim(ctx context.Context, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	Record(ctx context.Context, request *peerv1.RecordRequest) (*peerv1.RecordResponse, error)
	Lookup(ctx context.Context, request *peerv1.LookupRequest) (*peerv1.LookupResponse, error)
	PushSuspicion(ctx context.Context, request *peerv1.PushSuspicionRequest) (*peerv1.PushSuspicionResponse, error)
	FetchCounters(ctx context.Context, request *peerv1.FetchCountersRequest) (*peerv1.FetchCountersResponse, error)
}

// Options of a Client and a handler.
type Options struct {
	// TLS is the mutual TLS configuration; plain HTTP when nil.
	TLS             *tls.Config
	Timeout         time.Duration
	MaxMessageBytes int
}

// NewClient returns a Peer over connect-go; Close drops idle connections.
func NewClient(options Options) *Client { panic("todo") }

// Client implements Peer.
type Client struct{}

// NewHandler returns the path prefix and the handler of PeerService.
func NewHandler(service Service, options Options) (string, http.Handler) { panic("todo") }

// Network is an in-memory network for tests.
type Network struct{}
