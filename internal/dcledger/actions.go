package dcledger

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// Ticket identifies a submission to a Committer. The shell chooses it, unique
// within the Committer, and finds the waiting caller by it.
type SubmissionID uint64

// CallID identifies one store call of a Committer.
type CallID uint64

// Action is what the shell must do for a Committer: GetSegment, SwapSegment,
// Answer or WakeAt.
type Action interface{ committerAction() }

// GetSegment asks for Store.Get. Its reply goes to Committer.StoreReplied.
type GetSegment struct {
	Call CallID
	Key  string
}

// SwapSegment asks for Store.CompareAndSwap. Its reply goes to
// Committer.StoreReplied.
type SwapSegment struct {
	Call CallID
	Swap dcstore.Swap
}

// Answer ends one submission.
type Answer struct {
	SubmissionID SubmissionID
	Result       Result
}

// WakeAt asks for Tick at a time. Only the newest WakeAt of a Committer, an
// Order or a Lookup counts; an early or repeated Tick does no harm.
type WakeAt struct{ At time.Time }

func (GetSegment) committerAction()  {}
func (SwapSegment) committerAction() {}
func (Answer) committerAction()      {}
func (WakeAt) committerAction()      {}

// StoreReply is the reply to a GetSegment or a SwapSegment.
type StoreReply struct {
	Call CallID
	// Record is set for a Get that succeeded.
	Record dcstore.Record
	// Modified is set for a swap that succeeded.
	Modified dcstore.Revision
	// Err is the error of the Store, nil or one of the errors of dcstore. Other
	// errors of a swap count as dcstore.ErrUnknownOutcome, of a Get as
	// dcstore.ErrUnavailable.
	Err error
}

// Result is the answer to a claim, a record or a lookup, whether it was
// committed on this host or by a peer.
type Result struct {
	// Code is dcreason.OK when the ledger was read or written, and otherwise
	// says why not.
	Code dcreason.Code
	// Entry is the committed entry of the key when Code is OK; nil when a
	// lookup found none. A claim succeeded exactly when Claimed reports true.
	Entry *ledgerv1.Entry
	// MayExist tells, for a claim with another Code than OK, that the claim may
	// be in the ledger or get there later. It must be retired by a not-run
	// record. When false, the claim was never written.
	MayExist bool
}

// After combines the result of a claim with that of an earlier route, such as
// the holder that did not answer before this host committed by itself. The
// claim may exist when either route may have written it.
func (r Result) MergeEarlier(earlier Result) Result {
	r.MayExist = r.Code != dcreason.OK && (r.MayExist || earlier.MayExist)
	return r
}

// OrderAction is what the shell must do for an Order or a Lookup: SubmitClaim,
// SubmitRecord, SubmitLookup, Dispatch, AskUpstream, Respond or WakeAt.
type OrderAction interface{ orderAction() }

// SubmitClaim asks for a claim at the partition's holder, or at this host's own
// Committer when the holder does not answer. The result goes to Order.Claimed.
type SubmitClaim struct {
	Partition dcid.Partition
	Entry     *ledgerv1.Entry
}

// SubmitRecord asks to record an outcome, by the same routes as a claim. The
// result goes to Order.Recorded or Lookup.Recorded.
type SubmitRecord struct {
	Partition dcid.Partition
	Entry     *ledgerv1.Entry
}

// SubmitLookup asks to read a key, by the same routes as a claim. The result
// goes to Lookup.Read.
type SubmitLookup struct {
	Partition  dcid.Partition
	Department dcid.Department
	Group      dcid.GroupName
	Key        dcid.OrderKey
}

// Dispatch asks to send the order to the upstream at once and exactly one time.
// The response goes to Order.Responded.
type Dispatch struct{ Order dcupstream.Order }

// AskUpstream asks for Upstream.OrderOutcome. The response goes to Order.Asked
// or Lookup.Asked.
type AskUpstream struct {
	Server     dcid.ServerAddr
	Department dcid.Department
	Key        dcid.OrderKey
}

// Respond answers the caller; it occurs once.
type Respond struct {
	Outcome dcreason.Outcome
	Code    dcreason.Code
	// Body is the upstream's answer when Outcome is Ran. From the ledger, it is
	// cut to MaxResultBytes.
	Body []byte
	// Truncated tells that Body was cut.
	Truncated bool
}

func (SubmitClaim) orderAction()  {}
func (SubmitRecord) orderAction() {}
func (SubmitLookup) orderAction() {}
func (Dispatch) orderAction()     {}
func (AskUpstream) orderAction()  {}
func (Respond) orderAction()      {}
func (WakeAt) orderAction()       {}
