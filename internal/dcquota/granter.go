package dcquota

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcdepartment"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Granter gives out the quotas of the departments whose granting host this host
// is. It is not safe for concurrent use. Set the exported fields before the first
// call.
type Granter struct {
	Bound Bound
	Log   *zap.Logger

	buckets map[dcid.Department]*bucket
}

// bucket is the token bucket of one department.
type bucket struct {
	quota   dcdepartment.Quota
	split   Split
	tokens  float64
	updated time.Time
	// begun is the time at which this host became the granting host.
	begun time.Time
	// paused is set while another host is the granting host.
	paused bool
}

// Grant is the answer of the granting host.
type Grant struct {
	// Count is the number of requests that may run.
	Count int
	// Until is the time until which they may run, if Count is not 0.
	Until time.Time
	// RetryAfter is how long to wait before asking again, if Count is 0.
	RetryAfter time.Duration
}

// maxRetryAfter caps delays, so that the arithmetic stays finite.
const maxRetryAfter = time.Hour

// Grant grants at most wanted requests of a department with a limited quota, whose
// granting host this host is by its place. The bucket was empty when it became that,
// because an earlier granting host may have spent all of it.
func (g *Granter) Grant(department *dcdepartment.Department, wanted int, place Place, now time.Time) Grant {
	b := g.bucket(department, place, now)
	if b.paused {
		b.paused = false
		g.Log.Info("quota granted by this host again", zap.String("department", string(department.Name)))
	}
	b.refill(now)
	if count := min(wanted, int(min(b.tokens, math.MaxInt32))); count > 0 {
		b.tokens -= float64(count)
		return Grant{Count: count, Until: now.Add(GrantTTL)}
	}
	return Grant{RetryAfter: b.untilNext()}
}

// bucket returns the bucket of a department by its present quota.
func (g *Granter) bucket(department *dcdepartment.Department, place Place, now time.Time) *bucket {
	begun := place.Begun
	b := g.buckets[department.Name]
	if b == nil || begun.After(b.begun) {
		b = &bucket{quota: department.Quota, split: g.Bound.Split(department.Quota), updated: begun, begun: begun}
		if g.buckets == nil {
			g.buckets = make(map[dcid.Department]*bucket)
		}
		g.buckets[department.Name] = b
		g.Log.Info("quota granted by this host", zap.String("department", string(department.Name)), zap.Duration("since", elapsedAtLeast(begun, now)),
			zap.Float64("rate", b.split.Rate), zap.Float64("capacity", b.split.Capacity), zap.Int("reserve", b.split.Reserve))
	}
	if b.quota != department.Quota {
		b.refill(now)
		b.quota, b.split = department.Quota, g.Bound.Split(department.Quota)
		b.tokens = min(b.tokens, b.split.Capacity)
		g.Log.Info("quota changed", zap.String("department", string(department.Name)),
			zap.Float64("rate", b.split.Rate), zap.Float64("capacity", b.split.Capacity), zap.Int("reserve", b.split.Reserve))
	}
	return b
}

// Pause is called when this host is not the granting host of a department. The
// bucket stays: a new one would be full of what was spent.
func (g *Granter) Pause(department dcid.Department) {
	if b := g.buckets[department]; b != nil && !b.paused {
		b.paused = true
		g.Log.Info("quota no longer granted by this host", zap.String("department", string(department)))
	}
}

// Retain drops the buckets of departments that keep rejects, such as those whose
// limit was removed.
func (g *Granter) Retain(keep func(department dcid.Department) bool) {
	for name := range g.buckets {
		if !keep(name) {
			delete(g.buckets, name)
			g.Log.Info("quota dropped, the department has no limit", zap.String("department", string(name)))
		}
	}
}

// Serving returns the number of departments that this host grants quotas of.
func (g *Granter) Serving() int { return len(g.buckets) }

func (b *bucket) refill(now time.Time) {
	if now.After(b.updated) {
		b.tokens = min(b.tokens+b.split.Rate*now.Sub(b.updated).Seconds(), b.split.Capacity)
		b.updated = now
	}
}

// untilNext returns how long it takes until the bucket holds a request.
func (b *bucket) untilNext() time.Duration {
	if b.split.Rate <= 0 || b.split.Capacity < 1 {
		return maxRetryAfter
	}
	return time.Duration(min((1-b.tokens)/b.split.Rate*float64(time.Second), float64(maxRetryAfter)))
}
