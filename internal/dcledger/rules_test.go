package dcledger

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

// TestKeyChecks guards against running keys whose outcome may have been deleted,
// and against two spellings of one key.
func TestKeyChecks(t *testing.T) {
	const key = "019cad6b-2e00-7abc-8def-0123456789ab"
	_, issued, _ := ParseKey(key)
	for _, c := range []struct {
		raw  dcid.OrderKey
		now  time.Time
		want dcreason.Code
	}{
		{key, issued, dcreason.OK},
		{"019CAD6B-2E00-7ABC-8DEF-0123456789AB", issued, dcreason.OK},
		{"{019cad6b-2e00-7abc-8def-0123456789ab}", issued, dcreason.KeyMalformed},
		{"019cad6b2e007abc8def0123456789ab", issued, dcreason.KeyMalformed},
		{"019cad6b-2e00-4abc-8def-0123456789ab", issued, dcreason.KeyMalformed},
		{"019cad6b-2e00-7abc-cdef-0123456789ab", issued, dcreason.KeyMalformed},
		{key, issued.Add(-MaxClockSkew), dcreason.OK},
		{key, issued.Add(-MaxClockSkew - 1), dcreason.KeyFromFuture},
		{key, issued.Add(testRetention), dcreason.OK},
		{key, issued.Add(testRetention + 1), dcreason.KeyExpired},
	} {
		parsed, at, code := ParseKey(c.raw)
		if code == dcreason.OK {
			code = CheckAge(at, c.now, testRetention)
		}
		if code != c.want || code == dcreason.OK && parsed != key {
			t.Errorf("%s at %v: %s %q, want %s", c.raw, c.now, code, parsed, c.want)
		}
	}
}

// TestRetention guards against deleting a segment while a host may still accept
// its keys, and against deleting store keys that are not segments of the
// partition.
func TestRetention(t *testing.T) {
	r := RetentionPolicy{KeyRetention: testRetention, Margin: RetentionMargin}
	slot := SlotOf(startTime)
	records := []dcstore.Record{
		{Key: SegmentKey("p/", 1, slot), Modified: 7},
		{Key: SegmentKey("p/", 1, slot+1), Modified: 8},
		{Key: "p/ledger/1/other", Modified: 9},
		{Key: SegmentKey("p/", 2, slot), Modified: 10},
	}
	due := startTime.Add(SegmentWidth + testRetention + RetentionMargin)
	if refs := r.Deletable("p/", 1, records, due.Add(-1)); len(refs) != 0 {
		t.Errorf("segments deletable too early: %v", refs)
	}
	if refs := r.Deletable("p/", 1, records, due); len(refs) != 1 || refs[0].Modified != 7 {
		t.Errorf("deletable segments %v, want the oldest only", refs)
	}
	if at, ok := r.NextDeletion("p/", 1, records); !ok || !at.Equal(due) {
		t.Errorf("next deletion at %v, want %v", at, due)
	}
}

func newTestEntry(operation, digest string, state ledgerv1.EntryState) *ledgerv1.Entry {
	return &ledgerv1.Entry{
		Department: "bakery", Key: "k", OperationId: operation, BodyDigest: []byte(digest), State: state, Attempt: 1,
		DispatchDeadlineMs: startTime.Add(time.Second).UnixMilli(),
	}
}

// TestClaimRules guards against a claim that succeeds for a key that another
// operation has claimed, that ran or whose outcome is unknown, and against a
// claim that is late, delayed or for another body.
func TestClaimRules(t *testing.T) {
	const (
		claimed = ledgerv1.EntryState_ENTRY_STATE_CLAIMED
		ran     = ledgerv1.EntryState_ENTRY_STATE_RAN
		notRun  = ledgerv1.EntryState_ENTRY_STATE_NOT_RUN
		unknown = ledgerv1.EntryState_ENTRY_STATE_UNKNOWN
	)
	for _, c := range []struct {
		name        string
		existing    *ledgerv1.Entry
		now         time.Time
		wantClaimed bool
		wantAttempt uint32
	}{
		{"absent", nil, startTime, true, 1},
		{"absent, deadline passed", nil, startTime.Add(time.Second), false, 0},
		{"own claim", newTestEntry("a", "x", claimed), startTime, true, 1},
		{"own claim, resent late", newTestEntry("a", "x", claimed), startTime.Add(time.Hour), true, 1},
		{"own not-run", newTestEntry("a", "x", notRun), startTime, false, 1},
		{"claimed by another", newTestEntry("b", "x", claimed), startTime, false, 1},
		{"claimed by another, before the deadline", newTestEntry("b", "x", claimed), startTime.Add(900 * time.Millisecond), false, 1},
		{"ran", newTestEntry("b", "x", ran), startTime, false, 1},
		{"unknown", newTestEntry("b", "x", unknown), startTime, false, 1},
		{"not-run, next attempt", newTestEntry("b", "x", notRun), startTime, true, 2},
		{"not-run, delayed copy", newTestEntry("b", "x", notRun), startTime, false, 1},
		{"not-run, other body", newTestEntry("b", "y", notRun), startTime, false, 1},
	} {
		segment := &ledgerv1.Segment{}
		if c.existing != nil {
			segment.Entries = append(segment.Entries, c.existing)
		}
		before := proto.CloneOf(segment)
		claim := newTestEntry("a", "x", claimed)
		claim.Attempt = max(c.wantAttempt, 1)
		result, changed := applyClaim(segment, claim, c.now)
		if Claimed(claim, result) != c.wantClaimed || result.Entry.GetAttempt() != c.wantAttempt {
			t.Errorf("%s: unexpected result %v", c.name, result)
		}
		if changed == proto.Equal(before, segment) {
			t.Errorf("%s: changed is %v, which does not match the segment", c.name, changed)
		}
	}
}

// TestSegmentIsBounded guards against segments that exceed the value size of the
// store. Claims must be refused while each accepted claim still has space for
// its result.
func TestSegmentIsBounded(t *testing.T) {
	segment := &ledgerv1.Segment{}
	for {
		claim := newTestEntry("a", "x", ledgerv1.EntryState_ENTRY_STATE_CLAIMED)
		claim.Key = time.Duration(len(segment.Entries)).String()
		if result, _ := applyClaim(segment, claim, startTime); result.Code != dcreason.OK {
			if result.Code != dcreason.QueueFull || result.MayExist {
				t.Fatalf("claim refused with %v, want queue-full and no possible claim", result)
			}
			break
		}
	}
	for _, claim := range segment.Entries {
		applyRecord(segment, outcomeRecord(claim, ledgerv1.EntryState_ENTRY_STATE_RAN, make([]byte, 3*MaxResultBytes)))
	}
	if size := proto.Size(segment); size > ClaimLimitBytes || len(segment.Entries) < 100 {
		t.Errorf("segment has %d entries in %d bytes, want at least 100 entries and no more than ClaimLimitBytes", len(segment.Entries), size)
	}
}

// TestDispatchDeadline guards against a dispatch after the deadline when one of
// the two clocks stopped or jumped, and against a second dispatch when a claim
// is answered twice.
func TestDispatchDeadline(t *testing.T) {
	const window = 2 * time.Second
	for _, c := range []struct {
		wall, elapsed time.Duration
		want          int
	}{
		{0, 0, 1},
		{window - 1, window - 1, 1},
		{window, 0, 0},
		{0, window, 0},
		{-time.Hour, window, 0},
	} {
		spec := OrderSpec{Key: "019cad6b-2e00-7abc-8def-0123456789ab", Operation: "a"}
		_, issued, _ := ParseKey(spec.Key)
		start := Instant{Wall: issued}
		spec.Deadline = issued.Add(time.Minute)
		order := NewOrder(testOrderConfig(), spec, nil)
		claim := order.Start(start)[0].(SubmitClaim)
		at := Instant{Wall: start.Wall.Add(c.wall), Elapsed: c.elapsed}
		granted := Result{Code: dcreason.OK, Entry: claim.Entry}
		got := 0
		for _, action := range append(order.Claimed(at, granted), order.Claimed(at, granted)...) {
			switch action := action.(type) {
			case Dispatch:
				got++
			case SubmitRecord:
				if action.Entry.GetState() != ledgerv1.EntryState_ENTRY_STATE_NOT_RUN {
					t.Errorf("wall %v, elapsed %v: recorded %v, want not-run", c.wall, c.elapsed, action.Entry.GetState())
				}
			}
		}
		if got != c.want {
			t.Errorf("wall %v, elapsed %v: %d dispatches, want %d", c.wall, c.elapsed, got, c.want)
		}
	}
}
