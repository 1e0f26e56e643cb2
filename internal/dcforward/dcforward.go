// Package dcforward forwards a caller's request unchanged to one server and
// classifies the result.
package dcforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcconnpool"
	"github.com/dandelioncart/dandelioncart/internal/dcdepartment"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstatus"
)

// Request is a request as the caller sent it.
type Request struct {
	ID     dcid.RequestID
	Method string
	// Target is the request target, that is, the path and query exactly as
	// received.
	Target string
	// Host is the host name in the request, with the port if the caller sent one.
	Host string
	Path string
	// Header holds the header fields without the hop-by-hop fields of the
	// caller's connection.
	Header http.Header
	Body   []byte
	// Keys holds the API keys that the caller sent, which must be one. They are never
	// forwarded.
	Keys []dcdepartment.Key
	// Department is the department that holds the key, empty if there is none. The
	// engine sets it.
	Department dcid.Department
	// KeysRequired is set if the configuration has departments. The header fields of
	// the key and the department that the caller sent are then not forwarded. The
	// engine sets it.
	KeysRequired bool
	// Arrived is the time at which the request was read.
	Arrived time.Time
	// Deadline is the time until which the caller waits for the answer.
	Deadline time.Time

	// connections holds those on which the request was sent.
	connections dcconnpool.Connections
}

// Answer is the result of sending a request to one server. Header, Body and Proof
// are set only if a complete response was read.
type Answer struct {
	Outcome dcbalance.Outcome
	Code    dcreason.Code
	Status  int
	Header  http.Header
	Body    []byte
	// Proof is the server's statement that the response belongs to the request.
	Proof string
	// RateLimit is what the response says of the rate limit of its server. It is
	// unknown unless the head of a response to this request was read from the
	// server that was meant.
	RateLimit dcratelimit.Statement
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// RetryDelay is how long the server wants no further requests of this host, 0
	// if it names no such time.
	RetryDelay time.Duration
	// Waited is how long the request waited for a connection, 0 if it got none.
	Waited time.Duration
	// Err is the cause of a missing or incomplete response; it may be nil.
	Err error
}

// ResponseMetadata is what the header fields and status of a response state.
type ResponseMetadata struct {
	// WrongRequest is set if the response belongs to another request.
	WrongRequest bool
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Misdirected is set if another server has the address.
	Misdirected bool
	// Proof is the server's statement that the response belongs to the request.
	Proof string
	// RateLimit is what the response says of the rate limit of its server.
	RateLimit dcratelimit.Statement
	// RetryDelay is the delay that the response names, 0 for none.
	RetryDelay time.Duration
	// Leaving is set if the server says that it leaves.
	Leaving bool
}

// Codec writes and reads the header fields of the servers' protocol.
type Codec interface {
	// Encode sets the header fields of a request to a server. left is the time
	// that the server has for the request.
	Encode(header http.Header, request *Request, server dcbalance.Server, left time.Duration)
	// Decode reads the metadata of a response.
	Decode(response *http.Response, request *Request) ResponseMetadata
}

// Client sends requests to servers.
type Client struct {
	Pool  *dcconnpool.Pool
	Codec Codec
	// MaxHeldBytes limits the bytes of all bodies that are being read at the same
	// time; 64 MiB when 0. It does not apply to the first uncountedBodyBytes of
	// each body, so that small answers pass while others are too large.
	MaxHeldBytes int64

	held atomic.Int64
}

// HeldBytes returns the number of bytes that count towards MaxHeldBytes.
func (c *Client) HeldBytes() int64 { return c.held.Load() }

// Send sends the request once and waits for the complete response until ctx
// ends. left is the time that the server has for the request.
func (c *Client) Send(ctx context.Context, server dcbalance.Server, request *Request, left time.Duration) (answer Answer) {
	release, err := c.Pool.Acquire(ctx, server.Addr)
	if err != nil {
		return Answer{Outcome: dcbalance.Refused, Code: dcreason.QueueFull, Err: err}
	}
	defer release()
	header := request.Header.Clone()
	c.Codec.Encode(header, request, server, left)
	response, exchange, err := c.roundTrip(ctx, server, request, header)
	defer func() { answer.Waited = exchange.Waited() }()
	if err != nil {
		return classify(ctx, exchange, err)
	}
	defer response.Body.Close()
	return c.readResponse(ctx, response, exchange, request)
}

// roundTrip sends the request on a connection on which it was not sent before.
func (c *Client) roundTrip(ctx context.Context, server dcbalance.Server, request *Request, header http.Header) (*http.Response, *dcconnpool.Exchange, error) {
	for {
		response, exchange, err := c.Pool.RoundTrip(server.Addr, newRequest(ctx, server, request, header), &request.connections)
		if err == nil || !exchange.UsedBefore() || exchange.Written() || ctx.Err() != nil {
			return response, exchange, err
		}
	}
}

func newRequest(ctx context.Context, server dcbalance.Server, request *Request, header http.Header) *http.Request {
	outgoing := &http.Request{
		Method:     request.Method,
		URL:        targetURL(server.Addr, request.Target),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header,
		Host:       request.Host,
	}
	if _, ok := header["User-Agent"]; !ok {
		// Keeps net/http from adding its own User-Agent.
		header["User-Agent"] = nil
	}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
		outgoing.ContentLength = int64(len(request.Body))
	}
	return outgoing.WithContext(ctx)
}

// targetURL returns a URL for which net/http writes the target into the request
// line exactly as received. Otherwise net/http would encode the path again, and
// would write a target that begins with two slashes in absolute form.
func targetURL(addr dcid.ServerAddr, target string) *url.URL {
	requestURL := &url.URL{Scheme: "http", Host: string(addr), Opaque: target}
	if strings.HasPrefix(target, "//") {
		path, query, _ := strings.Cut(target, "?")
		requestURL.Opaque, requestURL.Path, requestURL.RawPath, requestURL.RawQuery = "", path, path, query
	}
	return requestURL
}

// classify returns the result of a request without a complete response.
func classify(ctx context.Context, exchange *dcconnpool.Exchange, err error) Answer {
	answer := Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamCrashed, Err: err}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.Canceled):
		answer.Outcome, answer.Code = dcbalance.Abandoned, dcreason.Cancelled
	case cause != nil:
		answer.Code = dcreason.DeadlineExceeded
	case exchange.ResponseStarted():
		answer.Code = dcreason.UpstreamMalformed
	}
	if !exchange.Written() && answer.Outcome != dcbalance.Abandoned {
		answer.Outcome, answer.Code = dcbalance.Unreachable, dcreason.ConnectionFailed
	}
	return answer
}

// readResponse reads the body of a response and returns the result.
func (c *Client) readResponse(ctx context.Context, response *http.Response, exchange *dcconnpool.Exchange, request *Request) Answer {
	if !dcstatus.IsFinal(response.StatusCode) {
		exchange.Discard()
		return Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamMalformed, Status: response.StatusCode}
	}
	metadata := c.Codec.Decode(response, request)
	if metadata.WrongRequest || response.Header.Get("Content-Encoding") != "" || response.Uncompressed {
		exchange.Discard()
		return Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamMalformed, Status: response.StatusCode}
	}
	if metadata.Misdirected {
		// The answer of another server says nothing of this one.
		metadata.RateLimit, metadata.Leaving = dcratelimit.Statement{}, false
	}
	if metadata.Misdirected || !turnsAway(response.StatusCode) {
		metadata.RetryDelay = 0
	}
	body, err := c.readBody(response)
	if err != nil {
		answer := classify(ctx, exchange, err)
		answer.RateLimit, answer.RetryDelay, answer.Leaving = metadata.RateLimit, metadata.RetryDelay, metadata.Leaving
		return answer
	}
	result := Answer{
		Outcome: dcbalance.Answered, Code: dcreason.OK, Status: response.StatusCode, Header: response.Header, Body: body,
		Proof: metadata.Proof, RateLimit: metadata.RateLimit, RetryDelay: metadata.RetryDelay, Leaving: metadata.Leaving,
	}
	switch {
	case metadata.Misdirected:
		result.Outcome, result.Code = dcbalance.Misdirected, dcreason.StaleServer
	case metadata.NotRun:
		result.Outcome, result.Code = dcbalance.Refused, dcreason.UpstreamShed
	case response.StatusCode >= http.StatusInternalServerError:
		result.Outcome, result.Code = dcbalance.Failed, dcreason.UpstreamError
	case impliesNotRun(response.StatusCode) || result.Proof == "":
		// The statements of the server contradict each other or are missing.
		result.Outcome, result.Code = dcbalance.Lost, dcreason.UpstreamMalformed
	}
	return result
}

// turnsAway reports whether a delay in a response with the status applies to all
// requests to the server.
func turnsAway(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// impliesNotRun reports whether a status tells the caller that its request did
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
