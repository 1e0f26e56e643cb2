package dcquota

import (
	"math"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// maxRefusalTime limits how long this host follows a refusal without asking again.
// The granting host, or the quota, may have changed.
const maxRefusalTime = time.Second

// Account holds the grants of this host. The zero value is empty. It is not safe
// for concurrent use.
type Account struct {
	Counts  Counts
	entries map[dcid.Department]*entry
}

// Counts counts requests since the start of the process.
type Counts struct {
	// Granted requests were used, have ended unused, or are still held.
	Granted, Used, Ended int64
}

// Outcome is the outcome of Account.Take.
type Outcome int

// The outcomes of Account.Take.
const (
	// Taken means that the request may run.
	Taken Outcome = iota
	// Ask means that the granting host decides.
	Ask
	// OverQuota means that the request exceeds the quota.
	OverQuota
)

// Decision is the result of Account.Take.
type Decision struct {
	Outcome Outcome
	// Wanted is the number of requests to ask the granting host for, 0 for none. It
	// can be set with the outcome Taken, to ask before the grants run out.
	Wanted int
	// Delay is how long to wait if the request exceeds the quota.
	Delay time.Duration
}

// entry holds the grants of one department.
type entry struct {
	grants []grant
	// current and previous count the requests of two periods of GrantTTL, the
	// current of which began at slot.
	current, previous int
	slot              time.Time
	// refusedAt is the time of the last refusal, which holds for refusedFor.
	refusedAt  time.Time
	refusedFor time.Duration
}

type grant struct {
	count int
	// asked is the time at which the call was sent.
	asked    time.Time
	validFor time.Duration
}

// Take decides about a request.
func (a *Account) Take(department dcid.Department, now time.Time) Decision {
	e := a.entry(department)
	e.count(now)
	held := a.expire(e, now)
	wanted := e.ahead()
	if held == 0 {
		if left := e.refusedFor - elapsedAtLeast(e.refusedAt, now); left > 0 {
			return Decision{Outcome: OverQuota, Delay: left}
		}
		return Decision{Outcome: Ask, Wanted: wanted + 1}
	}
	a.use(e)
	held--
	if held > wanted/4 || e.refusedFor > elapsedAtLeast(e.refusedAt, now) {
		wanted = held
	}
	return Decision{Outcome: Taken, Wanted: wanted - held}
}

// TakeHeld uses a grant for a request that Take has counted before, if there is
// one.
func (a *Account) TakeHeld(department dcid.Department, now time.Time) bool {
	e := a.entry(department)
	if a.expire(e, now) == 0 {
		return false
	}
	a.use(e)
	return true
}

// Add adds a grant that was asked for at the given time and is valid for some time
// from then on.
func (a *Account) Add(department dcid.Department, count int, asked time.Time, validFor time.Duration) {
	if count <= 0 {
		return
	}
	a.Counts.Granted += int64(count)
	e := a.entry(department)
	e.grants = append(e.grants, grant{count: count, asked: asked, validFor: min(validFor, GrantTTL)})
	e.refusedFor = 0
}

// Refuse takes a refusal of the granting host.
func (a *Account) Refuse(department dcid.Department, delay time.Duration, now time.Time) {
	e := a.entry(department)
	e.refusedAt, e.refusedFor = now, min(delay, maxRefusalTime)
}

// Sweep drops grants that have ended and departments without requests.
func (a *Account) Sweep(now time.Time) {
	for department, e := range a.entries {
		idle := elapsedAtLeast(e.slot, now) >= 2*GrantTTL && elapsedAtLeast(e.refusedAt, now) >= e.refusedFor
		if a.expire(e, now) == 0 && idle {
			delete(a.entries, department)
		}
	}
}

func (a *Account) entry(department dcid.Department) *entry {
	e := a.entries[department]
	if e == nil {
		if a.entries == nil {
			a.entries = make(map[dcid.Department]*entry)
		}
		e = &entry{}
		a.entries[department] = e
	}
	return e
}

// expire drops grants that have ended and returns the number of requests left.
func (a *Account) expire(e *entry, now time.Time) (held int) {
	kept := e.grants[:0]
	for _, g := range e.grants {
		if elapsedAtMost(g.asked, now) >= g.validFor {
			a.Counts.Ended += int64(g.count)
			continue
		}
		kept = append(kept, g)
		held += g.count
	}
	e.grants = kept
	return held
}

// use uses a request of the oldest grant.
func (a *Account) use(e *entry) {
	a.Counts.Used++
	e.grants[0].count--
	if e.grants[0].count == 0 {
		e.grants = e.grants[1:]
	}
}

// count counts a request for ahead.
func (e *entry) count(now time.Time) {
	switch elapsed := elapsedAtLeast(e.slot, now); {
	case e.slot.IsZero() || elapsed >= 2*GrantTTL:
		e.slot, e.previous, e.current = now, 0, 0
	case elapsed >= GrantTTL:
		e.slot, e.previous, e.current = e.slot.Add(GrantTTL), e.current, 0
	}
	e.current++
}

// ahead returns how many requests to ask for before they arrive: those of the last
// full GrantTTL, less two standard deviations of a Poisson process. A grant that
// ends unused is lost to the department, and a host that sees it once in many
// seconds would waste each one.
func (e *entry) ahead() int {
	return max(int(float64(e.previous)-2*math.Sqrt(float64(e.previous))), 0)
}
