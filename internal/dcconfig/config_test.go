package dcconfig

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

const digestText = "$argon2id$v=19$m=8,t=1,p=1$AAAAAAAAAAA$AAAAAAAAAAAAAAAAAAAAAA"

const otherDigest = "$argon2id$v=19$m=8,t=1,p=1$BAAAAAAAAAA$AAAAAAAAAAAAAAAAAAAAAA"

const baseDocument = `deployment: test
failure-domains: [north]
entry-hosts: 2
departments:
  - {name: office, administrator: true, credential-digests: ['` + digestText + `']}
  - {name: yard, credential-digests: ['` + digestText + `']}
  - {name: mill, credential-digests: ['` + digestText + `']}
service-groups:
  - name: find
    owner: yard
    kind: query
    shares: [{department: yard}]
    schema-versions: ["1"]
    slots: 2
    connections: 3
    max-deadline: 2s
    stale-configuration: {rule: refuse-after, after: 10s}
    services: [{name: one, upstreams: [{failure-domain: north, servers: ["10.0.0.1:80"]}]}]
  - name: grind
    owner: mill
    kind: query
    shares: [{department: mill}]
    schema-versions: ["1"]
    slots: 2
    connections: 4
    max-deadline: 3s
    services: [{name: one, upstreams: [{failure-domain: north, servers: ["10.0.0.2:80"]}]}]
`

// edit replaces pairs of old and new text in baseDocument.
func edit(pairs ...string) string {
	return strings.NewReplacer(pairs...).Replace(baseDocument)
}

func propose(author, operationID string, base uint32, document string) Proposal {
	return Proposal{
		Author: dcid.Department(author),
		Request: &callerv1.ApplyRequest{
			BaseRevision: base,
			OperationId:  operationID,
			Document:     document,
		},
	}
}

// extend accepts a document as the next revision and fails the test when it is
// refused.
func extend(t *testing.T, head *AcceptedRevision, author, operationID, document string) *AcceptedRevision {
	t.Helper()
	next, refusal := Accept(head, propose(author, operationID, uint32(revisionOf(head)), document), start)
	if refusal != nil {
		t.Fatalf("refused: %s: %s %v", refusal.Code, refusal.Message, refusal.Errors)
	}
	return next
}

// newChain returns a chain of accepted revisions.
func newChain(t *testing.T, length int) []*AcceptedRevision {
	t.Helper()
	var head *AcceptedRevision
	var revisions []*AcceptedRevision
	for i := range length {
		head = extend(t, head, "office", fmt.Sprintf("op-%d", i+1), edit("deployment: test", fmt.Sprintf("deployment: test-%d", i+1)))
		revisions = append(revisions, head)
	}
	return revisions
}

func recordOf(accepted *AcceptedRevision) dcstore.Record {
	return dcstore.Record{
		Key:      Key(accepted.Revision),
		Value:    encode(accepted.Record),
		Modified: dcstore.Revision(accepted.Revision),
	}
}

// TestAuthority guards against a department that changes a section it does not
// own.
func TestAuthority(t *testing.T) {
	head := extend(t, nil, "office", "op-1", baseDocument)
	yardGroup := edit("max-deadline: 2s", "max-deadline: 1s")
	yardDigest := edit("{name: yard, credential-digests: ['"+digestText+"']}", "{name: yard, credential-digests: ['"+digestText+"', '"+otherDigest+"']}")
	millAdministrator := edit("{name: mill,", "{name: mill, administrator: true,")
	shared := edit("entry-hosts: 2", "entry-hosts: 1")
	withoutGrind := baseDocument[:strings.Index(baseDocument, "  - name: grind")]
	handedOver := edit("owner: mill", "owner: yard")
	withoutMill := edit("  - {name: mill, credential-digests: ['"+digestText+"']}\n", "", "owner: mill", "owner: yard", "department: mill", "department: yard")
	cases := []struct {
		name, author, document string
		code                   dcreason.Code
		changed                string
	}{
		{"own group", "yard", yardGroup, dcreason.OK, "service-groups/find"},
		{"group of another department", "mill", yardGroup, dcreason.DepartmentDenied, "service-groups/find: only its owner yard"},
		{"group as administrator", "office", yardGroup, dcreason.DepartmentDenied, "service-groups/find"},
		{"own digests", "yard", yardDigest, dcreason.OK, "departments/yard"},
		{"digests of another department", "mill", yardDigest, dcreason.DepartmentDenied, "departments/yard"},
		{"digests as administrator", "office", yardDigest, dcreason.OK, "departments/yard"},
		{"own administrator right", "mill", millAdministrator, dcreason.DepartmentDenied, "departments/mill"},
		{"shared section", "yard", shared, dcreason.DepartmentDenied, "entry-hosts: only an administrator"},
		{"shared section as administrator", "office", shared, dcreason.OK, "entry-hosts"},
		{"remove own group", "mill", withoutGrind, dcreason.DepartmentDenied, "service-groups/grind"},
		{"remove group as administrator", "office", withoutGrind, dcreason.OK, "service-groups/grind"},
		{"hand over", "mill", handedOver, dcreason.OK, "service-groups/grind"},
		{"take over", "yard", handedOver, dcreason.DepartmentDenied, "service-groups/grind"},
		{"take over as administrator", "office", handedOver, dcreason.DepartmentDenied, "service-groups/grind"},
		{"rules of a removed owner", "office", withoutMill, dcreason.DepartmentDenied, "service-groups/grind"},
		{"both own and other", "yard", edit("max-deadline: 2s", "max-deadline: 1s", "max-deadline: 3s", "max-deadline: 1s"), dcreason.DepartmentDenied, "service-groups/grind"},
		{"text only", "yard", baseDocument + "# note\n", dcreason.OK, "text"},
		{"unknown author", "gone", yardGroup, dcreason.DepartmentDenied, "department gone is not in revision 1"},
		{"partitions", "office", baseDocument + "ledger-partitions: 4\n", dcreason.ConfigInvalid, "ledger-partitions cannot change"},
		{"invalid", "yard", edit("slots: 2", "slots: 0"), dcreason.ConfigInvalid, "document has errors"},
	}
	for _, c := range cases {
		next, refusal := Accept(head, propose(c.author, "op-2", 1, c.document), start)
		if refusal == nil {
			if got := strings.Join(next.Record.GetChanged(), ","); c.code != dcreason.OK || got != c.changed {
				t.Errorf("%s: accepted with changes %s, want %s %s", c.name, got, c.code, c.changed)
			}
			continue
		}
		if refusal.Code != c.code || refusal.Outcome != dcreason.NotRun || !strings.Contains(refusal.Message, c.changed) {
			t.Errorf("%s: got %s %q, want %s %q", c.name, refusal.Code, refusal.Message, c.code, c.changed)
		}
	}
	if _, refusal := Accept(nil, propose("yard", "op-1", 0, baseDocument), start); refusal == nil {
		t.Error("first revision was accepted from a department that is not an administrator")
	}
}

// TestAdoption guards against adopting older, forked or corrupt revisions.
func TestAdoption(t *testing.T) {
	revisions := newChain(t, 4)
	fork := extend(t, nil, "office", "op-fork", edit("deployment: test", "deployment: fork"))
	forkNext := extend(t, fork, "office", "op-fork-2", baseDocument)
	corrupt := recordOf(revisions[3])
	corrupt.Value = []byte(strings.Replace(string(corrupt.Value), "slots: 2", "slots: 9", 1))
	tracker := NewRevisionTracker()
	steps := []struct {
		name    string
		records []dcstore.Record
		adopted bool
		err     error
		inForce dcid.Revision
	}{
		{"empty store", nil, false, nil, 0},
		{"first", []dcstore.Record{recordOf(revisions[0])}, true, nil, 1},
		{"fork at the same revision", []dcstore.Record{recordOf(fork)}, false, ErrForked, 1},
		{"fork at the next revision", []dcstore.Record{recordOf(forkNext)}, false, ErrForked, 1},
		{"next", []dcstore.Record{recordOf(revisions[1])}, true, nil, 2},
		{"same", []dcstore.Record{recordOf(revisions[1])}, false, nil, 2},
		{"older", []dcstore.Record{recordOf(revisions[0])}, false, ErrOlder, 2},
		{"store emptied", nil, false, ErrOlder, 2},
		{"damaged", []dcstore.Record{corrupt}, false, ErrCorrupt, 2},
		{"several ahead", []dcstore.Record{recordOf(revisions[3])}, true, nil, 4},
	}
	for _, step := range steps {
		adopted, err := tracker.OfferStore(step.records, start)
		if adopted != step.adopted || !errors.Is(err, step.err) || revisionOf(tracker.InForce()) != step.inForce {
			t.Errorf("%s: adopted %v, error %v, in force %d", step.name, adopted, err, revisionOf(tracker.InForce()))
		}
	}
	if _, err := tracker.OfferPeer("host-2", revisions[2].Record, start); !errors.Is(err, ErrOlder) {
		t.Errorf("older offer of a peer: %v", err)
	}
}

// TestStartDuringStoreOutage guards against a host that waits for the store
// although a peer has the configuration.
func TestStartDuringStoreOutage(t *testing.T) {
	newest := newChain(t, 3)[2]
	tracker := NewRevisionTracker()
	if code := tracker.CheckGroup("find", start); code != dcreason.ConfigurationMissing {
		t.Errorf("without configuration: %s", code)
	}
	if !tracker.ObserveRevision("host-2", 3, start) || tracker.ObserveRevision("host-3", 3, start) {
		t.Error("more than one fetch at a time")
	}
	tracker.FetchFailed("host-2")
	if !tracker.ObserveRevision("host-3", 3, start) {
		t.Error("no fetch from another peer after a failure")
	}
	if !tracker.ObserveRevision("host-2", 3, start.Add(fetchTimeout)) {
		t.Error("no fetch after an unanswered fetch timed out")
	}
	if adopted, err := tracker.OfferPeer("host-2", newest.Record, start); !adopted || err != nil {
		t.Errorf("adopted %v, error %v", adopted, err)
	}
	if code := tracker.CheckGroup("find", start); code != dcreason.OK {
		t.Errorf("after the fetch: %s", code)
	}
}

// TestFreshness guards against a host that is cut off and keeps serving a group
// whose rule forbids it, or refuses one whose rule allows it.
func TestFreshness(t *testing.T) {
	revisions := newChain(t, 2)
	tracker := NewRevisionTracker()
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	if _, err := tracker.OfferStore([]dcstore.Record{recordOf(revisions[0])}, start); err != nil {
		t.Fatal(err)
	}
	expect := func(at int, find, grind dcreason.Code) {
		t.Helper()
		if got := tracker.CheckGroup("find", second(at)); got != find {
			t.Errorf("at %d s, refuse-after: got %s, want %s", at, got, find)
		}
		if got := tracker.CheckGroup("grind", second(at)); got != grind {
			t.Errorf("at %d s, serve: got %s, want %s", at, got, grind)
		}
	}
	expect(10, dcreason.OK, dcreason.OK)
	expect(11, dcreason.ConfigurationStale, dcreason.OK)
	tracker.ObserveRevision("host-2", 1, second(11))
	expect(21, dcreason.OK, dcreason.OK)
	tracker.ObserveRevision("host-2", 2, second(21))
	tracker.ObserveRevision("host-3", 1, second(22))
	expect(22, dcreason.ConfigurationStale, dcreason.OK)
	if _, err := tracker.OfferPeer("host-2", revisions[1].Record, second(23)); err != nil {
		t.Fatal(err)
	}
	tracker.ObserveRevision("host-3", 1, second(40))
	expect(33, dcreason.OK, dcreason.OK)
	expect(40, dcreason.ConfigurationStale, dcreason.OK)
	if got := tracker.CheckGroup("none", second(23)); got != dcreason.GroupUnknown {
		t.Errorf("unknown group: %s", got)
	}
}

// TestIsWatcher guards against a failure domain with no watcher or with more
// than two, for every number of members up to 40.
func TestIsWatcher(t *testing.T) {
	var members []Member
	for i := range 40 {
		members = append(members, Member{
			Host:          dcid.HostID(fmt.Sprintf("host-%d", i)),
			FailureDomain: dcid.FailureDomain(fmt.Sprintf("domain-%d", i%3)),
		})
		watchers := map[dcid.FailureDomain]int{}
		sizes := map[dcid.FailureDomain]int{}
		for _, member := range members {
			sizes[member.FailureDomain]++
			if IsWatcher(member.Host, members) {
				watchers[member.FailureDomain]++
			}
		}
		for domain, size := range sizes {
			if watchers[domain] != min(size, watchersPerDomain) {
				t.Errorf("%d members: %s has %d watchers of %d", i+1, domain, watchers[domain], size)
			}
		}
	}
	if !IsWatcher("stranger", members) {
		t.Error("a host outside the membership does not watch")
	}
}

func TestStatusAndExpiredRevisions(t *testing.T) {
	status := Status(3, []HostView{
		{Host: "host-2", Revision: 3, LastHeard: start},
		{Host: "host-1", Revision: 2, LastHeard: start.Add(-time.Minute)},
	}, []dcid.HostID{"host-1", "host-2", "host-9"}, start)
	if got := fmt.Sprint(status.GetHosts()[0].GetHostId(), status.GetHosts()[0].GetAgeMs(), status.GetNotHeardFrom()); got != "host-160000 [host-1 host-9]" {
		t.Errorf("status %s", got)
	}
	oldest := []dcstore.Record{{Key: Key(1)}, {Key: Key(2)}, {Key: Key(3)}}
	for newest, want := range map[dcid.Revision]int{1: 0, HistoryLength: 0, HistoryLength + 1: 1, HistoryLength + 50: 3} {
		if got := ExpiredRevisions(newest, oldest); len(got) != want {
			t.Errorf("newest %d: %d records pruned, want %d", newest, len(got), want)
		}
	}
}
