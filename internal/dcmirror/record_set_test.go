package dcmirror

import (
	"fmt"
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
