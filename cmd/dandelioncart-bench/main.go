// Command dandelioncart-bench runs experiments and capacity measurements.
package main

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcbenchcapacitycommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcbenchruncommand"
)

// commands defines the command line: kong derives the commands from the fields.
type commands struct {
	Run      dcbenchruncommand.Options      `cmd:"" help:"Run an experiment against a local deployment."`
	Capacity dcbenchcapacitycommand.Options `cmd:"" help:"Measure the cost of each role and extrapolate it to the target size."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &dccommand.Environment{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Clock: clockwork.NewRealClock(), HTTP: http.DefaultClient, Random: rand.Reader,
	}
	status := dccommand.Execute(ctx, env, &commands{}, os.Args[1:])
	stop()
	os.Exit(status)
}
