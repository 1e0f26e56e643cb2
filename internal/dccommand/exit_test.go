package dccommand

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// TestExitCodesAreDocumented guards against an exit code whose meaning is
// missing from docs/operators.md or differs there.
func TestExitCodesAreDocumented(t *testing.T) {
	document, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators.md"))
	if err != nil {
		t.Fatal(err)
	}
	for code, meaning := range ExitMeanings {
		if row := fmt.Sprintf("| %d | %s |", code, meaning); !strings.Contains(string(document), row) {
			t.Errorf("docs/operators.md has no row %q", row)
		}
	}
}

// TestCheckResult guards against an exit code that does not match the outcome,
// in particular ExitNotRun for a request that may have run: a script would send
// it again.
func TestCheckResult(t *testing.T) {
	cases := []struct {
		outcome, reason string
		want            ExitCode
	}{
		{"ran", "ok", ExitOK},
		{"", "", ExitOK},
		{"ran", "upstream-error", ExitOK},
		{"not-run", "queue-full", ExitNotRun},
		{"unknown", "outcome-unknown", ExitUnknown},
		{"not-run", "config-conflict", ExitConflict},
		{"not-run", "config-invalid", ExitInvalid},
		{"not-run", "credential-invalid", ExitDenied},
		{"", "internal", ExitFailed},
	}
	for _, c := range cases {
		err := CheckResult(&callerv1.Result{Outcome: c.outcome, Reason: c.reason})
		var exitErr *ExitError
		got := ExitOK
		if errors.As(err, &exitErr) {
			got = exitErr.ExitCode
		}
		if got != c.want {
			t.Errorf("%s %s: got %d, want %d", c.outcome, c.reason, got, c.want)
		}
	}
}
