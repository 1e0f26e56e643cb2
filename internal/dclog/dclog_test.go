package dclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
)

// blockedWriter is a log destination whose writes block until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(line)
}

// TestNeverBlocks guards against requests that wait for a slow log destination,
// and against info lines that displace the warnings of failed requests. A call
// that blocked would make synctest panic with a deadlock.
func TestNeverBlocks(t *testing.T) { synctest.Test(t, testNeverBlocks) }

func testNeverBlocks(t *testing.T) {
	slow := &blockedWriter{unblock: make(chan struct{})}
	output := NewOutput(slow)
	log := output.NewLogger()
	const failures = queueCapacity / 4
	for i := range 4 * queueCapacity {
		log.Info("usual line", zap.Int("number", i))
	}
	for i := range failures {
		log.Warn("request failed", zap.Int("number", i))
	}
	close(slow.unblock)
	output.Close()
	written := slow.written.String()
	if got := strings.Count(written, "request failed"); got != failures {
		t.Errorf("%d of %d lines of failed requests were written", got, failures)
	}
	if !strings.Contains(written, "log lines left out") {
		t.Error("the number of dropped lines was not logged")
	}
}

// TestClose guards against queued lines that are lost when the output is closed,
// and against a panic when a line is logged or Close is called after that.
func TestClose(t *testing.T) {
	var written bytes.Buffer
	output := NewOutput(&written)
	log := output.NewLogger()
	log.Info("last line")
	output.Close()
	log.Info("after the end")
	output.Close()
	if !strings.Contains(written.String(), "last line") || strings.Contains(written.String(), "after the end") {
		t.Errorf("written: %q", written.String())
	}
}
