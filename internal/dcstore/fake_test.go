package dcstore_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// TestFakeOutage guards against calls that succeed, or keep blocking, during an
// outage.
func TestFakeOutage(t *testing.T) {
	ctx := context.Background()
	fake := dcstore.NewFake(clockwork.NewFakeClock())
	waited := make(chan error, 1)
	go func() {
		_, err := fake.Wait(ctx, "a", 0)
		waited <- err
	}()
	fake.SetFaults(func(f *dcstore.FakeFaults) { f.Outage = true })
	want(t, <-waited, dcstore.ErrUnavailable)
	_, err := fake.Get(ctx, "a")
	want(t, err, dcstore.ErrUnavailable)
	_, err = fake.CompareAndSwap(ctx, dcstore.Swap{Key: "a"})
	want(t, err, dcstore.ErrUnavailable)
	fake.SetFaults(func(f *dcstore.FakeFaults) { f.Outage = false })
	mustSwap(t, fake, "a", 0, 0)
}

// TestFakeLateWrite guards against a delayed write that is dropped when its
// context ends. In the real service it still takes effect.
func TestFakeLateWrite(t *testing.T) {
	clock := clockwork.NewFakeClock()
	fake := dcstore.NewFake(clock)
	fake.SetFaults(func(f *dcstore.FakeFaults) { f.Delay = time.Second })
	ctx, cancel := context.WithCancel(context.Background())
	swapped := make(chan error, 1)
	go func() {
		_, err := fake.CompareAndSwap(ctx, dcstore.Swap{Key: "a"})
		swapped <- err
	}()
	if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	cancel()
	want(t, <-swapped, dcstore.ErrUnknownOutcome)
	fake.SetFaults(func(f *dcstore.FakeFaults) { f.Delay = 0 })
	_, err := fake.Get(context.Background(), "a")
	want(t, err, dcstore.ErrNotFound)
	clock.Advance(time.Second)
	_, err = fake.Wait(context.Background(), "a", 0)
	want(t, err, nil)
}

// TestFakeStaleReads guards against a stale read that returns a newer change or
// hides an older one.
func TestFakeStaleReads(t *testing.T) {
	ctx := context.Background()
	fake := dcstore.NewFake(clockwork.NewFakeClock())
	first := mustSwap(t, fake, "a", 0, 0)
	seen := mustSwap(t, fake, "b", 0, 0)
	changed := mustSwap(t, fake, "a", first, 0)
	want(t, fake.Delete(ctx, "b", seen), nil)
	mustSwap(t, fake, "c", 0, 0)
	fake.SetFaults(func(f *dcstore.FakeFaults) { f.StaleAt = seen })
	records, err := fake.List(ctx, "", 0, false)
	want(t, err, nil)
	stale := []dcstore.Record{
		{Key: "a", Value: []byte("a"), Modified: first},
		{Key: "b", Value: []byte("b"), Modified: seen},
	}
	if diff := cmp.Diff(stale, records); diff != "" {
		t.Error(diff)
	}
	mustSwap(t, fake, "a", changed, 0)
}

// TestFakeConcurrentSwaps guards against two concurrent swaps of one key that
// both succeed, and against calls that are not counted.
func TestFakeConcurrentSwaps(t *testing.T) {
	const instances = 50
	fake := dcstore.NewFake(clockwork.NewFakeClock())
	wins := make(chan struct{}, instances)
	var group sync.WaitGroup
	for range instances {
		group.Go(func() {
			if _, err := fake.CompareAndSwap(context.Background(), dcstore.Swap{Key: "a"}); err == nil {
				wins <- struct{}{}
			}
		})
	}
	group.Wait()
	if len(wins) != 1 {
		t.Errorf("%d swaps succeeded, want 1", len(wins))
	}
	if diff := cmp.Diff(map[dcstore.Call]int{dcstore.CallCompareAndSwap: instances}, fake.Calls()); diff != "" {
		t.Error(diff)
	}
}
