package dchost

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcauth"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// TimeoutHeader is the request header with the time for which the caller waits,
// in milliseconds.
const TimeoutHeader = "Request-Timeout-Ms"

// httpStatuses maps reason codes to HTTP status codes. All other codes map to
// 503.
var httpStatuses = map[dcreason.Code]int{
	dcreason.OK:                  http.StatusOK,
	dcreason.BadRequest:          http.StatusBadRequest,
	dcreason.DeadlineMissing:     http.StatusBadRequest,
	dcreason.DeadlineInvalid:     http.StatusBadRequest,
	dcreason.KeyMalformed:        http.StatusBadRequest,
	dcreason.KeyExpired:          http.StatusBadRequest,
	dcreason.KeyFromFuture:       http.StatusBadRequest,
	dcreason.SchemaNotAccepted:   http.StatusBadRequest,
	dcreason.KindMismatch:        http.StatusBadRequest,
	dcreason.CredentialInvalid:   http.StatusUnauthorized,
	dcreason.DepartmentDenied:    http.StatusForbidden,
	dcreason.Quarantined:         http.StatusForbidden,
	dcreason.RequestSuspected:    http.StatusForbidden,
	dcreason.GroupUnknown:        http.StatusNotFound,
	dcreason.ServiceUnknown:      http.StatusNotFound,
	dcreason.KeyUnknown:          http.StatusNotFound,
	dcreason.KeyBodyMismatch:     http.StatusConflict,
	dcreason.KeyInProgress:       http.StatusConflict,
	dcreason.ConfigConflict:      http.StatusConflict,
	dcreason.BodyTooLarge:        http.StatusRequestEntityTooLarge,
	dcreason.ConfigInvalid:       http.StatusUnprocessableEntity,
	dcreason.QueueFull:           http.StatusTooManyRequests,
	dcreason.WaitExceedsDeadline: http.StatusTooManyRequests,
	dcreason.BudgetExhausted:     http.StatusTooManyRequests,
	dcreason.DeadlineExceeded:    http.StatusGatewayTimeout,
	dcreason.Internal:            http.StatusInternalServerError,
}

func httpStatus(d decision) int {
	if d.answered {
		return http.StatusOK
	}
	if status, ok := httpStatuses[d.code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// call is one request of a caller to the API.
type call struct {
	*Host
	id         dcid.RequestID
	started    time.Time
	view       *view
	request    *http.Request
	writer     http.ResponseWriter
	department dcid.Department
}

// handler handles a call. It returns the response message, whose Result is
// filled in, and the decision that the Result describes.
type handler func(c *call) (answer proto.Message, d decision)

func (h *Host) callerHandler() http.Handler {
	mux := http.NewServeMux()
	for pattern, route := range map[string]struct {
		kind   string
		handle handler
	}{
		"GET /v1/addresses":                   {"addresses", serveAddresses},
		"POST /v1/query":                      {"query", serveQuery},
		"POST /v1/order":                      {"order", serveOrder},
		"GET /v1/orders/{group}/{key}":        {"lookup", serveLookup},
		"GET /v1/config/revisions/{revision}": {"config", serveRevision},
		"GET /v1/config/history":              {"config", serveHistory},
		"GET /v1/config/status":               {"config", serveStatus},
		"POST /v1/config/apply":               {"apply", serveApply},
		"GET /v1/report/burn":                 {"report", serveBurn},
		"GET /v1/report/department":           {"report", serveDepartment},
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { h.handle(w, r, route.kind, route.handle) })
	}
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", h.serveReady)
	if h.MetricsHandler != nil {
		mux.Handle("GET /metrics", h.MetricsHandler)
	}
	return mux
}

// serveReady answers 200 if the host is ready and 503 otherwise.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the host has a configuration, is not stopping, may open
// connections to upstreams, and knows the shard map of every service group.
func (h *Host) ready() bool {
	view := h.view.Load()
	if view.accepted == nil || !h.drain.ready() || !h.seats.active(h.Clock.Now()) {
		return false
	}
	for _, group := range view.groups {
		if !group.hasShardMap() {
			return false
		}
	}
	return true
}

// handle runs the handler of a request, records and logs the request, and
// writes the response.
func (h *Host) handle(w http.ResponseWriter, r *http.Request, kind string, handle handler) {
	h.activeRequests.Add(1)
	defer h.activeRequests.Add(-1)
	c := &call{
		Host:    h,
		id:      newRequestID(),
		started: h.Clock.Now(),
		view:    h.view.Load(),
		request: r,
		writer:  w,
	}
	answer, d := handle(c)
	elapsed := h.Clock.Since(c.started)
	h.meter.request(kind, d.outcome, d.code, elapsed)
	c.logRequest(kind, d, elapsed)
	c.writeResponse(answer, d)
}

// logRequest logs refusals and failures at level info and everything else at
// level debug. Bodies and credentials are never logged.
func (c *call) logRequest(kind string, d decision, elapsed time.Duration) {
	level := zap.DebugLevel
	if d.code != dcreason.OK {
		level = zap.InfoLevel
	}
	c.Log.Log(level, "request answered",
		zap.String("kind", kind),
		zap.String("request-id", string(c.id)),
		zap.String("department", string(c.department)),
		zap.String("outcome", string(d.outcome)),
		zap.String("reason", string(d.code)),
		zap.Uint32("revision", uint32(c.view.revision())),
		zap.Duration("elapsed", elapsed))
}

func (c *call) writeResponse(answer proto.Message, d decision) {
	text, err := protojson.Marshal(answer)
	if err != nil {
		c.Log.Error("cannot encode response", zap.String("request-id", string(c.id)), zap.Error(err))
		c.writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if d.code == dcreason.CredentialInvalid {
		c.writer.Header().Set("WWW-Authenticate", `Basic realm="dandelioncart"`)
	}
	if !c.drain.ready() {
		// Clients must not reuse the connection, which the stop closes.
		c.writer.Header().Set("Connection", "close")
	}
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.WriteHeader(httpStatus(d))
	_, _ = c.writer.Write(text)
}

// result returns the Result message that describes a decision to the caller.
func (c *call) result(d decision) *callerv1.Result {
	return &callerv1.Result{
		RequestId:      string(c.id),
		Outcome:        string(d.outcome),
		Reason:         string(d.code),
		DecidedBy:      string(d.code.DecisionPoint()),
		Message:        d.message,
		ConfigRevision: uint32(c.view.revision()),
		HostId:         string(c.self.ID),
	}
}

// readBody reads the request body. A body larger than limit bytes is refused.
func (c *call) readBody(limit int64) ([]byte, decision) {
	text, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuse(dcreason.BodyTooLarge, "request is larger than the limit")
	case err != nil:
		return nil, refuse(dcreason.BadRequest, "request body cannot be read")
	}
	return text, success
}

// maxEncodedBytes returns the size limit of a JSON request whose body field,
// encoded in base64, is limited to the given number of bytes.
func maxEncodedBytes(body int64) int64 {
	return body*4/3 + envelopeBytes
}

// authenticate checks the department and credential of the caller.
func (c *call) authenticate() decision {
	if c.view.accepted == nil {
		return refuse(dcreason.ConfigurationMissing, "this host has no configuration yet")
	}
	department, credential, _ := c.request.BasicAuth()
	err := c.auth.Authenticate(c.request.Context(), dcid.Department(department), credential)
	switch {
	case errors.Is(err, dcauth.ErrDenied):
		return refuse(dcreason.CredentialInvalid, "department or credential is not accepted")
	case err != nil:
		return refuse(dcreason.Cancelled, "caller went away during authentication")
	}
	c.department = dcid.Department(department)
	return success
}

// bootstrapMu allows only one verification of a bootstrap credential at a time,
// since each takes tens of milliseconds.
var bootstrapMu sync.Mutex

// authenticateApply authenticates the caller of an apply request. While the
// store holds no configuration revision, the bootstrap credential is accepted
// instead of that of a department.
func (c *call) authenticateApply(ctx context.Context) (bootstrap bool, d decision) {
	if c.view.accepted == nil {
		if !c.readConfiguration(ctx) {
			return false, refuse(dcreason.StoreUnavailable, "store cannot be read")
		}
		c.view = c.Host.view.Load()
	}
	if c.view.accepted != nil {
		return false, c.authenticate()
	}
	department, credential, _ := c.request.BasicAuth()
	bootstrapMu.Lock()
	defer bootstrapMu.Unlock()
	if department == "" || !dcauth.Verify(c.Settings.GetBootstrapCredentialDigest(), credential) {
		return false, refuse(dcreason.CredentialInvalid, "no configuration is in force; use the bootstrap credential")
	}
	c.department = dcid.Department(department)
	return true, success
}
