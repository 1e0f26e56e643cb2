// Package dccommand holds the code that the commands of dandelioncart share:
// the environment that is injected into a command, argument parsing, exit
// codes, output formats and calls to entry hosts.
package dccommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"
)

// Name is the name of the program.
const Name = "dandelioncart"

// Environment holds the streams, clock, HTTP client and random source that a
// command uses, so that tests can replace them. Set all fields before Execute.
type Environment struct {
	In    io.Reader
	Out   io.Writer
	Err   io.Writer
	Clock clockwork.Clock
	HTTP  *http.Client
	// Random is cryptographically secure.
	Random io.Reader
}

// exitPanic is the panic value of the exit function given to kong. That
// function must not return, so it panics with the exit code and Execute
// recovers it.
type exitPanic struct {
	status int
}

// Execute parses the arguments into grammar, a pointer to a struct with kong
// tags, runs the selected command and returns the exit code. A command has a
// method Run whose parameters are context.Context and *Environment, or one of
// the two, and that returns an error.
func Execute(ctx context.Context, env *Environment, grammar any, arguments []string) (status int) {
	defer func() {
		if recovered := recover(); recovered != nil {
			exitCall, ok := recovered.(exitPanic)
			if !ok {
				panic(recovered)
			}
			status = exitCall.status
		}
	}()
	parser, err := kong.New(grammar,
		kong.Name(Name),
		kong.Description("Shared query tier between callers and index shards."),
		kong.Writers(env.Out, env.Err),
		kong.Exit(func(status int) { panic(exitPanic{status: status}) }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(env),
	)
	if err != nil {
		return reportError(env, err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintf(env.Err, "%s: %s; see %s --help\n", Name, err, Name)
		return int(ExitUsage)
	}
	return reportError(env, parsed.Run())
}

// reportError prints err to standard error and returns its exit code, which is
// ExitFailed unless err wraps an ExitError.
func reportError(env *Environment, err error) int {
	if err == nil {
		return int(ExitOK)
	}
	_, _ = fmt.Fprintf(env.Err, "%s: %s\n", Name, err)
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		return int(exitErr.ExitCode)
	}
	return int(ExitFailed)
}
