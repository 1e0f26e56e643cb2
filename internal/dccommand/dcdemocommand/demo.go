// Package dcdemocommand implements the demonstration program. It starts the
// stand-ins and the entry hosts as separate processes on loopback and sends
// requests to them.
package dcdemocommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Options are the arguments of dandelioncart-demo.
type Options struct {
	Bin      string        `help:"Directory of the programs." default:"bin" type:"existingdir"`
	Examples string        `help:"Directory of the example settings." default:"examples" type:"existingdir"`
	Hosts    int           `help:"Number of entry hosts." default:"4"`
	Queries  int           `help:"Number of queries." default:"5"`
	Kill     bool          `help:"Kill one host under a light load and check every answer."`
	Load     time.Duration `help:"Length of the load with --kill." default:"8s"`
}

// Description is the help text of the program.
const Description = `Starts the prairie-west stand-ins and entry hosts on free loopback ports, applies
the example configuration, runs queries and an order, and stops everything.

Examples:

  Show the path of a query and an order:
    dandelioncart-demo

  Kill one of the hosts by process id under load:
    dandelioncart-demo --kill`

// Names from the example configuration, and the time limits of the
// demonstration.
const (
	queryGroup       = "kitchen-search"
	orderGroup       = "mill-orders"
	schemaVersion    = "2026-06"
	adminDepartment  = "operations"
	callerDepartment = "kitchen"
	startTimeout     = 20 * time.Second
	statusTimeout    = 5 * time.Second
	pollInterval     = 20 * time.Millisecond
)

// Run runs the demonstration and writes its progress to out. After a failure it
// also writes the last part of each process's log. It kills the processes that
// are still running when it returns.
func Run(ctx context.Context, options Options, out io.Writer, random io.Reader) (err error) {
	defer func() { err = eris.Wrap(err, "run demo") }()
	directory, err := os.MkdirTemp("", "dandelioncart-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	deployment := &deployment{options: options, directory: directory, out: out, random: random}
	defer deployment.killAll()
	if err := deployment.start(ctx); err != nil {
		return deployment.printLogs(err)
	}
	run := deployment.showRequests
	if options.Kill {
		run = deployment.killHostUnderLoad
	}
	if err := run(ctx); err != nil {
		return deployment.printLogs(err)
	}
	if err := deployment.stop(); err != nil {
		return deployment.printLogs(err)
	}
	_, _ = fmt.Fprintln(out, "everything stopped")
	return nil
}

// showRequests prints an address lookup, queries that go to the hosts in turn,
// one order and the configuration status.
func (d *deployment) showRequests(ctx context.Context) error {
	if err := d.runCLI(ctx, callerDepartment, "addresses", queryGroup); err != nil {
		return err
	}
	for i := range d.options.Queries {
		response, elapsed, err := d.query(ctx, i%len(d.hosts), fmt.Sprintf("rye-%d", i))
		if err != nil {
			return err
		}
		covered, missing := countShards(response)
		d.printf("query on %s: %s, index version %s, shards covered %d, missing %d, %s\n",
			response.GetResult().GetHostId(), response.GetResult().GetReason(), response.GetIndexVersion(), covered, missing, elapsed.Round(10*time.Microsecond))
		if err := checkQuery(response, fmt.Sprintf("rye-%d", i), d.shardCount()); err != nil {
			return err
		}
	}
	if err := d.showOrder(ctx); err != nil {
		return err
	}
	return d.showStatus(ctx)
}

// showStatus polls config status until it succeeds and prints the last output.
// Hosts learn the revisions of other hosts from their heartbeats, so the
// command fails until these have arrived.
func (d *deployment) showStatus(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	for {
		output, err := d.captureCLI(ctx, adminDepartment, "config", "status")
		if err == nil || ctx.Err() != nil {
			d.printf("%s", output)
			return err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// showOrder sends the same order twice to one host, looks it up on another and
// checks that it ran once.
func (d *deployment) showOrder(ctx context.Context) error {
	key := newOrderKey()
	for _, name := range []string{"order", "same order again"} {
		response, elapsed, err := d.order(ctx, 0, key)
		if err != nil {
			return err
		}
		d.printf("%s on %s: %s %s, %s, %s\n", name, response.GetResult().GetHostId(),
			response.GetResult().GetOutcome(), response.GetResult().GetReason(), response.GetBody(), elapsed.Round(10*time.Microsecond))
		if err := checkRan(response); err != nil {
			return err
		}
	}
	response, err := d.lookup(ctx, 1, key)
	if err != nil {
		return err
	}
	d.printf("order looked up on %s: %s, %s\n", response.GetResult().GetHostId(), response.GetResult().GetOutcome(), response.GetBody())
	if err := checkRan(response); err != nil {
		return err
	}
	return d.checkOrderRuns(1, 1)
}

// checkRan returns an error unless the order ran.
func checkRan(response *callerv1.OrderResponse) error {
	if result := response.GetResult(); result.GetOutcome() != "ran" {
		return eris.Errorf("order %s is %s: %s %s", response.GetKey(), result.GetOutcome(), result.GetReason(), result.GetMessage())
	}
	return nil
}

func (d *deployment) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.out, format, arguments...)
}
