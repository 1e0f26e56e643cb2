// Package dcaddressescommand implements the command that lists the entry hosts
// to use for a service group.
package dcaddressescommand

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options are the arguments of the addresses command.
type Options struct {
	dccommand.Target
	dccommand.Output
	ServiceGroup string `arg:"" help:"Service group to be called."`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `Addresses are printed in order of preference. Request them again when their
lifetime, which is printed to standard error, has passed.

Examples:

  dandelioncart addresses kitchen-search

` + dccommand.ExitHelp()
}

// Run prints the addresses to standard output and their lifetime to standard
// error.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	request := dccommand.Request{
		Path:  "/v1/addresses",
		Query: url.Values{"service-group": {o.ServiceGroup}},
	}
	response := &callerv1.AddressesResponse{}
	if err := o.CallIdempotent(ctx, env, request, response); err != nil {
		return err
	}
	if result := response.GetResult(); result != nil {
		if err := dccommand.CheckResult(result); err != nil {
			return err
		}
	}
	if o.JSON {
		return dccommand.WriteJSON(env.Out, response)
	}
	for _, address := range response.GetAddresses() {
		_, _ = fmt.Fprintln(env.Out, address)
	}
	lifetime := time.Duration(response.GetLifetimeMs()) * time.Millisecond
	_, err := fmt.Fprintf(env.Err, "valid for %s\n", lifetime)
	return err
}
