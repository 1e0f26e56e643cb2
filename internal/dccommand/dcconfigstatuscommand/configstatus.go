// Package dcconfigstatuscommand implements the command that shows which
// revision each host has in force.
package dcconfigstatuscommand

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options are the arguments of the config status command.
type Options struct {
	dccommand.Target
	dccommand.Output
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The command fails with exit code 9 while a host lacks the newest revision or was
not heard from.

Examples:

  dandelioncart config status
  until dandelioncart config status; do sleep 1; done

` + dccommand.ExitHelp()
}

// Run prints the revision of each host. It returns an ExitError while a host
// lacks the newest revision or was not heard from.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	response := &callerv1.StatusResponse{}
	if err := o.CallIdempotent(ctx, env, dccommand.Request{Path: "/v1/config/status"}, response); err != nil {
		return err
	}
	if err := dccommand.CheckResult(response.GetResult()); err != nil {
		return err
	}
	if err := o.print(env, response); err != nil {
		return err
	}
	return checkComplete(response)
}

func (o *Options) print(env *dccommand.Environment, response *callerv1.StatusResponse) error {
	if o.JSON {
		return dccommand.WriteJSON(env.Out, response)
	}
	rows := [][]string{{"HOST", "FAILURE-DOMAIN", "STATE", "REVISION", "HEARD"}}
	for _, host := range response.GetHosts() {
		age := time.Duration(host.GetAgeMs()) * time.Millisecond
		rows = append(rows, []string{
			host.GetHostId(),
			host.GetFailureDomain(),
			host.GetState(),
			strconv.FormatUint(uint64(host.GetRevision()), 10),
			age.String() + " ago",
		})
	}
	_, _ = fmt.Fprintf(env.Out, "newest revision %d\n", response.GetLatestRevision())
	return dccommand.WriteTable(env.Out, rows)
}

// checkComplete returns an ExitError that names the hosts without the newest
// revision and those not heard from, or nil when there are none.
func checkComplete(response *callerv1.StatusResponse) error {
	var behind []string
	for _, host := range response.GetHosts() {
		if host.GetRevision() < response.GetLatestRevision() {
			behind = append(behind, host.GetHostId())
		}
	}
	var problems []string
	if len(behind) > 0 {
		problems = append(problems, "hosts without the newest revision: "+strings.Join(behind, ", "))
	}
	if notHeardFrom := response.GetNotHeardFrom(); len(notHeardFrom) > 0 {
		problems = append(problems, "hosts not heard from: "+strings.Join(notHeardFrom, ", "))
	}
	if len(problems) == 0 {
		return nil
	}
	return dccommand.ExitErrorf(dccommand.ExitIncomplete, "%s", strings.Join(problems, "; "))
}
