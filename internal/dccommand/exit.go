package dccommand

import (
	"fmt"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// Exit is an exit code. A code never changes its meaning.
type Exit int

// Exit codes.
const (
	ExitOK          Exit = 0
	ExitFailed      Exit = 1
	ExitUsage       Exit = 2
	ExitInvalid     Exit = 3
	ExitConflict    Exit = 4
	ExitDenied      Exit = 5
	ExitNotRun      Exit = 6
	ExitUnknown     Exit = 7
	ExitUnreachable Exit = 8
	ExitIncomplete  Exit = 9
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

// Failure is an error with an exit code.
type Failure struct {
	Exit    Exit
	Message string
}

// Error returns the message.
func (f *Failure) Error() string {
	return f.Message
}

// Failf returns a Failure.
func Failf(exit Exit, format string, arguments ...any) error {
	return &Failure{Exit: exit, Message: fmt.Sprintf(format, arguments...)}
}

var exitByReason = map[dcreason.Code]Exit{
	dcreason.CredentialInvalid: ExitDenied,
	dcreason.DepartmentDenied:  ExitDenied,
	dcreason.ConfigInvalid:     ExitInvalid,
	dcreason.ConfigConflict:    ExitConflict,
}

// CheckResult returns nil for a request that ran and the matching Failure
// otherwise.
func CheckResult(result *callerv1.Result) error {
	code := dcreason.Code(result.GetReason())
	if exit, ok := exitByReason[code]; ok {
		return Failf(exit, "%s", describe(result))
	}
	switch dcreason.Outcome(result.GetOutcome()) {
	case dcreason.Ran:
		return nil
	case dcreason.NotRun:
		return Failf(ExitNotRun, "not run: %s", describe(result))
	case dcreason.Unknown:
		return Failf(ExitUnknown, "outcome unknown: %s", describe(result))
	}
	if code == "" || code == dcreason.OK {
		return nil
	}
	return Failf(ExitFailed, "%s", describe(result))
}

func describe(result *callerv1.Result) string {
	text := result.GetReason()
	if result.GetMessage() != "" {
		text += ": " + result.GetMessage()
	}
	if result.GetHostId() != "" {
		text += fmt.Sprintf(" (host %s, request %s)", result.GetHostId(), result.GetRequestId())
	}
	return text
}
