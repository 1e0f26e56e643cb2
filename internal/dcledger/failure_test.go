package dcledger

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// checkWrite adds a violation when a write changes or removes a recorded
// outcome.
func (sim *simulation) checkWrite(before, after []byte) {
	var old, next ledgerv1.Segment
	if proto.Unmarshal(before, &old) != nil || proto.Unmarshal(after, &next) != nil {
		sim.addViolation("segment is not a valid protobuf message")
	}
	for _, oldEntry := range old.GetEntries() {
		index := findEntry(&next, oldEntry.GetDepartment(), oldEntry.GetKey())
		if index < 0 {
			sim.addViolation("entry of key %s was removed", oldEntry.GetKey())
			continue
		}
		sim.checkEntry(oldEntry, next.GetEntries()[index])
	}
}

func (sim *simulation) checkEntry(before, after *ledgerv1.Entry) {
	if before.GetState() == after.GetState() && before.GetOperationId() == after.GetOperationId() {
		if !bytes.Equal(before.GetResult(), after.GetResult()) {
			sim.addViolation("recorded result of key %s changed", before.GetKey())
		}
		return
	}
	switch before.GetState() {
	case ledgerv1.EntryState_ENTRY_STATE_RAN:
		sim.addViolation("entry of key %s changed from ran to %v", before.GetKey(), after.GetState())
	case ledgerv1.EntryState_ENTRY_STATE_UNKNOWN:
		if after.GetState() != ledgerv1.EntryState_ENTRY_STATE_RAN || after.GetOperationId() != before.GetOperationId() {
			sim.addViolation("entry of key %s changed from unknown to %v", before.GetKey(), after.GetState())
		}
	case ledgerv1.EntryState_ENTRY_STATE_NOT_RUN:
		if after.GetOperationId() == before.GetOperationId() || after.GetAttempt() <= before.GetAttempt() {
			sim.addViolation("not-run record of operation %s changed", before.GetOperationId())
		}
	case ledgerv1.EntryState_ENTRY_STATE_CLAIMED:
		// One group commit may hold the not-run record of a claim and the next
		// claim of the key.
		abandoned := sim.abandoned[before.GetOperationId()] && after.GetAttempt() > before.GetAttempt()
		if after.GetOperationId() != before.GetOperationId() && !abandoned {
			sim.addViolation("claim of operation %s was replaced by another operation", before.GetOperationId())
		}
	}
	if !bytes.Equal(before.GetBodyDigest(), after.GetBodyDigest()) {
		sim.addViolation("body digest of key %s changed", before.GetKey())
	}
}

// checkLookup adds a violation when a lookup answers not-run although the key
// ran before the lookup began, or ran although the key never ran.
func (sim *simulation) checkLookup(key string, call int64, answer Respond) {
	ran := slices.ContainsFunc(sim.runs[key], func(r upstreamRun) bool { return r.timestamp < call })
	if answer.Outcome == dcreason.NotRun && ran {
		sim.addViolation("lookup of key %s answered not-run after it ran", key)
	}
	if answer.Outcome == dcreason.Ran && len(sim.runs[key]) == 0 {
		sim.addViolation("lookup of key %s answered ran, but it never ran", key)
	}
}

// check returns all violations of a finished simulation.
func (sim *simulation) check() []string {
	for key, runs := range sim.runs {
		if len(runs) > 1 {
			sim.addViolation("key %s ran %d times", key, len(runs))
		}
		for _, run := range runs {
			if sim.notRun[run.operation] {
				sim.addViolation("operation %s was answered not-run but ran", run.operation)
			}
		}
	}
	if !porcupine.CheckOperations(keyModel.ToModel(), sim.history) {
		sim.addViolation("history is not linearizable")
	}
	return sim.violations
}

var scenarios = map[string]faults{
	"no-faults":          {sentToTwoHosts: 0.3, refused: 0.2},
	"lost-replies":       {lostReply: 0.2, lostRequest: 0.1, lateEffect: 0.1, sentToTwoHosts: 0.3, refused: 0.2},
	"silent-store":       {noReply: 0.1, lostReply: 0.1, lateEffect: 0.1, sentToTwoHosts: 0.3, refused: 0.2},
	"paused-holder":      {pause: 0.1, lateEffect: 0.05, holderRotation: 300 * time.Millisecond, sentToTwoHosts: 0.5, refused: 0.2},
	"resend-other-host":  {upstreamReplyLost: 0.3, dispatchLost: 0.2, refused: 0.3, sentToTwoHosts: 1, peerLost: 0.2},
	"other-body":         {otherBody: 0.5, refused: 0.4, sentToTwoHosts: 0.5, lostReply: 0.1},
	"old-key":            {oldKey: 0.5, refused: 0.3, sentToTwoHosts: 0.5},
	"store-outage":       {outageFrom: 500 * time.Millisecond, outageFor: 8 * time.Second, lostReply: 0.05, refused: 0.2},
	"flapping-store":     {unavailable: 0.2, lostReply: 0.1, refused: 0.2, sentToTwoHosts: 0.3},
	"hand-over":          {holderRotation: 100 * time.Millisecond, peerLost: 0.1, peerLate: 0.1, peerDuplicate: 0.2, sentToTwoHosts: 0.5, refused: 0.3},
	"hosts-killed":       {kill: 0.08, lostReply: 0.1, holderRotation: 500 * time.Millisecond, sentToTwoHosts: 0.5, refused: 0.2, upstreamReplyLost: 0.2},
	"everything-at-once": {lostRequest: 0.05, lostReply: 0.1, lateEffect: 0.1, noReply: 0.03, unavailable: 0.05, peerLost: 0.1, peerLate: 0.1, peerDuplicate: 0.1, refused: 0.2, upstreamReplyLost: 0.1, dispatchLost: 0.1, pause: 0.03, kill: 0.02, otherBody: 0.1, sentToTwoHosts: 0.5, holderRotation: 200 * time.Millisecond},
}

const seedCount = 40

// TestOrdersUnderFaults guards against duplicate runs, false not-run answers and
// changed outcomes under each kind of fault.
func TestOrdersUnderFaults(t *testing.T) {
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ran := 0
			for seed := range uint64(seedCount) {
				sim := newSimulation(seed, 4, scenario)
				sim.workload(30)
				if violations := sim.check(); len(violations) > 0 {
					t.Fatalf("seed %d: %q", seed, violations)
				}
				if scenario.kill == 0 && sim.answered != sim.orders {
					t.Fatalf("seed %d: %d of %d requests answered", seed, sim.answered, sim.orders)
				}
				ran += len(sim.runs)
			}
			if ran < seedCount*5 {
				t.Fatalf("only %d keys ran in %d seeds", ran, seedCount)
			}
		})
	}
}

// TestOrdersAfterRestoration guards against an order that runs again because its
// acknowledged record was lost when the store was restored from an older copy.
func TestOrdersAfterRestoration(t *testing.T) {
	for seed := range uint64(seedCount) {
		sim := newSimulation(seed, 4, faults{
			restoredAt: 1500 * time.Millisecond, restoredBack: 700 * time.Millisecond,
			sentToTwoHosts: 0.5, refused: 0.2, upstreamReplyLost: 0.3,
		})
		sim.workload(30)
		for key, runs := range sim.runs {
			if len(runs) > 1 {
				t.Errorf("seed %d: key %s ran %d times", seed, key, len(runs))
			}
		}
	}
}

// TestHostKilledAtEveryStep guards against a key that runs twice because its
// entry host was killed at one of the steps of the order.
func TestHostKilledAtEveryStep(t *testing.T) {
	for _, step := range []string{"SubmitClaim", "Dispatch", "SubmitRecord", "Respond", "AskUpstream", "WakeAt"} {
		for _, after := range []bool{false, true} {
			for seed := range uint64(seedCount) {
				sim := newSimulation(seed, 3, faults{killAt: step, killAfter: after, upstreamReplyLost: 0.3, refused: 0.2})
				sim.workload(5)
				if violations := sim.check(); len(violations) > 0 {
					t.Errorf("host killed at %s, after the action=%v, seed %d: %q", step, after, seed, violations)
				}
				if sim.killAt != "" && step != "AskUpstream" {
					t.Errorf("seed %d: no host reached step %s", seed, step)
				}
			}
		}
	}
}

// TestChecksRejectFaultyVariants shows that the checks reject faulty
// implementations: one that dispatches an order while its claim is undecided,
// and a store that swaps without comparing the revision.
func TestChecksRejectFaultyVariants(t *testing.T) {
	variants := map[string]func(*faults){
		"dispatch-undecided": func(f *faults) { f.dispatchUndecided = true },
		"ignore-expected":    func(f *faults) { f.ignoreExpected = true },
	}
	for name, change := range variants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario := scenarios["everything-at-once"]
			change(&scenario)
			rejected, twice, nonlinear := 0, 0, 0
			for seed := range uint64(seedCount) {
				sim := newSimulation(seed, 4, scenario)
				sim.workload(30)
				violations := fmt.Sprint(sim.check())
				if len(sim.violations) > 0 {
					rejected++
				}
				if bytes.Contains([]byte(violations), []byte("ran 2 times")) {
					twice++
				}
				if bytes.Contains([]byte(violations), []byte("not linearizable")) {
					nonlinear++
				}
			}
			if twice == 0 || nonlinear == 0 {
				t.Fatalf("faulty variant not detected: %d of %d seeds rejected, %d with two runs, %d not linearizable", rejected, seedCount, twice, nonlinear)
			}
			t.Logf("%d of %d seeds rejected, %d with two runs, %d not linearizable", rejected, seedCount, twice, nonlinear)
		})
	}
}
