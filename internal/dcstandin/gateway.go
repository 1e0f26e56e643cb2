// Package dcstandin stands in for the platform and for upstream servers, in
// process or as a program, with switches for the faults that they have.
package dcstandin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// Gateway serves the part of etcd's JSON gateway that the tier uses, on top of
// a dcstore.Fake.
type Gateway struct {
	store *dcstore.Fake
	mux   *http.ServeMux
}

// maxGatewayBodyBytes holds the largest value in base64 with its transaction.
const maxGatewayBodyBytes = 2 * dcstore.MaxValueBytes

// errUnsupportedRequest reports a request that the stand-in does not offer.
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

// ServeHTTP answers one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mux.ServeHTTP(w, r)
}

// unary decodes a request, runs it and encodes the answer.
func unary[Q, A any](run func(*http.Request, Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGatewayBodyBytes)).Decode(&request); err != nil {
			writeError(w, errUnsupportedRequest)
			return
		}
		answer, err := run(r, request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

// writeError answers an error. A lost reply closes the connection without an answer.
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

// Status codes of gRPC that the gateway puts into error answers.
const (
	codeInvalidArgument = 3
	codeUnavailable     = 14
)

func (g *Gateway) rangeKeys(r *http.Request, request dcstore.RangeRequest) (answer dcstore.RangeResponse, err error) {
	records, err := g.records(r, request)
	if err != nil {
		return answer, err
	}
	answer.Header.Revision = int64(g.store.Revision())
	answer.Count = int64(len(records))
	for _, record := range records {
		answer.Kvs = append(answer.Kvs, dcstore.GatewayKeyValue{
			Key:         []byte(record.Key),
			Value:       record.Value,
			ModRevision: int64(record.Modified),
		})
	}
	return answer, nil
}

// records reads one key, or every key below the prefix that the range spans.
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

// rangePrefix returns the prefix of a range; other ranges are not offered.
func rangePrefix(key, end []byte) (string, error) {
	prefix := string(key)
	if prefix == "\x00" {
		prefix = ""
	}
	if string(dcstore.PrefixEnd(prefix)) != string(end) {
		return "", errUnsupportedRequest
	}
	return prefix, nil
}

// txn runs a compare-and-swap or compare-and-delete of one key.
func (g *Gateway) txn(r *http.Request, request dcstore.TxnRequest) (answer dcstore.TxnResponse, err error) {
	if len(request.Compare) != 1 || len(request.Success) != 1 {
		return answer, errUnsupportedRequest
	}
	condition, step := request.Compare[0], request.Success[0]
	var revision dcstore.Revision
	switch {
	case step.Put != nil && string(step.Put.Key) == string(condition.Key):
		revision, err = g.store.CompareAndSwap(r.Context(), dcstore.Swap{
			Key:      string(condition.Key),
			Expected: dcstore.Revision(condition.ModRevision),
			Value:    step.Put.Value,
			Lease:    dcstore.LeaseID(step.Put.Lease),
		})
	case step.Delete != nil && string(step.Delete.Key) == string(condition.Key):
		err = g.store.Delete(r.Context(), string(condition.Key), dcstore.Revision(condition.ModRevision))
	default:
		return answer, errUnsupportedRequest
	}
	return g.txnResponse(r, request, revision, err)
}

// txnResponse reports the result of a transaction and runs its failure branch. The
// revision is that of the write itself: other writers may have raised the
// store's revision since.
func (g *Gateway) txnResponse(r *http.Request, request dcstore.TxnRequest, revision dcstore.Revision, err error) (answer dcstore.TxnResponse, _ error) {
	switch {
	case err == nil:
		answer.Succeeded = true
	case errors.Is(err, dcstore.ErrNotFound):
		answer.Responses = []dcstore.OperationResult{{Range: &dcstore.RangeResponse{}}}
	case errors.Is(err, dcstore.ErrConflict) && len(request.Failure) == 1 && request.Failure[0].Range != nil:
		found, err := g.rangeKeys(r, *request.Failure[0].Range)
		if err != nil {
			return answer, err
		}
		answer.Responses = []dcstore.OperationResult{{Range: &found}}
	case !errors.Is(err, dcstore.ErrConflict):
		return answer, err
	}
	answer.Header.Revision = int64(revision)
	if revision == 0 {
		answer.Header.Revision = int64(g.store.Revision())
	}
	return answer, nil
}

func (g *Gateway) deleteRange(r *http.Request, request dcstore.DeleteRequest) (answer dcstore.DeleteResponse, err error) {
	records, err := g.records(r, dcstore.RangeRequest{Key: request.Key, RangeEnd: request.RangeEnd})
	if err != nil {
		return answer, err
	}
	for _, record := range records {
		err := g.store.Delete(r.Context(), record.Key, record.Modified)
		if err != nil && !errors.Is(err, dcstore.ErrNotFound) {
			return answer, err
		}
		answer.Deleted++
	}
	answer.Header.Revision = int64(g.store.Revision())
	return answer, nil
}

func (g *Gateway) grant(r *http.Request, request dcstore.LeaseRequest) (answer dcstore.LeaseResponse, err error) {
	lease, err := g.store.GrantLease(r.Context(), time.Duration(request.TTL)*time.Second)
	return dcstore.LeaseResponse{ID: int64(lease), TTL: request.TTL}, err
}

// keepAlive answers a TTL of 0 for an expired lease, as the service does.
func (g *Gateway) keepAlive(r *http.Request, request dcstore.LeaseRequest) (answer dcstore.KeepAliveResponse, err error) {
	answer.Result.ID = request.ID
	err = g.store.KeepAlive(r.Context(), dcstore.LeaseID(request.ID))
	if errors.Is(err, dcstore.ErrLeaseExpired) {
		return answer, nil
	}
	answer.Result.TTL = 1
	return answer, err
}

func (g *Gateway) revoke(r *http.Request, request dcstore.LeaseRequest) (answer dcstore.LeaseResponse, err error) {
	return answer, g.store.Revoke(r.Context(), dcstore.LeaseID(request.ID))
}

// watch streams a created message and then one message for each change seen.
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
