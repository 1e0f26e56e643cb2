// Package dcorderoutcomecommand implements the command that looks up the
// outcome of an order.
package dcorderoutcomecommand

import (
	"context"
	"fmt"
	"net/url"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options are the arguments of the order outcome command.
type Options struct {
	dccommand.Target
	dccommand.Output
	ServiceGroup string `arg:"" help:"Service group of the order."`
	Key          string `arg:"" help:"Key of the order."`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The exit code is 0 when the order ran, 6 when it did not run and 7 when its
outcome is not known.

Examples:

  dandelioncart order outcome mill-orders 01936f5e-7c1a-7d3e-9a51-3f0c2c1f7a10

` + dccommand.ExitHelp()
}

// Run prints the outcome, and the response of the upstream when the order ran.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	path := "/v1/orders/" + url.PathEscape(o.ServiceGroup) + "/" + url.PathEscape(o.Key)
	response := &callerv1.OrderResponse{}
	if err := o.CallIdempotent(ctx, env, dccommand.Request{Path: path}, response); err != nil {
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
	_, err := fmt.Fprintf(env.Out, "ran\n%s\n", response.GetBody())
	return err
}
