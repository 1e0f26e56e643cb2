// Package dcquota decides which requests are within the quotas of departments,
// which limit requests summed over all hosts. It opens no sockets and reads no
// clock. docs/design/quotas.md holds the arithmetic.
package dcquota

import (
	"math"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcdepartment"
)

const (
	// GrantTTL is the time after which a grant ends, from the sending of the call
	// that asked for it.
	GrantTTL = 250 * time.Millisecond
	// dispatchDelay is the time from the decision on a request to its start at a
	// server that the bound allows for, waits for room at the servers included.
	dispatchDelay = 500 * time.Millisecond
	// grantedShare is the share of the rate and of the burst that the granting host
	// gives out. The rest, with the allowance above the quota, is divided among the
	// hosts: it carries ordinary demand, which is below the quota, without a call and
	// while no host grants. The granting host serves what is uneven.
	grantedShare = 0.85
	// targetCapacity is the capacity of a bucket that refuses few of the requests that
	// arrive at random at somewhat less than its rate. Smaller buckets are deepened by
	// at most maxDepthShare of what the rate leaves.
	targetCapacity = 20
	maxDepthShare  = 0.45
	// maxQuota caps quotas, so that the arithmetic stays finite.
	maxQuota = 1e9
)

// Bound limits the requests of a department that run in any window, summed over
// all hosts, to (rate x window + burst) x (1 + Overage) + Slack.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Max returns the number of requests that may run in a window.
func (b Bound) Max(quota dcdepartment.Quota) float64 {
	return (quota.Rate*b.Window.Seconds()+quota.Burst)*(1+b.Overage) + b.Slack
}

// Split divides the bound of a quota.
type Split struct {
	// Rate and Capacity are those of the bucket of the granting host, in requests a
	// second and in requests.
	Rate     float64
	Capacity float64
	// Reserve is the number of requests in any window that the guaranteed shares of
	// all hosts add up to.
	Reserve int
}

// Split divides the bound of a limited quota between the granting host and the
// guaranteed shares. Together they stay within it, including grants that were
// issued up to GrantTTL before a window and requests that start late.
func (b Bound) Split(quota dcdepartment.Quota) Split {
	// Requests that run in a window were granted within exposure.
	quota.Rate, quota.Burst = min(quota.Rate, maxQuota), min(quota.Burst, maxQuota)
	exposure := (b.Window + GrantTTL + dispatchDelay).Seconds()
	total := b.Max(quota)
	rate := quota.Rate * grantedShare
	capacity := max(quota.Burst*grantedShare, min(targetCapacity, maxDepthShare*(total-rate*exposure)), min(1, math.Floor(total)))
	rate = max(min(rate, (total-capacity)/exposure), 0)
	reserve := math.Floor(max(total-capacity-rate*exposure, 0))
	if b.Overage == 0 && b.Slack == 0 {
		// Without an allowance the granting host gives out all that the rule allows.
		reserve = 0
		rate = max((total-capacity)/exposure, 0)
	}
	return Split{Rate: rate, Capacity: capacity, Reserve: int(min(reserve, math.MaxInt32))}
}

// elapsedAtMost returns the time from one moment to a later one, by the monotonic
// clock or by the time of day, whichever says more. The monotonic clock stands
// still while a machine is suspended.
func elapsedAtMost(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// elapsedAtLeast returns the time from one moment to a later one by the monotonic
// clock, which no step of the time of day extends, or 0.
func elapsedAtLeast(from, to time.Time) time.Duration { return max(to.Sub(from), 0) }
