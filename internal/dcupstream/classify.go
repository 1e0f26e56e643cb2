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

// classify decides outcome and code of a transmission that failed without a
// complete answer. Only a request that was never written is proven not to have
// run.
func classify(ctx context.Context, exchange *dcconnpool.Exchange, err error) (dcreason.Outcome, dcreason.Code) {
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

// contextError returns why a context has ended. The Err method of clockwork's
// fake contexts waits for the end, so it is not asked earlier.
func contextError(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	default:
		return nil
	}
}

func contextCode(err error) dcreason.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return dcreason.DeadlineExceeded
	}
	return dcreason.Cancelled
}

func connectionLost(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// classifyStatus decides outcome and code of a complete answer other than 200.
func classifyStatus(answer *http.Response) (dcreason.Outcome, dcreason.Code) {
	outcome := dcreason.Unknown
	if notStarted, err := strconv.ParseBool(answer.Header.Get(HeaderNotStarted)); err == nil && notStarted {
		outcome = dcreason.NotRun
	}
	switch answer.StatusCode {
	case http.StatusConflict:
		return outcome, dcreason.VersionGone
	case http.StatusGone:
		return outcome, dcreason.ShardGone
	case http.StatusNotFound:
		return outcome, dcreason.KeyUnknown
	case http.StatusServiceUnavailable:
		return outcome, shedCode(answer.Header, outcome)
	default:
		return outcome, dcreason.UpstreamError
	}
}

// HeaderState tells why a server refused a request: draining, or else load
// shedding.
const HeaderState = "Server-State"

func shedCode(header http.Header, outcome dcreason.Outcome) dcreason.Code {
	switch {
	case header.Get(HeaderState) == "draining":
		return dcreason.UpstreamDraining
	case outcome == dcreason.NotRun:
		return dcreason.UpstreamShed
	default:
		return dcreason.UpstreamError
	}
}

// readLabel reads the labels that a server repeats. A label that does not
// parse reads as one that no request has.
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

func matchesWhenPresent(got, want string) bool {
	return got == "" || got == want
}

// maxQueueMS is the longest waiting time that is believed, one hour in
// milliseconds. Larger numbers overflow a duration.
const maxQueueMS = 3_600_000

// queueTime reads the duration of the metric queue, in milliseconds, from
// Server-Timing (W3C Server Timing). It is negative when there is none.
func queueTime(header http.Header) time.Duration {
	for _, line := range header.Values(HeaderServerTiming) {
		for metric := range strings.SplitSeq(line, ",") {
			name, parameters, err := mime.ParseMediaType(strings.TrimSpace(metric))
			if err != nil || name != "queue" {
				continue
			}
			if ms, err := strconv.ParseFloat(parameters["dur"], 64); err == nil && ms >= 0 && ms <= maxQueueMS {
				return time.Duration(ms * float64(time.Millisecond))
			}
		}
	}
	return -1
}
