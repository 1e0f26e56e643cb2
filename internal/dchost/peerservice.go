package dchost

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcledger"
	"github.com/dandelioncart/dandelioncart/internal/dcpeer"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// peerService serves the calls of other hosts.
type peerService struct {
	*Host
}

var _ dcpeer.Service = peerService{}

func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(dcpeer.NewHandler(peerService{h}, dcpeer.Options{}))
	return mux
}

// Exchange implements dcpeer.Service.
func (s peerService) Exchange(_ context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	if request.GetSender() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("sender is missing"))
	}
	s.receiveHeartbeat(request.GetSender(), request.GetMembers(), request.GetLeaving(), request.GetSuspicions())
	now := s.wallNow()
	s.counters.merge(request.GetCounters(), now)
	response := &peerv1.ExchangeResponse{}
	response.Sender, response.Members, response.Leaving, response.Suspicions = s.buildHeartbeat(dcid.HostID(request.GetSender().GetHostId()), now)
	return response, nil
}

// FetchConfig implements dcpeer.Service.
func (s peerService) FetchConfig(_ context.Context, request *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	accepted := s.view.Load().accepted
	wanted := dcid.Revision(request.GetRevision())
	if accepted == nil || wanted != 0 && wanted != accepted.Revision {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("revision is not in force here"))
	}
	return &peerv1.FetchConfigResponse{Revision: accepted.Record}, nil
}

// ledgerError converts a result without an entry into an error.
func ledgerError(result dcledger.Result) error {
	if result.Code == dcreason.OK {
		return nil
	}
	return connect.NewError(connect.CodeUnavailable, errors.New(string(result.Code)))
}

// checkPartition rejects partitions that the configuration does not have, which
// limits the number of committers that a peer can create.
func (s peerService) checkPartition(number int32) error {
	if number < 0 || number >= s.view.Load().configuration().GetLedgerPartitions() {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("partition is not configured here"))
	}
	return nil
}

// Claim implements dcpeer.Service.
func (s peerService) Claim(ctx context.Context, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	if err := s.checkPartition(request.GetPartition()); err != nil {
		return nil, err
	}
	select {
	case result := <-s.claimLocally(dcid.Partition(request.GetPartition()), request.GetEntry()):
		return &peerv1.ClaimResponse{Entry: result.Entry}, ledgerError(result)
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, context.Cause(ctx))
	}
}

// Record implements dcpeer.Service.
func (s peerService) Record(ctx context.Context, request *peerv1.RecordRequest) (*peerv1.RecordResponse, error) {
	if err := s.checkPartition(request.GetPartition()); err != nil {
		return nil, err
	}
	select {
	case result := <-s.recordLocally(dcid.Partition(request.GetPartition()), request.GetEntry()):
		return &peerv1.RecordResponse{}, ledgerError(result)
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, context.Cause(ctx))
	}
}

// Lookup implements dcpeer.Service.
func (s peerService) Lookup(ctx context.Context, request *peerv1.LookupRequest) (*peerv1.LookupResponse, error) {
	department, key := dcid.Department(request.GetDepartment()), dcid.OrderKey(request.GetKey())
	partitions := s.view.Load().configuration().GetLedgerPartitions()
	if partitions == 0 {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("no configuration is in force here"))
	}
	select {
	case result := <-s.lookupLocally(dcledger.PartitionOf(department, key, partitions), department, key):
		return &peerv1.LookupResponse{Entry: result.Entry}, ledgerError(result)
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, context.Cause(ctx))
	}
}

// PushSuspicion implements dcpeer.Service.
func (s peerService) PushSuspicion(_ context.Context, request *peerv1.PushSuspicionRequest) (*peerv1.PushSuspicionResponse, error) {
	s.quarantine.merge(request.GetSuspicions(), s.wallNow())
	return &peerv1.PushSuspicionResponse{}, nil
}

// FetchCounters implements dcpeer.Service.
func (s peerService) FetchCounters(_ context.Context, request *peerv1.FetchCountersRequest) (*peerv1.FetchCountersResponse, error) {
	from := time.Unix(request.GetFromMinute()*60, 0)
	until := time.Unix((request.GetUntilMinute()+1)*60, 0)
	return &peerv1.FetchCountersResponse{Rows: s.counters.rows(from, until)}, nil
}
