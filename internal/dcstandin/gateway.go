// Package dcstandin implements stand-ins for the platform and for upstream
// servers, in process or as a program. Switches inject the faults that the real
// services have.
package dcstandin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// Gateway serves the part of the JSON gateway of etcd that the tier uses, on
// top of a dcstore.Fake.
type Gateway struct {
	store *dcstore.Fake
	mux   *http.ServeMux
}

// maxGatewayBodyBytes is the maximum size of a request body. It has room for a
// transaction with the largest value, in base64.
const maxGatewayBodyBytes = 2 * dcstore.MaxValueBytes

// errUnsupportedRequest is the error for a request that does not parse or that
// the stand-in does not support.
var errUnsupportedRequest = errors.New("request is not part of the gateway subset")

// NewGateway returns a handler for the paths under /v3/.
func NewGateway(store *dcstore.Fake) *Gateway {
	g := &Gateway{store: store, mux: http.NewServeMux()}
	g.mux.HandleFunc("POST /v3/kv/range", unary(g.rangeKeys))
	g.mux.HandleFunc("POST /v3/kv/txn", unary(g.txn))
	g.mux.HandleFunc("POST /v3/kv/deleterange", unary(g.deleteRange))
	g.mux.HandleFunc("POST /v3/lease/grant", unary(g.grant))
	g.mux.HandleFunc("POST /v3/lease/keepalive", unary(g.keepAlive))
	g.mux.HandleFunc("POST /v3/lease/revoke", unary(g.revoke))
	g.mux.HandleFunc("POST /v3/watch", g.watch)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mux.ServeHTTP(w, r)
}

// unary returns a handler that decodes a request, calls run and encodes its
// response.
func unary[Req, Resp any](run func(*http.Request, Req) (Resp, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Req
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGatewayBodyBytes)).Decode(&request); err != nil {
			writeError(w, errUnsupportedRequest)
			return
		}
		response, err := run(r, request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, response)
	}
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

// writeError answers with an error. For an unknown outcome, which stands for a
// lost reply, it closes the connection without a response.
func writeError(w http.ResponseWriter, err error) {
	failure := dcstore.GatewayError{Message: err.Error(), Error: err.Error(), Code: codeInvalidArgument}
	switch {
	case errors.Is(err, dcstore.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	case errors.Is(err, dcstore.ErrUnavailable):
		failure.Code = codeUnavailable
		writeJSON(w, http.StatusServiceUnavailable, failure)
	case errors.Is(err, dcstore.ErrLeaseExpired):
		failure.Code = dcstore.CodeNotFound
		writeJSON(w, http.StatusNotFound, failure)
	default:
		writeJSON(w, http.StatusBadRequest, failure)
	}
}

// gRPC status codes in the error responses of the gateway.
const (
	codeInvalidArgument = 3
	codeUnavailable     = 14
)

// rangeKeys answers a range request for one key or for the keys with a prefix.
func (g *Gateway) rangeKeys(r *http.Request, request dcstore.RangeRequest) (response dcstore.RangeResponse, err error) {
	records, err := g.records(r, request)
	if err != nil {
		return response, err
	}
	response.Header.Revision = int64(g.store.Revision())
	response.Count = int64(len(records))
	for _, record := range records {
		response.Kvs = append(response.Kvs, dcstore.GatewayKeyValue{
			Key:         []byte(record.Key),
			Value:       record.Value,
			ModRevision: int64(record.Modified),
		})
	}
	return response, nil
}

// records reads one key, or every key with the prefix that the range spans.
func (g *Gateway) records(r *http.Request, request dcstore.RangeRequest) ([]dcstore.Record, error) {
	if len(request.RangeEnd) == 0 {
		record, err := g.store.Get(r.Context(), string(request.Key))
		if errors.Is(err, dcstore.ErrNotFound) {
			return nil, nil
		}
		return []dcstore.Record{record}, err
	}
	prefix, err := rangePrefix(request.Key, request.RangeEnd)
	if err != nil {
		return nil, err
	}
	descending := request.SortOrder == dcstore.SortDescend
	return g.store.List(r.Context(), prefix, int(request.Limit), descending)
}

// rangePrefix returns the prefix of the keys from key to end. Other ranges are
// not supported.
func rangePrefix(key, end []byte) (string, error) {
	prefix := string(key)
	// A zero byte stands for the start of all keys.
	if prefix == "\x00" {
		prefix = ""
	}
	if string(dcstore.PrefixEnd(prefix)) != string(end) {
		return "", errUnsupportedRequest
	}
	return prefix, nil
}

// txn runs a compare-and-swap or compare-and-delete of one key. Other
// transactions are not supported.
func (g *Gateway) txn(r *http.Request, request dcstore.TxnRequest) (response dcstore.TxnResponse, err error) {
	if len(request.Compare) != 1 || len(request.Success) != 1 {
		return response, errUnsupportedRequest
	}
	condition, operation := request.Compare[0], request.Success[0]
	var revision dcstore.Revision
	switch {
	case operation.Put != nil && string(operation.Put.Key) == string(condition.Key):
		revision, err = g.store.CompareAndSwap(r.Context(), dcstore.Swap{
			Key:      string(condition.Key),
			Expected: dcstore.Revision(condition.ModRevision),
			Value:    operation.Put.Value,
			Lease:    dcstore.LeaseID(operation.Put.Lease),
		})
	case operation.Delete != nil && string(operation.Delete.Key) == string(condition.Key):
		err = g.store.Delete(r.Context(), string(condition.Key), dcstore.Revision(condition.ModRevision))
	default:
		return response, errUnsupportedRequest
	}
	return g.txnResponse(r, request, revision, err)
}

// txnResponse returns the response to a transaction and runs its failure
// branch. The revision is that of the write itself, because other writers may
// have raised the revision of the store since; 0 stands for the revision that
// the store has now.
func (g *Gateway) txnResponse(r *http.Request, request dcstore.TxnRequest, revision dcstore.Revision, err error) (response dcstore.TxnResponse, _ error) {
	switch {
	case err == nil:
		response.Succeeded = true
	case errors.Is(err, dcstore.ErrNotFound):
		response.Responses = []dcstore.OperationResult{{Range: &dcstore.RangeResponse{}}}
	case errors.Is(err, dcstore.ErrConflict) && len(request.Failure) == 1 && request.Failure[0].Range != nil:
		found, err := g.rangeKeys(r, *request.Failure[0].Range)
		if err != nil {
			return response, err
		}
		response.Responses = []dcstore.OperationResult{{Range: &found}}
	case !errors.Is(err, dcstore.ErrConflict):
		return response, err
	}
	response.Header.Revision = int64(revision)
	if revision == 0 {
		response.Header.Revision = int64(g.store.Revision())
	}
	return response, nil
}

func (g *Gateway) deleteRange(r *http.Request, request dcstore.DeleteRequest) (response dcstore.DeleteResponse, err error) {
	records, err := g.records(r, dcstore.RangeRequest{Key: request.Key, RangeEnd: request.RangeEnd})
	if err != nil {
		return response, err
	}
	for _, record := range records {
		err := g.store.Delete(r.Context(), record.Key, record.Modified)
		if err != nil && !errors.Is(err, dcstore.ErrNotFound) {
			return response, err
		}
		response.Deleted++
	}
	response.Header.Revision = int64(g.store.Revision())
	return response, nil
}

func (g *Gateway) grant(r *http.Request, request dcstore.LeaseRequest) (response dcstore.LeaseResponse, err error) {
	lease, err := g.store.GrantLease(r.Context(), time.Duration(request.TTL)*time.Second)
	return dcstore.LeaseResponse{ID: int64(lease), TTL: request.TTL}, err
}

// keepAlive answers with a TTL of 0 for an expired lease, as etcd does.
func (g *Gateway) keepAlive(r *http.Request, request dcstore.LeaseRequest) (response dcstore.KeepAliveResponse, err error) {
	response.Result.ID = request.ID
	err = g.store.KeepAlive(r.Context(), dcstore.LeaseID(request.ID))
	if errors.Is(err, dcstore.ErrLeaseExpired) {
		return response, nil
	}
	response.Result.TTL = 1
	return response, err
}

func (g *Gateway) revoke(r *http.Request, request dcstore.LeaseRequest) (response dcstore.LeaseResponse, err error) {
	return response, g.store.Revoke(r.Context(), dcstore.LeaseID(request.ID))
}

// watch streams a created message, and then one message for each change that it
// observes. Its event holds the prefix and the revision, not the key that
// changed.
func (g *Gateway) watch(w http.ResponseWriter, r *http.Request) {
	var request dcstore.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGatewayBodyBytes)).Decode(&request); err != nil {
		writeError(w, errUnsupportedRequest)
		return
	}
	prefix, err := rangePrefix(request.Create.Key, request.Create.RangeEnd)
	if err != nil {
		writeError(w, err)
		return
	}
	stream := json.NewEncoder(w)
	after := dcstore.Revision(request.Create.StartRevision - 1)
	message := dcstore.WatchResponse{Result: dcstore.WatchResult{Created: true}}
	for {
		if stream.Encode(message) != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		after, err = g.store.Wait(r.Context(), prefix, after)
		if err != nil {
			return
		}
		kv := dcstore.GatewayKeyValue{Key: []byte(prefix), ModRevision: int64(after)}
		message = dcstore.WatchResponse{Result: dcstore.WatchResult{Events: []dcstore.WatchEvent{{Kv: kv}}}}
	}
}
