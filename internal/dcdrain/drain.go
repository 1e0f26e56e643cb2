// Package dcdrain implements the stop sequence of this host, so that a planned
// stop interrupts no request. It also limits how many hosts of a rolling
// restart are unavailable at once.
package dcdrain

import (
	"cmp"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Phase is a phase of the stop sequence.
type Phase string

// Phases of the stop sequence, in order.
const (
	// Serving accepts all requests.
	Serving Phase = "serving"
	// Leaving is not ready and no longer in address answers, but accepts all
	// requests, since callers still use earlier answers.
	Leaving Phase = "leaving"
	// Finishing accepts only lookups and completes the running requests.
	Finishing Phase = "finishing"
	// Released has no requests left and gives back ledger partitions, seat and
	// lease.
	Released Phase = "released"
	// Done means that the process may exit.
	Done Phase = "done"
)

const (
	defaultAddressLifetime = 5 * time.Second
	defaultAllowance       = 2 * time.Second
	defaultStopTimeout     = 60 * time.Second
)

// Work is the work that the host has left.
type Work struct {
	// InFlight is the number of running and waiting requests.
	InFlight int
	// HeldResources is the number of ledger partitions, seats and leases that
	// have not been given back.
	HeldResources int
}

// RequestKind is the kind of a request.
type RequestKind string

// Request kinds.
const (
	Query  RequestKind = "query"
	Order  RequestKind = "order"
	Lookup RequestKind = "lookup"
)

// Drain is the stop sequence of one host. It is not safe for concurrent use.
type Drain struct {
	// AddressLifetime is the lifetime of address answers; 0 means 5 s.
	AddressLifetime time.Duration
	// Allowance is added to AddressLifetime, for callers that request addresses
	// before all hosts know that this host is leaving, and for answers in
	// transit; 0 means 2 s.
	Allowance time.Duration
	// StopTimeout bounds the whole sequence, from Stop to Done; 0 means 60 s.
	StopTimeout time.Duration

	phase Phase
	// stopped is the time at which Stop was called.
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

// CancelStop returns to Serving because another host leaves first; see
// Gate.MustYield. It reports false when the host has already left the Leaving
// phase and refuses new requests, or when it is not stopping.
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

// advancePhase enters the next phase if its condition is met, and reports
// whether it did.
func (d *Drain) advancePhase(now time.Time, work Work) bool {
	elapsed := now.Sub(d.stopped)
	timedOut := elapsed >= cmp.Or(d.StopTimeout, defaultStopTimeout)
	leavingTime := cmp.Or(d.AddressLifetime, defaultAddressLifetime) + cmp.Or(d.Allowance, defaultAllowance)
	switch d.phase {
	case Leaving:
		return d.enterPhase(Finishing, elapsed >= leavingTime, timedOut)
	case Finishing:
		return d.enterPhase(Released, work.InFlight == 0, timedOut)
	case Released:
		return d.enterPhase(Done, work.HeldResources == 0, timedOut)
	default:
		return false
	}
}

// enterPhase enters the next phase when the work of the current one is complete
// or the stop timeout has passed.
func (d *Drain) enterPhase(next Phase, ready, timedOut bool) bool {
	if !ready && !timedOut {
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

// Forced reports whether the stop timeout cut a phase short.
func (d *Drain) Forced() bool {
	return d.forced
}

// Ready reports whether the readiness endpoint answers ready and the host is
// included in address answers.
func (d *Drain) Ready() bool {
	return d.Phase() == Serving
}

// Admit returns OK, or the reason code with which a new request is refused as
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
