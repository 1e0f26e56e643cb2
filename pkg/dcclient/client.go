package dcclient

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

const (
	// dialTimeout is short, so that most of a typical deadline is left to try
	// another address.
	dialTimeout = 250 * time.Millisecond
	// idleConnections is the number of idle connections that are kept open for
	// each host.
	idleConnections = 64
)

// Client sends queries and orders to the tier as one department. Set the
// exported fields before the first call. A Client is safe for concurrent use.
type Client struct {
	// Entries are the addresses of entry hosts, IP address and port. The client
	// asks them which addresses to use.
	Entries []string
	// Department and Credential authenticate the caller.
	Department string
	Credential string
	// Scheme is http or https; http when empty.
	Scheme string
	HTTP   *http.Client
	Clock  clockwork.Clock

	// mu guards cache, the lists in it, and rotation.
	mu sync.Mutex
	// cache holds the newest list of addresses of each service group.
	cache map[string]*addressList
	// rotation counts the uses of the lists. It selects the first address.
	rotation uint
	// refreshes merges concurrent refreshes of the same service group.
	refreshes singleflight.Group
}

// New returns a Client that uses plain HTTP and has its own connection pool.
func New(department, credential string, entries ...string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections}
	return &Client{
		Entries:    entries,
		Department: department,
		Credential: credential,
		HTTP:       &http.Client{Transport: transport, CheckRedirect: doNotFollowRedirect},
		Clock:      clockwork.NewRealClock(),
	}
}

// doNotFollowRedirect makes the HTTP client return a redirect as the response
// instead of following it, which would send the request a second time.
func doNotFollowRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections.
func (c *Client) Close() {
	c.HTTP.CloseIdleConnections()
}

// NewKey returns a UUIDv7 as the key for a new order.
func NewKey() (key string, err error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", eris.Wrap(err, "make order key")
	}
	return id.String(), nil
}

// Query sends a query to every shard of a service group. ctx must have a
// deadline. The error is not nil only when no readable response arrived. The
// outcome of the result is valid in either case.
func (c *Client) Query(ctx context.Context, query Query) (answer QueryAnswer, err error) {
	defer func() { err = eris.Wrapf(err, "query %s", query.Group) }()
	message := &callerv1.QueryResponse{}
	result, err := c.run(ctx, call{
		group:  query.Group,
		method: http.MethodPost,
		path:   "/v1/query",
		request: &callerv1.QueryRequest{
			ServiceGroup:  query.Group,
			SchemaVersion: query.SchemaVersion,
			Body:          query.Body,
		},
		answer: message,
	})
	return newQueryAnswer(result, message), err
}

// Order runs an order at most once. When a response is lost, the order is sent
// again with the same key, and the tier responds without a second run. ctx must
// have a deadline. The error is as for Query.
func (c *Client) Order(ctx context.Context, order Order) (answer OrderAnswer, err error) {
	defer func() { err = eris.Wrapf(err, "order %s", order.Key) }()
	message := &callerv1.OrderResponse{}
	result, err := c.run(ctx, call{
		group:      order.Group,
		method:     http.MethodPost,
		path:       "/v1/order",
		idempotent: true,
		key:        order.Key,
		request: &callerv1.OrderRequest{
			ServiceGroup:  order.Group,
			Service:       order.Service,
			SchemaVersion: order.SchemaVersion,
			Key:           order.Key,
			Body:          order.Body,
		},
		answer: message,
	})
	return OrderAnswer{Result: result, Key: order.Key, Body: message.GetBody()}, err
}

// OrderOutcome looks up the outcome of an earlier order. ctx must have a
// deadline. The error is as for Query.
func (c *Client) OrderOutcome(ctx context.Context, group, key string) (answer OrderAnswer, err error) {
	defer func() { err = eris.Wrapf(err, "outcome of order %s", key) }()
	message := &callerv1.OrderResponse{}
	result, err := c.run(ctx, call{
		group:  group,
		method: http.MethodGet,
		path:   "/v1/orders/" + url.PathEscape(group) + "/" + url.PathEscape(key),
		lookup: true,
		key:    key,
		answer: message,
	})
	return OrderAnswer{Result: result, Key: key, Body: message.GetBody()}, err
}

// newQueryAnswer returns the answer with the result of the call and the data of
// the response.
func newQueryAnswer(result Result, message *callerv1.QueryResponse) QueryAnswer {
	answer := QueryAnswer{
		Result:       result,
		IndexVersion: message.GetIndexVersion(),
		Elapsed:      time.Duration(message.GetElapsedUs()) * time.Microsecond,
	}
	for _, service := range message.GetCoverage() {
		answer.Coverage = append(answer.Coverage, newCoverage(service))
	}
	for _, shard := range message.GetShards() {
		answer.Shards = append(answer.Shards, Shard{
			Service: shard.GetService(),
			Shard:   shard.GetShard(),
			Body:    shard.GetBody(),
		})
	}
	return answer
}

func newCoverage(service *callerv1.ServiceCoverage) Coverage {
	entry := Coverage{
		Service:  service.GetService(),
		MapEpoch: service.GetMapEpoch(),
		Covered:  service.GetCovered(),
	}
	for _, missing := range service.GetMissing() {
		entry.Missing = append(entry.Missing, MissingShard{Shard: missing.GetShard(), Reason: missing.GetReason()})
	}
	return entry
}
