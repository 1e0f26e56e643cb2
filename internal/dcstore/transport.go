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

// callKind says how a lost reply is classified.
type callKind int

const (
	readCall callKind = iota
	writeCall
)

// lostReplyError returns the class of a call whose request may have reached the service.
func (k callKind) lostReplyError() error {
	if k == writeCall {
		return ErrUnknownOutcome
	}
	return ErrUnavailable
}

// call sends one request within the timeout and decodes the whole answer,
// which leaves the connection free for the next call.
func (c *Client) call(ctx context.Context, k callKind, path string, request, answer any) error {
	ctx, cancel := withTimeout(ctx, c.clock(), c.timeout())
	defer cancel()
	response, err := c.send(ctx, k, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", k.lostReplyError(), err)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return fmt.Errorf("%w: decode answer: %w", k.lostReplyError(), err)
	}
	return nil
}

// callStream sends one request within the timeout and decodes the first message of
// the stream that answers it. The stream need not end.
func (c *Client) callStream(ctx context.Context, k callKind, path string, request, answer any) error {
	ctx, cancel := withTimeout(ctx, c.clock(), c.timeout())
	defer cancel()
	response, err := c.send(ctx, k, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("%w: read stream: %w", k.lostReplyError(), err)
	}
	return nil
}

// send tries the endpoints in turn as long as nothing was written. The caller
// closes the body of the answer.
func (c *Client) send(ctx context.Context, k callKind, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	if len(c.Endpoints) == 0 {
		return nil, errors.New("no endpoint configured; set the endpoints of the store")
	}
	failed := ErrUnavailable
	for range c.Endpoints {
		index := c.preferred.Load()
		endpoint := c.Endpoints[index%uint32(len(c.Endpoints))]
		response, written, err := c.post(ctx, endpoint+path, body)
		if err == nil {
			return checkStatus(k, response)
		}
		c.preferred.CompareAndSwap(index, index+1)
		if written {
			return nil, fmt.Errorf("%w: %w", k.lostReplyError(), err)
		}
		failed = fmt.Errorf("%w: %w", ErrUnavailable, err)
		if isDone(ctx) {
			break
		}
	}
	return nil, failed
}

// post sends one request and reports whether any part of it may have been
// written. The transport resends a POST only when it has written nothing, so
// each new connection attempt resets the flag. The request line is smaller than
// the transport's write buffer, so no byte is sent before the first header
// field is traced.
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

// checkStatus turns an error status into an error. A server error leaves the
// outcome of a write open: the service also gives it when it lost its leader
// after it had proposed the write.
func checkStatus(k callKind, response *http.Response) (*http.Response, error) {
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	var failure GatewayError
	_ = json.Unmarshal(text, &failure)
	detail := failure.Message
	if detail == "" {
		detail = strings.TrimSpace(failure.Error)
	}
	err := fmt.Errorf("status %d: %s", response.StatusCode, detail)
	switch {
	case response.StatusCode == http.StatusNotFound && failure.Code == CodeNotFound:
		return nil, fmt.Errorf("%w: %w", ErrLeaseExpired, err)
	case response.StatusCode == http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case response.StatusCode == http.StatusRequestTimeout,
		response.StatusCode == statusClientClosedRequest,
		response.StatusCode/100 != 4:
		return nil, fmt.Errorf("%w: %w", k.lostReplyError(), err)
	}
	return nil, err
}

// withTimeout ends ctx after a duration of the clock. clockwork.WithTimeout is not
// used: with a fake clock, Err of its context blocks until the context ends.
func withTimeout(ctx context.Context, clock clockwork.Clock, duration time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(duration, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// isDone reports whether ctx is done without calling Err, which blocks on the
// contexts of clockwork's fake clock.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
