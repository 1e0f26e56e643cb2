package dcconfig

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// fakeStore holds the chain in memory and injects faults, each of which applies
// to one call.
type fakeStore struct {
	values map[string][]byte
	// faults are consumed by the next calls; "" means no fault.
	faults []string
	// delayed holds swaps that take effect later.
	delayed []dcstore.Swap
}

const (
	faultUnavailable = "down"        // no effect, ErrUnavailable
	faultLostAfter   = "lost-after"  // effect, then ErrUnknownOutcome
	faultLostBefore  = "lost-before" // no effect, ErrUnknownOutcome
	faultLostLate    = "lost-late"   // ErrUnknownOutcome, effect later
)

func newFakeStore(revisions ...*AcceptedRevision) *fakeStore {
	store := &fakeStore{values: map[string][]byte{}}
	for _, accepted := range revisions {
		store.values[Key(accepted.Revision)] = encode(accepted.Record)
	}
	return store
}

// fault returns the fault of the next call.
func (s *fakeStore) fault() string {
	if len(s.faults) == 0 {
		return ""
	}
	next := s.faults[0]
	s.faults = s.faults[1:]
	return next
}

func (s *fakeStore) write(swap dcstore.Swap) error {
	if _, exists := s.values[swap.Key]; exists {
		return dcstore.ErrConflict
	}
	s.values[swap.Key] = swap.Value
	return nil
}

func (s *fakeStore) swap(swap dcstore.Swap) error {
	switch s.fault() {
	case faultUnavailable:
		return dcstore.ErrUnavailable
	case faultLostAfter:
		_ = s.write(swap)
		return dcstore.ErrUnknownOutcome
	case faultLostBefore:
		return dcstore.ErrUnknownOutcome
	case faultLostLate:
		s.delayed = append(s.delayed, swap)
		return dcstore.ErrUnknownOutcome
	}
	return s.write(swap)
}

func (s *fakeStore) newest() []dcstore.Record {
	var keys []string
	for key := range s.values {
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil
	}
	newest := slices.Max(keys)
	return []dcstore.Record{{Key: newest, Value: s.values[newest]}}
}

func (s *fakeStore) get(key string) (dcstore.Record, error) {
	value, ok := s.values[key]
	if !ok {
		return dcstore.Record{}, dcstore.ErrNotFound
	}
	return dcstore.Record{Key: key, Value: value}, nil
}

// runStep makes the call that a step requests.
func (s *fakeStore) runStep(operation *ApplyOperation, step Step) Step {
	if step.Swap != nil {
		return operation.HandleSwap(s.swap(*step.Swap))
	}
	if s.fault() != "" {
		if step.List {
			return operation.HandleList(nil, dcstore.ErrUnavailable, start)
		}
		return operation.HandleGet(dcstore.Record{}, dcstore.ErrUnavailable)
	}
	if step.List {
		return operation.HandleList(s.newest(), nil, start)
	}
	return operation.HandleGet(s.get(step.Get))
}

func (s *fakeStore) apply(proposal Proposal, known dcid.Revision) *Result {
	operation, step := NewApplyOperation(proposal, known)
	for step.Done == nil {
		step = s.runStep(operation, step)
	}
	return step.Done
}

// TestApplyOperationFaults guards against a wrong outcome after a lost reply.
// Without faults, an operation calls list and swap.
func TestApplyOperationFaults(t *testing.T) {
	cases := []struct {
		faults  string
		outcome dcreason.Outcome
		code    dcreason.Code
		stored  bool
	}{
		{"", dcreason.Ran, dcreason.OK, true},
		{"down", dcreason.NotRun, dcreason.StoreUnavailable, false},
		{"- down", dcreason.NotRun, dcreason.StoreUnavailable, false},
		{"- lost-after", dcreason.Ran, dcreason.OK, true},
		{"- lost-before", dcreason.Ran, dcreason.OK, true},
		{"- lost-after down down -", dcreason.Ran, dcreason.OK, true},
		{"- lost-after down down down", dcreason.Unknown, dcreason.OutcomeUnknown, true},
		{"- lost-before - lost-before - lost-before", dcreason.Unknown, dcreason.OutcomeUnknown, false},
		{"- lost-before - down - -", dcreason.Ran, dcreason.OK, true},
	}
	for _, c := range cases {
		store := newFakeStore(newChain(t, 1)...)
		store.faults = strings.Fields(c.faults)
		for i, fault := range store.faults {
			store.faults[i] = strings.TrimPrefix(fault, "-")
		}
		proposal := propose("yard", "op-2", 1, edit("deployment: test", "deployment: test-1", "max-deadline: 2s", "max-deadline: 1s"))
		result := store.apply(proposal, 1)
		_, err := store.get(Key(2))
		if result.Outcome != c.outcome || result.Code != c.code || (err == nil) != c.stored {
			t.Errorf("%q: got %s %s %q, stored %v", c.faults, result.Outcome, result.Code, result.Message, err == nil)
		}
		store.faults = nil
		if again := store.apply(proposal, 1); again.Outcome != dcreason.Ran || again.Revision != 2 {
			t.Errorf("%q: resend got %s %s %q", c.faults, again.Outcome, again.Code, again.Message)
		}
	}
}

// TestResend guards against a resent proposal that is applied twice or reports
// another result after newer revisions.
func TestResend(t *testing.T) {
	revisions := newChain(t, 5)
	store := newFakeStore(revisions...)
	request := func(operationID string, base uint32, document string) *Result {
		return store.apply(propose("office", operationID, base, document), 5)
	}
	secondDocument := revisions[1].Record.GetDocument()
	for _, c := range []struct {
		name     string
		result   *Result
		code     dcreason.Code
		revision dcid.Revision
	}{
		{"same operation", request("op-2", 1, secondDocument), dcreason.OK, 2},
		{"same operation, other document", request("op-2", 1, baseDocument), dcreason.BadRequest, 5},
		{"other operation", request("op-x", 1, secondDocument), dcreason.ConfigConflict, 5},
		{"base above the newest revision", request("op-x", 9, secondDocument), dcreason.ConfigConflict, 5},
	} {
		if c.result.Code != c.code || c.result.Revision != c.revision {
			t.Errorf("%s: got %s revision %d: %s", c.name, c.result.Code, c.result.Revision, c.result.Message)
		}
	}
	conflict := request("op-x", 1, secondDocument).Message
	if !strings.Contains(conflict, "revision 1,") || !strings.Contains(conflict, "revision 5 is current") {
		t.Errorf("conflict message does not name both revisions: %s", conflict)
	}
	delete(store.values, Key(2))
	if got := request("op-2", 1, secondDocument); got.Code != dcreason.ConfigConflict {
		t.Errorf("pruned revision: %s", got.Code)
	}
}

// TestRestoredStore guards against a proposal that continues the chain of a store
// that lost its newest revisions, for example when it was restored from a copy.
func TestRestoredStore(t *testing.T) {
	store := newFakeStore(newChain(t, 2)...)
	got := store.apply(propose("office", "op-x", 2, baseDocument), 3)
	if got.Code != dcreason.ConfigurationStale || got.Outcome != dcreason.NotRun || len(store.values) != 2 {
		t.Errorf("got %s %q, %d revisions", got.Code, got.Message, len(store.values))
	}
}

// operator is one of the concurrent operators in TestRaces.
type operator struct {
	proposal  Proposal
	operation *ApplyOperation
	step      Step
}

// TestRaces guards against concurrent operators and lost or delayed writes that
// together lose, repeat or misreport a revision.
func TestRaces(t *testing.T) {
	for seed := range int64(15) {
		random := rand.New(rand.NewSource(seed))
		store := newFakeStore(newChain(t, 1)...)
		results := runRace(random, store)
		written := map[string]int{}
		var previous *AcceptedRevision
		for revision := dcid.Revision(1); int(revision) <= len(store.values); revision++ {
			record, err := store.get(Key(revision))
			if err != nil {
				t.Fatalf("seed %d: gap at revision %d", seed, revision)
			}
			accepted, err := Decode(record.Value)
			if err != nil || previous != nil && string(accepted.Record.GetPreviousDigest()) != string(previous.Record.GetDigest()) {
				t.Fatalf("seed %d: revision %d does not continue the chain: %v", seed, revision, err)
			}
			written[accepted.Record.GetOperationId()]++
			previous = accepted
		}
		for operationID, result := range results {
			count := written[operationID]
			if result.Outcome == dcreason.Ran && count != 1 || result.Outcome == dcreason.NotRun && count != 0 || count > 1 {
				t.Errorf("seed %d: %s is %s %s but written %d times", seed, operationID, result.Outcome, result.Code, count)
			}
		}
	}
}

// runRace runs operators that retry conflicts with a new operation id, in a
// random interleaving and with random faults.
func runRace(random *rand.Rand, store *fakeStore) map[string]*Result {
	results := map[string]*Result{}
	operators := make([]*operator, 5)
	for turn := range 150 {
		index := random.Intn(len(operators))
		if operators[index] == nil {
			operators[index] = newOperator(store, fmt.Sprintf("op-%d-%d", index, turn), turn)
		}
		store.faults = nil
		if random.Intn(4) == 0 {
			store.faults = []string{[]string{faultUnavailable, faultLostAfter, faultLostBefore, faultLostLate}[random.Intn(4)]}
		}
		current := operators[index]
		current.step = store.runStep(current.operation, current.step)
		if current.step.Done != nil {
			results[current.proposal.Request.GetOperationId()] = current.step.Done
			operators[index] = nil
		}
		if len(store.delayed) > 0 && random.Intn(3) == 0 {
			_ = store.write(store.delayed[0])
			store.delayed = store.delayed[1:]
		}
	}
	for _, swap := range store.delayed {
		_ = store.write(swap)
	}
	return results
}

func newOperator(store *fakeStore, operationID string, turn int) *operator {
	head, err := Decode(store.newest()[0].Value)
	if err != nil {
		panic(err)
	}
	document := edit("deployment: test", fmt.Sprintf("deployment: test-%d", turn))
	proposal := propose("office", operationID, uint32(head.Revision), document)
	operation, step := NewApplyOperation(proposal, head.Revision)
	return &operator{
		proposal:  proposal,
		operation: operation,
		step:      step,
	}
}
