// Package dccommand holds what the commands of dandelioncart share: injected
// streams, clock and HTTP client, exit codes, and calls to entry hosts.
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

// Environment is what a command uses of the outside. Set all fields before Execute.
type Environment struct {
	In    io.Reader
	Out   io.Writer
	Err   io.Writer
	Clock clockwork.Clock
	HTTP  *http.Client
	// Random is cryptographically secure.
	Random io.Reader
}

// exitPanic is thrown by kong's exit function, which must not return.
type exitPanic struct {
	status int
}

// Execute parses arguments into a grammar, runs the chosen command and returns
// the exit code. Commands have a method Run(context.Context, *Environment) error.
func Execute(ctx context.Context, env *Environment, grammar any, arguments []string) (status int) {
	defer func() {
		if thrown := recover(); thrown != nil {
			exit, ok := thrown.(exitPanic)
			if !ok {
				panic(thrown)
			}
			status = exit.status
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

func reportError(env *Environment, err error) int {
	if err == nil {
		return int(ExitOK)
	}
	_, _ = fmt.Fprintf(env.Err, "%s: %s\n", Name, err)
	var failure *ExitError
	if errors.As(err, &failure) {
		return int(failure.ExitCode)
	}
	return int(ExitFailed)
}
