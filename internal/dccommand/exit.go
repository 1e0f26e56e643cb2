package dccommand

import (
	"fmt"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// ExitCode is an exit code. A code never changes its meaning.
type ExitCode int

// Exit codes.
const (
	ExitOK          ExitCode = 0
	ExitFailed      ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitInvalid     ExitCode = 3
	ExitConflict    ExitCode = 4
	ExitDenied      ExitCode = 5
	ExitNotRun      ExitCode = 6
	ExitUnknown     ExitCode = 7
	ExitUnreachable ExitCode = 8
	ExitIncomplete  ExitCode = 9
)

// ExitMeanings explains the exit codes, in order.
var ExitMeanings = []string{
	"success",
	"another error",
	"wrong arguments",
	"the document has errors",
	"another change was accepted first; nothing was changed",
	"the credential or the department is not accepted",
	"refused and not run; it is safe to send again",
	"it may have run; look up the outcome or send again with the same id",
	"no entry host could be reached; nothing was sent",
	"incomplete: shards are missing, or hosts lack the newest revision",
}

// ExitHelp is the part of every command's help that lists exit codes.
func ExitHelp() string {
	text := "Exit codes:\n"
	for code, meaning := range ExitMeanings {
		text += fmt.Sprintf("\n  %d  %s", code, meaning)
	}
	return text
}

// ExitError is an error with an exit code.
type ExitError struct {
	ExitCode ExitCode
	Message  string
}

// Error returns the message.
func (f *ExitError) Error() string {
	return f.Message
}

// ExitErrorf returns an ExitError.
func ExitErrorf(exit ExitCode, format string, arguments ...any) error {
	return &ExitError{ExitCode: exit, Message: fmt.Sprintf(format, arguments...)}
}

var exitCodeByReason = map[dcreason.Code]ExitCode{
	dcreason.CredentialInvalid: ExitDenied,
	dcreason.DepartmentDenied:  ExitDenied,
	dcreason.ConfigInvalid:     ExitInvalid,
	dcreason.ConfigConflict:    ExitConflict,
}

// CheckResult returns nil for a request that ran and the matching ExitError
// otherwise.
func CheckResult(result *callerv1.Result) error {
	code := dcreason.Code(result.GetReason())
	if exit, ok := exitCodeByReason[code]; ok {
		return ExitErrorf(exit, "%s", formatResult(result))
	}
	switch dcreason.Outcome(result.GetOutcome()) {
	case dcreason.Ran:
		return nil
	case dcreason.NotRun:
		return ExitErrorf(ExitNotRun, "not run: %s", formatResult(result))
	case dcreason.Unknown:
		return ExitErrorf(ExitUnknown, "outcome unknown: %s", formatResult(result))
	}
	if code == "" || code == dcreason.OK {
		return nil
	}
	return ExitErrorf(ExitFailed, "%s", formatResult(result))
}

func formatResult(result *callerv1.Result) string {
	text := result.GetReason()
	if result.GetMessage() != "" {
		text += ": " + result.GetMessage()
	}
	if result.GetHostId() != "" {
		text += fmt.Sprintf(" (host %s, request %s)", result.GetHostId(), result.GetRequestId())
	}
	return text
}
