package dcplacement

import "time"

const (
	// busyUse is the part of its processor time from which a host is busy, and idleUse
	// the part below which it no longer is. Requests wait for the processor from about
	// half of its time on, which a burst reaches before other hosts are added.
	busyUse = 0.35
	idleUse = 0.08
	// useWeight is the weight of a new sample in the moving average.
	useWeight = 0.5
	// minBusyTime is how long a host stays busy at least, so that a load that comes in
	// bursts does not change the list of hosts with each of them.
	minBusyTime = 20 * time.Second
)

// ProcessorUse decides whether a host is busy. It is not safe for concurrent use.
type ProcessorUse struct {
	// Cores is the number of processor cores that the host may use, 0 when unknown.
	// The host is never busy then.
	Cores float64

	used    time.Duration
	at      time.Time
	average float64
	busy    bool
	since   time.Time
}

// Sample takes the processor time that the process has used since its start, and
// returns whether the host is busy.
func (p *ProcessorUse) Sample(used time.Duration, now time.Time) (busy bool) {
	elapsed := now.Sub(p.at)
	if p.at.IsZero() || elapsed <= 0 || p.Cores <= 0 {
		p.used, p.at = used, now
		return p.busy
	}
	use := float64(used-p.used) / (float64(elapsed) * p.Cores)
	p.used, p.at = used, now
	p.average += useWeight * (use - p.average)
	switch {
	case !p.busy && p.average >= busyUse:
		p.busy, p.since = true, now
	case p.busy && p.average < idleUse && now.Sub(p.since) >= minBusyTime:
		p.busy = false
	}
	return p.busy
}

// Average returns the moving average of the part of its processor time that the host
// uses.
func (p *ProcessorUse) Average() float64 { return p.average }
