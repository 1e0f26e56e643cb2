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

// Tool is what a command uses of the outside. Set all fields before Execute.
type Tool struct {
	In    io.Reader
	Out   io.Writer
	Err   io.Writer
	Clock clockwork.Clock
	HTTP  *http.Client
	// Random is cryptographically secure.
	Random io.Reader
}

// exited is thrown by kong's exit function, which must not return.
type exited struct {
	status int
}

// Execute parses arguments into a grammar, runs the chosen command and returns
// the exit code. Commands have a method Run(context.Context, *Tool) error.
func Execute(ctx context.Context, tool *Tool, grammar any, arguments []string) (status int) {
	defer func() {
		if thrown := recover(); thrown != nil {
			exit, ok := thrown.(exited)
			if !ok {
				panic(thrown)
			}
			status = exit.status
		}
	}()
	parser, err := kong.New(grammar,
		kong.Name(Name),
		kong.Description("Shared query tier between callers and index shards."),
		kong.Writers(tool.Out, tool.Err),
		kong.Exit(func(status int) { panic(exited{status: status}) }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(tool),
	)
	if err != nil {
		return report(tool, err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintf(tool.Err, "%s: %s; see %s --help\n", Name, err, Name)
		return int(ExitUsage)
	}
	return report(tool, parsed.Run())
}

func report(tool *Tool, err error) int {
	if err == nil {
		return int(ExitOK)
	}
	_, _ = fmt.Fprintf(tool.Err, "%s: %s\n", Name, err)
	var failure *Failure
	if errors.As(err, &failure) {
		return int(failure.Exit)
	}
	return int(ExitFailed)
}
