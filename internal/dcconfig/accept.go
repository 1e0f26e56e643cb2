package dcconfig

import (
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

const (
	maxOperationIDBytes = 64
	maxCommentBytes     = 1024
)

// Proposal is a request of an authenticated department to apply a
// configuration.
type Proposal struct {
	Author  dcid.Department
	Request *callerv1.ApplyRequest
}

// Result is the outcome of a proposal.
type Result struct {
	Outcome dcreason.Outcome
	Code    dcreason.Code
	Message string
	// Revision is the revision that the proposal became, or the newest one if
	// it was not accepted.
	Revision dcid.Revision
	// Errors holds the errors of the document when Code is ConfigInvalid.
	Errors dcsettings.Errors
	// AcceptedRevision is set when Outcome is Ran. Pass it to
	// RevisionTracker.OfferLocal.
	AcceptedRevision *AcceptedRevision
}

// Response returns the response for the caller. The host fills in the request
// and host fields of the result.
func (r *Result) Response() *callerv1.ApplyResponse {
	return &callerv1.ApplyResponse{
		Result: &callerv1.Result{
			Outcome:   string(r.Outcome),
			Reason:    string(r.Code),
			DecidedBy: string(r.Code.DecisionPoint()),
			Message:   r.Message,
		},
		Revision: uint32(r.Revision),
		Errors:   dcsettings.FieldErrors(r.Errors),
	}
}

// Accept validates a proposal against the head of the chain, which is nil when
// the chain is empty. It returns either the next revision, which is accepted
// once it is stored, or the refusal.
func Accept(head *AcceptedRevision, proposal Proposal, now time.Time) (*AcceptedRevision, *Result) {
	newest := revisionOf(head)
	if refusal := checkRequest(proposal, newest); refusal != nil {
		return nil, refusal
	}
	document := proposal.Request.GetDocument()
	configuration, err := dcsettings.ParseConfiguration(documentName, []byte(document))
	if err != nil {
		refusal := refusedResult(newest, dcreason.ConfigInvalid, "document has errors; correct them and apply again")
		if !errors.As(err, &refusal.Errors) {
			refusal.Message = err.Error()
		}
		return nil, refusal
	}
	changed, refusal := authorise(head, configuration, proposal)
	if refusal != nil {
		return nil, refusal
	}
	next := buildRevision(head, configuration, proposal, changed, now)
	if size := len(encode(next.Record)); size > dcstore.MaxValueBytes {
		return nil, refusedResult(newest, dcreason.ConfigInvalid, fmt.Sprintf("document needs %d bytes, the store holds %d; shorten it", size, dcstore.MaxValueBytes))
	}
	return next, nil
}

// checkRequest returns a refusal if the request exceeds a limit, holds text that
// is not UTF-8 or was not made for the newest revision, otherwise nil.
func checkRequest(proposal Proposal, newest dcid.Revision) *Result {
	request := proposal.Request
	id := request.GetOperationId()
	if id == "" || len(id) > maxOperationIDBytes {
		return refusedResult(newest, dcreason.BadRequest, fmt.Sprintf("operation-id must have 1 to %d bytes", maxOperationIDBytes))
	}
	if len(request.GetComment()) > maxCommentBytes {
		return refusedResult(newest, dcreason.BadRequest, fmt.Sprintf("comment is longer than %d bytes", maxCommentBytes))
	}
	for _, text := range []string{id, request.GetComment(), request.GetDocument(), string(proposal.Author)} {
		if !utf8.ValidString(text) {
			return refusedResult(newest, dcreason.BadRequest, "request holds text that is not UTF-8")
		}
	}
	if dcid.Revision(request.GetBaseRevision()) != newest {
		return conflictResult(request.GetBaseRevision(), newest, nil)
	}
	return nil
}

// authorise returns the changed sections, or a refusal that names every section
// that the author may not change.
func authorise(head *AcceptedRevision, next *settingsv1.Configuration, proposal Proposal) ([]string, *Result) {
	newest := revisionOf(head)
	// The departments of the first revision decide who may make it. The host
	// has already checked the bootstrap credential.
	authority := next
	if head != nil {
		authority = head.Configuration
	}
	author := departmentsByName(authority)[string(proposal.Author)]
	if author == nil {
		return nil, refusedResult(newest, dcreason.DepartmentDenied, fmt.Sprintf("department %s is not in revision %d", proposal.Author, newest))
	}
	if head == nil {
		if !author.GetAdministrator() {
			return nil, refusedResult(newest, dcreason.DepartmentDenied, "the first revision must come from an administrator department")
		}
		return sections(differences(nil, next)), nil
	}
	changes := differences(head.Configuration, next)
	var refusals []string
	for _, found := range changes {
		if found.section == partitionsSection {
			return nil, refusedResult(newest, dcreason.ConfigInvalid, "ledger-partitions cannot change after the first revision, since orders could run twice")
		}
		if !found.permits(proposal.Author, author.GetAdministrator()) {
			refusals = append(refusals, found.refusal(proposal.Author))
		}
	}
	if len(refusals) > 0 {
		return nil, refusedResult(newest, dcreason.DepartmentDenied, strings.Join(refusals, "; "))
	}
	if len(changes) == 0 {
		return []string{textSection}, nil
	}
	return sections(changes), nil
}

// buildRevision returns the next revision with its record and digest.
func buildRevision(head *AcceptedRevision, configuration *settingsv1.Configuration, proposal Proposal, changed []string, now time.Time) *AcceptedRevision {
	revision := revisionOf(head) + 1
	record := &ledgerv1.ConfigRevision{
		Revision:    uint32(revision),
		OperationId: proposal.Request.GetOperationId(),
		Department:  string(proposal.Author),
		AcceptedMs:  now.UnixMilli(),
		Comment:     proposal.Request.GetComment(),
		Document:    proposal.Request.GetDocument(),
		Changed:     changed,
	}
	if head != nil {
		record.PreviousDigest = head.Record.GetDigest()
	}
	record.Digest = digestOf(record)
	return &AcceptedRevision{
		Revision:      revision,
		Record:        record,
		Configuration: configuration,
	}
}

// revisionOf returns the revision number, 0 for nil.
func revisionOf(accepted *AcceptedRevision) dcid.Revision {
	if accepted == nil {
		return 0
	}
	return accepted.Revision
}

// refusedResult returns the result of a proposal that was not accepted.
func refusedResult(newest dcid.Revision, code dcreason.Code, message string) *Result {
	return &Result{
		Outcome:  dcreason.NotRun,
		Code:     code,
		Message:  message,
		Revision: newest,
	}
}

// conflictResult refuses a proposal whose base revision is not the current one.
// The message names both revisions and, when existing is not nil, the
// department whose revision was accepted first.
func conflictResult(base uint32, current dcid.Revision, existing *ledgerv1.ConfigRevision) *Result {
	message := fmt.Sprintf("document was edited from revision %d, but revision %d is current; nothing was changed; get it, repeat the edit and apply again", base, current)
	if existing != nil {
		message += fmt.Sprintf(" (revision %d was made by %s)", existing.GetRevision(), existing.GetDepartment())
	}
	return refusedResult(current, dcreason.ConfigConflict, message)
}
