// Package dcstandincommand implements the program that runs the stand-ins for
// the platform and the upstream servers of one deployment.
package dcstandincommand

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// Options are the arguments of dandelioncart-standin.
type Options struct {
	Profile string `arg:"" type:"existingfile" help:"YAML profile of the deployment."`
}

// Description is the help text of the program.
const Description = `Runs stand-ins for the platform and the upstream servers of one deployment on loopback.

It prints one JSON line with all addresses once everything listens, and runs until interrupted.

Examples:

  Run the prairie-west stand-ins:
    dandelioncart-standin examples/standin/prairie-west.yaml

  Drain one failure domain of a group:
    curl -X PUT -d '{"draining":true}' 'http://127.0.0.1:21003/v1/faults?group=kitchen-search&failure-domain=regina-a'

  Take the key-value service down, and bring it back:
    curl -X PUT -d '{"outage":true}' http://127.0.0.1:21003/v1/store
    curl -X PUT -d '{}' http://127.0.0.1:21003/v1/store

  Show counters and orders that ran more than once:
    curl http://127.0.0.1:21003/v1/report`

// defaultAdminAddress is the listen address of the admin endpoint when the
// profile names none. The system chooses the port.
const defaultAdminAddress = "127.0.0.1:0"

// Run serves the stand-ins of a profile until ctx ends. Once everything
// listens, it writes one line of JSON with all addresses to out.
func Run(ctx context.Context, options Options, out io.Writer, log *zap.Logger) (err error) {
	defer func() { err = eris.Wrapf(err, "run stand-ins of %s", options.Profile) }()
	text, err := os.ReadFile(options.Profile)
	if err != nil {
		return err
	}
	profile, err := dcstandin.ParseProfile(options.Profile, text)
	if err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	fleet, err := dcstandin.NewFleet(profile, clock)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.Start(); err != nil {
		return err
	}
	admin := &dcstandin.Server{Handler: dcstandin.NewAdmin(fleet), Address: adminAddress(profile), Clock: clock}
	defer admin.Close()
	if err := admin.Start(); err != nil {
		return err
	}
	if err := printReady(out, fleet, admin); err != nil {
		return err
	}
	log.Info("stand-ins are ready", zap.Int("servers", len(fleet.Select(dcstandin.Selector{}))))
	<-ctx.Done()
	log.Info("stand-ins stop")
	return nil
}

func adminAddress(profile *standinv1.Profile) string {
	if address := profile.GetAdminListen(); address != "" {
		return address
	}
	return defaultAdminAddress
}

// printReady writes the addresses as one line of JSON.
func printReady(out io.Writer, fleet *dcstandin.Fleet, admin *dcstandin.Server) error {
	ready := fleet.Ready()
	ready.Admin = "http://" + admin.Addr()
	text, err := protojson.Marshal(ready)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(text))
	return err
}
