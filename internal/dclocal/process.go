package dclocal

import (
	"context"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stopPatience is how long a process may take to stop after SIGTERM.
const stopPatience = 60 * time.Second

// process is one running program.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// startProcess starts a program with its output in a log.
func startProcess(path string, arguments []string, out, log io.Writer) (started *process, err error) {
	defer func() { err = eris.Wrapf(err, "start %s", path) }()
	started = &process{command: exec.Command(path, arguments...), done: make(chan struct{})}
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

func (p *process) pid() int { return p.command.Process.Pid }

// exited reports whether the process has ended.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// stop asks the process to stop and waits for it.
func (p *process) stop(ctx context.Context) (err error) {
	if p.exited() {
		return nil
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil && !eris.Is(err, os.ErrProcessDone) {
		return eris.Wrap(err, "ask process to stop")
	}
	ctx, cancel := context.WithTimeout(ctx, stopPatience)
	defer cancel()
	select {
	case <-p.done:
		return eris.Wrap(p.err, "process stopped with an error")
	case <-ctx.Done():
		p.kill()
		return eris.New("process did not stop in time and was killed")
	}
}
