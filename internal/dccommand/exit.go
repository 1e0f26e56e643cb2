package dccommand

import (
	"fmt"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// ExitCode is the exit code of a command. Scripts depend on the codes, so the
// meaning of a code never changes.
type ExitCode int

// Exit codes. ExitMeanings explains each of them.
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

// ExitMeanings explains the exit codes. The index is the code. The operators'
// documentation repeats these texts.
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

// ExitHelp returns the section of a command's help that lists the exit codes.
func ExitHelp() string {
	text := "Exit codes:\n"
	for code, meaning := range ExitMeanings {
		text += fmt.Sprintf("\n  %d  %s", code, meaning)
	}
	return text
}

// ExitError is an error that determines the exit code of the command.
type ExitError struct {
	ExitCode ExitCode
	Message  string
}

func (e *ExitError) Error() string {
	return e.Message
}

// ExitErrorf returns an ExitError with a formatted message.
func ExitErrorf(code ExitCode, format string, arguments ...any) error {
	return &ExitError{ExitCode: code, Message: fmt.Sprintf(format, arguments...)}
}

// exitCodeByReason lists the reasons with an exit code of their own. For any
// other reason, the outcome determines the exit code.
var exitCodeByReason = map[dcreason.Code]ExitCode{
	dcreason.CredentialInvalid: ExitDenied,
	dcreason.DepartmentDenied:  ExitDenied,
	dcreason.ConfigInvalid:     ExitInvalid,
	dcreason.ConfigConflict:    ExitConflict,
}

// CheckResult returns nil for a request that ran, and an ExitError with the
// exit code for the reason or the outcome otherwise.
func CheckResult(result *callerv1.Result) error {
	reason := dcreason.Code(result.GetReason())
	if code, ok := exitCodeByReason[reason]; ok {
		return ExitErrorf(code, "%s", formatResult(result))
	}
	switch dcreason.Outcome(result.GetOutcome()) {
	case dcreason.Ran:
		return nil
	case dcreason.NotRun:
		return ExitErrorf(ExitNotRun, "not run: %s", formatResult(result))
	case dcreason.Unknown:
		return ExitErrorf(ExitUnknown, "outcome unknown: %s", formatResult(result))
	}
	if reason == "" || reason == dcreason.OK {
		return nil
	}
	return ExitErrorf(ExitFailed, "%s", formatResult(result))
}

// formatResult formats the reason, the message and the ids of a result, leaving
// out what the result lacks.
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
