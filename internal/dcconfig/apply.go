package dcconfig

import (
	"errors"
	"fmt"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

const (
	// maxSwapAttempts bounds the compare-and-swap calls of one operation after
	// lost replies.
	maxSwapAttempts = 3
	// maxReadAttempts bounds the reads that determine the outcome of one lost
	// reply.
	maxReadAttempts = 3
)

// Step is the next store call of an ApplyOperation. Exactly one field is set.
type Step struct {
	// List requests List(ctx, RevisionPrefix, 1, true), followed by HandleList.
	List bool
	// Get requests Get of this key, followed by HandleGet.
	Get string
	// Swap requests CompareAndSwap, followed by HandleSwap.
	Swap *dcstore.Swap
	// Done ends the operation.
	Done *Result
}

// ApplyOperation applies one proposal to the store. Resending a proposal with
// the same operation id through any host gives the same result: a proposal is
// only ever written as its base revision plus one, so a single key shows
// whether it was already accepted.
type ApplyOperation struct {
	proposal      Proposal
	knownRevision dcid.Revision
	// newest is the newest revision seen in the store.
	newest dcid.Revision
	// next is the revision being written; nil while searching for an earlier
	// attempt.
	next *AcceptedRevision
	// swaps counts the swaps, reads the reads since the last swap.
	swaps int
	reads int
	// swapMayHaveApplied is set when a swap of this operation may have taken
	// effect.
	swapMayHaveApplied bool
}

// NewApplyOperation starts a proposal. knownRevision is the newest revision
// that this host has in force or learned of from peers; see
// RevisionTracker.NewestKnown.
func NewApplyOperation(proposal Proposal, knownRevision dcid.Revision) (*ApplyOperation, Step) {
	return &ApplyOperation{proposal: proposal, knownRevision: knownRevision}, Step{List: true}
}

// HandleList takes the newest record of the chain.
func (a *ApplyOperation) HandleList(records []dcstore.Record, err error, now time.Time) Step {
	if err != nil {
		return doneStep(a.storeUnavailable(err))
	}
	var head *AcceptedRevision
	if len(records) > 0 {
		if head, err = Decode(records[0].Value); err != nil {
			return doneStep(refusedResult(a.knownRevision, dcreason.Internal, fmt.Sprintf("newest revision in the store is unreadable, nothing was changed: %s", err)))
		}
	}
	a.newest = revisionOf(head)
	if a.newest < a.knownRevision {
		return doneStep(refusedResult(a.knownRevision, dcreason.ConfigurationStale, fmt.Sprintf("newest revision in the store is %d, but revision %d is in force; the store may have been restored from an old copy; restore %s up to revision %d first", a.newest, a.knownRevision, RevisionPrefix, a.knownRevision)))
	}
	if dcid.Revision(a.proposal.Request.GetBaseRevision()) < a.newest {
		return a.get()
	}
	next, refusal := Accept(head, a.proposal, now)
	if refusal != nil {
		return doneStep(refusal)
	}
	a.next = next
	return a.swap()
}

// HandleSwap takes the result of the swap.
func (a *ApplyOperation) HandleSwap(err error) Step {
	switch {
	case err == nil:
		return doneStep(acceptedResult(a.next))
	case errors.Is(err, dcstore.ErrUnavailable) && !a.swapMayHaveApplied:
		return doneStep(a.storeUnavailable(err))
	case errors.Is(err, dcstore.ErrConflict):
		return a.get()
	}
	a.swapMayHaveApplied = true
	return a.get()
}

// HandleGet takes the record of the revision after the base revision.
func (a *ApplyOperation) HandleGet(record dcstore.Record, err error) Step {
	if errors.Is(err, dcstore.ErrNotFound) {
		return a.handleMissing()
	}
	if err != nil {
		return a.handleReadError(err)
	}
	found, err := Decode(record.Value)
	if err != nil {
		return doneStep(a.outcomeUnknown(fmt.Sprintf("revision %d is unreadable: %s", a.targetRevision(), err)))
	}
	a.newest = max(a.newest, found.Revision)
	if found.Record.GetOperationId() != a.proposal.Request.GetOperationId() {
		return doneStep(conflictResult(a.proposal.Request.GetBaseRevision(), a.newest, found.Record))
	}
	if !a.matches(found.Record) {
		return doneStep(refusedResult(a.newest, dcreason.BadRequest, fmt.Sprintf("operation id was already used for another document in revision %d; use a new one", found.Revision)))
	}
	return doneStep(acceptedResult(found))
}

// handleMissing handles a missing revision after the base. If this operation
// has made no swap, the revision has been pruned. Otherwise the swap has not
// taken effect so far, and repeating it is safe, since only one swap can create
// the key.
func (a *ApplyOperation) handleMissing() Step {
	if a.next == nil {
		return doneStep(conflictResult(a.proposal.Request.GetBaseRevision(), a.newest, nil))
	}
	if a.swaps >= maxSwapAttempts {
		return doneStep(a.outcomeUnknown("the store lost several replies"))
	}
	return a.swap()
}

// handleReadError handles a read that the store did not answer.
func (a *ApplyOperation) handleReadError(err error) Step {
	if a.reads < maxReadAttempts {
		return a.get()
	}
	if a.next == nil {
		return doneStep(a.storeUnavailable(err))
	}
	return doneStep(a.outcomeUnknown(err.Error()))
}

func (a *ApplyOperation) swap() Step {
	a.swaps++
	a.reads = 0
	return Step{Swap: &dcstore.Swap{
		Key:   Key(a.next.Revision),
		Value: encode(a.next.Record),
	}}
}

func (a *ApplyOperation) get() Step {
	a.reads++
	return Step{Get: Key(a.targetRevision())}
}

// targetRevision is the only revision that the proposal can become.
func (a *ApplyOperation) targetRevision() dcid.Revision {
	return dcid.Revision(a.proposal.Request.GetBaseRevision()) + 1
}

// matches reports whether a record has the author and the document of the
// proposal.
func (a *ApplyOperation) matches(record *ledgerv1.ConfigRevision) bool {
	return record.GetDepartment() == string(a.proposal.Author) &&
		record.GetDocument() == a.proposal.Request.GetDocument()
}

func (a *ApplyOperation) storeUnavailable(err error) *Result {
	newest := max(a.knownRevision, a.newest)
	return refusedResult(newest, dcreason.StoreUnavailable, fmt.Sprintf("key-value service cannot be reached, nothing was changed; apply again later: %s", err))
}

func (a *ApplyOperation) outcomeUnknown(cause string) *Result {
	return &Result{
		Outcome:  dcreason.Unknown,
		Code:     dcreason.OutcomeUnknown,
		Message:  fmt.Sprintf("revision %d may have been accepted; apply again with the same operation id: %s", a.targetRevision(), cause),
		Revision: a.newest,
	}
}

func acceptedResult(next *AcceptedRevision) *Result {
	return &Result{
		Outcome:          dcreason.Ran,
		Code:             dcreason.OK,
		Message:          fmt.Sprintf("accepted as revision %d", next.Revision),
		Revision:         next.Revision,
		AcceptedRevision: next,
	}
}

func doneStep(result *Result) Step {
	return Step{Done: result}
}
