// Package dcaddressescommand asks which entry hosts to use.
package dcaddressescommand

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options of addresses.
type Options struct {
	dccommand.Target
	dccommand.Output
	ServiceGroup string `arg:"" help:"Service group to be called."`
}

// Help returns examples.
func (o *Options) Help() string {
	return `Addresses are printed in order of preference. Ask again after the lifetime.

Examples:

  dandelioncart addresses kitchen-search

` + dccommand.ExitHelp()
}

// Run prints the addresses.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	request := dccommand.Request{
		Path:  "/v1/addresses",
		Query: url.Values{"service-group": {o.ServiceGroup}},
	}
	answer := &callerv1.AddressesResponse{}
	if err := o.CallIdempotent(ctx, env, request, answer); err != nil {
		return err
	}
	if result := answer.GetResult(); result != nil {
		if err := dccommand.CheckResult(result); err != nil {
			return err
		}
	}
	if o.JSON {
		return dccommand.WriteJSON(env.Out, answer)
	}
	for _, address := range answer.GetAddresses() {
		_, _ = fmt.Fprintln(env.Out, address)
	}
	lifetime := time.Duration(answer.GetLifetimeMs()) * time.Millisecond
	_, err := fmt.Fprintf(env.Err, "valid for %s\n", lifetime)
	return err
}
