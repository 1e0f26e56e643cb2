package dcstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

const (
	defaultTimeout    = time.Second
	maxErrorBodyBytes = 4096
	// statusClientClosedRequest is the status of the gateway for a cancelled call.
	statusClientClosedRequest = 499
	maxIdleConnsPerHost       = 16
)

// Client is a Store that calls etcd's JSON gateway. Set the exported fields
// before the first call. It is safe for concurrent use.
type Client struct {
	// Endpoints are the base URLs. A request that fails is sent to the next one
	// only if none of it was written to the connection.
	Endpoints []string
	// Timeout limits every call except Wait; 1 s when zero.
	Timeout time.Duration
	// Prefix is added to every key in requests and removed in responses.
	Prefix string
	HTTP   *http.Client
	// Clock measures Timeout; the system clock when nil.
	Clock clockwork.Clock

	// preferred is the index, modulo the number of endpoints, of the endpoint
	// that is tried first.
	preferred atomic.Uint32
}

var _ Store = (*Client)(nil)

// NewClient returns a Client with its own connection pool. The timeout also
// limits the dialing of a connection.
func NewClient(endpoints []string, timeout time.Duration, prefix string) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	}
	trimmed := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		trimmed[i] = strings.TrimSuffix(endpoint, "/")
	}
	return &Client{
		Endpoints: trimmed,
		Timeout:   timeout,
		Prefix:    prefix,
		HTTP:      &http.Client{Transport: transport, CheckRedirect: returnRedirect},
	}
}

// returnRedirect makes the HTTP client return a redirect as the response.
// Following it would send a write a second time.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections.
func (c *Client) Close() {
	c.HTTP.CloseIdleConnections()
}

// Get returns the record of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (record Record, err error) {
	defer wrapError(&err, "get", key)
	var response RangeResponse
	err = c.call(ctx, readCall, "/v3/kv/range", RangeRequest{Key: []byte(c.Prefix + key)}, &response)
	if err != nil {
		return Record{}, err
	}
	if len(response.Kvs) == 0 {
		return Record{}, ErrNotFound
	}
	return c.record(response.Kvs[0]), nil
}

// List returns the records whose key has a prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string, limit int, descending bool) (records []Record, err error) {
	defer wrapError(&err, "list", prefix)
	request := RangeRequest{
		Key:        []byte(c.Prefix + prefix),
		RangeEnd:   PrefixEnd(c.Prefix + prefix),
		Limit:      int64(limit),
		SortOrder:  SortAscend,
		SortTarget: TargetKey,
	}
	if len(request.Key) == 0 {
		request.Key = []byte{0}
	}
	if descending {
		request.SortOrder = SortDescend
	}
	var response RangeResponse
	if err := c.call(ctx, readCall, "/v3/kv/range", request, &response); err != nil {
		return nil, err
	}
	for _, kv := range response.Kvs {
		records = append(records, c.record(kv))
	}
	return records, nil
}

// CompareAndSwap writes in one transaction that compares the modification
// revision of the key, or the create revision with 0 if the key must be absent.
func (c *Client) CompareAndSwap(ctx context.Context, swap Swap) (revision Revision, err error) {
	defer wrapError(&err, "swap", swap.Key)
	if len(swap.Value) > MaxValueBytes {
		return 0, fmt.Errorf("value of %d bytes is over the limit of %d", len(swap.Value), MaxValueBytes)
	}
	key := []byte(c.Prefix + swap.Key)
	put := PutRequest{Key: key, Value: swap.Value, Lease: int64(swap.Lease)}
	request := TxnRequest{
		Compare: []Compare{revisionCondition(key, swap.Expected)},
		Success: []Operation{{Put: &put}},
	}
	var response TxnResponse
	if err := c.call(ctx, writeCall, "/v3/kv/txn", request, &response); err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, ErrConflict
	}
	if response.Header.Revision == 0 {
		return 0, fmt.Errorf("%w: answer without a revision", ErrUnknownOutcome)
	}
	return Revision(response.Header.Revision), nil
}

// Delete removes a key in a transaction, because the gateway's deleterange
// call has no comparison. If the comparison fails, the transaction reads the
// key, which distinguishes ErrNotFound from ErrConflict.
func (c *Client) Delete(ctx context.Context, key string, expected Revision) (err error) {
	defer wrapError(&err, "delete", key)
	if expected == 0 {
		return errMissingRevision
	}
	fullKey := []byte(c.Prefix + key)
	request := TxnRequest{
		Compare: []Compare{revisionCondition(fullKey, expected)},
		Success: []Operation{{Delete: &DeleteRequest{Key: fullKey}}},
		Failure: []Operation{{Range: &RangeRequest{Key: fullKey}}},
	}
	var response TxnResponse
	if err := c.call(ctx, writeCall, "/v3/kv/txn", request, &response); err != nil {
		return err
	}
	if response.Succeeded {
		return nil
	}
	if len(response.Responses) == 1 && response.Responses[0].Range != nil && len(response.Responses[0].Range.Kvs) == 0 {
		return ErrNotFound
	}
	return ErrConflict
}

// Wait watches a prefix until the first change. If the service has compacted
// the requested revisions, Wait returns the compaction revision as that of the
// change.
func (c *Client) Wait(ctx context.Context, prefix string, after Revision) (revision Revision, err error) {
	defer wrapError(&err, "wait", prefix)
	request := WatchRequest{Create: WatchCreate{
		Key:           []byte(c.Prefix + prefix),
		RangeEnd:      PrefixEnd(c.Prefix + prefix),
		StartRevision: int64(after) + 1,
	}}
	response, err := c.send(ctx, readCall, "/v3/watch", request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var message WatchResponse
		if err := decoder.Decode(&message); err != nil {
			return 0, fmt.Errorf("%w: read watch: %w", ErrUnavailable, err)
		}
		if count := len(message.Result.Events); count > 0 {
			return Revision(message.Result.Events[count-1].Kv.ModRevision), nil
		}
		if message.Result.CompactRevision > int64(after) {
			return Revision(message.Result.CompactRevision), nil
		}
		if message.Result.Canceled {
			return 0, fmt.Errorf("%w: watch cancelled by the service", ErrUnavailable)
		}
	}
}

// GrantLease creates a lease. The lifetime is rounded up to whole seconds.
func (c *Client) GrantLease(ctx context.Context, lifetime time.Duration) (lease LeaseID, err error) {
	defer wrapError(&err, "grant lease", lifetime.String())
	seconds := int64((lifetime + time.Second - 1) / time.Second)
	var response LeaseResponse
	if err := c.call(ctx, writeCall, "/v3/lease/grant", LeaseRequest{TTL: seconds}, &response); err != nil {
		return 0, err
	}
	if response.ID == 0 {
		return 0, fmt.Errorf("%w: answer without a lease", ErrUnknownOutcome)
	}
	return LeaseID(response.ID), nil
}

// KeepAlive renews a lease, or returns ErrLeaseExpired.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) (err error) {
	defer wrapError(&err, "keep alive lease", fmt.Sprint(lease))
	var response KeepAliveResponse
	if err := c.callStream(ctx, writeCall, "/v3/lease/keepalive", LeaseRequest{ID: int64(lease)}, &response); err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		return ErrLeaseExpired
	}
	return nil
}

// Revoke ends a lease and removes its keys, or returns ErrLeaseExpired.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) (err error) {
	defer wrapError(&err, "revoke lease", fmt.Sprint(lease))
	var response LeaseResponse
	return c.call(ctx, writeCall, "/v3/lease/revoke", LeaseRequest{ID: int64(lease)}, &response)
}

var errMissingRevision = errors.New("delete needs the modification revision of the key")

// revisionCondition returns the condition that a key has a modification
// revision, or that it is absent if expected is 0.
func revisionCondition(key []byte, expected Revision) Compare {
	if expected == 0 {
		return Compare{Result: CompareEqual, Target: TargetCreateRevision, Key: key}
	}
	return Compare{Result: CompareEqual, Target: TargetModRevision, Key: key, ModRevision: int64(expected)}
}

// record converts a key-value pair of the gateway and removes the key prefix.
func (c *Client) record(kv GatewayKeyValue) Record {
	return Record{
		Key:      strings.TrimPrefix(string(kv.Key), c.Prefix),
		Value:    kv.Value,
		Modified: Revision(kv.ModRevision),
	}
}

func (c *Client) timeout() time.Duration {
	if c.Timeout == 0 {
		return defaultTimeout
	}
	return c.Timeout
}

func (c *Client) clock() clockwork.Clock {
	if c.Clock == nil {
		return clockwork.NewRealClock()
	}
	return c.Clock
}

// wrapError adds the name of the call and its key, prefix, lease or lifetime
// to an error; nil stays nil.
func wrapError(err *error, call, subject string) {
	*err = eris.Wrapf(*err, "%s %q", call, subject)
}
