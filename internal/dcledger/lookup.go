package dcledger

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// LookupSpec describes a request for the outcome of a key.
type LookupSpec struct {
	Department dcid.Department
	Group      dcid.GroupName
	Key        dcid.OrderKey
	// Deadline is the deadline of the caller.
	Deadline time.Time
}

// Lookup finds the outcome of a key, whichever request used it. It answers ran
// or not-run only when that is recorded, or when the upstream reports that the
// order ran. A key without an entry is answered as unknown, because its claim
// may not have been written yet. When the upstream knows an outcome that the
// ledger does not have, the Lookup records it.
type Lookup struct {
	config OrderConfig
	spec   LookupSpec

	phase          phase
	partition      dcid.Partition
	key            dcid.OrderKey
	entry          *ledgerv1.Entry
	callerAnswered bool
	timerAt        time.Time
}

// NewLookup returns a lookup that has not started.
func NewLookup(config OrderConfig, spec LookupSpec) *Lookup {
	return &Lookup{config: config, spec: spec}
}

// Done reports whether the lookup has finished.
func (l *Lookup) Done() bool {
	return l.phase == phaseDone
}

// Start checks the key and requests its entry from the ledger.
func (l *Lookup) Start(now time.Time) []OrderAction {
	if l.phase != phaseNew {
		return nil
	}
	key, issued, code := ParseKey(l.spec.Key)
	if code != dcreason.OK {
		return l.finish(Respond{Outcome: dcreason.NotRun, Code: code})
	}
	if code := CheckAge(issued, now, l.config.Retention); code != dcreason.OK {
		return l.finish(Respond{Outcome: dcreason.Unknown, Code: code})
	}
	l.phase = phaseClaiming
	l.key = key
	l.partition = PartitionOf(l.spec.Department, key, l.config.Partitions)
	l.timerAt = earlierOf(now.Add(l.config.ClaimTimeout), l.spec.Deadline)
	submit := SubmitLookup{
		Partition:  l.partition,
		Department: l.spec.Department,
		Group:      l.spec.Group,
		Key:        key,
	}
	return []OrderAction{submit, WakeAt{At: l.timerAt}}
}

// EntryRead handles the result of SubmitLookup.
func (l *Lookup) EntryRead(now time.Time, result Result) []OrderAction {
	if l.phase != phaseClaiming {
		return nil
	}
	if result.Code != dcreason.OK {
		return l.finish(Respond{Outcome: dcreason.Unknown, Code: result.Code})
	}
	if result.Entry == nil || result.Entry.GetServiceGroup() != string(l.spec.Group) {
		return l.finish(Respond{Outcome: dcreason.Unknown, Code: dcreason.KeyUnknown})
	}
	answer := responseFor(result.Entry, now)
	if answer.Code != dcreason.OutcomeUnknown || result.Entry.GetServer() == "" {
		return l.finish(answer)
	}
	l.phase = phaseAsking
	l.entry = result.Entry
	l.timerAt = earlierOf(now.Add(l.config.AskInterval), l.spec.Deadline)
	ask := AskUpstream{
		Server:     dcid.ServerAddr(result.Entry.GetServer()),
		Department: l.spec.Department,
		Key:        l.key,
	}
	return []OrderAction{ask, WakeAt{At: l.timerAt}}
}

// UpstreamAnswered handles the response to AskUpstream.
func (l *Lookup) UpstreamAnswered(now time.Time, response dcupstream.Response) []OrderAction {
	if l.phase != phaseAsking {
		return nil
	}
	if response.Outcome != dcreason.Ran {
		return l.finish(Respond{Outcome: dcreason.Unknown, Code: dcreason.OutcomeUnknown})
	}
	record := outcomeRecord(l.entry, ledgerv1.EntryState_ENTRY_STATE_RAN, response.Body)
	l.phase = phaseRecording
	l.callerAnswered = true
	// A single attempt to record is enough: a later lookup can ask the upstream
	// again.
	l.timerAt = now.Add(l.config.RecordTimeout)
	return []OrderAction{
		Respond{Outcome: dcreason.Ran, Code: dcreason.OK, Body: response.Body},
		SubmitRecord{Partition: l.partition, Entry: record},
		WakeAt{At: l.timerAt},
	}
}

// Recorded handles the result of SubmitRecord and ends the lookup.
func (l *Lookup) Recorded(time.Time, Result) []OrderAction {
	if l.phase == phaseRecording {
		l.phase = phaseDone
	}
	return nil
}

// Tick ends the lookup when the ledger or the upstream did not answer in time.
func (l *Lookup) Tick(now time.Time) []OrderAction {
	if l.phase == phaseNew || l.phase == phaseDone || now.Before(l.timerAt) {
		return nil
	}
	switch l.phase {
	case phaseClaiming:
		return l.finish(Respond{Outcome: dcreason.Unknown, Code: dcreason.StoreUnavailable})
	case phaseAsking:
		return l.finish(Respond{Outcome: dcreason.Unknown, Code: dcreason.OutcomeUnknown})
	}
	l.phase = phaseDone
	return nil
}

func (l *Lookup) finish(answer Respond) []OrderAction {
	l.phase = phaseDone
	if l.callerAnswered {
		return nil
	}
	l.callerAnswered = true
	return []OrderAction{answer}
}
