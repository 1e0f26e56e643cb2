package dchost

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcconfig"
	"github.com/dandelioncart/dandelioncart/internal/dcdrain"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// applyTimeout limits the duration of an apply request, which carries no
// deadline of the caller.
const applyTimeout = 10 * time.Second

func serveApply(c *call) (proto.Message, decision) {
	result := c.apply()
	answer := result.Response()
	d := decision{outcome: result.Outcome, code: result.Code, message: result.Message}
	c.view = c.Host.view.Load()
	answer.Result = c.result(d)
	return answer, d
}

func (c *call) apply() *dcconfig.Result {
	ctx, cancel := withTimeout(c.request.Context(), c.Clock, applyTimeout)
	defer cancel()
	bootstrap, d := c.authenticateApply(ctx)
	if !d.ok() {
		return refusedResult(d)
	}
	if code := c.drain.admit(dcdrain.Order); code != dcreason.OK {
		return refusedResult(refuse(code, "host is stopping"))
	}
	text, d := c.readBody(maxDocumentBytes)
	if !d.ok() {
		return refusedResult(d)
	}
	request, d := parseApply(text)
	if !d.ok() {
		return refusedResult(d)
	}
	if bootstrap && request.GetBaseRevision() != 0 {
		return refusedResult(refuse(dcreason.ConfigConflict, "no revision is in force; use base revision 0"))
	}
	return c.applyProposal(ctx, dcconfig.Proposal{Author: c.department, Request: request})
}

func refusedResult(d decision) *dcconfig.Result {
	return &dcconfig.Result{Outcome: d.outcome, Code: d.code, Message: d.message}
}

func serveRevision(c *call) (proto.Message, decision) {
	answer := &callerv1.ConfigResponse{}
	d := c.revision(answer)
	answer.Result = c.result(d)
	return answer, d
}

// revision fills in the requested revision. The revision in force is returned
// without a store call.
func (c *call) revision(answer *callerv1.ConfigResponse) decision {
	if d := c.authenticate(); !d.ok() {
		return d
	}
	wanted, d := parseRevision(c.request.PathValue("revision"))
	if !d.ok() {
		return d
	}
	accepted := c.view.accepted
	if wanted != 0 && wanted != accepted.Revision {
		record, err := c.Store.Get(c.request.Context(), dcconfig.Key(wanted))
		if errors.Is(err, dcstore.ErrNotFound) {
			return refuse(dcreason.KeyUnknown, "revision does not exist")
		}
		if err != nil {
			return refuse(dcreason.StoreUnavailable, "store cannot be read")
		}
		if accepted, err = dcconfig.Decode(record.Value); err != nil {
			return refuse(dcreason.Internal, "revision is damaged in the store")
		}
	}
	answer.Revision = dcconfig.HistoryEntry(accepted.Record)
	answer.Document = accepted.Record.GetDocument()
	return success
}

func serveHistory(c *call) (proto.Message, decision) {
	answer := &callerv1.HistoryResponse{}
	d := c.history(answer)
	answer.Result = c.result(d)
	return answer, d
}

func (c *call) history(answer *callerv1.HistoryResponse) decision {
	if d := c.authenticate(); !d.ok() {
		return d
	}
	limit, d := parseLimit(c.request.URL.Query().Get("limit"))
	if !d.ok() {
		return d
	}
	records, err := c.Store.List(c.request.Context(), dcconfig.RevisionPrefix, limit, true)
	if err != nil {
		return refuse(dcreason.StoreUnavailable, "store cannot be read")
	}
	for _, record := range records {
		accepted, err := dcconfig.Decode(record.Value)
		if err != nil {
			return refuse(dcreason.Internal, "a revision is damaged in the store")
		}
		answer.Revisions = append(answer.Revisions, dcconfig.HistoryEntry(accepted.Record))
	}
	return success
}

func serveStatus(c *call) (proto.Message, decision) {
	answer := &callerv1.StatusResponse{}
	d := c.authenticate()
	if d.ok() {
		answer = c.configStatus()
	}
	answer.Result = c.result(d)
	return answer, d
}

// isAdministrator reports whether the department of the caller may see the data
// of every department.
func (c *call) isAdministrator() bool {
	return c.view.department(c.department).GetAdministrator()
}

// visibleDepartments returns the departments whose counters the caller may see.
func (c *call) visibleDepartments() (departments []dcid.Department) {
	if !c.isAdministrator() {
		return []dcid.Department{c.department}
	}
	for _, department := range c.view.configuration().GetDepartments() {
		departments = append(departments, dcid.Department(department.GetName()))
	}
	return departments
}
