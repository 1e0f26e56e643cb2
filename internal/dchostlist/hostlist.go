// Package dchostlist reads the platform's list of live and leaving hosts. The
// list is eventually consistent: it shows a change only after a delay.
package dchostlist

import "context"

// State is the state of a host in the list, the value of StateLabel.
type State string

// States of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is one entry of the list, for a host of the tier or for an upstream
// server.
type Host struct {
	// Address is the IP address and port.
	Address string
	State   State
}

// HostList reads the platform's list of hosts.
type HostList interface {
	// Fetch returns the current list.
	Fetch(ctx context.Context) ([]Host, error)
}
