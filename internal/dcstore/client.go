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
	// statusClientClosedRequest is what the gateway answers for a cancelled call.
	statusClientClosedRequest = 499
	maxIdleConnsPerHost       = 16
)

// Client is a Store over etcd's JSON gateway. Set the fields before the first
// call.
type Client struct {
	// Endpoints are base URLs. The next one is tried only when nothing of a
	// request was written.
	Endpoints []string
	// Timeout limits every call but Wait; 1 s when zero.
	Timeout time.Duration
	// Prefix is put before every key and removed from every answer.
	Prefix string
	HTTP   *http.Client
	// Clock measures Timeout; the system clock when nil.
	Clock clockwork.Clock

	preferred atomic.Uint32
}

var _ Store = (*Client)(nil)

// NewClient returns a Client with its own connection pool.
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

// returnRedirect returns a redirect as the answer: following one would send a
// write a second time.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close drops idle connections.
func (c *Client) Close() {
	c.HTTP.CloseIdleConnections()
}

// Get returns the record of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (record Record, err error) {
	defer wrapError(&err, "get", key)
	var answer RangeResponse
	err = c.call(ctx, readCall, "/v3/kv/range", RangeRequest{Key: []byte(c.Prefix + key)}, &answer)
	if err != nil {
		return Record{}, err
	}
	if len(answer.Kvs) == 0 {
		return Record{}, ErrNotFound
	}
	return c.record(answer.Kvs[0]), nil
}

// List returns the records below a prefix, ordered by key.
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
	var answer RangeResponse
	if err := c.call(ctx, readCall, "/v3/kv/range", request, &answer); err != nil {
		return nil, err
	}
	for _, kv := range answer.Kvs {
		records = append(records, c.record(kv))
	}
	return records, nil
}

// CompareAndSwap writes in one transaction that compares the modification
// revision, or the create revision with 0 for an absent key.
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
	var answer TxnResponse
	if err := c.call(ctx, writeCall, "/v3/kv/txn", request, &answer); err != nil {
		return 0, err
	}
	if !answer.Succeeded {
		return 0, ErrConflict
	}
	if answer.Header.Revision == 0 {
		return 0, fmt.Errorf("%w: answer without a revision", ErrUnknownOutcome)
	}
	return Revision(answer.Header.Revision), nil
}

// Delete removes a key in a transaction, because the gateway's deleterange
// call cannot compare. A failed comparison reads the key to tell ErrNotFound
// from ErrConflict.
func (c *Client) Delete(ctx context.Context, key string, expected Revision) (err error) {
	defer wrapError(&err, "delete", key)
	if expected == 0 {
		return errMissingRevision
	}
	full := []byte(c.Prefix + key)
	request := TxnRequest{
		Compare: []Compare{revisionCondition(full, expected)},
		Success: []Operation{{Delete: &DeleteRequest{Key: full}}},
		Failure: []Operation{{Range: &RangeRequest{Key: full}}},
	}
	var answer TxnResponse
	if err := c.call(ctx, writeCall, "/v3/kv/txn", request, &answer); err != nil {
		return err
	}
	if answer.Succeeded {
		return nil
	}
	if len(answer.Responses) == 1 && answer.Responses[0].Range != nil && len(answer.Responses[0].Range.Kvs) == 0 {
		return ErrNotFound
	}
	return ErrConflict
}

// Wait watches a prefix until the first change. When the service has compacted
// the wanted revisions it returns the compaction revision as the change.
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

// GrantLease creates a lease; the lifetime is rounded up to whole seconds.
func (c *Client) GrantLease(ctx context.Context, lifetime time.Duration) (lease LeaseID, err error) {
	defer wrapError(&err, "grant lease", lifetime.String())
	seconds := int64((lifetime + time.Second - 1) / time.Second)
	var answer LeaseResponse
	if err := c.call(ctx, writeCall, "/v3/lease/grant", LeaseRequest{TTL: seconds}, &answer); err != nil {
		return 0, err
	}
	if answer.ID == 0 {
		return 0, fmt.Errorf("%w: answer without a lease", ErrUnknownOutcome)
	}
	return LeaseID(answer.ID), nil
}

// KeepAlive renews a lease, or returns ErrLeaseExpired.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) (err error) {
	defer wrapError(&err, "keep alive lease", fmt.Sprint(lease))
	var answer KeepAliveResponse
	if err := c.callStream(ctx, writeCall, "/v3/lease/keepalive", LeaseRequest{ID: int64(lease)}, &answer); err != nil {
		return err
	}
	if answer.Result.TTL <= 0 {
		return ErrLeaseExpired
	}
	return nil
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) (err error) {
	defer wrapError(&err, "revoke lease", fmt.Sprint(lease))
	var answer LeaseResponse
	return c.call(ctx, writeCall, "/v3/lease/revoke", LeaseRequest{ID: int64(lease)}, &answer)
}

var errMissingRevision = errors.New("delete needs the modification revision of the key")

// revisionCondition compares a key's revision; 0 means that the key is absent.
func revisionCondition(key []byte, expected Revision) Compare {
	if expected == 0 {
		return Compare{Result: CompareEqual, Target: TargetCreateRevision, Key: key}
	}
	return Compare{Result: CompareEqual, Target: TargetModRevision, Key: key, ModRevision: int64(expected)}
}

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

func wrapError(err *error, call, subject string) {
	*err = eris.Wrapf(*err, "%s %q", call, subject)
}
