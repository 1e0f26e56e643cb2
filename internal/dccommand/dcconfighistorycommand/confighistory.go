// Package dcconfighistorycommand implements the command that lists accepted
// configurations.
package dcconfighistorycommand

import (
	"context"
	"net/url"
	"strconv"
	"strings"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options are the arguments of the config history command.
type Options struct {
	dccommand.Target
	dccommand.Output
	Limit uint32 `help:"Number of revisions to list." default:"20"`
}

// Help returns the detailed help text.
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
	response := &callerv1.HistoryResponse{}
	if err := o.CallIdempotent(ctx, env, request, response); err != nil {
		return err
	}
	if err := dccommand.CheckResult(response.GetResult()); err != nil {
		return err
	}
	if o.JSON {
		return dccommand.WriteJSON(env.Out, response)
	}
	rows := [][]string{{"REVISION", "TIME", "DEPARTMENT", "CHANGED", "COMMENT"}}
	for _, revision := range response.GetRevisions() {
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
