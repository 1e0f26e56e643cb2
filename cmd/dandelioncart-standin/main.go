// Command dandelioncart-standin runs stand-ins for the platform and for
// upstream servers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcstandincommand"
)

func main() {
	var options dcstandincommand.Options
	parser := kong.Parse(&options, kong.Description(dcstandincommand.Description))
	log, err := zap.NewProduction()
	parser.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.FatalIfErrorf(dcstandincommand.Run(ctx, options, os.Stdout, log))
}
