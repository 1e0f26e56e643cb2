package dcmirror

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// keyObserver lists the keys of the records in the order in which it gets them.
type keyObserver struct {
	Observer
	keys []string
}

func (o *keyObserver) Put(record dcstore.Record) { o.keys = append(o.keys, record.Key) }

// TestOrderOfKeys guards against a host that has a configuration, and serves requests,
// before it has the records that precede it, because it took them from another host.
func TestOrderOfKeys(t *testing.T) {
	var records []dcstore.Record
	for i := range 50 {
		records = append(records, dcstore.Record{Key: fmt.Sprintf("key-%02d", i), Modified: 1})
	}
	random := rand.New(rand.NewPCG(4, 0))
	random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	observer := &keyObserver{}
	newRecordSet(observer, Lasting{}).replace(records, false, time.Unix(1_700_000_000, 0))
	if len(observer.keys) != len(records) || !slices.IsSorted(observer.keys) {
		t.Errorf("records in the order %v", observer.keys)
	}
}

// TestRemovalsOfOthers guards against a record that stays in use for as long as another
// host says, however long that is.
func TestRemovalsOfOthers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for remaining, want := range map[time.Duration]time.Duration{
		math.MinInt64: 0, -1: 0, 0: 0, 1: 1, time.Second: time.Second, math.MaxInt64: outageRemovalDelay,
	} {
		set := newRecordSet(&removalObserver{}, Lasting{})
		set.replace([]dcstore.Record{{Key: "k", Modified: 1}}, false, now)
		set.takeRemovals([]dcstore.Removal{{Key: "k", Position: dcstore.Position{Revision: 2}, Remaining: remaining}}, now)
		if at, ok := set.nextRemoval(); !ok || !at.Equal(now.Add(want)) {
			t.Errorf("%v remaining: removal after %v, want %v", remaining, at.Sub(now), want)
		}
	}
}

// removalObserver ignores all changes.
type removalObserver struct{ Observer }

func (*removalObserver) Put(dcstore.Record)    {}
func (*removalObserver) RemovalPending(string) {}
