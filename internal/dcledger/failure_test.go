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

// checkWrite reports a recorded outcome that changes or disappears.
func (w *simulation) checkWrite(before, after []byte) {
	var old, next ledgerv1.Segment
	if proto.Unmarshal(before, &old) != nil || proto.Unmarshal(after, &next) != nil {
		w.addViolation("segment is not valid")
	}
	for _, was := range old.GetEntries() {
		index := findEntry(&next, was.GetDepartment(), was.GetKey())
		if index < 0 {
			w.addViolation("entry of %s disappeared", was.GetKey())
			continue
		}
		w.checkEntry(was, next.GetEntries()[index])
	}
}

func (w *simulation) checkEntry(was, is *ledgerv1.Entry) {
	if was.GetState() == is.GetState() && was.GetOperationId() == is.GetOperationId() {
		if !bytes.Equal(was.GetResult(), is.GetResult()) {
			w.addViolation("result of key %s changed", was.GetKey())
		}
		return
	}
	switch was.GetState() {
	case ledgerv1.EntryState_ENTRY_STATE_RAN:
		w.addViolation("key %s ran and became %v", was.GetKey(), is.GetState())
	case ledgerv1.EntryState_ENTRY_STATE_UNKNOWN:
		if is.GetState() != ledgerv1.EntryState_ENTRY_STATE_RAN || is.GetOperationId() != was.GetOperationId() {
			w.addViolation("key %s was unknown and became %v", was.GetKey(), is.GetState())
		}
	case ledgerv1.EntryState_ENTRY_STATE_NOT_RUN:
		if is.GetOperationId() == was.GetOperationId() || is.GetAttempt() <= was.GetAttempt() {
			w.addViolation("not-run record of %s changed", was.GetOperationId())
		}
	case ledgerv1.EntryState_ENTRY_STATE_CLAIMED:
		// One group commit may hold the not-run record of a claim and the next
		// claim of the key.
		abandoned := w.abandoned[was.GetOperationId()] && is.GetAttempt() > was.GetAttempt()
		if is.GetOperationId() != was.GetOperationId() && !abandoned {
			w.addViolation("claim of %s was taken over", was.GetOperationId())
		}
	}
	if !bytes.Equal(was.GetBodyDigest(), is.GetBodyDigest()) {
		w.addViolation("body of key %s changed", was.GetKey())
	}
}

// checkLookup reports a key that is called not-run although it ran before the
// lookup began, or ran although it did not.
func (w *simulation) checkLookup(key string, call int64, answer Respond) {
	ran := slices.ContainsFunc(w.runs[key], func(r upstreamRun) bool { return r.stamp < call })
	if answer.Outcome == dcreason.NotRun && ran {
		w.addViolation("lookup of %s says not-run after it ran", key)
	}
	if answer.Outcome == dcreason.Ran && len(w.runs[key]) == 0 {
		w.addViolation("lookup of %s says ran", key)
	}
}

// check returns every broken promise of a finished world.
func (w *simulation) check() []string {
	for key, runs := range w.runs {
		if len(runs) > 1 {
			w.addViolation("key %s ran %d times", key, len(runs))
		}
		for _, run := range runs {
			if w.notRun[run.operation] {
				w.addViolation("%s was answered not-run and ran", run.operation)
			}
		}
	}
	if !porcupine.CheckOperations(keyModel.ToModel(), w.history) {
		w.addViolation("history is not linearizable")
	}
	return w.violations
}

var scenarios = map[string]faults{
	"no-faults":          {sentToTwoHosts: 0.3, refused: 0.2},
	"lost-replies":       {lostReply: 0.2, lostRequest: 0.1, lateEffect: 0.1, sentToTwoHosts: 0.3, refused: 0.2},
	"silent-store":       {neverReplies: 0.1, lostReply: 0.1, lateEffect: 0.1, sentToTwoHosts: 0.3, refused: 0.2},
	"paused-holder":      {pause: 0.1, lateEffect: 0.05, holderRotation: 300 * time.Millisecond, sentToTwoHosts: 0.5, refused: 0.2},
	"resend-other-host":  {upstreamLost: 0.3, upstreamNever: 0.2, refused: 0.3, sentToTwoHosts: 1, peerLost: 0.2},
	"other-body":         {otherBody: 0.5, refused: 0.4, sentToTwoHosts: 0.5, lostReply: 0.1},
	"old-key":            {oldKey: 0.5, refused: 0.3, sentToTwoHosts: 0.5},
	"store-outage":       {outageFrom: 500 * time.Millisecond, outageFor: 8 * time.Second, lostReply: 0.05, refused: 0.2},
	"flapping-store":     {unavailable: 0.2, lostReply: 0.1, refused: 0.2, sentToTwoHosts: 0.3},
	"hand-over":          {holderRotation: 100 * time.Millisecond, peerLost: 0.1, peerLate: 0.1, peerDuplicate: 0.2, sentToTwoHosts: 0.5, refused: 0.3},
	"hosts-killed":       {kill: 0.08, lostReply: 0.1, holderRotation: 500 * time.Millisecond, sentToTwoHosts: 0.5, refused: 0.2, upstreamLost: 0.2},
	"everything-at-once": {lostRequest: 0.05, lostReply: 0.1, lateEffect: 0.1, neverReplies: 0.03, unavailable: 0.05, peerLost: 0.1, peerLate: 0.1, peerDuplicate: 0.1, refused: 0.2, upstreamLost: 0.1, upstreamNever: 0.1, pause: 0.03, kill: 0.02, otherBody: 0.1, sentToTwoHosts: 0.5, holderRotation: 200 * time.Millisecond},
}

const seedCount = 40

// Guards against duplicate runs, false not-run answers and changed outcomes
// under each kind of fault.
func TestOrdersUnderFaults(t *testing.T) {
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ran := 0
			for seed := range uint64(seedCount) {
				w := newSimulation(seed, 4, scenario)
				w.workload(30)
				if violations := w.check(); len(violations) > 0 {
					t.Fatalf("seed %d: %q", seed, violations)
				}
				if scenario.kill == 0 && w.answered != w.orders {
					t.Fatalf("seed %d: %d of %d requests answered", seed, w.answered, w.orders)
				}
				ran += len(w.runs)
			}
			if ran < seedCount*5 {
				t.Fatalf("only %d keys ran in %d seeds", ran, seedCount)
			}
		})
	}
}

// Guards against a key that runs twice because its entry host died at one step.
func TestHostKilledAtEveryStep(t *testing.T) {
	for _, step := range []string{"SubmitClaim", "Dispatch", "SubmitRecord", "Respond", "AskUpstream", "WakeAt"} {
		for _, after := range []bool{false, true} {
			for seed := range uint64(seedCount) {
				w := newSimulation(seed, 3, faults{killAt: step, killAfter: after, upstreamLost: 0.3, refused: 0.2})
				w.workload(5)
				if violations := w.check(); len(violations) > 0 {
					t.Errorf("killed at %s, after=%v, seed %d: %q", step, after, seed, violations)
				}
				if w.killAt != "" && step != "AskUpstream" {
					t.Errorf("seed %d never reached %s", seed, step)
				}
			}
		}
	}
}

// Shows that the checks reject faulty implementations: an order dispatched
// while its claim is undecided, and a store write without comparison.
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
				w := newSimulation(seed, 4, scenario)
				w.workload(30)
				violations := fmt.Sprint(w.check())
				if len(w.violations) > 0 {
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
				t.Fatalf("accepted: %d of %d seeds rejected, %d with two runs, %d not linearizable", rejected, seedCount, twice, nonlinear)
			}
			t.Logf("%d of %d seeds rejected, %d with two runs, %d not linearizable", rejected, seedCount, twice, nonlinear)
		})
	}
}
