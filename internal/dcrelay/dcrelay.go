// Package dcrelay exchanges copies of the store's records between hosts. A host
// requests them from other hosts only while it cannot reach the store itself.
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

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// callTimeout is the timeout of a call to another host, which answers from
	// memory. A host that the network does not reach does not answer at all.
	callTimeout = 400 * time.Millisecond
	// maxMessageBytes is the maximum size of a message. A copy holds some hundred
	// servers and a configuration.
	maxMessageBytes = 16 << 20
)

// ErrNoHost reports that no other host is known.
var ErrNoHost = errors.New("no other host is known")

// RecordServer serves this host's copy of the records to other hosts.
type RecordServer struct {
	// Copy returns the records of this host's copy if it is newer than the known
	// revision, and the revision of the copy.
	Copy func(known dcstore.Revision) ([]dcstore.Record, dcstore.Revision)
	// Host returns the host record of this host.
	Host func() *hostv1.Record
}

var _ hostv1connect.HostServiceHandler = (*RecordServer)(nil)

// Handler returns the path and the HTTP handler of the service.
func (s *RecordServer) Handler() (string, http.Handler) {
	return hostv1connect.NewHostServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}

// FetchRecords implements hostv1connect.HostServiceHandler.
func (s *RecordServer) FetchRecords(_ context.Context, request *connect.Request[hostv1.FetchRecordsRequest]) (*connect.Response[hostv1.FetchRecordsResponse], error) {
	records, revision := s.Copy(dcstore.Revision(request.Msg.GetKnownRevision()))
	response := &hostv1.FetchRecordsResponse{Host: s.Host(), Revision: int64(revision)}
	for _, record := range records {
		response.Records = append(response.Records, &hostv1.StoredRecord{Key: record.Key, Value: record.Value, Modified: int64(record.Modified)})
	}
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

// Fetch requests the records from another host, selected at random, if its copy
// is newer than the known revision. Otherwise it returns no records. Its error
// wraps ErrNoHost if Addresses returns none.
func (c *Client) Fetch(ctx context.Context, known dcstore.Revision) (records []dcstore.Record, revision dcstore.Revision, err error) {
	defer func() { err = eris.Wrap(err, "fetch records from another host") }()
	addresses := c.Addresses()
	if len(addresses) == 0 {
		return nil, 0, ErrNoHost
	}
	address := addresses[c.Random.IntN(len(addresses))]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stub := hostv1connect.NewHostServiceClient(c.HTTP, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	response, err := stub.FetchRecords(ctx, connect.NewRequest(&hostv1.FetchRecordsRequest{KnownRevision: int64(known)}))
	if err != nil {
		return nil, 0, err
	}
	if host := response.Msg.GetHost(); host != nil {
		c.RecordReceived(host)
	}
	for _, record := range response.Msg.GetRecords() {
		records = append(records, dcstore.Record{Key: record.GetKey(), Value: record.GetValue(), Modified: dcstore.Revision(record.GetModified())})
	}
	return records, dcstore.Revision(response.Msg.GetRevision()), nil
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
