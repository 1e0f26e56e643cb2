// Package dcupstream sends searches and orders to upstream servers over HTTP
// and classifies their outcome: whether the request ran, did not run, or may
// have run.
package dcupstream

import (
	"context"
	"time"

	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Label identifies a transmission of a sub-query. A response is accepted only if
// it repeats the whole label.
type Label struct {
	Request dcid.RequestID
	Service dcid.ServiceName
	Shard   dcid.ShardID
	Version dcid.IndexVersion
	Epoch   dcid.MapEpoch
	Attempt dcid.Attempt
}

// Search is one sub-query for one server.
type Search struct {
	Server dcid.ServerAddr
	Label  Label
	Schema dcid.SchemaVersion
	// Deadline is sent to the server as the remaining time.
	Deadline time.Time
	Body     []byte
}

// Order is one order for one server.
type Order struct {
	Server     dcid.ServerAddr
	Request    dcid.RequestID
	Department dcid.Department
	Key        dcid.OrderKey
	Schema     dcid.SchemaVersion
	// Deadline is the time after which the server does not start the order. It is
	// sent to the server as the remaining time.
	Deadline time.Time
	Attempt  dcid.Attempt
	Body     []byte
}

// Response is the result of a Search, an Order or an OrderOutcome.
type Response struct {
	// Label is the label of the response, only set for a search that was
	// answered with status 200.
	Label Label
	// Body is only set if Outcome is Ran.
	Body []byte
	// Outcome is the outcome of the transmission. It is NotRun only with proof
	// that the request did not run.
	Outcome dcreason.Outcome
	// Code is OK or the reason of the failure.
	Code dcreason.Code
	// QueueTime is the time for which the request was queued in the server, from
	// the Server-Timing header; negative when the server did not report it.
	QueueTime time.Duration
	// NewConnection reports that the request opened a connection.
	NewConnection bool
}

// Upstream sends requests to servers.
type Upstream interface {
	// Search sends one sub-query. Cancelling ctx cancels it on the server.
	Search(ctx context.Context, search Search) Response
	// Order sends one order, at most once.
	Order(ctx context.Context, order Order) Response
	// OrderOutcome asks a server for the order with a key. Outcome is Ran if the
	// server knows that the order ran, Unknown otherwise.
	OrderOutcome(ctx context.Context, server dcid.ServerAddr, department dcid.Department, key dcid.OrderKey) Response
	// Status reads the status that the server reports of itself, which may be
	// outdated or wrong.
	Status(ctx context.Context, server dcid.ServerAddr) (*upstreamv1.Status, error)
}
