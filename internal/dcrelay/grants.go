package dcrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"
	"github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1/hostv1connect"
)

// maxGrantsBytes is the maximum size of a request for grants and of its answer.
const maxGrantsBytes = 1 << 20

// RequestGrants implements hostv1connect.HostServiceHandler.
func (s *RecordServer) RequestGrants(_ context.Context, request *connect.Request[hostv1.RequestGrantsRequest]) (*connect.Response[hostv1.RequestGrantsResponse], error) {
	if s.Grants == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this host enforces no quotas"))
	}
	response, err := s.Grants(request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// GrantClient requests grants from other hosts.
type GrantClient struct {
	HTTP *http.Client
	// Timeout limits a call. A grant that comes later has ended.
	Timeout time.Duration
}

// RequestGrants asks the host at an address.
func (c *GrantClient) RequestGrants(ctx context.Context, address string, request *hostv1.RequestGrantsRequest) (response *hostv1.RequestGrantsResponse, err error) {
	defer func() { err = eris.Wrapf(err, "request grants from %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	// The messages are too small for compression.
	stub := hostv1connect.NewHostServiceClient(c.HTTP, "http://"+address, connect.WithReadMaxBytes(maxGrantsBytes), connect.WithAcceptCompression("gzip", nil, nil))
	answer, err := stub.RequestGrants(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
