// Package dcconfiggetcommand implements the command that prints an accepted
// configuration.
package dcconfiggetcommand

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options are the arguments of the config get command.
type Options struct {
	dccommand.Target
	dccommand.Output
	Out      string `name:"output" help:"File to write the document to; standard output when not set." type:"path" placeholder:"FILE"`
	Revision uint32 `arg:"" optional:"" help:"Revision to get; the newest when not set."`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The document is printed as it was applied. The revision, which config apply
needs as its base, is printed to standard error.

Examples:

  dandelioncart config get --output configuration.yaml
  dandelioncart config get 7

` + dccommand.ExitHelp()
}

// Run prints one revision or writes it to a file.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	name := "latest"
	if o.Revision > 0 {
		name = strconv.FormatUint(uint64(o.Revision), 10)
	}
	response := &callerv1.ConfigResponse{}
	if err := o.CallIdempotent(ctx, env, dccommand.Request{Path: "/v1/config/revisions/" + name}, response); err != nil {
		return err
	}
	if err := dccommand.CheckResult(response.GetResult()); err != nil {
		return err
	}
	if o.JSON {
		return dccommand.WriteJSON(env.Out, response)
	}
	revision := response.GetRevision()
	_, _ = fmt.Fprintf(env.Err, "revision %d by %s at %s\n", revision.GetRevision(), revision.GetDepartment(), revision.GetTime())
	if o.Out != "" {
		return os.WriteFile(o.Out, []byte(response.GetDocument()), 0o600)
	}
	_, err := fmt.Fprint(env.Out, response.GetDocument())
	return err
}
