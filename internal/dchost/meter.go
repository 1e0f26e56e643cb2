package dchost

import (
	"context"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// meter holds the metrics of a host.
type meter struct {
	scope              tally.Scope
	subQueries         tally.Counter
	hedges             tally.Counter
	retries            tally.Counter
	restarts           tally.Counter
	droppedResponses   tally.Counter
	extraLoadDenied    tally.Counter
	suspicions         tally.Counter
	dials              tally.Counter
	refusedConnections tally.Counter
	adoptions          tally.Counter
	connections        tally.Gauge
	revision           tally.Gauge
	queueWait          tally.Timer
}

func newMeter(scope tally.Scope) *meter {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &meter{
		scope:              scope,
		subQueries:         scope.Counter("sub_queries"),
		hedges:             scope.Counter("hedges"),
		retries:            scope.Counter("retries"),
		restarts:           scope.Counter("query_restarts"),
		droppedResponses:   scope.Counter("dropped_responses"),
		extraLoadDenied:    scope.Counter("extra_load_denied"),
		suspicions:         scope.Counter("suspicions"),
		dials:              scope.Counter("upstream_dials"),
		refusedConnections: scope.Counter("upstream_connections_refused"),
		adoptions:          scope.Counter("configurations_adopted"),
		connections:        scope.Gauge("upstream_connections"),
		revision:           scope.Gauge("configuration_revision"),
		queueWait:          scope.Timer("queue_wait"),
	}
}

// request records a finished request.
func (m *meter) request(kind string, outcome dcreason.Outcome, code dcreason.Code, elapsed time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"kind": kind, "outcome": string(outcome), "reason": string(code)})
	tagged.Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"kind": kind}).Timer("request_latency").Record(elapsed)
}

// countingStore is a Store that counts calls by kind and result.
type countingStore struct {
	store dcstore.Store
	meter *meter
}

var _ dcstore.Store = (*countingStore)(nil)

func (s *countingStore) count(call dcstore.Call, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	s.meter.scope.Tagged(map[string]string{"call": string(call), "result": result}).Counter("store_calls").Inc(1)
}

// Get implements dcstore.Store.
func (s *countingStore) Get(ctx context.Context, key string) (record dcstore.Record, err error) {
	defer func() { s.count(dcstore.CallGet, err) }()
	return s.store.Get(ctx, key)
}

// List implements dcstore.Store.
func (s *countingStore) List(ctx context.Context, prefix string, limit int, descending bool) (records []dcstore.Record, err error) {
	defer func() { s.count(dcstore.CallList, err) }()
	return s.store.List(ctx, prefix, limit, descending)
}

// CompareAndSwap implements dcstore.Store.
func (s *countingStore) CompareAndSwap(ctx context.Context, swap dcstore.Swap) (modified dcstore.Revision, err error) {
	defer func() { s.count(dcstore.CallCompareAndSwap, err) }()
	return s.store.CompareAndSwap(ctx, swap)
}

// Delete implements dcstore.Store.
func (s *countingStore) Delete(ctx context.Context, key string, expected dcstore.Revision) (err error) {
	defer func() { s.count(dcstore.CallDelete, err) }()
	return s.store.Delete(ctx, key, expected)
}

// Wait implements dcstore.Store.
func (s *countingStore) Wait(ctx context.Context, prefix string, after dcstore.Revision) (revision dcstore.Revision, err error) {
	defer func() { s.count(dcstore.CallWait, err) }()
	return s.store.Wait(ctx, prefix, after)
}

// GrantLease implements dcstore.Store.
func (s *countingStore) GrantLease(ctx context.Context, lifetime time.Duration) (lease dcstore.LeaseID, err error) {
	defer func() { s.count(dcstore.CallGrantLease, err) }()
	return s.store.GrantLease(ctx, lifetime)
}

// KeepAlive implements dcstore.Store.
func (s *countingStore) KeepAlive(ctx context.Context, lease dcstore.LeaseID) (err error) {
	defer func() { s.count(dcstore.CallKeepAlive, err) }()
	return s.store.KeepAlive(ctx, lease)
}

// Revoke implements dcstore.Store.
func (s *countingStore) Revoke(ctx context.Context, lease dcstore.LeaseID) (err error) {
	defer func() { s.count(dcstore.CallRevoke, err) }()
	return s.store.Revoke(ctx, lease)
}
