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
	// maxSwaps bounds the swaps of one application after lost replies.
	maxSwaps = 3
	// maxReads bounds the reads that decide one lost reply.
	maxReads = 3
)

// Step is the next store call of an Application; exactly one field is set.
type Step struct {
	// List asks for List(ctx, Prefix, 1, true), then Listed.
	List bool
	// Get asks for Get of this key, then Got.
	Get string
	// Swap asks for CompareAndSwap, then Swapped.
	Swap *dcstore.Swap
	// Done ends the application.
	Done *Result
}

// Application runs one proposal over the store. Resending a proposal with the
// same operation id through any host gives the same result: a proposal is only
// ever written as its base revision plus one, so that one key decides whether
// it was accepted earlier.
type Application struct {
	proposal Proposal
	known    dcid.Revision
	// newest is the newest revision seen in the store.
	newest dcid.Revision
	// next is what is being written; nil while looking for an earlier attempt.
	next  *Accepted
	swaps int
	reads int
	// lost tells that a swap of this application may have taken effect.
	lost bool
}

// NewApplication starts a proposal. Known is the newest revision that this
// host has in force or heard of from peers, see Adopter.Known.
func NewApplication(proposal Proposal, known dcid.Revision) (*Application, Step) {
	return &Application{proposal: proposal, known: known}, Step{List: true}
}

// Listed takes the newest record of the chain.
func (a *Application) Listed(records []dcstore.Record, err error, now time.Time) Step {
	if err != nil {
		return done(a.storeFailed(err))
	}
	var head *Accepted
	if len(records) > 0 {
		if head, err = Decode(records[0].Value); err != nil {
			return done(refuse(a.known, dcreason.Internal, fmt.Sprintf("newest revision in the store is unreadable, nothing was changed: %s", err)))
		}
	}
	a.newest = revisionOf(head)
	if a.newest < a.known {
		return done(refuse(a.known, dcreason.ConfigurationStale, fmt.Sprintf("newest revision in the store is %d, but revision %d is in force; the store may have been restored from an old copy; restore %s up to revision %d first", a.newest, a.known, Prefix, a.known)))
	}
	if dcid.Revision(a.proposal.Request.GetBaseRevision()) < a.newest {
		return a.get()
	}
	next, refusal := Accept(head, a.proposal, now)
	if refusal != nil {
		return done(refusal)
	}
	a.next = next
	return a.swap()
}

// Swapped takes the answer of the swap.
func (a *Application) Swapped(err error) Step {
	switch {
	case err == nil:
		return done(accepted(a.next))
	case errors.Is(err, dcstore.ErrUnavailable) && !a.lost:
		return done(a.storeFailed(err))
	case errors.Is(err, dcstore.ErrConflict):
		return a.get()
	}
	a.lost = true
	return a.get()
}

// Got takes the record of the revision after the base revision.
func (a *Application) Got(record dcstore.Record, err error) Step {
	if errors.Is(err, dcstore.ErrNotFound) {
		return a.absent()
	}
	if err != nil {
		return a.unread(err)
	}
	found, err := Decode(record.Value)
	if err != nil {
		return done(a.unknown(fmt.Sprintf("revision %d is unreadable: %s", a.target(), err)))
	}
	a.newest = max(a.newest, found.Revision)
	if found.Record.GetOperationId() != a.proposal.Request.GetOperationId() {
		return done(conflict(a.proposal.Request.GetBaseRevision(), a.newest, found.Record))
	}
	if !a.same(found.Record) {
		return done(refuse(a.newest, dcreason.BadRequest, fmt.Sprintf("operation id was already used for another document in revision %d; use a new one", found.Revision)))
	}
	return done(accepted(found))
}

// absent decides when the revision after the base does not exist. Without a
// swap of this application, it has been pruned. Otherwise the write did not
// take effect so far, and repeating it is safe: only one can create the key.
func (a *Application) absent() Step {
	if a.next == nil {
		return done(conflict(a.proposal.Request.GetBaseRevision(), a.newest, nil))
	}
	if a.swaps >= maxSwaps {
		return done(a.unknown("the store lost several replies"))
	}
	return a.swap()
}

// unread decides when the store did not answer a read.
func (a *Application) unread(err error) Step {
	if a.reads < maxReads {
		return a.get()
	}
	if a.next == nil {
		return done(a.storeFailed(err))
	}
	return done(a.unknown(err.Error()))
}

func (a *Application) swap() Step {
	a.swaps++
	a.reads = 0
	return Step{Swap: &dcstore.Swap{
		Key:   Key(a.next.Revision),
		Value: encode(a.next.Record),
	}}
}

func (a *Application) get() Step {
	a.reads++
	return Step{Get: Key(a.target())}
}

// target is the only revision that the proposal can become.
func (a *Application) target() dcid.Revision {
	return dcid.Revision(a.proposal.Request.GetBaseRevision()) + 1
}

func (a *Application) same(record *ledgerv1.ConfigRevision) bool {
	return record.GetDepartment() == string(a.proposal.Author) &&
		record.GetDocument() == a.proposal.Request.GetDocument()
}

func (a *Application) storeFailed(err error) *Result {
	newest := max(a.known, a.newest)
	return refuse(newest, dcreason.StoreUnavailable, fmt.Sprintf("key-value service cannot be reached, nothing was changed; apply again later: %s", err))
}

func (a *Application) unknown(cause string) *Result {
	return &Result{
		Outcome:  dcreason.Unknown,
		Code:     dcreason.OutcomeUnknown,
		Message:  fmt.Sprintf("revision %d may have been accepted; apply again with the same operation id: %s", a.target(), cause),
		Revision: a.newest,
	}
}

func accepted(next *Accepted) *Result {
	return &Result{
		Outcome:  dcreason.Ran,
		Code:     dcreason.OK,
		Message:  fmt.Sprintf("accepted as revision %d", next.Revision),
		Revision: next.Revision,
		Accepted: next,
	}
}

func done(result *Result) Step {
	return Step{Done: result}
}
