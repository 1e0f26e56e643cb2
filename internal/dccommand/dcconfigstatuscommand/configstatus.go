// Package dcconfigstatuscommand shows which hosts have which revision in force.
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

// Options of config status.
type Options struct {
	dccommand.Target
	dccommand.Output
}

// Help returns examples.
func (o *Options) Help() string {
	return `The command fails with exit code 9 while a host lacks the newest revision or was
not heard from.

Examples:

  dandelioncart config status
  until dandelioncart config status; do sleep 1; done

` + dccommand.ExitHelp()
}

// Run prints the hosts.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	answer := &callerv1.StatusResponse{}
	if err := o.CallIdempotent(ctx, env, dccommand.Request{Path: "/v1/config/status"}, answer); err != nil {
		return err
	}
	if err := dccommand.CheckResult(answer.GetResult()); err != nil {
		return err
	}
	if err := o.print(env, answer); err != nil {
		return err
	}
	return checkComplete(answer)
}

func (o *Options) print(env *dccommand.Environment, answer *callerv1.StatusResponse) error {
	if o.JSON {
		return dccommand.WriteJSON(env.Out, answer)
	}
	rows := [][]string{{"HOST", "FAILURE-DOMAIN", "STATE", "REVISION", "HEARD"}}
	for _, host := range answer.GetHosts() {
		age := time.Duration(host.GetAgeMs()) * time.Millisecond
		rows = append(rows, []string{
			host.GetHostId(),
			host.GetFailureDomain(),
			host.GetState(),
			strconv.FormatUint(uint64(host.GetRevision()), 10),
			age.String() + " ago",
		})
	}
	_, _ = fmt.Fprintf(env.Out, "newest revision %d\n", answer.GetLatestRevision())
	return dccommand.WriteTable(env.Out, rows)
}

func checkComplete(answer *callerv1.StatusResponse) error {
	var behind []string
	for _, host := range answer.GetHosts() {
		if host.GetRevision() < answer.GetLatestRevision() {
			behind = append(behind, host.GetHostId())
		}
	}
	var problems []string
	if len(behind) > 0 {
		problems = append(problems, "hosts without the newest revision: "+strings.Join(behind, ", "))
	}
	if silent := answer.GetNotHeardFrom(); len(silent) > 0 {
		problems = append(problems, "hosts not heard from: "+strings.Join(silent, ", "))
	}
	if len(problems) == 0 {
		return nil
	}
	return dccommand.ExitErrorf(dccommand.ExitIncomplete, "%s", strings.Join(problems, "; "))
}
