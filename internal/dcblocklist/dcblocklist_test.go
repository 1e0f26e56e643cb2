package dcblocklist

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const testPrefix = "quarantines/"

// fixture is a list with its store.
type fixture struct {
	t     *testing.T
	store *dcstore.Fake
	list  *List

	mu     sync.Mutex
	merged []*peerv1.Suspicion
}

// play runs a list while a test uses it, in simulated time.
func play(t *testing.T, use func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, store: dcstore.NewFake(clockwork.NewRealClock())}
		f.list = &List{Registry: f.store, Prefix: testPrefix, MinLeaseTTL: time.Second, Merge: f.merge, Clock: clockwork.NewRealClock(), Log: zap.NewNop(), Scope: tally.NoopScope}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.list.Run(ctx) }()
		use(f)
		cancel()
		synctest.Wait()
	})
}

func (f *fixture) merge(suspicions []*peerv1.Suspicion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merged = append(f.merged, suspicions...)
}

// entry returns an entry that ends in ten minutes.
func entry(digest, state string) *peerv1.Suspicion {
	return &peerv1.Suspicion{Digest: digest, State: state, Servers: []string{"a:1", "b:1"}, UntilMs: time.Now().Add(10 * time.Minute).UnixMilli(), ChangedMs: time.Now().UnixMilli()}
}

// state returns the state in the record of a digest, empty if there is none.
func (f *fixture) state(digest string) string {
	f.t.Helper()
	record, err := f.store.Get(context.Background(), testPrefix+digest)
	if err != nil {
		return ""
	}
	held := &peerv1.Suspicion{}
	if err := proto.Unmarshal(record.Value, held); err != nil {
		f.t.Fatal(err)
	}
	return held.GetState()
}

// writes returns the number of records that were written, or tried.
func (f *fixture) writes() int { return f.store.Calls()[dcstore.CallCompareAndSwap] }

// TestWrites guards against a quarantine that is not in the store, or stays there after
// its end, against one that a host knows only from the store and writes again, and
// against a write for each suspicion.
func TestWrites(t *testing.T) {
	play(t, func(f *fixture) {
		f.list.Add([]*peerv1.Suspicion{entry("d", "suspected")})
		time.Sleep(time.Second)
		if writes := f.writes(); writes > 0 {
			t.Errorf("%d writes for a suspicion", writes)
		}
		f.list.Add([]*peerv1.Suspicion{entry("d", "quarantined"), entry("e", "cleared")})
		time.Sleep(time.Second)
		if f.state("d") != "quarantined" || f.state("e") != "" || f.writes() != 1 {
			t.Errorf("states %q and %q after %d writes, want the quarantine after one", f.state("d"), f.state("e"), f.writes())
		}
		f.list.Add([]*peerv1.Suspicion{entry("d", "cleared")})
		time.Sleep(time.Second)
		if f.state("d") != "cleared" {
			t.Errorf("state %q of a quarantine that was lifted", f.state("d"))
		}
		time.Sleep(10 * time.Minute)
		if f.state("d") != "" {
			t.Error("the record is there after the end of the quarantine")
		}
	})
}

// TestStoreAway guards against a quarantine that is lost because the store was away, or
// lost an answer, when it began, and against frequent calls to a store that is away.
func TestStoreAway(t *testing.T) {
	play(t, func(f *fixture) {
		f.store.SetFaults(func(faults *dcstore.FakeFaults) { faults.Outage = true })
		f.list.Add([]*peerv1.Suspicion{entry("d", "quarantined")})
		time.Sleep(time.Minute)
		if calls := f.store.Calls()[dcstore.CallGrantLease]; calls > 20 {
			t.Errorf("%d calls in a minute to a store that is away", calls)
		}
		f.store.SetFaults(func(faults *dcstore.FakeFaults) { faults.Outage = false; faults.LoseReplies = 2 })
		time.Sleep(20 * time.Second)
		if f.state("d") != "quarantined" {
			t.Error("the quarantine is not in the store after its return")
		}
		writes := f.writes()
		time.Sleep(20 * time.Second)
		if f.writes() > writes {
			t.Error("the record is written again and again")
		}
	})
}

// TestStoreAwayUntilEnd guards against a record for a quarantine that has ended.
func TestStoreAwayUntilEnd(t *testing.T) {
	play(t, func(f *fixture) {
		f.store.SetFaults(func(faults *dcstore.FakeFaults) { faults.Outage = true })
		f.list.Add([]*peerv1.Suspicion{entry("d", "quarantined")})
		time.Sleep(11 * time.Minute)
		f.store.SetFaults(func(faults *dcstore.FakeFaults) { faults.Outage = false })
		time.Sleep(time.Minute)
		if f.writes() > 0 {
			t.Error("a quarantine was written after its end")
		}
	})
}

// TestLostRecord guards against a quarantine that the store has lost, because its leases
// ended in an outage or because it was restored from an older copy.
func TestLostRecord(t *testing.T) {
	for name, lose := range map[string]func(f *fixture){
		"lease ended":    func(f *fixture) { f.list.RemovalPending(testPrefix + "d"); f.list.Remove(testPrefix + "d") },
		"store restored": func(f *fixture) { f.list.Restored() },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(f *fixture) {
				f.list.Add([]*peerv1.Suspicion{entry("d", "quarantined")})
				time.Sleep(time.Second)
				record, err := f.store.Get(context.Background(), testPrefix+"d")
				if err != nil {
					t.Fatal(err)
				}
				f.list.Put(record)
				if err := f.store.Delete(context.Background(), record.Key, record.Modified); err != nil {
					t.Fatal(err)
				}
				lose(f)
				time.Sleep(time.Second)
				if f.state("d") != "quarantined" {
					t.Error("the quarantine is not in the store")
				}
			})
		})
	}
}

// TestTwoWriters guards against two hosts that write the record of one request in turn
// without end.
func TestTwoWriters(t *testing.T) {
	play(t, func(f *fixture) {
		value, err := proto.Marshal(entry("d", "quarantined"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.CompareAndSwap(context.Background(), dcstore.Swap{Key: testPrefix + "d", Value: value}); err != nil {
			t.Fatal(err)
		}
		f.list.Add([]*peerv1.Suspicion{entry("d", "quarantined")})
		time.Sleep(time.Minute)
		if writes := f.writes(); writes > 3 {
			t.Errorf("%d writes, want one of the other host, a conflict and one more", writes)
		}
	})
}

// TestManyQuarantines guards against a store that is filled with quarantines, and against
// more calls to it than a few a second.
func TestManyQuarantines(t *testing.T) {
	play(t, func(f *fixture) {
		for i := range 2 * MaxRecords {
			f.list.Add([]*peerv1.Suspicion{entry(fmt.Sprint(i), "quarantined")})
		}
		time.Sleep(time.Second)
		if writes := f.writes(); writes > 11 {
			t.Errorf("%d writes in a second", writes)
		}
		time.Sleep(time.Minute)
		f.list.Add([]*peerv1.Suspicion{entry("one more", "quarantined")})
		time.Sleep(time.Minute)
		if writes := f.writes(); writes != MaxRecords {
			t.Errorf("%d writes, want %d", writes, MaxRecords)
		}
	})
}

// TestPut guards against a record of another writer that puts a request into quarantine,
// and against one that the engine does not get.
func TestPut(t *testing.T) {
	valid := entry("d", "quarantined")
	for name, c := range map[string]struct {
		key   string
		value func() []byte
		want  int
	}{
		"quarantine":      {key: "d", value: func() []byte { return marshal(t, valid) }, want: 1},
		"lifted":          {key: "d", value: func() []byte { return marshal(t, entry("d", "cleared")) }, want: 1},
		"suspicion":       {key: "d", value: func() []byte { return marshal(t, entry("d", "suspected")) }},
		"unknown state":   {key: "d", value: func() []byte { return marshal(t, entry("d", "x")) }},
		"another request": {key: "e", value: func() []byte { return marshal(t, valid) }},
		"no message":      {key: "d", value: func() []byte { return []byte(strings.Repeat("\xff", 9)) }},
		"empty":           {key: "d", value: func() []byte { return nil }},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(f *fixture) {
				f.list.Put(dcstore.Record{Key: testPrefix + c.key, Value: c.value(), Modified: 5})
				if len(f.merged) != c.want {
					t.Errorf("%d entries taken, want %d", len(f.merged), c.want)
				}
			})
		})
	}
}

func marshal(t *testing.T, message proto.Message) []byte {
	t.Helper()
	value, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
