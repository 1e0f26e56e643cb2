// Package dcforward sends a caller's request to one server, unchanged, and
// decides what came of it.
package dcforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcconnpool"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// maxAnswerBytes bounds the answer of a server that is held in memory.
const maxResponseBytes = 16 << 20

// Request is a request as its caller sent it.
type Request struct {
	ID     dcid.RequestID
	Method string
	// Target is the path and query, exactly as received.
	Target string
	Host   string
	Path   string
	// Header holds the fields that concern more than one connection.
	Header http.Header
	Body   []byte
	// Arrived is the time at which the request was read.
	Arrived time.Time
	// Deadline is the time until which the caller waits.
	Deadline time.Time
}

// Answer is what came of a request at one server.
type Answer struct {
	Outcome dcbalance.Outcome
	Code    dcreason.Code
	Status  int
	Header  http.Header
	Body    []byte
	// Proof is the server's statement that the answer belongs to the request.
	Proof string
	Err   error
}

// Label is what the fields of an answer say.
type ResponseMetadata struct {
	// Foreign is set on an answer to another request.
	WrongRequest bool
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
	// Misdirected is set when another server has the address.
	Misdirected bool
	// Proof is the server's statement that the answer belongs to the request.
	Proof string
}

// Codec translates the fields that the protocol of the servers adds.
type Codec interface {
	// Encode sets the fields of a request to a server.
	Encode(header http.Header, request *Request, server dcbalance.Server, left time.Duration)
	// Decode reads the fields of an answer.
	Decode(answer *http.Response, request *Request) ResponseMetadata
}

// Client sends requests.
type Client struct {
	Pool  *dcconnpool.Pool
	Codec Codec
}

// Send sends the request once and waits for the whole answer until ctx ends.
// left is the time that the server may work.
func (c *Client) Send(ctx context.Context, server dcbalance.Server, request *Request, left time.Duration) Answer {
	release, err := c.Pool.Acquire(ctx, server.Addr)
	if err != nil {
		return Answer{Outcome: dcbalance.Refused, Code: dcreason.QueueFull, Err: err}
	}
	defer release()
	header := request.Header.Clone()
	c.Codec.Encode(header, request, server, left)
	answer, exchange, err := c.Pool.RoundTrip(server.Addr, newRequest(ctx, server, request, header))
	if err != nil {
		return classify(ctx, exchange, err)
	}
	defer answer.Body.Close()
	return c.readResponse(ctx, answer, exchange, request)
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
		// Keeps net/http from adding its own.
		header["User-Agent"] = nil
	}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
		outgoing.ContentLength = int64(len(request.Body))
	}
	return outgoing.WithContext(ctx)
}

// targetURL makes the request line carry the target exactly as received.
// net/http would encode the path again, and would write a target that begins
// with two slashes in absolute form.
func targetURL(addr dcid.ServerAddr, target string) *url.URL {
	address := &url.URL{Scheme: "http", Host: string(addr), Opaque: target}
	if strings.HasPrefix(target, "//") {
		path, query, _ := strings.Cut(target, "?")
		address.Opaque, address.Path, address.RawPath, address.RawQuery = "", path, path, query
	}
	return address
}

// classify decides the outcome of a request without a complete answer.
func classify(ctx context.Context, exchange *dcconnpool.Exchange, err error) Answer {
	answer := Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamCrashed, Err: err}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.Canceled):
		answer.Outcome, answer.Code = dcbalance.Abandoned, dcreason.Cancelled
	case cause != nil:
		answer.Code = dcreason.DeadlineExceeded
	case exchange.Answered():
		answer.Code = dcreason.UpstreamMalformed
	}
	if !exchange.Written() && answer.Outcome != dcbalance.Abandoned {
		answer.Outcome, answer.Code = dcbalance.Unreachable, dcreason.ConnectionFailed
	}
	return answer
}

func (c *Client) readResponse(ctx context.Context, answer *http.Response, exchange *dcconnpool.Exchange, request *Request) Answer {
	label := c.Codec.Decode(answer, request)
	if label.WrongRequest || answer.Header.Get("Content-Encoding") != "" || answer.Uncompressed {
		exchange.Discard()
		return Answer{Outcome: dcbalance.Lost, Code: dcreason.UpstreamMalformed, Status: answer.StatusCode}
	}
	body, err := readBody(answer)
	if err != nil {
		return classify(ctx, exchange, err)
	}
	result := Answer{Outcome: dcbalance.Answered, Code: dcreason.OK, Status: answer.StatusCode, Header: answer.Header, Body: body, Proof: label.Proof}
	switch {
	case label.Misdirected:
		result.Outcome, result.Code = dcbalance.Misdirected, dcreason.StaleServer
	case label.NotRun:
		result.Outcome, result.Code = dcbalance.Refused, dcreason.UpstreamShed
	case answer.StatusCode >= http.StatusInternalServerError:
		result.Outcome, result.Code = dcbalance.Failed, dcreason.UpstreamError
	case impliesNotRun(answer.StatusCode) || result.Proof == "" || answer.StatusCode < http.StatusOK:
		// The server's own statements contradict each other or are missing.
		result.Outcome, result.Code = dcbalance.Lost, dcreason.UpstreamMalformed
	}
	return result
}

// promisesNotRun reports whether a status tells the caller that its request
// was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

var errResponseTooLarge = errors.New("answer exceeds the memory for answers")

func readBody(answer *http.Response) ([]byte, error) {
	switch {
	case answer.Request.Method == http.MethodHead:
		return nil, nil
	case answer.ContentLength > maxResponseBytes:
		return nil, errResponseTooLarge
	}
	if answer.ContentLength >= 0 {
		body := make([]byte, answer.ContentLength)
		_, err := io.ReadFull(answer.Body, body)
		if err != nil {
			return nil, err
		}
		// Reads the end of the body, so that the connection is kept.
		_, err = answer.Body.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	return body, err
}
