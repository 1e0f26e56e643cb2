// Command dandelioncart-demo starts stand-ins and entry hosts as processes on
// loopback, sends requests through them and stops everything.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcdemocommand"
)

func main() {
	var options dcdemocommand.Options
	parser := kong.Parse(&options, kong.Description(dcdemocommand.Description))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := dcdemocommand.Run(ctx, options, os.Stdout, rand.Reader)
	stop()
	parser.FatalIfErrorf(err)
}
