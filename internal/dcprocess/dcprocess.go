// Package dcprocess starts programs as processes and ends them.
package dcprocess

import (
	"context"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stopTimeout is how long a process may take to stop after SIGTERM.
const stopTimeout = 60 * time.Second

// Process is one running program.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// Start starts a program that writes its standard output to out and its
// standard error to log.
func Start(path string, arguments []string, out, log io.Writer) (started *Process, err error) {
	defer func() { err = eris.Wrapf(err, "start %s", path) }()
	started = &Process{command: exec.Command(path, arguments...), done: make(chan struct{})}
	started.command.Stdout = out
	started.command.Stderr = log
	if err := started.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(started.done)
		started.err = started.command.Wait()
	}()
	return started, nil
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended. It is called after Done is closed.
func (p *Process) Err() error { return p.err }

// Signal sends a signal. A process that has ended gets none.
func (p *Process) Signal(signal os.Signal) { _ = p.command.Process.Signal(signal) }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Stop asks the process to stop and waits for it.
func (p *Process) Stop(ctx context.Context) (err error) {
	if p.Exited() {
		return nil
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil && !eris.Is(err, os.ErrProcessDone) {
		return eris.Wrap(err, "ask process to stop")
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case <-p.done:
		return eris.Wrap(p.err, "process stopped with an error")
	case <-ctx.Done():
		p.Kill()
		return eris.New("process did not stop in time and was killed")
	}
}
