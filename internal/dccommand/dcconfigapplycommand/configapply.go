// Package dcconfigapplycommand proposes a service configuration.
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
	// retryInterval is the pause after each entry host has been tried.
	retryInterval = 500 * time.Millisecond
	// maxRounds bounds how often each entry host is tried.
	maxRounds = 5
)

// Options of config apply.
type Options struct {
	dccommand.Target
	dccommand.Output
	BaseRevision uint32 `help:"Revision that the document was edited from, as printed by config get; 0 for the first." required:""`
	Comment      string `help:"Short reason for the history."`
	OperationID  string `help:"Id of this change, to send it again after an unknown outcome; new when not set."`
	File         string `arg:"" help:"Document to apply; - for standard input."`
}

// Help returns examples.
func (o *Options) Help() string {
	return `The change is accepted whole or not at all. When another change was accepted
after the base revision, nothing is changed: get the newest revision, repeat the
edit and apply again. After a lost reply the change is sent again with the same
operation id, which is safe.

Examples:

  dandelioncart config get --output configuration.yaml
  dandelioncart config apply --base-revision 7 --comment "raise slots" configuration.yaml

` + dccommand.ExitHelp()
}

// Run sends the document until its outcome is known.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	document, err := dccommand.ReadInput(env, o.File, dcsettings.MaxDocumentBytes+1)
	if err != nil {
		return err
	}
	request, err := o.request(env, document)
	if err != nil {
		return err
	}
	answer, err := o.sendUntilFinal(ctx, env, request)
	if err != nil {
		return fmt.Errorf("%w; operation id %s", err, request.GetOperationId())
	}
	for _, fault := range answer.GetErrors() {
		fault.File = o.File
	}
	return o.print(env, answer)
}

func (o *Options) request(env *dccommand.Environment, document []byte) (*callerv1.ApplyRequest, error) {
	id := o.OperationID
	if id == "" {
		fresh, err := uuid.NewRandomFromReader(env.Random)
		if err != nil {
			return nil, err
		}
		id = fresh.String()
	}
	return &callerv1.ApplyRequest{
		BaseRevision: o.BaseRevision,
		OperationId:  id,
		Document:     string(document),
		Comment:      o.Comment,
	}, nil
}

// sendUntilFinal returns the first answer that settles the change. The operation id makes
// it safe to send the change to several hosts.
func (o *Options) sendUntilFinal(ctx context.Context, env *dccommand.Environment, request *callerv1.ApplyRequest) (*callerv1.ApplyResponse, error) {
	var last *callerv1.ApplyResponse
	var failed error
	lost := false
	for round := range maxRounds {
		if round > 0 {
			env.Clock.Sleep(retryInterval)
		}
		for _, address := range o.Address {
			answer := &callerv1.ApplyResponse{}
			err := o.Call(ctx, env, address, dccommand.Request{Path: path, Body: request}, answer)
			if err == nil && isFinal(answer, lost) {
				return answer, nil
			}
			var failure *dccommand.ExitError
			if errors.As(err, &failure) {
				return nil, err
			}
			if err == nil {
				last = answer
				lost = lost || answer.GetResult().GetOutcome() == string(dcreason.Unknown)
				continue
			}
			lost = lost || errors.Is(err, dccommand.ErrNoResponse)
			failed = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return undecidedError(last, failed, lost)
}

// isFinal tells whether an answer is final. After a lost reply, a host that
// cannot reach the store does not know whether the change was accepted.
func isFinal(answer *callerv1.ApplyResponse, lost bool) bool {
	result := answer.GetResult()
	switch {
	case result.GetOutcome() == string(dcreason.Unknown):
		return false
	case lost && result.GetOutcome() == string(dcreason.NotRun):
		return finalAfterLostResponse[dcreason.Code(result.GetReason())]
	default:
		return true
	}
}

// finalAfterLostResponse lists refusals that a host gives only after it has looked for
// the operation in the chain.
var finalAfterLostResponse = map[dcreason.Code]bool{
	dcreason.BadRequest:     true,
	dcreason.ConfigConflict: true,
	dcreason.ConfigInvalid:  true,
}

func undecidedError(last *callerv1.ApplyResponse, failed error, lost bool) (*callerv1.ApplyResponse, error) {
	if lost {
		cause := failed
		if last != nil {
			cause = dccommand.CheckResult(last.GetResult())
		}
		return nil, dccommand.ExitErrorf(dccommand.ExitUnknown, "the change may have been accepted; apply again with --operation-id: %s", cause)
	}
	return nil, dccommand.ExitErrorf(dccommand.ExitUnreachable, "nothing was changed: %s", failed)
}

func (o *Options) print(env *dccommand.Environment, answer *callerv1.ApplyResponse) error {
	if o.JSON {
		if err := dccommand.WriteJSON(env.Out, answer); err != nil {
			return err
		}
		return dccommand.CheckResult(answer.GetResult())
	}
	for _, fault := range answer.GetErrors() {
		_, _ = fmt.Fprintf(env.Out, "%s:%d: %s: %s\n", fault.GetFile(), fault.GetLine(), fault.GetField(), fault.GetMessage())
	}
	if err := dccommand.CheckResult(answer.GetResult()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.Out, "accepted as revision %d\n", answer.GetRevision())
	return err
}
