// Package dcquerycommand implements the command that queries every shard of a
// service group.
package dcquerycommand

import (
	"context"
	"fmt"
	"strconv"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options are the arguments of the query command.
type Options struct {
	dccommand.Target
	dccommand.Output
	dccommand.Payload
	SchemaVersion string `help:"Schema version of the records." required:""`
	ServiceGroup  string `arg:"" help:"Service group to query."`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The answer of each shard is printed on its own line after a table of coverage. A
partial answer has exit code 9.

Examples:

  dandelioncart query kitchen-search --schema-version 2026-06 --body '{"text":"rye"}'
  dandelioncart query export-desk --schema-version lot-4 --body-file - --timeout 15s --json

` + dccommand.ExitHelp()
}

// Run sends the query. Because a query may run twice, it is sent to the next
// host when no response arrives. A partial response is an ExitError.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) error {
	body, err := o.ReadBody(env)
	if err != nil {
		return err
	}
	request := dccommand.Request{
		Path: "/v1/query",
		Body: &callerv1.QueryRequest{
			ServiceGroup:  o.ServiceGroup,
			SchemaVersion: o.SchemaVersion,
			Body:          body,
		},
	}
	response := &callerv1.QueryResponse{}
	if err := o.CallIdempotent(ctx, env, request, response); err != nil {
		return err
	}
	if o.JSON {
		err = dccommand.WriteJSON(env.Out, response)
	} else {
		err = printResponse(env, response)
	}
	if err != nil {
		return err
	}
	if err := dccommand.CheckResult(response.GetResult()); err != nil {
		return err
	}
	return checkComplete(response)
}

// printResponse prints the index version, the coverage of each service as a
// table and the response of each shard.
func printResponse(env *dccommand.Environment, response *callerv1.QueryResponse) error {
	rows := [][]string{{"SERVICE", "EPOCH", "COVERED", "MISSING"}}
	for _, service := range response.GetCoverage() {
		rows = append(rows, []string{
			service.GetService(),
			strconv.FormatUint(uint64(service.GetMapEpoch()), 10),
			strconv.Itoa(len(service.GetCovered())),
			formatMissing(service),
		})
	}
	_, _ = fmt.Fprintf(env.Out, "index version %s\n", response.GetIndexVersion())
	if err := dccommand.WriteTable(env.Out, rows); err != nil {
		return err
	}
	for _, shard := range response.GetShards() {
		_, _ = fmt.Fprintf(env.Out, "%s/%s: %s\n", shard.GetService(), shard.GetShard(), shard.GetBody())
	}
	return nil
}

// formatMissing formats the number of missing shards, followed by each of them
// with its reason.
func formatMissing(service *callerv1.ServiceCoverage) string {
	text := strconv.Itoa(len(service.GetMissing()))
	for _, shard := range service.GetMissing() {
		text += fmt.Sprintf(" %s(%s)", shard.GetShard(), shard.GetReason())
	}
	return text
}

// checkComplete returns an ExitError when shards are missing.
func checkComplete(response *callerv1.QueryResponse) error {
	missing := 0
	for _, service := range response.GetCoverage() {
		missing += len(service.GetMissing())
	}
	if missing == 0 {
		return nil
	}
	return dccommand.ExitErrorf(dccommand.ExitIncomplete, "partial answer, missing shards: %d", missing)
}
