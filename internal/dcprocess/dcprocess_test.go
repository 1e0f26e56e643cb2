package dcprocess

import (
	"io"
	"strings"
	"syscall"
	"testing"
)

// TestStop guards against a process that is left running, and against an exit
// with an error that is reported as a clean stop.
func TestStop(t *testing.T) {
	started, err := Start("sleep", []string{"600"}, io.Discard, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if started.Exited() || started.Pid() <= 0 {
		t.Errorf("exited %v, pid %d", started.Exited(), started.Pid())
	}
	if err := started.Stop(t.Context()); err == nil || !started.Exited() {
		t.Errorf("Stop of a process that SIGTERM terminates: got error %v, exited %v; want an error, true", err, started.Exited())
	}
	if err := started.Stop(t.Context()); err != nil {
		t.Errorf("second Stop: got error %v, want nil", err)
	}
	started, err = Start("sleep", []string{"600"}, io.Discard, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	started.Signal(syscall.SIGKILL)
	<-started.Done()
	if err := started.Err(); err == nil || !strings.Contains(err.Error(), "killed") {
		t.Errorf("Err after SIGKILL: got %v, want an error with \"killed\"", err)
	}
	if _, err := Start("no-such-program", nil, io.Discard, io.Discard); err == nil {
		t.Error("a program that does not exist was started")
	}
}
