package dcupstream

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Fake is an Upstream for tests that calls its functions. Where a function is
// nil, searches and orders run with an empty body, OrderOutcome knows no order,
// and Status returns an error. It is safe for concurrent use.
type Fake struct {
	OnSearch       func(ctx context.Context, search Search) Response
	OnOrder        func(ctx context.Context, order Order) Response
	OnOrderOutcome func(ctx context.Context, server dcid.ServerAddr, department dcid.Department, key dcid.OrderKey) Response
	OnStatus       func(ctx context.Context, server dcid.ServerAddr) (*upstreamv1.Status, error)

	mu       sync.Mutex
	searches []Search
	orders   []Order
}

var _ Upstream = (*Fake)(nil)

// Search implements Upstream.
func (f *Fake) Search(ctx context.Context, search Search) Response {
	f.mu.Lock()
	f.searches = append(f.searches, search)
	f.mu.Unlock()
	if f.OnSearch == nil {
		return Response{Label: search.Label, Outcome: dcreason.Ran, Code: dcreason.OK, QueueTime: -1}
	}
	return f.OnSearch(ctx, search)
}

// Order implements Upstream.
func (f *Fake) Order(ctx context.Context, order Order) Response {
	f.mu.Lock()
	f.orders = append(f.orders, order)
	f.mu.Unlock()
	if f.OnOrder == nil {
		return Response{Outcome: dcreason.Ran, Code: dcreason.OK, QueueTime: -1}
	}
	return f.OnOrder(ctx, order)
}

// OrderOutcome implements Upstream.
func (f *Fake) OrderOutcome(ctx context.Context, server dcid.ServerAddr, department dcid.Department, key dcid.OrderKey) Response {
	if f.OnOrderOutcome == nil {
		return Response{Outcome: dcreason.Unknown, Code: dcreason.KeyUnknown, QueueTime: -1}
	}
	return f.OnOrderOutcome(ctx, server, department, key)
}

// Status implements Upstream.
func (f *Fake) Status(ctx context.Context, server dcid.ServerAddr) (*upstreamv1.Status, error) {
	if f.OnStatus == nil {
		return nil, eris.Errorf("no status for %s", server)
	}
	return f.OnStatus(ctx, server)
}

// Searches returns the searches sent so far, in order.
func (f *Fake) Searches() []Search {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Search(nil), f.searches...)
}

// Orders returns the orders sent so far, in order.
func (f *Fake) Orders() []Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Order(nil), f.orders...)
}
