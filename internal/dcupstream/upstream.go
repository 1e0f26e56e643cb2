// Package dcupstream is the edge to the upstream servers.
package dcupstream

import (
	"context"
	"time"

	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Label identifies a sub-query; a response must repeat it in full.
type Label struct {
	Request dcid.RequestID
	Service dcid.ServiceName
	Shard   dcid.ShardID
	Version dcid.IndexVersion
	Epoch   dcid.MapEpoch
	Attempt dcid.Attempt
}

// Search is one sub-query to one server.
type Search struct {
	Server dcid.ServerAddr
	Label  Label
	Schema dcid.SchemaVersion
	// Deadline is passed on as remaining time.
	Deadline time.Time
	Body     []byte
}

// Order is one order to one server.
type Order struct {
	Server     dcid.ServerAddr
	Request    dcid.RequestID
	Department dcid.Department
	Key        dcid.OrderKey
	Schema     dcid.SchemaVersion
	// Deadline after which the server does not start the order.
	Deadline time.Time
	Attempt  dcid.Attempt
	Body     []byte
}

// Response is what became of a Search or an Order.
type Response struct {
	// Label as repeated by the server; only set for searches that ran.
	Label Label
	Body  []byte
	// Outcome of the transmission: NotRun only with proof.
	Outcome dcreason.Outcome
	// Code is OK or says what went wrong.
	Code dcreason.Code
	// QueueTime is the time the request waited in the server, from
	// Server-Timing; negative when the server did not say.
	QueueTime time.Duration
	// NewConnection reports that a new connection was opened for the request.
	NewConnection bool
}

// Upstream sends requests to servers.
type Upstream interface {
	// Search runs one sub-query. Cancelling ctx cancels it at the server.
	Search(ctx context.Context, search Search) Response
	// Order runs one order, at most one transmission.
	Order(ctx context.Context, order Order) Response
	// OrderOutcome asks a server for an order by key. Outcome is Ran when the
	// server knows that it ran, Unknown otherwise.
	OrderOutcome(ctx context.Context, server dcid.ServerAddr, department dcid.Department, key dcid.OrderKey) Response
	// Status reads the server's own report, which may lag or mislead.
	Status(ctx context.Context, server dcid.ServerAddr) (*upstreamv1.Status, error)
}
