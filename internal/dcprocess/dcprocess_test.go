package dcprocess

import (
	"io"
	"strings"
	"syscall"
	"testing"
)

// TestStop guards against a process that is left running, and against an end
// with an error that counts as a clean stop.
func TestStop(t *testing.T) {
	started, err := Start("sleep", []string{"600"}, io.Discard, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if started.Exited() || started.Pid() <= 0 {
		t.Errorf("exited %v, pid %d", started.Exited(), started.Pid())
	}
	if err := started.Stop(t.Context()); err == nil || !started.Exited() {
		t.Errorf("a process that SIGTERM has ended: %v, exited %v", err, started.Exited())
	}
	if err := started.Stop(t.Context()); err != nil {
		t.Errorf("stopped again: %v", err)
	}
	started, err = Start("sleep", []string{"600"}, io.Discard, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	started.Signal(syscall.SIGKILL)
	<-started.Done()
	if err := started.Err(); err == nil || !strings.Contains(err.Error(), "killed") {
		t.Errorf("killed: %v", err)
	}
	if _, err := Start("no-such-program", nil, io.Discard, io.Discard); err == nil {
		t.Error("a program that does not exist was started")
	}
}
