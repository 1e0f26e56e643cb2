// Package dcpeer carries calls of PeerService between the hosts of the tier. It
// has the interfaces of both sides, their implementation with connect-go, and
// an in-memory network for tests.
package dcpeer

import (
	"context"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

// Peer calls PeerService on other hosts. The address is the peer address of
// the host to call. A lost reply is an error; every method is idempotent, so
// the caller may repeat it.
type Peer interface {
	Exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	FetchConfig(ctx context.Context, address string, request *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error)
	Claim(ctx context.Context, address string, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	Record(ctx context.Context, address string, request *peerv1.RecordRequest) (*peerv1.RecordResponse, error)
	Lookup(ctx context.Context, address string, request *peerv1.LookupRequest) (*peerv1.LookupResponse, error)
	PushSuspicion(ctx context.Context, address string, request *peerv1.PushSuspicionRequest) (*peerv1.PushSuspicionResponse, error)
	FetchCounters(ctx context.Context, address string, request *peerv1.FetchCountersRequest) (*peerv1.FetchCountersResponse, error)
}
