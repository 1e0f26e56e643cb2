package dcplatformcommand

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestInvalidSettings guards against a host that starts with invalid settings,
// or that exits without the exit code and the line of the error.
func TestInvalidSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "local.yaml")
	if err := os.WriteFile(file, []byte("node_name: h1\nlimits:\n  memory_mb: 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	err := (&Options{Settings: file}).Run(context.Background(), io.Discard)
	var exitCoder kong.ExitCoder
	if !errors.As(err, &exitCoder) || exitCoder.ExitCode() != exitInvalid || !strings.Contains(err.Error(), "local.yaml:3: limits.memory_mb") {
		t.Errorf("error %v", err)
	}
}
