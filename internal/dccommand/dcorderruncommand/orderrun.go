// Package dcorderruncommand implements the command that sends an order, which
// runs at most once.
package dcorderruncommand

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options are the arguments of the order run command.
type Options struct {
	dccommand.Target
	dccommand.Output
	dccommand.Payload
	SchemaVersion string `help:"Schema version of the records." required:""`
	Key           string `help:"UUIDv7 of the order, to send it again; new when not set."`
	ServiceGroup  string `arg:"" help:"Service group of the order."`
	Service       string `arg:"" help:"Service that runs the order."`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The key is printed to standard error before the order is sent. An order whose
outcome is unknown is not sent again: ask with order outcome. To place the order
again after a refusal, use the same key.

Examples:

  dandelioncart order run mill-orders mill-03 --schema-version 2026-06 --body '{"flour":"rye"}'
  dandelioncart order run billing-desk desk-01 --schema-version lot-4 --body-file lot.json

` + dccommand.ExitHelp()
}

// Run sends the order to the first host that accepts a connection. It does not
// send the order again when no response arrives.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	request, err := o.request(env)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(env.Err, "key %s\n", request.GetKey())
	response := &callerv1.OrderResponse{}
	err = o.CallAtMostOnce(ctx, env, dccommand.Request{Path: "/v1/order", Body: request}, response)
	if errors.Is(err, dccommand.ErrNoResponse) {
		return dccommand.ExitErrorf(dccommand.ExitUnknown, "the order may have run; ask with: order outcome %s %s: %s", o.ServiceGroup, request.GetKey(), err)
	}
	if err != nil {
		return err
	}
	if o.JSON {
		if err := dccommand.WriteJSON(env.Out, response); err != nil {
			return err
		}
		return dccommand.CheckResult(response.GetResult())
	}
	if err := dccommand.CheckResult(response.GetResult()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Out, "%s\n", response.GetBody())
	return err
}

func (o *Options) request(env *dccommand.Environment) (*callerv1.OrderRequest, error) {
	body, err := o.ReadBody(env)
	if err != nil {
		return nil, err
	}
	key := o.Key
	if key == "" {
		newKey, err := uuid.NewV7FromReader(env.Random)
		if err != nil {
			return nil, err
		}
		key = newKey.String()
	}
	return &callerv1.OrderRequest{
		ServiceGroup:  o.ServiceGroup,
		Service:       o.Service,
		SchemaVersion: o.SchemaVersion,
		Key:           key,
		Body:          body,
	}, nil
}
