package dcclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// maxAnswerBytes is the largest answer that is read.
const maxAnswerBytes = 256 << 20

// timeoutHeader passes the remaining time to the tier in milliseconds.
const timeoutHeader = "Request-Timeout-Ms"

var (
	errNoDeadline  = errors.New("context has no deadline; set one")
	errNoResult    = errors.New("answer has no result")
	errKeyMismatch = errors.New("answer is for another order key")
)

// call is one request to the tier.
type call struct {
	group  string
	method string
	path   string
	// idempotent allows another transmission after a lost reply: the tier
	// recognises the key of an order.
	idempotent bool
	// lookup marks a call without effect.
	lookup bool
	// key is that of the order that the answer must be for; empty for queries.
	key     string
	request proto.Message
	answer  proto.Message
}

// resultMessage is an answer that carries a result.
type resultMessage interface{ GetResult() *callerv1.Result }

// sendResult is what became of one transmission.
type sendResult struct {
	status int
	// written reports that the tier may have received the request.
	written bool
	err     error
}

// retryable lists the reasons of not-run that another host may not have.
// Load shedding is left out: a retry would add to the overload.
var retryable = map[dcreason.Code]bool{
	dcreason.HostStopping:         true,
	dcreason.ConfigurationMissing: true,
	dcreason.ConfigurationStale:   true,
	dcreason.MapUnknown:           true,
	dcreason.StoreUnavailable:     true,
	dcreason.PeerUnavailable:      true,
	dcreason.ConnectionRefused:    true,
}

// callState is the state of one call over its transmissions.
type callState struct {
	call     call
	attempts int
	answered bool
	// outcomeUnknown reports a transmission whose outcome is unknown. A later not-run
	// speaks for its own transmission only.
	outcomeUnknown bool
	result         Result
	err            error
}

// run sends a call to one address after the other until it is decided, and
// asks once more for addresses when none answered.
func (c *Client) run(ctx context.Context, call call) (Result, error) {
	state := &callState{call: call, result: transportResult(dcreason.NotRun, dcreason.ConnectionFailed)}
	if _, ok := ctx.Deadline(); !ok {
		state.result.Reason = string(dcreason.DeadlineMissing)
		return state.result, errNoDeadline
	}
	for _, renew := range []bool{false, true} {
		list, err := c.addressesFor(ctx, call.group, renew)
		if err != nil {
			state.err = errors.Join(state.err, err)
			break
		}
		if c.tryAddresses(ctx, state, list) || state.answered {
			break
		}
	}
	return state.finish()
}

// tryAddresses tries each address once and reports whether the call is decided.
func (c *Client) tryAddresses(ctx context.Context, state *callState, list []string) bool {
	for _, address := range list {
		deadline, _ := ctx.Deadline()
		remaining := deadline.Sub(c.Clock.Now())
		if remaining < time.Millisecond || isDone(ctx) {
			state.err = errors.Join(state.err, context.DeadlineExceeded)
			return true
		}
		state.attempts++
		proto.Reset(state.call.answer)
		transmission := c.send(ctx, address, state.call, remaining)
		if !transmission.written {
			c.markFailed(state.call.group, address)
		}
		if state.record(transmission) {
			return true
		}
	}
	return false
}

// record takes one transmission into account and reports whether the call is
// decided.
func (a *callState) record(transmission sendResult) bool {
	if transmission.err == nil {
		a.answered = true
		a.result = newResult(a.call.answer)
		return a.isFinal()
	}
	a.err = errors.Join(a.err, transmission.err)
	if !transmission.written {
		return false
	}
	a.outcomeUnknown = a.outcomeUnknown || !a.call.lookup
	a.result = transportResult(dcreason.Unknown, dcreason.ConnectionFailed)
	return !a.call.idempotent && !a.call.lookup
}

// isFinal reports whether the answer decides the call. The status plays no
// part in it.
func (a *callState) isFinal() bool {
	return a.result.Outcome != NotRun || !retryable[dcreason.Code(a.result.Reason)]
}

// finish returns the result over all transmissions.
func (a *callState) finish() (Result, error) {
	a.result.Attempts = a.attempts
	if a.answered {
		a.err = nil
	}
	if a.outcomeUnknown && a.result.Outcome == NotRun {
		a.result.Message = fmt.Sprintf("an earlier reply was lost; last answer: %s %s", a.result.Reason, a.result.Message)
		a.result.Outcome = Unknown
		a.result.Reason = string(dcreason.OutcomeUnknown)
		a.result.DecidedBy = string(dcreason.OutcomeUnknown.DecisionPoint())
	}
	return a.result, a.err
}

func transportResult(outcome dcreason.Outcome, code dcreason.Code) Result {
	return Result{
		Outcome:   Outcome(outcome),
		Reason:    string(code),
		DecidedBy: string(code.DecisionPoint()),
	}
}

func newResult(message proto.Message) Result {
	result := message.(resultMessage).GetResult()
	return Result{
		RequestID:      result.GetRequestId(),
		Outcome:        Outcome(result.GetOutcome()),
		Reason:         result.GetReason(),
		DecidedBy:      result.GetDecidedBy(),
		Message:        result.GetMessage(),
		ConfigRevision: result.GetConfigRevision(),
		HostID:         result.GetHostId(),
	}
}

// send makes one transmission and decodes the answer. The transport resends a
// POST without an idempotency header only when it wrote nothing, so each new
// connection attempt resets written. The request line is smaller than the
// transport's write buffer, so no byte is sent before the first header field
// is traced.
func (c *Client) send(ctx context.Context, address string, call call, remaining time.Duration) (result sendResult) {
	var wrote atomic.Bool
	defer func() { result.written = wrote.Load() }()
	trace := &httptrace.ClientTrace{
		GetConn:          func(string) { wrote.Store(false) },
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), address, call, remaining)
	if err != nil {
		return sendResult{err: err}
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return sendResult{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return sendResult{err: err}
	}
	return sendResult{status: response.StatusCode, err: decode(text, call)}
}

func (c *Client) request(ctx context.Context, address string, call call, remaining time.Duration) (*http.Request, error) {
	var body io.Reader
	if call.request != nil {
		text, err := protojson.Marshal(call.request)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, c.scheme()+"://"+address+call.path, body)
	if err != nil {
		return nil, err
	}
	request.SetBasicAuth(c.Department, c.Credential)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(timeoutHeader, strconv.FormatInt(remaining.Milliseconds(), 10))
	return request, nil
}

func (c *Client) scheme() string {
	if c.Scheme == "" {
		return "http"
	}
	return c.Scheme
}

// decode reads an answer. One without a known outcome, or for another order,
// proves nothing and leaves no data behind.
func decode(text []byte, call call) (err error) {
	defer func() {
		if err != nil {
			proto.Reset(call.answer)
		}
	}()
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(text, call.answer); err != nil {
		return err
	}
	if order, ok := call.answer.(*callerv1.OrderResponse); ok && order.GetKey() != "" && order.GetKey() != call.key {
		return errKeyMismatch
	}
	message, ok := call.answer.(resultMessage)
	if !ok {
		return nil
	}
	switch Outcome(message.GetResult().GetOutcome()) {
	case Ran, NotRun, Unknown:
		return nil
	}
	return errNoResult
}
