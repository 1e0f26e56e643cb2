package dclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
)

// blockedWriter is a reader of the log that stops reading until it is opened.
type blockedWriter struct {
	mu   sync.Mutex
	open chan struct{}
	text bytes.Buffer
}

func (g *blockedWriter) Write(line []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(line)
}

// TestNeverBlocks guards against requests that wait for a reader of the log,
// and against lines of good requests that push out those of failed ones.
// A line that blocked would end the bubble with a deadlock.
func TestNeverBlocks(t *testing.T) { synctest.Test(t, testNeverBlocks) }

func testNeverBlocks(t *testing.T) {
	slow := &blockedWriter{open: make(chan struct{})}
	output := NewOutput(slow)
	log := output.NewLogger()
	const failures = queueCapacity / 4
	for i := range 4 * queueCapacity {
		log.Info("usual line", zap.Int("number", i))
	}
	for i := range failures {
		log.Warn("request failed", zap.Int("number", i))
	}
	close(slow.open)
	output.Close()
	text := slow.text.String()
	if got := strings.Count(text, "request failed"); got != failures {
		t.Errorf("%d of %d lines of failed requests are left", got, failures)
	}
	if !strings.Contains(text, "log lines left out") {
		t.Error("the number of dropped lines is missing")
	}
}

// TestClose guards against lines that are lost at the end, and against a
// writer that fails after it.
func TestClose(t *testing.T) {
	var text bytes.Buffer
	output := NewOutput(&text)
	log := output.NewLogger()
	log.Info("last line")
	output.Close()
	log.Info("after the end")
	output.Close()
	if !strings.Contains(text.String(), "last line") || strings.Contains(text.String(), "after the end") {
		t.Errorf("written: %q", text.String())
	}
}
