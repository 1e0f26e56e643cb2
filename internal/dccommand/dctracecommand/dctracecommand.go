// Package dctracecommand implements the command that prints the log lines about
// one request.
package dctracecommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dctrace"
)

// Options are the arguments of the trace command.
type Options struct {
	dccommand.Output
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" optional:"" help:"Log files of all hosts; standard input when none."`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The output has the log lines of the request on every host, and what those hosts
logged about themselves up to three seconds before and after it, without lines
about servers of services that the request was not sent to. Only requests that
failed, were answered late or without all shards have log lines.

Examples:

  dandelioncart trace 9c41d07be2a35f68 host-*.log
  journalctl -u dandelioncart -o cat | dandelioncart trace 9c41d07be2a35f68 --json

` + dccommand.ExitHelp()
}

// Run prints the log lines about the request.
func (o *Options) Run(_ context.Context, env *dccommand.Environment) error {
	logs := []io.Reader{env.In}
	if len(o.Logs) > 0 {
		logs = nil
	}
	for _, path := range o.Logs {
		file, err := os.Open(path)
		if err != nil {
			return dccommand.ExitErrorf(dccommand.ExitUsage, "log cannot be read: %s", err)
		}
		defer file.Close()
		logs = append(logs, file)
	}
	trace, err := dctrace.Find(o.Request, logs...)
	if err != nil {
		return err
	}
	if len(trace.Events) == 0 {
		return dccommand.ExitErrorf(dccommand.ExitUsage, "no log line names request %s; check the id, and that the logs of all hosts are given", o.Request)
	}
	if o.JSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(trace)
	}
	return o.print(env.Out, trace)
}

// print prints each event, with its transmissions to servers as a table.
func (o *Options) print(out io.Writer, trace *dctrace.Trace) error {
	for _, event := range trace.Events {
		if _, err := fmt.Fprintln(out, formatEvent(event)); err != nil {
			return err
		}
		if len(event.Sends) == 0 {
			continue
		}
		rows := [][]string{{"  AT", "SERVICE", "SERVER", "ADDRESS", "KIND", "OUTCOME", "AFTER", "STATUS", "ERROR"}}
		for _, send := range event.Sends {
			rows = append(rows, sendRow(send))
		}
		if err := dccommand.WriteTable(out, rows); err != nil {
			return err
		}
	}
	if len(trace.HostEvents) > 0 {
		_, _ = fmt.Fprintln(out, "\nOn the same hosts at the time:")
	}
	for _, event := range trace.HostEvents {
		if _, err := fmt.Fprintln(out, formatEvent(event)); err != nil {
			return err
		}
	}
	if trace.Omitted > 0 {
		_, _ = fmt.Fprintf(out, "\n%d lines about servers of other services are left out.\n", trace.Omitted)
	}
	return nil
}

// formatEvent formats an event as one line with its fields sorted by name.
func formatEvent(event dctrace.Event) string {
	text := []string{event.Time.Format(time.RFC3339Nano), event.Host, event.Message}
	for _, name := range slices.Sorted(maps.Keys(event.Fields)) {
		text = append(text, fmt.Sprintf("%s=%v", name, event.Fields[name]))
	}
	return strings.Join(text, "  ")
}

// sendRow returns the table row of one transmission.
func sendRow(send dctrace.Send) []string {
	kind := "first"
	if send.Extra {
		kind = "extra"
	}
	status := ""
	if send.Status != 0 {
		status = fmt.Sprint(send.Status)
	}
	return []string{"  " + fmt.Sprintf("%.4fs", send.At), send.Service, send.Server, send.Address, kind, send.Reason, fmt.Sprintf("%.4fs", send.Elapsed), status, send.Error}
}
