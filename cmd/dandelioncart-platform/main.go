// Command dandelioncart-platform runs a host of the query tier on the users'
// platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcplatformcommand"
)

func main() {
	var options dcplatformcommand.Options
	parser := kong.Parse(&options, kong.Description("Run a host of the query tier on the users' platform."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := options.Run(ctx, os.Stdout)
	stop()
	parser.FatalIfErrorf(err)
}
