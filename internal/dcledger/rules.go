package dcledger

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// Claimed reports whether the result of a claim allows the operation that made
// the claim to dispatch the order.
func Claimed(claim *ledgerv1.Entry, result Result) bool {
	if result.Code != dcreason.OK || result.Entry == nil {
		return false
	}
	committed := result.Entry.GetState() == ledgerv1.EntryState_ENTRY_STATE_CLAIMED
	return committed && result.Entry.GetOperationId() == claim.GetOperationId()
}

func findEntry(segment *ledgerv1.Segment, department, key string) int {
	return slices.IndexFunc(segment.GetEntries(), func(entry *ledgerv1.Entry) bool {
		return entry.GetKey() == key && entry.GetDepartment() == department
	})
}

// applyClaim applies a claim to a segment. It changes the segment only when the
// key is absent, or when its entry proves that the order did not run.
func applyClaim(segment *ledgerv1.Segment, claim *ledgerv1.Entry, now time.Time) (result Result, changed bool) {
	index := findEntry(segment, claim.GetDepartment(), claim.GetKey())
	if index >= 0 && !claimable(segment.GetEntries()[index], claim) {
		return Result{Code: dcreason.OK, Entry: segment.GetEntries()[index]}, false
	}
	// Past its dispatch deadline, a claim could only block the key.
	if !now.Before(time.UnixMilli(claim.GetDispatchDeadlineMs())) {
		return Result{Code: dcreason.DeadlineExceeded}, false
	}
	entry := proto.CloneOf(claim)
	entry.State = ledgerv1.EntryState_ENTRY_STATE_CLAIMED
	entry.Attempt = 1
	if index >= 0 {
		entry.Attempt = segment.GetEntries()[index].GetAttempt() + 1
	}
	if reservedSize(segment)+proto.Size(entry)+recordReserveBytes > ClaimLimitBytes {
		return Result{Code: dcreason.QueueFull}, false
	}
	if index >= 0 {
		segment.Entries[index] = entry
	} else {
		segment.Entries = append(segment.Entries, entry)
	}
	return Result{Code: dcreason.OK, Entry: entry}, true
}

// claimable reports whether a key that is in the ledger may be claimed again.
// The claim must have the next attempt number. A delayed copy of an earlier
// claim, by this or another operation, has a lower attempt number.
func claimable(existing, claim *ledgerv1.Entry) bool {
	return existing.GetState() == ledgerv1.EntryState_ENTRY_STATE_NOT_RUN &&
		existing.GetOperationId() != claim.GetOperationId() &&
		existing.GetAttempt()+1 == claim.GetAttempt() &&
		bytes.Equal(existing.GetBodyDigest(), claim.GetBodyDigest())
}

// applyRecord applies an outcome to a segment. Ran and not-run are final for an
// operation. Unknown may still become ran when the upstream reports it.
func applyRecord(segment *ledgerv1.Segment, record *ledgerv1.Entry) (result Result, changed bool) {
	index := findEntry(segment, record.GetDepartment(), record.GetKey())
	if index < 0 {
		// A not-run record for an absent claim is stored, so that a delayed swap
		// or a delayed peer message cannot commit that claim later.
		entry := proto.CloneOf(record)
		entry.Attempt = max(entry.Attempt, 1)
		segment.Entries = append(segment.Entries, entry)
		return Result{Code: dcreason.OK, Entry: entry}, true
	}
	existing := segment.GetEntries()[index]
	if existing.GetOperationId() != record.GetOperationId() || !validTransition(existing.GetState(), record.GetState()) {
		return Result{Code: dcreason.OK, Entry: existing}, false
	}
	entry := proto.CloneOf(existing)
	entry.State = record.GetState()
	entry.Result = record.GetResult()
	entry.ResultTruncated = record.GetResultTruncated()
	segment.Entries[index] = entry
	return Result{Code: dcreason.OK, Entry: entry}, true
}

func validTransition(from, to ledgerv1.EntryState) bool {
	switch from {
	case ledgerv1.EntryState_ENTRY_STATE_CLAIMED:
		return to != ledgerv1.EntryState_ENTRY_STATE_CLAIMED
	case ledgerv1.EntryState_ENTRY_STATE_UNKNOWN:
		return to == ledgerv1.EntryState_ENTRY_STATE_RAN
	}
	return false
}

func applyLookup(segment *ledgerv1.Segment, wanted *ledgerv1.Entry) Result {
	index := findEntry(segment, wanted.GetDepartment(), wanted.GetKey())
	if index < 0 {
		return Result{Code: dcreason.OK}
	}
	return Result{Code: dcreason.OK, Entry: segment.GetEntries()[index]}
}

// reservedSize returns the size of a segment in bytes, including the space
// reserved for the results of entries without a final outcome.
func reservedSize(segment *ledgerv1.Segment) int {
	size := proto.Size(segment)
	for _, entry := range segment.GetEntries() {
		if !isFinal(entry.GetState()) {
			size += recordReserveBytes
		}
	}
	return size
}

func isFinal(state ledgerv1.EntryState) bool {
	return state == ledgerv1.EntryState_ENTRY_STATE_RAN || state == ledgerv1.EntryState_ENTRY_STATE_NOT_RUN
}

// responseFor returns the response about an entry to a caller whose request did
// not dispatch the order.
func responseFor(entry *ledgerv1.Entry, now time.Time) Respond {
	switch entry.GetState() {
	case ledgerv1.EntryState_ENTRY_STATE_RAN:
		return Respond{
			Outcome:   dcreason.Ran,
			Code:      dcreason.OK,
			Body:      entry.GetResult(),
			Truncated: entry.GetResultTruncated(),
		}
	case ledgerv1.EntryState_ENTRY_STATE_NOT_RUN:
		return Respond{Outcome: dcreason.NotRun, Code: dcreason.OK}
	case ledgerv1.EntryState_ENTRY_STATE_CLAIMED:
		if now.Before(time.UnixMilli(entry.GetDispatchDeadlineMs())) {
			return Respond{Outcome: dcreason.Unknown, Code: dcreason.KeyInProgress}
		}
	}
	return Respond{Outcome: dcreason.Unknown, Code: dcreason.OutcomeUnknown}
}
