package dcledger

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// SubmissionID identifies a submission to a Committer. The driver chooses it,
// unique within the Committer, and uses it to find the waiting caller.
type SubmissionID uint64

// CallID identifies one store call of a Committer.
type CallID uint64

// Action is a request of a Committer to the driver: GetSegment, SwapSegment,
// Answer or WakeAt.
type Action interface{ committerAction() }

// GetSegment requests a Store.Get. The reply goes to Committer.StoreReplied.
type GetSegment struct {
	Call CallID
	Key  string
}

// SwapSegment requests a Store.CompareAndSwap. The reply goes to
// Committer.StoreReplied.
type SwapSegment struct {
	Call CallID
	Swap dcstore.Swap
}

// Answer completes a submission with its result.
type Answer struct {
	SubmissionID SubmissionID
	Result       Result
}

// WakeAt requests a call of Tick at the given time. Each WakeAt of a Committer,
// an Order or a Lookup replaces the previous one. An early or repeated Tick is
// harmless.
type WakeAt struct{ At time.Time }

func (GetSegment) committerAction()  {}
func (SwapSegment) committerAction() {}
func (Answer) committerAction()      {}
func (WakeAt) committerAction()      {}

// StoreReply is the reply to a GetSegment or a SwapSegment.
type StoreReply struct {
	Call CallID
	// Record is set when a Get succeeded.
	Record dcstore.Record
	// Modified is set when a swap succeeded.
	Modified dcstore.Revision
	// Err is the error of the Store: nil or one of the errors of dcstore. Any
	// other error counts as dcstore.ErrUnknownOutcome for a swap, and as
	// dcstore.ErrUnavailable for a Get.
	Err error
}

// Result is the answer to a claim, a record or a lookup, whether it was
// committed on this host or by a peer.
type Result struct {
	// Code is dcreason.OK when the ledger was read or written, and the reason
	// for the failure otherwise.
	Code dcreason.Code
	// Entry is the committed entry of the key when Code is OK. It is nil when a
	// lookup found none. OK does not mean that a claim succeeded: use Claimed.
	Entry *ledgerv1.Entry
	// MayExist is set for a claim whose Code is not OK when the claim may be in
	// the ledger or be written later. It must then be resolved by a not-run
	// record. When MayExist is false, the claim was never written.
	MayExist bool
}

// MergeEarlier combines the result of a claim with that of an earlier attempt
// by another route, such as a call to the partition's holder that did not
// answer before this host committed the claim by itself. The claim may exist
// when either route may have written it.
func (r Result) MergeEarlier(earlier Result) Result {
	r.MayExist = r.Code != dcreason.OK && (r.MayExist || earlier.MayExist)
	return r
}

// OrderAction is a request of an Order or a Lookup to the driver: SubmitClaim,
// SubmitRecord, SubmitLookup, Dispatch, AskUpstream, Respond or WakeAt.
type OrderAction interface{ orderAction() }

// SubmitClaim requests a claim from the partition's holder, or from this host's
// own Committer when the holder does not answer. The result goes to
// Order.Claimed.
type SubmitClaim struct {
	Partition dcid.Partition
	Entry     *ledgerv1.Entry
}

// SubmitRecord requests that an outcome be recorded, by the same routes as a
// claim. The result goes to Order.Recorded or Lookup.Recorded.
type SubmitRecord struct {
	Partition dcid.Partition
	Entry     *ledgerv1.Entry
}

// SubmitLookup requests the entry of a key, by the same routes as a claim. The
// result goes to Lookup.EntryRead.
type SubmitLookup struct {
	Partition  dcid.Partition
	Department dcid.Department
	Group      dcid.GroupName
	Key        dcid.OrderKey
}

// Dispatch requests that the order be sent to the upstream, immediately and
// exactly once. The response goes to Order.Responded.
type Dispatch struct{ Order dcupstream.Order }

// AskUpstream requests a call of Upstream.OrderOutcome. The response goes to
// Order.UpstreamAnswered or Lookup.UpstreamAnswered.
type AskUpstream struct {
	Server     dcid.ServerAddr
	Department dcid.Department
	Key        dcid.OrderKey
}

// Respond answers the caller. An Order or a Lookup emits it once.
type Respond struct {
	Outcome dcreason.Outcome
	Code    dcreason.Code
	// Body is the upstream's response body when Outcome is Ran. When it comes
	// from the ledger, it is truncated to MaxResultBytes.
	Body []byte
	// Truncated reports whether Body was truncated.
	Truncated bool
}

func (SubmitClaim) orderAction()  {}
func (SubmitRecord) orderAction() {}
func (SubmitLookup) orderAction() {}
func (Dispatch) orderAction()     {}
func (AskUpstream) orderAction()  {}
func (Respond) orderAction()      {}
func (WakeAt) orderAction()       {}
