// Package dcrelay exchanges between hosts copies of the store's records, which a
// host requests only while it cannot reach the store itself, and what they know of
// requests that crash servers.
package dcrelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"
	"github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1/hostv1connect"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// callTimeout is the timeout of a call to another host, which answers from
	// memory. A host that the network does not reach does not answer at all.
	callTimeout = 400 * time.Millisecond
	// maxMessageBytes is the maximum size of a message. A copy holds some hundred
	// servers and a configuration.
	maxMessageBytes = 16 << 20
	// maxRequestBytes is the maximum size of a request. The largest ones hold
	// suspicions, of some hundred bytes each.
	maxRequestBytes = 1 << 20
)

// ErrNoHost reports that no other host is known.
var ErrNoHost = errors.New("no other host is known")

// RecordServer serves this host's copy of the records to other hosts.
type RecordServer struct {
	// Copy returns this host's copy, without its records unless it is newer than
	// the known position, and with its lasting record if that is asked for.
	Copy func(known dcstore.Position, lasting bool) dcstore.Copy
	// Host returns the host record of this host.
	Host func() *hostv1.Record
	// Merge takes the suspicions of another host, and Suspicions returns those of
	// this one.
	Merge      func(suspicions []*peerv1.Suspicion)
	Suspicions func() []*peerv1.Suspicion
	// Exchange answers a call of an exchange.
	Exchange func(request *hostv1.ShareSuspicionsRequest) *hostv1.ShareSuspicionsResponse
	// Follow answers a host that follows this one. It may be nil.
	Follow func(ctx context.Context, query dcstore.FollowQuery) dcstore.FollowAnswer
	// HostLeaves is called with the ID of a host that says that it stops.
	HostLeaves func(host dcid.HostID)
	// Grants answers requests for grants, nil if this host grants none. Its error may
	// be ErrStoreReached.
	Grants func(request *hostv1.RequestGrantsRequest) (*hostv1.RequestGrantsResponse, error)

	hostv1connect.UnimplementedHostServiceHandler
}

var _ hostv1connect.HostServiceHandler = (*RecordServer)(nil)

// Handler returns the path and the HTTP handler of the service. It takes no compressed
// requests, which hosts do not send, since a small one may hold much memory.
func (s *RecordServer) Handler() (string, http.Handler) {
	path, handler := hostv1connect.NewHostServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range encodingHeaders {
			if encoding := r.Header.Get(name); encoding != "" && encoding != "identity" {
				http.Error(w, "compressed requests are not supported", http.StatusUnsupportedMediaType)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// encodingHeaders are the header fields that name the compression of a request in the
// protocols that the handler serves.
var encodingHeaders = []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"}

// FetchRecords implements hostv1connect.HostServiceHandler.
func (s *RecordServer) FetchRecords(_ context.Context, request *connect.Request[hostv1.FetchRecordsRequest]) (*connect.Response[hostv1.FetchRecordsResponse], error) {
	known := dcstore.Position{Era: dcstore.Era(request.Msg.GetKnownEra()), Revision: dcstore.Revision(request.Msg.GetKnownRevision())}
	copied := s.Copy(known, request.Msg.GetLasting())
	response := &hostv1.FetchRecordsResponse{
		Host: s.Host(), Era: int64(copied.Position.Era), Revision: int64(copied.Position.Revision), PendingRemovals: copied.PendingRemovals,
	}
	if copied.Lasting != nil {
		response.Lasting = toMessage(copied.Lasting)
	}
	for i := range copied.Records {
		response.Records = append(response.Records, toMessage(&copied.Records[i]))
	}
	return connect.NewResponse(response), nil
}

// ShareSuspicions implements hostv1connect.HostServiceHandler.
func (s *RecordServer) ShareSuspicions(_ context.Context, request *connect.Request[hostv1.ShareSuspicionsRequest]) (*connect.Response[hostv1.ShareSuspicionsResponse], error) {
	if host := request.Msg.GetHost(); host.GetState() == hostv1.State_STATE_LEAVING {
		s.HostLeaves(dcid.HostID(host.GetHostId()))
	}
	if request.Msg.GetExchange() {
		return connect.NewResponse(s.Exchange(request.Msg)), nil
	}
	response := &hostv1.ShareSuspicionsResponse{}
	if suspicions := request.Msg.GetSuspicions(); len(suspicions) > 0 {
		s.Merge(suspicions)
		return connect.NewResponse(response), nil
	}
	response.Suspicions = s.Suspicions()
	return connect.NewResponse(response), nil
}

// Client fetches records from other hosts.
type Client struct {
	HTTP *http.Client
	// Addresses returns the addresses of other hosts.
	Addresses func() []string
	// RecordReceived is called with the host record of each host that answers with
	// one.
	RecordReceived func(host *hostv1.Record)
	Random         *rand.Rand
}

func toMessage(record *dcstore.Record) *hostv1.StoredRecord {
	return &hostv1.StoredRecord{Key: record.Key, Value: record.Value, Era: int64(record.Era), Modified: int64(record.Modified)}
}

func fromMessage(message *hostv1.StoredRecord) dcstore.Record {
	return dcstore.Record{Key: message.GetKey(), Value: message.GetValue(), Era: dcstore.Era(message.GetEra()), Modified: dcstore.Revision(message.GetModified())}
}

// Fetch requests the records from another host, selected at random, if its copy
// is newer than the known position. Otherwise it returns no records. With lasting
// set, it also requests the lasting record. Its error wraps ErrNoHost if Addresses
// returns none.
func (c *Client) Fetch(ctx context.Context, known dcstore.Position, lasting bool) (copied dcstore.Copy, err error) {
	defer func() { err = eris.Wrap(err, "fetch records from another host") }()
	addresses := c.Addresses()
	if len(addresses) == 0 {
		return dcstore.Copy{}, ErrNoHost
	}
	address := addresses[c.Random.IntN(len(addresses))]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stub := hostv1connect.NewHostServiceClient(c.HTTP, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	response, err := stub.FetchRecords(ctx, connect.NewRequest(&hostv1.FetchRecordsRequest{
		KnownEra: int64(known.Era), KnownRevision: int64(known.Revision), Lasting: lasting,
	}))
	if err != nil {
		return dcstore.Copy{}, err
	}
	if host := response.Msg.GetHost(); host != nil {
		c.RecordReceived(host)
	}
	copied = dcstore.Copy{
		Position:        dcstore.Position{Era: dcstore.Era(response.Msg.GetEra()), Revision: dcstore.Revision(response.Msg.GetRevision())},
		PendingRemovals: response.Msg.GetPendingRemovals(),
	}
	if message := response.Msg.GetLasting(); message != nil {
		record := fromMessage(message)
		copied.Lasting = &record
	}
	for _, message := range response.Msg.GetRecords() {
		copied.Records = append(copied.Records, fromMessage(message))
	}
	return copied, nil
}

// OtherAddresses returns the addresses of all lists without duplicates, empty
// ones and self.
func OtherAddresses(self string, lists ...[]string) []string {
	var others []string
	for _, list := range lists {
		for _, address := range list {
			if address != "" && address != self && !slices.Contains(others, address) {
				others = append(others, address)
			}
		}
	}
	return others
}
