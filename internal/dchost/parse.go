package dchost

import (
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

const (
	// envelopeBytes is the space allowed in a request for all fields but the body.
	envelopeBytes = 64 << 10
	// maxDocumentBytes is the largest size of an apply request. It allows for
	// escapes in the JSON string that holds the document.
	maxDocumentBytes = 2 << 20
	// maxTimeout keeps a timeout within the range of time.Duration.
	maxTimeout            = 24 * time.Hour
	defaultHistoryLimit   = 20
	maxHistoryLimit       = 200
	defaultReportInterval = time.Hour
	maxReportInterval     = 400 * 24 * time.Hour
)

// decision is the outcome of a request, as the response states it.
type decision struct {
	outcome dcreason.Outcome
	code    dcreason.Code
	message string
	// answered is set if the response holds a valid answer. The HTTP status is
	// then 200 even if the code is not OK, for example for a partial answer.
	answered bool
}

// success is the decision for a request that ran. Checks return it to let a
// request proceed.
var success = decision{outcome: dcreason.Ran, code: dcreason.OK}

// refuse returns the decision for a request that did not run.
func refuse(code dcreason.Code, message string) decision {
	return decision{outcome: dcreason.NotRun, code: code, message: message}
}

func (d decision) ok() bool { return d.code == dcreason.OK }

// parseMessage parses JSON strictly: unknown fields are errors.
func parseMessage(text []byte, message proto.Message) decision {
	if err := protojson.Unmarshal(text, message); err != nil {
		return refuse(dcreason.BadRequest, "body is not a valid request: "+err.Error())
	}
	return success
}

func parseQuery(text []byte) (*callerv1.QueryRequest, decision) {
	query := &callerv1.QueryRequest{}
	if d := parseMessage(text, query); !d.ok() {
		return nil, d
	}
	if query.GetServiceGroup() == "" {
		return nil, refuse(dcreason.BadRequest, "service-group is missing")
	}
	return query, success
}

func parseOrder(text []byte) (*callerv1.OrderRequest, decision) {
	order := &callerv1.OrderRequest{}
	if d := parseMessage(text, order); !d.ok() {
		return nil, d
	}
	if order.GetServiceGroup() == "" || order.GetService() == "" {
		return nil, refuse(dcreason.BadRequest, "service-group or service is missing")
	}
	if order.GetKey() == "" {
		return nil, refuse(dcreason.KeyMalformed, "key is missing; use a UUIDv7")
	}
	return order, success
}

func parseApply(text []byte) (*callerv1.ApplyRequest, decision) {
	apply := &callerv1.ApplyRequest{}
	if d := parseMessage(text, apply); !d.ok() {
		return nil, d
	}
	if apply.GetOperationId() == "" {
		return nil, refuse(dcreason.BadRequest, "operation-id is missing; use a new UUID for each change")
	}
	return apply, success
}

// parseTimeout parses the header Request-Timeout-Ms.
func parseTimeout(header string) (time.Duration, decision) {
	if header == "" {
		return 0, refuse(dcreason.DeadlineMissing, "header Request-Timeout-Ms is missing")
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil {
		return 0, refuse(dcreason.DeadlineInvalid, "Request-Timeout-Ms is not a whole number")
	}
	if ms <= 0 {
		return 0, refuse(dcreason.DeadlineInvalid, "Request-Timeout-Ms is not positive: the deadline has passed")
	}
	if ms > maxTimeout.Milliseconds() {
		return 0, refuse(dcreason.DeadlineInvalid, "Request-Timeout-Ms is longer than a day")
	}
	return time.Duration(ms) * time.Millisecond, success
}

// parseInterval parses the bounds of a report. The default is the last hour.
func parseInterval(values url.Values, now time.Time) (from, until time.Time, d decision) {
	until, d = parseTime(values.Get("until"), now)
	if !d.ok() {
		return from, until, d
	}
	from, d = parseTime(values.Get("from"), until.Add(-defaultReportInterval))
	if !d.ok() {
		return from, until, d
	}
	if !from.Before(until) || until.Sub(from) > maxReportInterval {
		return from, until, refuse(dcreason.BadRequest, "from must be before until, by at most 400 days")
	}
	return from, until, success
}

func parseTime(text string, fallback time.Time) (time.Time, decision) {
	if text == "" {
		return fallback, success
	}
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return parsed, refuse(dcreason.BadRequest, "from and until must be RFC 3339 times")
	}
	return parsed, success
}

func parseLimit(text string) (int, decision) {
	if text == "" {
		return defaultHistoryLimit, success
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxHistoryLimit {
		return 0, refuse(dcreason.BadRequest, "limit must be between 1 and "+strconv.Itoa(maxHistoryLimit))
	}
	return limit, success
}

// parseRevision parses a revision number. It returns 0 for the latest one.
func parseRevision(text string) (dcid.Revision, decision) {
	if text == "latest" {
		return 0, success
	}
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil || number == 0 {
		return 0, refuse(dcreason.BadRequest, "revision must be a positive number or latest")
	}
	return dcid.Revision(number), success
}
