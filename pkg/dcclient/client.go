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
	// dialTimeout leaves most of a usual deadline for another address.
	dialTimeout     = 250 * time.Millisecond
	idleConnections = 64
)

// Client calls the tier for one department. Set the exported fields before the
// first call. It is safe for concurrent use.
type Client struct {
	// Entries are addresses, IP and port, that are asked which addresses to use.
	Entries []string
	// Department and Credential identify the caller.
	Department string
	Credential string
	// Scheme is http or https; http when empty.
	Scheme string
	HTTP   *http.Client
	Clock  clockwork.Clock

	mu        sync.Mutex
	cache     map[string]*addressList
	rotation  uint
	refreshes singleflight.Group
}

// New returns a Client over plain HTTP with its own connection pool.
func New(department, credential string, entries ...string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections}
	return &Client{
		Entries:    entries,
		Department: department,
		Credential: credential,
		HTTP:       &http.Client{Transport: transport, CheckRedirect: rejectRedirect},
		Clock:      clockwork.NewRealClock(),
	}
}

// rejectRedirect returns a redirect as the answer: following one would send a
// request a second time.
func rejectRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close drops idle connections.
func (c *Client) Close() {
	c.HTTP.CloseIdleConnections()
}

// NewKey returns a key for a new order.
func NewKey() (key string, err error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", eris.Wrap(err, "make order key")
	}
	return id.String(), nil
}

// Query asks every shard of a group. ctx must have a deadline. The error is
// not nil only when the tier gave no answer; the outcome of the result holds in
// any case.
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

// Order runs an order at most once. It is sent again with its key when a reply
// is lost, which the tier answers without a second run. ctx must have a
// deadline.
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

// OrderOutcome asks for the outcome of an earlier order. ctx must have a
// deadline.
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
