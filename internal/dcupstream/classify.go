package dcupstream

import (
	"context"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcconnpool"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// classifyError returns the outcome and code of a transmission that failed
// without a complete response. Only a request of which nothing was written is
// proven not to have run.
func classifyError(ctx context.Context, exchange *dcconnpool.Exchange, err error) (dcreason.Outcome, dcreason.Code) {
	if !exchange.Written() {
		return dcreason.NotRun, unsentCode(ctx, err)
	}
	ended := contextError(ctx)
	switch {
	case ended != nil:
		return dcreason.Unknown, contextCode(ended)
	case exchange.ResponseStarted() && !connectionLost(err):
		return dcreason.Unknown, dcreason.UpstreamMalformed
	default:
		return dcreason.Unknown, dcreason.UpstreamCrashed
	}
}

// unsentCode returns the code of a request of which nothing was written.
func unsentCode(ctx context.Context, err error) dcreason.Code {
	ended := contextError(ctx)
	switch {
	case ended != nil:
		return contextCode(ended)
	case errors.Is(err, syscall.ECONNREFUSED):
		return dcreason.ConnectionRefused
	default:
		return dcreason.ConnectionFailed
	}
}

// contextError returns the cause of a context that has ended, or nil. It does
// not call Err, which blocks on a context of clockwork's fake clock until the
// context ends.
func contextError(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	default:
		return nil
	}
}

// contextCode returns the code of a request that ended with its context, for
// the cause that contextError returns.
func contextCode(err error) dcreason.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return dcreason.DeadlineExceeded
	}
	return dcreason.Cancelled
}

// connectionLost reports whether an error means that the connection failed, as
// opposed to a malformed response.
func connectionLost(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// classifyStatus returns the outcome and code of a complete response whose
// status is not 200.
func classifyStatus(httpResponse *http.Response) (dcreason.Outcome, dcreason.Code) {
	outcome := dcreason.Unknown
	if notStarted, err := strconv.ParseBool(httpResponse.Header.Get(HeaderNotStarted)); err == nil && notStarted {
		outcome = dcreason.NotRun
	}
	switch httpResponse.StatusCode {
	case http.StatusConflict:
		return outcome, dcreason.VersionGone
	case http.StatusGone:
		return outcome, dcreason.ShardGone
	case http.StatusNotFound:
		return outcome, dcreason.KeyUnknown
	case http.StatusServiceUnavailable:
		return outcome, unavailableCode(httpResponse.Header, outcome)
	default:
		return outcome, dcreason.UpstreamError
	}
}

// HeaderServerState is the header with the state of a server that rejects a
// request with status 503. Any value other than draining, or none, means load
// shedding.
const HeaderServerState = "Server-State"

// unavailableCode returns the code of a response with status 503. Without the
// draining state and without proof that the request did not run, it is
// UpstreamError.
func unavailableCode(header http.Header, outcome dcreason.Outcome) dcreason.Code {
	switch {
	case header.Get(HeaderServerState) == "draining":
		return dcreason.UpstreamDraining
	case outcome == dcreason.NotRun:
		return dcreason.UpstreamShed
	default:
		return dcreason.UpstreamError
	}
}

// readLabel returns the label in the headers of a response. If the epoch or the
// attempt does not parse, it returns the zero Label, which no request has.
func readLabel(header http.Header, service dcid.ServiceName) Label {
	epoch, epochErr := strconv.ParseUint(header.Get(HeaderMapEpoch), 10, 32)
	attempt, attemptErr := strconv.ParseUint(header.Get(HeaderAttempt), 10, 32)
	if epochErr != nil || attemptErr != nil {
		return Label{}
	}
	return Label{
		Request: dcid.RequestID(header.Get(HeaderRequestID)),
		Service: service,
		Shard:   dcid.ShardID(header.Get(HeaderShard)),
		Version: dcid.IndexVersion(header.Get(HeaderIndexVersion)),
		Epoch:   dcid.MapEpoch(epoch),
		Attempt: dcid.Attempt(attempt),
	}
}

// absentOrEqual reports whether a response lacks a header or repeats the value
// of the request.
func absentOrEqual(got, want string) bool {
	return got == "" || got == want
}

// maxQueueTimeMS is the longest queue time that is accepted, one hour in
// milliseconds. Much larger numbers would overflow a time.Duration.
const maxQueueTimeMS = 3_600_000

// queueTime returns the duration of the metric "queue" of the Server-Timing
// header, which is in milliseconds (W3C Server Timing). It returns -1 if there
// is none or if it is invalid.
func queueTime(header http.Header) time.Duration {
	for _, line := range header.Values(HeaderServerTiming) {
		for metric := range strings.SplitSeq(line, ",") {
			name, parameters, err := mime.ParseMediaType(strings.TrimSpace(metric))
			if err != nil || name != "queue" {
				continue
			}
			if ms, err := strconv.ParseFloat(parameters["dur"], 64); err == nil && ms >= 0 && ms <= maxQueueTimeMS {
				return time.Duration(ms * float64(time.Millisecond))
			}
		}
	}
	return -1
}
