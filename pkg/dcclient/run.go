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

// maxAnswerBytes is the number of bytes after which a response body is cut off.
const maxAnswerBytes = 256 << 20

// timeoutHeader is the header that passes the remaining time to the tier, in
// milliseconds.
const timeoutHeader = "Request-Timeout-Ms"

var (
	errNoDeadline  = errors.New("context has no deadline; set one")
	errNoResult    = errors.New("answer has no known outcome")
	errKeyMismatch = errors.New("answer is for another order key")
)

// call is one request to the tier, which may take several transmissions.
type call struct {
	group  string
	method string
	path   string
	// idempotent allows another transmission after a lost response. It is set
	// for orders, because the tier recognizes their key.
	idempotent bool
	// lookup marks a call without side effects. It can be sent again after a
	// lost response, and a later not-run is then its result.
	lookup bool
	// key is the key of the order that the response must be for. It is empty
	// for queries.
	key string
	// request is the body. It is nil when there is none.
	request proto.Message
	// answer is the message that the response is decoded into.
	answer proto.Message
}

// resultMessage is a response message with a result.
type resultMessage interface{ GetResult() *callerv1.Result }

// sendResult is the result of one transmission.
type sendResult struct {
	// status is the HTTP status.
	status int
	// written reports that the tier may have received the request.
	written bool
	// err is not nil when no readable response arrived.
	err error
}

// retryable lists the reasons for the outcome not-run that may not apply to
// another host, so that the call is tried there. Load shedding is not in the
// list, because a retry would add to the overload.
var retryable = map[dcreason.Code]bool{
	dcreason.HostStopping:         true,
	dcreason.ConfigurationMissing: true,
	dcreason.ConfigurationStale:   true,
	dcreason.MapUnknown:           true,
	dcreason.StoreUnavailable:     true,
	dcreason.PeerUnavailable:      true,
	dcreason.ConnectionRefused:    true,
}

// callState is the state of one call across its transmissions.
type callState struct {
	call call
	// attempts is the number of transmissions, also of those that were refused.
	attempts int
	// answered reports that a readable response arrived.
	answered bool
	// outcomeUnknown reports that the outcome of a transmission is unknown. A
	// later not-run applies only to its own transmission, so it does not prove
	// that the call did not run.
	outcomeUnknown bool
	// result is that of the last transmission that may have reached the tier,
	// or not-run when there was none.
	result Result
	// err joins the errors of all transmissions.
	err error
}

// run sends a call to one address after the other until its result is final.
// When no address responded, it fetches a new list of addresses and tries once
// more.
func (c *Client) run(ctx context.Context, call call) (Result, error) {
	state := &callState{call: call, result: transportResult(dcreason.NotRun, dcreason.ConnectionFailed)}
	if _, ok := ctx.Deadline(); !ok {
		state.result.Reason = string(dcreason.DeadlineMissing)
		return state.result, errNoDeadline
	}
	for _, forceRefresh := range []bool{false, true} {
		list, err := c.addressesFor(ctx, call.group, forceRefresh)
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

// tryAddresses sends the call to each address in order. It reports whether to
// stop, which is the case when the result is final, when less than 1 ms remains
// until the deadline or when ctx has ended.
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
		sent := c.send(ctx, address, state.call, remaining)
		if !sent.written {
			c.markFailed(state.call.group, address)
		}
		if state.record(sent) {
			return true
		}
	}
	return false
}

// record updates the state with the result of one transmission and reports
// whether the result of the call is final.
func (s *callState) record(sent sendResult) bool {
	if sent.err == nil {
		s.answered = true
		s.result = newResult(s.call.answer)
		return s.isFinal()
	}
	s.err = errors.Join(s.err, sent.err)
	if !sent.written {
		return false
	}
	s.outcomeUnknown = s.outcomeUnknown || !s.call.lookup
	s.result = transportResult(dcreason.Unknown, dcreason.ConnectionFailed)
	return !s.call.idempotent && !s.call.lookup
}

// isFinal reports whether the response determines the result of the call. It
// depends on the outcome and the reason only, not on the HTTP status.
func (s *callState) isFinal() bool {
	return s.result.Outcome != NotRun || !retryable[dcreason.Code(s.result.Reason)]
}

// finish returns the result of the call across all transmissions. A not-run
// after a transmission with an unknown outcome becomes unknown.
func (s *callState) finish() (Result, error) {
	s.result.Attempts = s.attempts
	if s.answered {
		s.err = nil
	}
	if s.outcomeUnknown && s.result.Outcome == NotRun {
		s.result.Message = fmt.Sprintf("an earlier reply was lost; last answer: %s %s", s.result.Reason, s.result.Message)
		s.result.Outcome = Unknown
		s.result.Reason = string(dcreason.OutcomeUnknown)
		s.result.DecidedBy = string(dcreason.OutcomeUnknown.DecisionPoint())
	}
	return s.result, s.err
}

// transportResult returns a result that the client determines itself because no
// response arrived.
func transportResult(outcome dcreason.Outcome, code dcreason.Code) Result {
	return Result{
		Outcome:   Outcome(outcome),
		Reason:    string(code),
		DecidedBy: string(code.DecisionPoint()),
	}
}

// newResult returns the result of a response message, which must be a
// resultMessage.
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

// send makes one transmission and decodes the response. To find out whether the
// tier may have received the request, it traces the HTTP transport. The
// transport resends a POST without an idempotency header only when it wrote
// nothing, so each new connection attempt resets written. The request line is
// smaller than the write buffer of the transport, so no byte is sent before the
// trace reports the first header field.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return sendResult{err: err}
	}
	return sendResult{status: response.StatusCode, err: decode(data, call)}
}

// request builds the HTTP request for one transmission.
func (c *Client) request(ctx context.Context, address string, call call, remaining time.Duration) (*http.Request, error) {
	var body io.Reader
	if call.request != nil {
		data, err := protojson.Marshal(call.request)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
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

// decode decodes a response into the answer of the call. A response without a
// known outcome, or for another order, proves nothing: it is an error, and the
// answer is reset so that none of its data remains.
func decode(data []byte, call call) (err error) {
	defer func() {
		if err != nil {
			proto.Reset(call.answer)
		}
	}()
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(data, call.answer); err != nil {
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
