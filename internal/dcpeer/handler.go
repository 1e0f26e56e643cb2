package dcpeer

import (
	"cmp"
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
	"github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1/peerv1connect"
)

// Service handles the calls of other hosts. If an error is a *connect.Error,
// the caller receives its code.
type Service interface {
	Exchange(ctx context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	FetchConfig(ctx context.Context, request *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error)
	Claim(ctx context.Context, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	Record(ctx context.Context, request *peerv1.RecordRequest) (*peerv1.RecordResponse, error)
	Lookup(ctx context.Context, request *peerv1.LookupRequest) (*peerv1.LookupResponse, error)
	PushSuspicion(ctx context.Context, request *peerv1.PushSuspicionRequest) (*peerv1.PushSuspicionResponse, error)
	FetchCounters(ctx context.Context, request *peerv1.FetchCountersRequest) (*peerv1.FetchCountersResponse, error)
}

// NewHandler returns the path prefix and the HTTP handler of PeerService.
func NewHandler(service Service, options Options) (prefix string, handler http.Handler) {
	limit := cmp.Or(options.MaxMessageBytes, defaultMaxMessageBytes)
	return peerv1connect.NewPeerServiceHandler(
		serviceHandler{service: service},
		connect.WithReadMaxBytes(limit),
		connect.WithSendMaxBytes(limit),
	)
}

// serviceHandler adapts a Service to the generated handler interface, whose
// methods take a connect.Request and return a connect.Response.
type serviceHandler struct {
	service Service
}

// callService calls a method of Service with the message of a connect.Request.
func callService[Request, Response any](
	ctx context.Context,
	method func(context.Context, *Request) (*Response, error),
	request *connect.Request[Request],
) (*connect.Response[Response], error) {
	response, err := method(ctx, request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

func (a serviceHandler) Exchange(ctx context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	return callService(ctx, a.service.Exchange, request)
}

func (a serviceHandler) FetchConfig(ctx context.Context, request *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.FetchConfigResponse], error) {
	return callService(ctx, a.service.FetchConfig, request)
}

func (a serviceHandler) Claim(ctx context.Context, request *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.ClaimResponse], error) {
	return callService(ctx, a.service.Claim, request)
}

func (a serviceHandler) Record(ctx context.Context, request *connect.Request[peerv1.RecordRequest]) (*connect.Response[peerv1.RecordResponse], error) {
	return callService(ctx, a.service.Record, request)
}

func (a serviceHandler) Lookup(ctx context.Context, request *connect.Request[peerv1.LookupRequest]) (*connect.Response[peerv1.LookupResponse], error) {
	return callService(ctx, a.service.Lookup, request)
}

func (a serviceHandler) PushSuspicion(ctx context.Context, request *connect.Request[peerv1.PushSuspicionRequest]) (*connect.Response[peerv1.PushSuspicionResponse], error) {
	return callService(ctx, a.service.PushSuspicion, request)
}

func (a serviceHandler) FetchCounters(ctx context.Context, request *connect.Request[peerv1.FetchCountersRequest]) (*connect.Response[peerv1.FetchCountersResponse], error) {
	return callService(ctx, a.service.FetchCounters, request)
}
