// Package dchostlist is the edge to the platform's list of live and leaving
// hosts. The list lags.
package dchostlist

import "context"

// State is the state of a host in the list.
type State string

// States of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is one entry of the list, for a host of the tier or an upstream server.
type Host struct {
	// Address is an IP address and port.
	Address string
	State   State
}

// HostList reads the platform's list.
type HostList interface {
	// Fetch returns the current list.
	Fetch(ctx context.Context) ([]Host, error)
}
