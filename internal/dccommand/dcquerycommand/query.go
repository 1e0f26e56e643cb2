// Package dcquerycommand queries every shard of a service group.
package dcquerycommand

import (
	"context"
	"fmt"
	"strconv"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options of query.
type Options struct {
	dccommand.Target
	dccommand.Output
	dccommand.Payload
	SchemaVersion string `help:"Schema version of the records." required:""`
	ServiceGroup  string `arg:"" help:"Service group to query."`
}

// Help returns examples.
func (o *Options) Help() string {
	return `The answer of each shard is printed on its own line after a table of coverage. A
partial answer has exit code 9.

Examples:

  dandelioncart query kitchen-search --schema-version 2026-06 --body '{"text":"rye"}'
  dandelioncart query export-desk --schema-version lot-4 --body-file - --timeout 15s --json

` + dccommand.ExitHelp()
}

// Run sends the query. A query may run twice, so it is sent to the next host
// when no answer arrives.
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
	answer := &callerv1.QueryResponse{}
	if err := o.CallIdempotent(ctx, env, request, answer); err != nil {
		return err
	}
	if o.JSON {
		err = dccommand.WriteJSON(env.Out, answer)
	} else {
		err = printAnswer(env, answer)
	}
	if err != nil {
		return err
	}
	if err := dccommand.CheckResult(answer.GetResult()); err != nil {
		return err
	}
	return checkComplete(answer)
}

func printAnswer(env *dccommand.Environment, answer *callerv1.QueryResponse) error {
	rows := [][]string{{"SERVICE", "EPOCH", "COVERED", "MISSING"}}
	for _, service := range answer.GetCoverage() {
		rows = append(rows, []string{
			service.GetService(),
			strconv.FormatUint(uint64(service.GetMapEpoch()), 10),
			strconv.Itoa(len(service.GetCovered())),
			formatMissing(service),
		})
	}
	_, _ = fmt.Fprintf(env.Out, "index version %s\n", answer.GetIndexVersion())
	if err := dccommand.WriteTable(env.Out, rows); err != nil {
		return err
	}
	for _, shard := range answer.GetShards() {
		_, _ = fmt.Fprintf(env.Out, "%s/%s: %s\n", shard.GetService(), shard.GetShard(), shard.GetBody())
	}
	return nil
}

func formatMissing(service *callerv1.ServiceCoverage) string {
	text := strconv.Itoa(len(service.GetMissing()))
	for _, shard := range service.GetMissing() {
		text += fmt.Sprintf(" %s(%s)", shard.GetShard(), shard.GetReason())
	}
	return text
}

func checkComplete(answer *callerv1.QueryResponse) error {
	count := 0
	for _, service := range answer.GetCoverage() {
		count += len(service.GetMissing())
	}
	if count == 0 {
		return nil
	}
	return dccommand.ExitErrorf(dccommand.ExitIncomplete, "partial answer, missing shards: %d", count)
}
