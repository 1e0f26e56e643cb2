package dcupstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcconnpool"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstatus"
)

// Headers of the protocol between the tier and upstream servers. HeaderDeadline
// is the remaining time in milliseconds, at least 1. HeaderNotStarted is set to
// true in a response to prove that the request did not run.
const (
	HeaderRequestID      = "Request-Id"
	HeaderIndexVersion   = "Index-Version"
	HeaderMapEpoch       = "Map-Epoch"
	HeaderSchemaVersion  = "Schema-Version"
	HeaderDeadline       = "Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "Attempt"
	HeaderShard          = "Shard"
	HeaderDepartment     = "Department"
	HeaderNotStarted     = "Not-Started"
	HeaderServerTiming   = "Server-Timing"
)

const (
	defaultMaxBodyBytes = 16 << 20
	maxStatusBodyBytes  = 1 << 20
)

// Client is an Upstream that uses net/http and the connections of its Pool. Set
// the exported fields before the first call.
type Client struct {
	dcconnpool.Pool
	// MaxBodyBytes limits the body of a response; 16 MiB when 0.
	MaxBodyBytes int64
}

var _ Upstream = (*Client)(nil)

// Search implements Upstream.
func (c *Client) Search(ctx context.Context, search Search) Response {
	ctx, cancel := clockwork.WithDeadline(ctx, c.Clock, search.Deadline)
	defer cancel()
	path := "/v1/shards/" + url.PathEscape(string(search.Label.Shard)) + "/search"
	header := c.header(search.Label.Request, search.Schema, search.Label.Attempt)
	header.Set(HeaderIndexVersion, string(search.Label.Version))
	header.Set(HeaderMapEpoch, strconv.FormatUint(uint64(search.Label.Epoch), 10))
	call := call{server: search.Server, method: http.MethodPost, path: path, header: header, body: search.Body, deadline: search.Deadline}
	return c.send(ctx, call, func(httpResponse *http.Response, response *Response) bool {
		response.Label = readLabel(httpResponse.Header, search.Label.Service)
		return response.Label == search.Label
	})
}

// Order implements Upstream.
func (c *Client) Order(ctx context.Context, order Order) Response {
	header := c.header(order.Request, order.Schema, order.Attempt)
	header.Set(HeaderIdempotencyKey, string(order.Key))
	header.Set(HeaderDepartment, string(order.Department))
	call := call{server: order.Server, method: http.MethodPost, path: "/v1/orders", header: header, body: order.Body, deadline: order.Deadline}
	return c.send(ctx, call, func(httpResponse *http.Response, _ *Response) bool {
		return httpResponse.Header.Get(HeaderRequestID) == string(order.Request) &&
			absentOrEqual(httpResponse.Header.Get(HeaderIdempotencyKey), string(order.Key)) &&
			absentOrEqual(httpResponse.Header.Get(HeaderAttempt), strconv.FormatUint(uint64(order.Attempt), 10))
	})
}

// OrderOutcome implements Upstream.
func (c *Client) OrderOutcome(ctx context.Context, addr dcid.ServerAddr, department dcid.Department, key dcid.OrderKey) Response {
	header := http.Header{}
	header.Set(HeaderDepartment, string(department))
	call := call{server: addr, method: http.MethodGet, path: "/v1/orders/" + url.PathEscape(string(key)), header: header}
	response := c.send(ctx, call, func(httpResponse *http.Response, _ *Response) bool {
		return absentOrEqual(httpResponse.Header.Get(HeaderIdempotencyKey), string(key))
	})
	if response.Outcome != dcreason.Ran {
		response.Outcome = dcreason.Unknown
	}
	return response
}

// Status implements Upstream.
func (c *Client) Status(ctx context.Context, addr dcid.ServerAddr) (status *upstreamv1.Status, err error) {
	defer func() { err = eris.Wrapf(err, "read the status of %s", addr) }()
	release, err := c.Acquire(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer release()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(addr)+"/v1/status", nil)
	if err != nil {
		return nil, err
	}
	httpResponse, _, err := c.RoundTrip(addr, request, nil)
	if err != nil {
		return nil, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxStatusBodyBytes))
	if err != nil {
		return nil, err
	}
	if httpResponse.StatusCode != http.StatusOK {
		return nil, eris.Errorf("server answered %s", httpResponse.Status)
	}
	status = &upstreamv1.Status{}
	return status, protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, status)
}

// call is one HTTP request for a server.
type call struct {
	server   dcid.ServerAddr
	method   string
	path     string
	header   http.Header
	body     []byte
	deadline time.Time
}

// send transmits a call at most once and classifies its outcome. labelsMatch
// checks the labels of a response with status 200, and may set Response.Label.
// A response of any other status that names another request or attempt proves
// nothing.
func (c *Client) send(ctx context.Context, call call, labelsMatch func(*http.Response, *Response) bool) (response Response) {
	response.QueueTime = -1
	release, err := c.Acquire(ctx, call.server)
	if err != nil {
		response.Outcome, response.Code = dcreason.NotRun, contextCode(contextError(ctx))
		return response
	}
	defer release()
	if !call.deadline.IsZero() {
		remaining := call.deadline.Sub(c.Clock.Now())
		if remaining <= 0 {
			response.Outcome, response.Code = dcreason.NotRun, dcreason.DeadlineExceeded
			return response
		}
		call.header.Set(HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
	request, err := newRequest(ctx, call)
	if err != nil {
		response.Outcome, response.Code = dcreason.NotRun, dcreason.Internal
		return response
	}
	httpResponse, exchange, err := c.RoundTrip(call.server, request, nil)
	response.NewConnection = exchange.Dialled()
	if err != nil {
		response.Outcome, response.Code = classifyError(ctx, exchange, err)
		return response
	}
	defer httpResponse.Body.Close()
	c.readResponse(ctx, httpResponse, exchange, &response, func(httpResponse *http.Response, response *Response) bool {
		return call.isAnsweredBy(httpResponse) && (httpResponse.StatusCode != http.StatusOK || labelsMatch(httpResponse, response))
	})
	return response
}

// isAnsweredBy reports whether a response may belong to the call: it names no other
// request, and no other attempt of the same one. The late copy of a refusal does not
// prove that a later request did not run.
func (c *call) isAnsweredBy(httpResponse *http.Response) bool {
	for _, name := range []string{HeaderRequestID, HeaderAttempt} {
		if sent := c.header.Get(name); sent != "" && !absentOrEqual(httpResponse.Header.Get(name), sent) {
			return false
		}
	}
	return true
}

// readResponse reads and classifies the response to a call. labelsMatch reports
// whether the response belongs to the call.
func (c *Client) readResponse(ctx context.Context, httpResponse *http.Response, exchange *dcconnpool.Exchange, response *Response, labelsMatch func(*http.Response, *Response) bool) {
	if !dcstatus.IsFinal(httpResponse.StatusCode) {
		exchange.Discard()
		response.Outcome, response.Code = dcreason.Unknown, dcreason.UpstreamMalformed
		return
	}
	response.QueueTime = queueTime(httpResponse.Header)
	limit := c.maxBodyBytes()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, limit+1))
	switch {
	case err != nil:
		response.Outcome, response.Code = classifyError(ctx, exchange, err)
	case !labelsMatch(httpResponse, response):
		exchange.Discard()
		response.Outcome, response.Code = dcreason.Unknown, dcreason.UpstreamMalformed
	case httpResponse.StatusCode != http.StatusOK:
		response.Outcome, response.Code = classifyStatus(httpResponse)
	case int64(len(body)) > limit:
		response.Outcome, response.Code = dcreason.Unknown, dcreason.UpstreamMalformed
	default:
		response.Outcome, response.Code, response.Body = dcreason.Ran, dcreason.OK, body
	}
}

// newRequest builds a request that net/http does not send twice. If a reused
// connection fails, net/http repeats a POST that has an Idempotency-Key header,
// provided that it has no body or one that can be rewound. So GetBody is not
// set, and the body of a POST is never http.NoBody.
func newRequest(ctx context.Context, call call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+string(call.server)+call.path, nil)
	if err != nil {
		return nil, err
	}
	request.Header = call.header
	if call.method == http.MethodPost {
		request.Body = io.NopCloser(bytes.NewReader(call.body))
		request.ContentLength = int64(len(call.body))
		request.Header.Set("Content-Type", "application/octet-stream")
	}
	return request, nil
}

// header returns the headers that searches and orders have in common.
func (c *Client) header(request dcid.RequestID, schema dcid.SchemaVersion, attempt dcid.Attempt) http.Header {
	header := http.Header{}
	header.Set(HeaderRequestID, string(request))
	header.Set(HeaderSchemaVersion, string(schema))
	header.Set(HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
	return header
}

func (c *Client) maxBodyBytes() int64 {
	if c.MaxBodyBytes > 0 {
		return c.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}
