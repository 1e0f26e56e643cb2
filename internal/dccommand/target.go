package dccommand

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

const (
	// maxResponseBytes bounds what is read of an answer.
	maxResponseBytes = 64 << 20
	// responseGracePeriod is the time that an answer may arrive after the deadline that
	// was sent with the request.
	responseGracePeriod = time.Second
)

// ErrNoResponse reports a request that was sent and may have been processed, without
// a readable answer.
var ErrNoResponse = errors.New("no readable answer, the request may have been processed")

// ErrNotSent reports that an address accepted no connection.
var ErrNotSent = errors.New("host cannot be reached, nothing was sent")

// Target is embedded in the options of commands that call entry hosts.
type Target struct {
	Address        []string      `help:"Entry hosts as IP address and port or as URL, tried in order. For a private certificate authority set SSL_CERT_FILE." env:"DANDELIONCART_ADDRESS" placeholder:"HOST" required:""`
	Department     string        `help:"Department to authenticate as." env:"DANDELIONCART_DEPARTMENT"`
	Credential     string        `help:"Credential of the department. It is visible to other users of this machine; prefer the environment or a file." env:"DANDELIONCART_CREDENTIAL"`
	CredentialFile string        `help:"File with one line, department:credential." env:"DANDELIONCART_CREDENTIAL_FILE" type:"path"`
	Timeout        time.Duration `help:"Deadline of the request." default:"10s"`
}

// Request is one call to an entry host.
type Request struct {
	// Body is sent by POST; without one, GET is used.
	Body proto.Message
	Path string
	// Query holds the parameters of the URL.
	Query url.Values
}

// resultResponse is an answer that says what happened.
type resultResponse interface {
	proto.Message
	GetResult() *callerv1.Result
}

// CallIdempotent calls entry hosts in order until one gives a readable answer. Use
// it for requests that may be processed twice.
func (t *Target) CallIdempotent(ctx context.Context, env *Environment, request Request, answer proto.Message) error {
	var failures []error
	for _, address := range t.Address {
		err := t.Call(ctx, env, address, request, answer)
		var failure *ExitError
		if err == nil || errors.As(err, &failure) {
			return err
		}
		failures = append(failures, err)
	}
	return joinFailures(failures)
}

// CallAtMostOnce calls entry hosts in order until one accepts a connection. A request
// that may have been processed is not sent again.
func (t *Target) CallAtMostOnce(ctx context.Context, env *Environment, request Request, answer proto.Message) error {
	var failures []error
	for _, address := range t.Address {
		err := t.Call(ctx, env, address, request, answer)
		if !errors.Is(err, ErrNotSent) {
			return err
		}
		failures = append(failures, err)
	}
	return joinFailures(failures)
}

// joinFailures joins the failures of all addresses in one line.
func joinFailures(failures []error) error {
	exit := ExitUnreachable
	texts := make([]string, len(failures))
	for i, failure := range failures {
		texts[i] = failure.Error()
		if !errors.Is(failure, ErrNotSent) {
			exit = ExitFailed
		}
	}
	return ExitErrorf(exit, "%s", strings.Join(texts, "; "))
}

// Call makes one request to one address. An answer with a result is returned
// whatever the HTTP status. Errors wrap ErrNoResponse or ErrNotSent, or are ExitErrors.
func (t *Target) Call(ctx context.Context, env *Environment, address string, request Request, answer proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, t.Timeout+responseGracePeriod)
	defer cancel()
	call, err := t.newHTTPRequest(ctx, address, request)
	if err != nil {
		return err
	}
	response, err := env.HTTP.Do(call)
	if err != nil {
		return transportError(address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%s: %w: %w", address, ErrNoResponse, err)
	}
	return decodeResponse(address, response.StatusCode, body, answer)
}

// decodeResponse treats an answer without a result as lost when the status does
// not say success: a proxy or a crashed handler may have sent it.
func decodeResponse(address string, status int, body []byte, answer proto.Message) error {
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("%s: %w: status %d, not a message of this tier", address, ErrNoResponse, status)
	}
	if status == http.StatusOK {
		return nil
	}
	if with, ok := answer.(resultResponse); ok && with.GetResult().GetReason() != "" {
		return nil
	}
	return decodeErrorResponse(address, status, body)
}

// decodeErrorResponse reads the result of an answer whose message has none, such as
// that of addresses.
func decodeErrorResponse(address string, status int, body []byte) error {
	refusal := &callerv1.OrderResponse{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(body, refusal); err == nil && refusal.GetResult().GetReason() != "" {
		return CheckResult(refusal.GetResult())
	}
	return fmt.Errorf("%s: %w: status %d", address, ErrNoResponse, status)
}

func transportError(address string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%s: %w: %w", address, ErrNotSent, operation)
	}
	return fmt.Errorf("%s: %w: %w", address, ErrNoResponse, err)
}

func (t *Target) newHTTPRequest(ctx context.Context, address string, request Request) (*http.Request, error) {
	department, credential, err := t.resolveCredential()
	if err != nil {
		return nil, err
	}
	method, body, err := encodeBody(request.Body)
	if err != nil {
		return nil, err
	}
	call, err := http.NewRequestWithContext(ctx, method, requestURL(address, request), bytes.NewReader(body))
	if err != nil {
		return nil, ExitErrorf(ExitUsage, "address %q is not usable: give an IP address and port, or a URL", address)
	}
	call.SetBasicAuth(department, credential)
	call.Header.Set("Request-Timeout-Ms", strconv.FormatInt(t.Timeout.Milliseconds(), 10))
	if method == http.MethodPost {
		call.Header.Set("Content-Type", "application/json")
	}
	return call, nil
}

func encodeBody(message proto.Message) (method string, body []byte, err error) {
	if message == nil {
		return http.MethodGet, nil, nil
	}
	body, err = protojson.Marshal(message)
	return http.MethodPost, body, err
}

func requestURL(address string, request Request) string {
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	base = strings.TrimSuffix(base, "/") + request.Path
	if len(request.Query) > 0 {
		base += "?" + request.Query.Encode()
	}
	return base
}

// resolveCredential returns the department and credential; flags and environment win over
// the file.
func (t *Target) resolveCredential() (department, credential string, err error) {
	department, credential = t.Department, t.Credential
	if t.CredentialFile != "" && (department == "" || credential == "") {
		text, err := os.ReadFile(t.CredentialFile)
		if err != nil {
			return "", "", ExitErrorf(ExitUsage, "credential file cannot be read: %s", err)
		}
		fromFile, secret, found := strings.Cut(strings.TrimSpace(string(text)), ":")
		if !found {
			return "", "", ExitErrorf(ExitUsage, "credential file must hold one line, department:credential")
		}
		if department == "" {
			department = fromFile
		}
		if credential == "" && department == fromFile {
			credential = secret
		}
	}
	if department == "" || credential == "" {
		return "", "", ExitErrorf(ExitUsage, "department or credential is missing: set --department and --credential-file, or their environment variables")
	}
	return department, credential, nil
}
