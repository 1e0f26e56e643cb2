package dcstore

// The types below are the JSON messages of etcd's v3 gateway: keys and values
// are in base64, 64-bit integers are strings. The gateway of package dcstandin
// uses the same types.

// Sort orders, comparison targets, event types and gRPC status codes of the
// gateway.
const (
	SortAscend            = "ASCEND"
	SortDescend           = "DESCEND"
	TargetKey             = "KEY"
	TargetModRevision     = "MOD"
	TargetCreateRevision  = "CREATE"
	CompareEqual          = "EQUAL"
	EventDelete           = "DELETE"
	CodeNotFound          = 5
	CodeResourceExhausted = 8
)

// GatewayHeader is the header of a response.
type GatewayHeader struct {
	// Revision is the revision of the service at the time of the response.
	Revision int64 `json:"revision,string,omitempty"`
}

// GatewayKeyValue is a key with its value, revisions and lease.
type GatewayKeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest is the body of /v3/kv/range.
type RangeRequest struct {
	Key        []byte `json:"key,omitempty"`
	RangeEnd   []byte `json:"range_end,omitempty"`
	Limit      int64  `json:"limit,string,omitempty"`
	SortOrder  string `json:"sort_order,omitempty"`
	SortTarget string `json:"sort_target,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header GatewayHeader     `json:"header"`
	Kvs    []GatewayKeyValue `json:"kvs,omitempty"`
	Count  int64             `json:"count,string,omitempty"`
}

// PutRequest is the write of one key in a transaction.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest is the body of /v3/kv/deleterange.
type DeleteRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteResponse is the response to a DeleteRequest.
type DeleteResponse struct {
	Header  GatewayHeader `json:"header"`
	Deleted int64         `json:"deleted,string,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
}

// Operation is one operation of a transaction. Only one field is set.
type Operation struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// OperationResult is the result of an Operation.
type OperationResult struct {
	Range  *RangeResponse  `json:"response_range,omitempty"`
	Delete *DeleteResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest is the body of /v3/kv/txn.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []Operation `json:"success,omitempty"`
	Failure []Operation `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    GatewayHeader     `json:"header"`
	Succeeded bool              `json:"succeeded,omitempty"`
	Responses []OperationResult `json:"responses,omitempty"`
}

// LeaseRequest is the body of the calls under /v3/lease. TTL is in seconds.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest. In the response to a
// keep-alive, a TTL of 0 means that the lease has expired.
type LeaseResponse struct {
	Header GatewayHeader `json:"header"`
	ID     int64         `json:"ID,string,omitempty"`
	TTL    int64         `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the response stream of
// /v3/lease/keepalive.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest is the body of /v3/watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the watched keys and the first revision to report.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one message of the response stream of /v3/watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult holds changes, or the reason why the watch ended.
type WatchResult struct {
	Header          GatewayHeader `json:"header"`
	Created         bool          `json:"created,omitempty"`
	Canceled        bool          `json:"canceled,omitempty"`
	CompactRevision int64         `json:"compact_revision,string,omitempty"`
	Events          []WatchEvent  `json:"events,omitempty"`
}

// WatchEvent is one change of a key. Type is EventDelete for a removal.
type WatchEvent struct {
	Type string          `json:"type,omitempty"`
	Kv   GatewayKeyValue `json:"kv"`
}

// GatewayError is the body of a response with an error status.
type GatewayError struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// PrefixEnd returns the exclusive end of the range of keys that have a prefix.
// A zero byte stands for the end of all keys.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
