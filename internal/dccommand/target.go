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
	// maxResponseBytes is the number of bytes after which a response body is
	// cut off.
	maxResponseBytes = 64 << 20
	// responseGracePeriod is added to the deadline that is sent with a request:
	// the command waits this much longer, so that a response sent at the
	// deadline still arrives.
	responseGracePeriod = time.Second
)

// ErrNoResponse reports that a request was sent and may have been processed,
// but that no readable response arrived.
var ErrNoResponse = errors.New("no readable answer, the request may have been processed")

// ErrNotSent reports that no connection to the address could be opened, so that
// nothing was sent.
var ErrNotSent = errors.New("host cannot be reached, nothing was sent")

// Target holds the flags for the entry hosts and the credential. It is embedded
// in the options of commands that call entry hosts.
type Target struct {
	Address        []string      `help:"Entry hosts as IP address and port or as URL, tried in order. For a private certificate authority set SSL_CERT_FILE." env:"DANDELIONCART_ADDRESS" placeholder:"HOST" required:""`
	Department     string        `help:"Department to authenticate as." env:"DANDELIONCART_DEPARTMENT"`
	Credential     string        `help:"Credential of the department. It is visible to other users of this machine; prefer the environment or a file." env:"DANDELIONCART_CREDENTIAL"`
	CredentialFile string        `help:"File with one line, department:credential." env:"DANDELIONCART_CREDENTIAL_FILE" type:"path"`
	Timeout        time.Duration `help:"Deadline of the request." default:"10s"`
}

// Request is one call to an entry host.
type Request struct {
	// Body is sent by POST. When it is nil, the method is GET.
	Body proto.Message
	Path string
	// Query holds the URL query parameters.
	Query url.Values
}

// resultResponse is a response message with a result.
type resultResponse interface {
	proto.Message
	GetResult() *callerv1.Result
}

// CallIdempotent calls the entry hosts in order until one returns a readable
// response. Use it only for requests that may be processed twice. Errors are
// ExitErrors.
func (t *Target) CallIdempotent(ctx context.Context, env *Environment, request Request, response proto.Message) error {
	var errs []error
	for _, address := range t.Address {
		err := t.Call(ctx, env, address, request, response)
		var exitErr *ExitError
		if err == nil || errors.As(err, &exitErr) {
			return err
		}
		errs = append(errs, err)
	}
	return joinFailures(errs)
}

// CallAtMostOnce calls the entry hosts in order until one accepts a connection.
// A request that may have been processed is not sent again. Errors are those of
// Call, or an ExitError when no host accepted a connection.
func (t *Target) CallAtMostOnce(ctx context.Context, env *Environment, request Request, response proto.Message) error {
	var errs []error
	for _, address := range t.Address {
		err := t.Call(ctx, env, address, request, response)
		if !errors.Is(err, ErrNotSent) {
			return err
		}
		errs = append(errs, err)
	}
	return joinFailures(errs)
}

// joinFailures joins the errors of all addresses in one line. The exit code is
// ExitUnreachable when nothing was sent to any of them, ExitFailed otherwise.
func joinFailures(errs []error) error {
	code := ExitUnreachable
	messages := make([]string, len(errs))
	for i, err := range errs {
		messages[i] = err.Error()
		if !errors.Is(err, ErrNotSent) {
			code = ExitFailed
		}
	}
	return ExitErrorf(code, "%s", strings.Join(messages, "; "))
}

// Call sends one request to one address and decodes the response. A response
// with a result is accepted with any HTTP status. Errors wrap ErrNoResponse or
// ErrNotSent or are ExitErrors, except for a request that cannot be encoded.
func (t *Target) Call(ctx context.Context, env *Environment, address string, request Request, response proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, t.Timeout+responseGracePeriod)
	defer cancel()
	httpRequest, err := t.newHTTPRequest(ctx, address, request)
	if err != nil {
		return err
	}
	httpResponse, err := env.HTTP.Do(httpRequest)
	if err != nil {
		return transportError(address, err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%s: %w: %w", address, ErrNoResponse, err)
	}
	return decodeResponse(address, httpResponse.StatusCode, body, response)
}

// decodeResponse decodes the body of a response. An error status without a
// result counts as no response, because a proxy or a crashed handler may have
// sent it.
func decodeResponse(address string, status int, body []byte, response proto.Message) error {
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(body, response); err != nil {
		return fmt.Errorf("%s: %w: status %d, not a message of this tier", address, ErrNoResponse, status)
	}
	if status == http.StatusOK {
		return nil
	}
	if withResult, ok := response.(resultResponse); ok && withResult.GetResult().GetReason() != "" {
		return nil
	}
	return decodeErrorResponse(address, status, body)
}

// decodeErrorResponse returns the error for a response with an error status
// whose message type has no result or whose result is empty, such as that of
// the addresses request. It looks for a result in the body.
func decodeErrorResponse(address string, status int, body []byte) error {
	errorResponse := &callerv1.OrderResponse{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(body, errorResponse); err == nil && errorResponse.GetResult().GetReason() != "" {
		return CheckResult(errorResponse.GetResult())
	}
	return fmt.Errorf("%s: %w: status %d", address, ErrNoResponse, status)
}

// transportError wraps an error of the HTTP client in ErrNotSent when no
// connection could be opened, and in ErrNoResponse otherwise.
func transportError(address string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%s: %w: %w", address, ErrNotSent, opErr)
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
	httpRequest, err := http.NewRequestWithContext(ctx, method, requestURL(address, request), bytes.NewReader(body))
	if err != nil {
		return nil, ExitErrorf(ExitUsage, "address %q is not usable: give an IP address and port, or a URL", address)
	}
	httpRequest.SetBasicAuth(department, credential)
	httpRequest.Header.Set("Request-Timeout-Ms", strconv.FormatInt(t.Timeout.Milliseconds(), 10))
	if method == http.MethodPost {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	return httpRequest, nil
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

// resolveCredential returns the department and the credential. Flags and
// environment variables take precedence over the credential file, and the
// credential in the file is used only for the department that the file names.
func (t *Target) resolveCredential() (department, credential string, err error) {
	department, credential = t.Department, t.Credential
	if t.CredentialFile != "" && (department == "" || credential == "") {
		content, err := os.ReadFile(t.CredentialFile)
		if err != nil {
			return "", "", ExitErrorf(ExitUsage, "credential file cannot be read: %s", err)
		}
		fileDepartment, fileCredential, found := strings.Cut(strings.TrimSpace(string(content)), ":")
		if !found {
			return "", "", ExitErrorf(ExitUsage, "credential file must hold one line, department:credential")
		}
		if department == "" {
			department = fileDepartment
		}
		if credential == "" && department == fileDepartment {
			credential = fileCredential
		}
	}
	if department == "" || credential == "" {
		return "", "", ExitErrorf(ExitUsage, "department or credential is missing: set --department and --credential-file, or their environment variables")
	}
	return department, credential, nil
}
