package dcstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// callKind distinguishes calls by the error for a lost reply.
type callKind int

const (
	readCall callKind = iota
	writeCall
)

// lostReplyError returns the error of a call whose request may have reached
// the service.
func (k callKind) lostReplyError() error {
	if k == writeCall {
		return ErrUnknownOutcome
	}
	return ErrUnavailable
}

// call sends one request within the timeout and decodes the response. It reads
// the whole body, so that the connection can be reused.
func (c *Client) call(ctx context.Context, kind callKind, path string, request, result any) error {
	ctx, cancel := withTimeout(ctx, c.clock(), c.timeout())
	defer cancel()
	response, err := c.send(ctx, kind, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", kind.lostReplyError(), err)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("%w: decode answer: %w", kind.lostReplyError(), err)
	}
	return nil
}

// callStream sends one request within the timeout and decodes the first
// message of the response stream. It does not wait for the end of the stream.
func (c *Client) callStream(ctx context.Context, kind callKind, path string, request, result any) error {
	ctx, cancel := withTimeout(ctx, c.clock(), c.timeout())
	defer cancel()
	response, err := c.send(ctx, kind, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return fmt.Errorf("%w: read stream: %w", kind.lostReplyError(), err)
	}
	return nil
}

// send sends a request to the preferred endpoint. If it fails with nothing
// written, send tries the other endpoints in turn until ctx is done. After a
// failure the next endpoint is the preferred one. The caller closes the body of
// the response.
func (c *Client) send(ctx context.Context, kind callKind, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	if len(c.Endpoints) == 0 {
		return nil, errors.New("no endpoint configured; set the endpoints of the store")
	}
	lastErr := ErrUnavailable
	for range c.Endpoints {
		index := c.preferred.Load()
		endpoint := c.Endpoints[index%uint32(len(c.Endpoints))]
		response, written, err := c.post(ctx, endpoint+path, body)
		if err == nil {
			return checkStatus(kind, response)
		}
		c.preferred.CompareAndSwap(index, index+1)
		if written {
			return nil, fmt.Errorf("%w: %w", kind.lostReplyError(), err)
		}
		lastErr = fmt.Errorf("%w: %w", ErrUnavailable, err)
		if isDone(ctx) {
			break
		}
	}
	return nil, lastErr
}

// post sends one request and reports whether any part of it may have been
// written to a connection. net/http retries a POST by itself only if it has
// written nothing, so the flag is reset whenever it gets a connection. The
// request line is smaller than the write buffer of the transport, so no byte is
// sent before WroteHeaderField is called for the first header.
func (c *Client) post(ctx context.Context, url string, body []byte) (response *http.Response, written bool, err error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn:          func(string) { wrote.Store(false) },
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err = c.HTTP.Do(request)
	return response, wrote.Load(), err
}

// checkStatus returns an error for a response whose status is not 200, and
// closes its body. After a server error the outcome of a write is unknown: the
// service also returns one when it loses its leader after the write was
// proposed.
func checkStatus(kind callKind, response *http.Response) (*http.Response, error) {
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	var gatewayErr GatewayError
	_ = json.Unmarshal(body, &gatewayErr)
	detail := gatewayErr.Message
	if detail == "" {
		detail = strings.TrimSpace(gatewayErr.Error)
	}
	err := fmt.Errorf("status %d: %s", response.StatusCode, detail)
	switch {
	case response.StatusCode == http.StatusNotFound && gatewayErr.Code == CodeNotFound:
		return nil, fmt.Errorf("%w: %w", ErrLeaseExpired, err)
	case response.StatusCode == http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case response.StatusCode == http.StatusRequestTimeout,
		response.StatusCode == statusClientClosedRequest,
		response.StatusCode/100 != 4:
		return nil, fmt.Errorf("%w: %w", kind.lostReplyError(), err)
	}
	return nil, err
}

// withTimeout returns a context that is cancelled after a duration of the
// clock. clockwork.WithTimeout is not used, because with a fake clock the Err
// method of its context blocks until the context ends.
func withTimeout(ctx context.Context, clock clockwork.Clock, duration time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(duration, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// isDone reports whether ctx is done. It does not call Err, which blocks on a
// context of clockwork's fake clock until the context ends.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
