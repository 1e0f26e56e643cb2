// Package dcdrain decides the stop sequence of this host, so that a planned
// stop interrupts no request.
package dcdrain

import (
	"cmp"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Phase is a phase of the stop sequence.
type Phase string

// Phases, in order.
const (
	// Serving accepts everything.
	Serving Phase = "serving"
	// Leaving is out of address answers and not ready, but accepts everything,
	// since callers still use earlier answers.
	Leaving Phase = "leaving"
	// Finishing accepts lookups and completes what runs.
	Finishing Phase = "finishing"
	// Released has no work left and gives back ledger partitions, seat and
	// lease.
	Released Phase = "released"
	// Done may exit.
	Done Phase = "done"
)

const (
	defaultAddressLifetime = 5 * time.Second
	defaultAllowance       = 2 * time.Second
	defaultStopTimeout     = 60 * time.Second
)

// Work is what the host still has to do.
type Work struct {
	// InFlight is the number of requests that run or wait.
	InFlight int
	// HeldResources is the number of ledger partitions, seats and leases not yet given
	// back.
	HeldResources int
}

// RequestKind is a kind of request.
type RequestKind string

// Kinds of requests.
const (
	Query  RequestKind = "query"
	Order  RequestKind = "order"
	Lookup RequestKind = "lookup"
)

// Drain is the stop sequence of one host.
type Drain struct {
	// AddressLifetime is the lifetime of address answers.
	AddressLifetime time.Duration
	// Allowance is added to it, for callers that ask while the news that this
	// host leaves still spreads, and for answers under way.
	Allowance time.Duration
	// StopTimeout bounds the whole sequence, from Stop to Done.
	StopTimeout time.Duration

	phase   Phase
	stopped time.Time
	forced  bool
}

// Stop starts the sequence. Further calls have no effect.
func (d *Drain) Stop(now time.Time) {
	if d.Phase() != Serving {
		return
	}
	d.phase = Leaving
	d.stopped = now
}

// CancelStop returns to serving, when another host leaves first; see Gate.Yield.
// It reports false when new requests have already been refused.
func (d *Drain) CancelStop() bool {
	if d.phase != Leaving {
		return false
	}
	d.phase = Serving
	return true
}

// Advance moves on as far as time and work allow and returns the phase.
func (d *Drain) Advance(now time.Time, work Work) Phase {
	for d.advancePhase(now, work) {
	}
	return d.Phase()
}

func (d *Drain) advancePhase(now time.Time, work Work) bool {
	elapsed := now.Sub(d.stopped)
	late := elapsed >= cmp.Or(d.StopTimeout, defaultStopTimeout)
	accepted := cmp.Or(d.AddressLifetime, defaultAddressLifetime) + cmp.Or(d.Allowance, defaultAllowance)
	switch d.phase {
	case Leaving:
		return d.enterPhase(Finishing, elapsed >= accepted, late)
	case Finishing:
		return d.enterPhase(Released, work.InFlight == 0, late)
	case Released:
		return d.enterPhase(Done, work.HeldResources == 0, late)
	default:
		return false
	}
}

func (d *Drain) enterPhase(next Phase, ready, late bool) bool {
	if !ready && !late {
		return false
	}
	d.forced = d.forced || !ready
	d.phase = next
	return true
}

// Phase returns the current phase.
func (d *Drain) Phase() Phase {
	return cmp.Or(d.phase, Serving)
}

// Forced reports that the stop timeout cut a phase short.
func (d *Drain) Forced() bool {
	return d.forced
}

// Ready is the answer of the readiness endpoint, and whether the host is in
// address answers.
func (d *Drain) Ready() bool {
	return d.Phase() == Serving
}

// Admit returns OK, or the reason for which a new request is refused as
// not-run.
func (d *Drain) Admit(kind RequestKind) dcreason.Code {
	switch d.Phase() {
	case Serving, Leaving:
		return dcreason.OK
	case Finishing:
		if kind == Lookup {
			return dcreason.OK
		}
	}
	return dcreason.HostStopping
}
