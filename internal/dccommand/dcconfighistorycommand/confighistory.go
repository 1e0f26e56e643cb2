// Package dcconfighistorycommand lists accepted configurations.
package dcconfighistorycommand

import (
	"context"
	"net/url"
	"strconv"
	"strings"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options of config history.
type Options struct {
	dccommand.Target
	dccommand.Output
	Limit uint32 `help:"Number of revisions to list." default:"20"`
}

// Help returns examples.
func (o *Options) Help() string {
	return `Revisions are listed newest first, with the sections that each one changed. The
newest 2000 are kept.

Examples:

  dandelioncart config history --limit 5
  dandelioncart config history --json

` + dccommand.ExitHelp()
}

// Run prints the newest revisions.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	request := dccommand.Request{
		Path:  "/v1/config/history",
		Query: url.Values{"limit": {strconv.FormatUint(uint64(o.Limit), 10)}},
	}
	answer := &callerv1.HistoryResponse{}
	if err := o.CallIdempotent(ctx, env, request, answer); err != nil {
		return err
	}
	if err := dccommand.CheckResult(answer.GetResult()); err != nil {
		return err
	}
	if o.JSON {
		return dccommand.WriteJSON(env.Out, answer)
	}
	rows := [][]string{{"REVISION", "TIME", "DEPARTMENT", "CHANGED", "COMMENT"}}
	for _, revision := range answer.GetRevisions() {
		rows = append(rows, []string{
			strconv.FormatUint(uint64(revision.GetRevision()), 10),
			revision.GetTime(),
			revision.GetDepartment(),
			strings.Join(revision.GetChanged(), ","),
			revision.GetComment(),
		})
	}
	return dccommand.WriteTable(env.Out, rows)
}
