// Command dandelioncart runs a host of the query tier and is the command-line
// tool of its operators.
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
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcaddressescommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcconfigapplycommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcconfigcheckcommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcconfiggetcommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcconfighistorycommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcconfigstatuscommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dccredentialdigestcommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcorderoutcomecommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcorderruncommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcquerycommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcreportburncommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcreportdepartmentcommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcservecommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dctracecommand"
	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcversioncommand"
)

// commands defines the command line: kong derives the commands and their names
// from the fields.
type commands struct {
	Serve      dcservecommand.Options     `cmd:"" help:"Run a host of the tier."`
	Config     configCommands             `cmd:"" help:"Check, apply and read the service configuration."`
	Addresses  dcaddressescommand.Options `cmd:"" help:"Ask which entry hosts to use."`
	Query      dcquerycommand.Options     `cmd:"" help:"Query every shard of a service group."`
	Order      orderCommands              `cmd:"" help:"Send orders and look up their outcomes."`
	Report     reportCommands             `cmd:"" help:"Report on objectives and departments."`
	Credential credentialCommands         `cmd:"" help:"Work with department credentials."`
	Trace      dctracecommand.Options     `cmd:"" help:"Print the log lines about a request."`
	Version    dcversioncommand.Options   `cmd:"" help:"Print the version."`
}

type configCommands struct {
	Check   dcconfigcheckcommand.Options   `cmd:"" help:"Check settings files without calling a host."`
	Apply   dcconfigapplycommand.Options   `cmd:"" help:"Propose a service configuration."`
	Get     dcconfiggetcommand.Options     `cmd:"" help:"Print an accepted configuration."`
	History dcconfighistorycommand.Options `cmd:"" help:"List accepted configurations."`
	Status  dcconfigstatuscommand.Options  `cmd:"" help:"Show which hosts have which revision in force."`
}

type orderCommands struct {
	Run     dcorderruncommand.Options     `cmd:"" help:"Send an order that runs at most once."`
	Outcome dcorderoutcomecommand.Options `cmd:"" help:"Look up the outcome of an order."`
}

type reportCommands struct {
	Burn       dcreportburncommand.Options       `cmd:"" help:"Report how fast objectives spend their error budgets."`
	Department dcreportdepartmentcommand.Options `cmd:"" help:"Report a department's own requests."`
}

type credentialCommands struct {
	Digest dccredentialdigestcommand.Options `cmd:"" help:"Compute the digest of a credential."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &dccommand.Environment{
		In:     os.Stdin,
		Out:    os.Stdout,
		Err:    os.Stderr,
		Clock:  clockwork.NewRealClock(),
		HTTP:   http.DefaultClient,
		Random: rand.Reader,
	}
	status := dccommand.Execute(ctx, env, &commands{}, os.Args[1:])
	stop()
	os.Exit(status)
}
