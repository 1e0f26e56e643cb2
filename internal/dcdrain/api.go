// Package dcdrain decides the stop sequence of this host.
package dcdrain

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Phase is a phase of the stop sequence.
type Phase string

// Phases, in order.
const (
	Serving   Phase = "serving"
	Leaving   Phase = "leaving"
	Finishing Phase = "finishing"
	Released  Phase = "released"
	Done      Phase = "done"
)

// Work is what the host still has to do.
type Work struct {
	InFlight int
	Held     int
}

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	Query  Kind = "query"
	Order  Kind = "order"
	Lookup Kind = "lookup"
)

// Drain is the stop sequence of one host.
type Drain struct {
	AddressLifetime, Allowance, StopTimeout time.Duration
}

func (d *Drain) Stop(now time.Time)                  { panic("todo") }
func (d *Drain) Withdraw() bool                      { panic("todo") }
func (d *Drain) Step(now time.Time, work Work) Phase { panic("todo") }
func (d *Drain) Phase() Phase                        { panic("todo") }
func (d *Drain) Ready() bool                         { panic("todo") }
func (d *Drain) Admit(kind Kind) dcreason.Code       { panic("todo") }
func (d *Drain) Forced() bool                        { panic("todo") }

// Gate lets hosts leave one at a time.
type Gate struct {
	Self     dcid.HostID
	Expected int
	MaxAway  int
	Override bool
}

func (g Gate) Check(hosts []dcmembership.Host) (away []dcid.HostID, ok bool) { panic("todo") }
func (g Gate) Yield(hosts []dcmembership.Host) bool                          { panic("todo") }
