package dcstore_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// TestContract guards against a Client or a Fake that differs from the
// documentation of Store. The same steps run on both.
func TestContract(t *testing.T) {
	steps := map[string]func(*testing.T, dcstore.Store, *clockwork.FakeClock){
		"swap":           testSwap,
		"list":           testList,
		"delete":         testDelete,
		"lease expiry":   testLeaseExpiry,
		"lease revoke":   testLeaseRevoke,
		"wait":           testWait,
		"value too long": testValueTooLong,
	}
	for name, step := range steps {
		t.Run("fake/"+name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			step(t, dcstore.NewFake(clock), clock)
		})
		t.Run("client/"+name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			server := httptest.NewServer(dcstandin.NewGateway(dcstore.NewFake(clock)))
			defer server.Close()
			client := dcstore.NewClient([]string{server.URL + "/"}, time.Minute, "tier/")
			defer client.Close()
			step(t, client, clock)
		})
	}
}

func mustSwap(t *testing.T, store dcstore.Store, key string, expected dcstore.Revision, lease dcstore.LeaseID) dcstore.Revision {
	t.Helper()
	revision, err := store.CompareAndSwap(context.Background(), dcstore.Swap{Key: key, Expected: expected, Value: []byte(key), Lease: lease})
	if err != nil {
		t.Fatalf("swap %s: %v", key, err)
	}
	return revision
}

func want(t *testing.T, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Errorf("error is %v, want %v", err, target)
	}
}

func testSwap(t *testing.T, store dcstore.Store, _ *clockwork.FakeClock) {
	ctx := context.Background()
	_, err := store.Get(ctx, "a")
	want(t, err, dcstore.ErrNotFound)
	first := mustSwap(t, store, "a", 0, 0)
	_, err = store.CompareAndSwap(ctx, dcstore.Swap{Key: "a", Value: []byte("late")})
	want(t, err, dcstore.ErrConflict)
	mustSwap(t, store, "b", 0, 0)
	second := mustSwap(t, store, "a", first, 0)
	_, err = store.CompareAndSwap(ctx, dcstore.Swap{Key: "a", Expected: first})
	want(t, err, dcstore.ErrConflict)
	record, err := store.Get(ctx, "a")
	want(t, err, nil)
	if diff := cmp.Diff(dcstore.Record{Key: "a", Value: []byte("a"), Modified: second}, record); diff != "" {
		t.Error(diff)
	}
}

func testList(t *testing.T, store dcstore.Store, _ *clockwork.FakeClock) {
	for _, key := range []string{"x/3", "x/1", "y/9", "x/2"} {
		mustSwap(t, store, key, 0, 0)
	}
	cases := []struct {
		prefix     string
		limit      int
		descending bool
		want       []string
	}{
		{"x/", 0, false, []string{"x/1", "x/2", "x/3"}},
		{"x/", 2, true, []string{"x/3", "x/2"}},
		{"", 0, false, []string{"x/1", "x/2", "x/3", "y/9"}},
		{"z/", 0, false, nil},
	}
	for _, c := range cases {
		records, err := store.List(context.Background(), c.prefix, c.limit, c.descending)
		want(t, err, nil)
		var keys []string
		for _, record := range records {
			keys = append(keys, record.Key)
		}
		if diff := cmp.Diff(c.want, keys); diff != "" {
			t.Errorf("list %q: %s", c.prefix, diff)
		}
	}
}

func testDelete(t *testing.T, store dcstore.Store, _ *clockwork.FakeClock) {
	ctx := context.Background()
	want(t, store.Delete(ctx, "a", 7), dcstore.ErrNotFound)
	revision := mustSwap(t, store, "a", 0, 0)
	want(t, store.Delete(ctx, "a", revision+1), dcstore.ErrConflict)
	if store.Delete(ctx, "a", 0) == nil {
		t.Error("Delete without an expected revision succeeded")
	}
	want(t, store.Delete(ctx, "a", revision), nil)
	_, err := store.Get(ctx, "a")
	want(t, err, dcstore.ErrNotFound)
}

func testLeaseExpiry(t *testing.T, store dcstore.Store, clock *clockwork.FakeClock) {
	ctx := context.Background()
	lease, err := store.GrantLease(ctx, 10*time.Second)
	want(t, err, nil)
	mustSwap(t, store, "a", 0, lease)
	clock.Advance(9 * time.Second)
	want(t, store.KeepAlive(ctx, lease), nil)
	clock.Advance(9 * time.Second)
	_, err = store.Get(ctx, "a")
	want(t, err, nil)
	clock.Advance(time.Second)
	_, err = store.Get(ctx, "a")
	want(t, err, dcstore.ErrNotFound)
	want(t, store.KeepAlive(ctx, lease), dcstore.ErrLeaseExpired)
	_, err = store.CompareAndSwap(ctx, dcstore.Swap{Key: "b", Lease: lease})
	want(t, err, dcstore.ErrLeaseExpired)
}

func testLeaseRevoke(t *testing.T, store dcstore.Store, _ *clockwork.FakeClock) {
	ctx := context.Background()
	lease, err := store.GrantLease(ctx, time.Second)
	want(t, err, nil)
	mustSwap(t, store, "a", 0, lease)
	want(t, store.Revoke(ctx, lease), nil)
	_, err = store.Get(ctx, "a")
	want(t, err, dcstore.ErrNotFound)
	want(t, store.Revoke(ctx, lease), dcstore.ErrLeaseExpired)
}

func testWait(t *testing.T, store dcstore.Store, clock *clockwork.FakeClock) {
	ctx := context.Background()
	first := mustSwap(t, store, "x/a", 0, 0)
	mustSwap(t, store, "y/a", 0, 0)
	revision, err := store.Wait(ctx, "x/", first-1)
	want(t, err, nil)
	if revision != first {
		t.Errorf("change at %d, want %d", revision, first)
	}
	changes := make(chan dcstore.Revision, 1)
	go func() {
		revision, _ := store.Wait(ctx, "x/", first)
		changes <- revision
	}()
	lease, err := store.GrantLease(ctx, time.Second)
	want(t, err, nil)
	second := mustSwap(t, store, "x/b", 0, lease)
	if revision := <-changes; revision != second {
		t.Errorf("change at %d, want %d", revision, second)
	}
	clock.Advance(time.Second)
	if revision, err := store.Wait(ctx, "x/", second); err != nil || revision <= second {
		t.Errorf("lease expiry not reported: revision %d, error %v", revision, err)
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = store.Wait(cancelled, "none/", 0)
	want(t, err, dcstore.ErrUnavailable)
}

func testValueTooLong(t *testing.T, store dcstore.Store, _ *clockwork.FakeClock) {
	_, err := store.CompareAndSwap(context.Background(), dcstore.Swap{Key: "a", Value: make([]byte, dcstore.MaxValueBytes+1)})
	if err == nil || errors.Is(err, dcstore.ErrUnavailable) || errors.Is(err, dcstore.ErrUnknownOutcome) {
		t.Errorf("error is %v, want one for the value size, which is neither ErrUnavailable nor ErrUnknownOutcome", err)
	}
	_, err = store.CompareAndSwap(context.Background(), dcstore.Swap{Key: "a", Value: make([]byte, dcstore.MaxValueBytes)})
	want(t, err, nil)
}
