// Package dcprocess starts and stops child processes.
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

// stopTimeout is how long Stop waits for a process to exit after SIGTERM before
// it kills the process.
const stopTimeout = 60 * time.Second

// Process is a child process.
type Process struct {
	command *exec.Cmd
	// done is closed when the process has exited; err may be read after that.
	done chan struct{}
	err  error
}

// Start starts a program with its standard output connected to out and its
// standard error connected to log.
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

// Pid returns the process ID.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error of exec.Cmd.Wait: nil if the process exited with status
// 0. It must not be called before Done is closed.
func (p *Process) Err() error { return p.err }

// Signal sends a signal to the process. It does nothing if the process has
// exited; errors are ignored.
func (p *Process) Signal(signal os.Signal) { _ = p.command.Process.Signal(signal) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM and waits until the process has exited. If that takes
// longer than stopTimeout (60 s) or ctx is done first, it kills the process and
// returns an error. It also returns an error if the process exits with one, and
// nil if the process had exited before.
func (p *Process) Stop(ctx context.Context) (err error) {
	if p.Exited() {
		return nil
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil && !eris.Is(err, os.ErrProcessDone) {
		return eris.Wrap(err, "send SIGTERM to process")
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case <-p.done:
		return eris.Wrap(p.err, "process stopped with an error")
	case <-ctx.Done():
		p.Kill()
		return eris.New("process did not exit in time after SIGTERM and was killed")
	}
}
