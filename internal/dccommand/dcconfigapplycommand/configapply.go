// Package dcconfigapplycommand implements the command that proposes a service
// configuration.
package dcconfigapplycommand

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

const (
	path = "/v1/config/apply"
	// retryInterval is the pause between two rounds over all entry hosts.
	retryInterval = 500 * time.Millisecond
	// maxRounds is the number of times that each entry host is tried.
	maxRounds = 5
)

// Options are the arguments of the config apply command.
type Options struct {
	dccommand.Target
	dccommand.Output
	BaseRevision uint32 `help:"Revision that the document was edited from, as printed by config get; 0 for the first." required:""`
	Comment      string `help:"Short reason for the history."`
	OperationID  string `help:"Id of this change, to send it again after an unknown outcome; new when not set."`
	File         string `arg:"" help:"Document to apply; - for standard input."`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The change is accepted whole or not at all. When another change was accepted
after the base revision, nothing is changed: get the newest revision, repeat the
edit and apply again. When no response arrives, the change is sent again with the
same operation id, which is safe.

Examples:

  dandelioncart config get --output configuration.yaml
  dandelioncart config apply --base-revision 7 --comment "raise slots" configuration.yaml

` + dccommand.ExitHelp()
}

// Run sends the document until its outcome is known, maxRounds have passed or
// ctx ends.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	document, err := dccommand.ReadInput(env, o.File, dcsettings.MaxDocumentBytes+1)
	if err != nil {
		return err
	}
	request, err := o.request(env, document)
	if err != nil {
		return err
	}
	response, err := o.sendUntilFinal(ctx, env, request)
	if err != nil {
		return fmt.Errorf("%w; operation id %s", err, request.GetOperationId())
	}
	for _, fieldError := range response.GetErrors() {
		fieldError.File = o.File
	}
	return o.print(env, response)
}

func (o *Options) request(env *dccommand.Environment, document []byte) (*callerv1.ApplyRequest, error) {
	id := o.OperationID
	if id == "" {
		newID, err := uuid.NewRandomFromReader(env.Random)
		if err != nil {
			return nil, err
		}
		id = newID.String()
	}
	return &callerv1.ApplyRequest{
		BaseRevision: o.BaseRevision,
		OperationId:  id,
		Document:     string(document),
		Comment:      o.Comment,
	}, nil
}

// sendUntilFinal sends the change to the entry hosts in turn and returns the
// first final response. Because the tier accepts an operation id only once, it
// is safe to send the change to several hosts.
func (o *Options) sendUntilFinal(ctx context.Context, env *dccommand.Environment, request *callerv1.ApplyRequest) (*callerv1.ApplyResponse, error) {
	var lastResponse *callerv1.ApplyResponse
	var lastErr error
	responseLost := false
	for round := range maxRounds {
		if round > 0 {
			env.Clock.Sleep(retryInterval)
		}
		for _, address := range o.Address {
			response := &callerv1.ApplyResponse{}
			err := o.Call(ctx, env, address, dccommand.Request{Path: path, Body: request}, response)
			if err == nil && isFinal(response, responseLost) {
				return response, nil
			}
			var exitErr *dccommand.ExitError
			if errors.As(err, &exitErr) {
				return nil, err
			}
			if err == nil {
				lastResponse = response
				responseLost = responseLost || response.GetResult().GetOutcome() == string(dcreason.Unknown)
				continue
			}
			responseLost = responseLost || errors.Is(err, dccommand.ErrNoResponse)
			lastErr = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return undecidedError(lastResponse, lastErr, responseLost)
}

// isFinal reports whether a response determines the outcome of the change. When
// an earlier response was lost, the change may have been accepted. A refusal
// then counts only when the host has searched for the operation id, which a
// host that cannot reach the store cannot do.
func isFinal(response *callerv1.ApplyResponse, responseLost bool) bool {
	result := response.GetResult()
	switch {
	case result.GetOutcome() == string(dcreason.Unknown):
		return false
	case responseLost && result.GetOutcome() == string(dcreason.NotRun):
		return finalAfterLostResponse[dcreason.Code(result.GetReason())]
	default:
		return true
	}
}

// finalAfterLostResponse lists the refusals that a host gives only after it has
// searched the chain of accepted revisions for the operation id.
var finalAfterLostResponse = map[dcreason.Code]bool{
	dcreason.BadRequest:     true,
	dcreason.ConfigConflict: true,
	dcreason.ConfigInvalid:  true,
}

// undecidedError returns the error for a change without a final response. When
// no response was lost, the change was not accepted.
func undecidedError(lastResponse *callerv1.ApplyResponse, lastErr error, responseLost bool) (*callerv1.ApplyResponse, error) {
	if responseLost {
		cause := lastErr
		if lastResponse != nil {
			cause = dccommand.CheckResult(lastResponse.GetResult())
		}
		return nil, dccommand.ExitErrorf(dccommand.ExitUnknown, "the change may have been accepted; apply again with --operation-id: %s", cause)
	}
	return nil, dccommand.ExitErrorf(dccommand.ExitUnreachable, "nothing was changed: %s", lastErr)
}

func (o *Options) print(env *dccommand.Environment, response *callerv1.ApplyResponse) error {
	if o.JSON {
		if err := dccommand.WriteJSON(env.Out, response); err != nil {
			return err
		}
		return dccommand.CheckResult(response.GetResult())
	}
	for _, fieldError := range response.GetErrors() {
		_, _ = fmt.Fprintf(env.Out, "%s:%d: %s: %s\n", fieldError.GetFile(), fieldError.GetLine(), fieldError.GetField(), fieldError.GetMessage())
	}
	if err := dccommand.CheckResult(response.GetResult()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.Out, "accepted as revision %d\n", response.GetRevision())
	return err
}
