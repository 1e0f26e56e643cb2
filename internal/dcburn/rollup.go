package dcburn

import (
	"cmp"
	"time"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

// hostHour identifies one hour of one host. Hours are counted from the Unix
// epoch.
type hostHour struct {
	host string
	hour int64
}

// hourKey identifies the totals of one hour.
type hourKey struct {
	hostHour
	group, department string
}

// Totals are sums of the counters of rows.
type Totals struct {
	Requests uint64
	// Outcomes counts requests by outcome, Reasons by reason code.
	Outcomes map[string]uint64
	Reasons  map[string]uint64
	// Good counts the requests that met an objective, by the key of the
	// objective.
	Good map[string]uint64
}

func newTotals() *Totals {
	return &Totals{Outcomes: map[string]uint64{}, Reasons: map[string]uint64{}, Good: map[string]uint64{}}
}

func (t *Totals) addRow(row *peerv1.CounterRow) {
	t.Requests += uint64(row.GetRequests())
	addCounts(t.Outcomes, row.GetOutcomes())
	addCounts(t.Reasons, row.GetReasons())
	addCounts(t.Good, row.GetGood())
}

func (t *Totals) add(other *Totals) {
	t.Requests += other.Requests
	addCounts(t.Outcomes, other.Outcomes)
	addCounts(t.Reasons, other.Reasons)
	addCounts(t.Good, other.Good)
}

func addCounts[N uint32 | uint64](sums map[string]uint64, counts map[string]N) {
	for name, count := range counts {
		sums[name] += uint64(count)
	}
}

func (c *Counters) minuteRetention() time.Duration {
	return cmp.Or(c.MinuteRetention, defaultMinuteRetention)
}

// rollUp adds the rows of the minutes before rollupBoundary to the totals of
// their hours and deletes them. Each minute is rolled up once; Merge drops rows
// of it that arrive later.
func (c *Counters) rollUp(rollupBoundary int64) {
	if rollupBoundary <= c.rollupBoundary {
		return
	}
	c.rollUpCoverage(rollupBoundary)
	for key, row := range c.rows {
		if key.minute >= rollupBoundary {
			continue
		}
		if !row.GetComplete() {
			c.hour(key).addRow(row)
		}
		delete(c.rows, key)
		delete(c.minutes, key.minuteKey)
		for _, acknowledged := range c.acknowledged {
			delete(acknowledged, key)
		}
	}
	c.rollupBoundary = rollupBoundary
	c.deleteExpired()
}

// hour returns the totals of the hour, group and department of a row, and
// creates them if there are none.
func (c *Counters) hour(key rowKey) *Totals {
	hour := hourKey{hostHour{key.host, key.minute / minutesPerHour}, key.group, key.department}
	totals, ok := c.hours[hour]
	if !ok {
		totals = newTotals()
		c.hours[hour] = totals
	}
	return totals
}

// rollUpCoverage counts the covered minutes of each hour. It must run before
// their rows are deleted.
func (c *Counters) rollUpCoverage(rollupBoundary int64) {
	type hostMinute struct {
		host   string
		minute int64
	}
	counted := map[hostMinute]bool{}
	for key := range c.minutes {
		hostAndMinute := hostMinute{key.host, key.minute}
		if key.minute >= rollupBoundary || counted[hostAndMinute] {
			continue
		}
		counted[hostAndMinute] = true
		if c.minuteCovered(key.host, key.minute) {
			c.coveredMinutes[hostHour{key.host, key.minute / minutesPerHour}]++
		}
	}
}

// deleteExpired deletes the totals and coverage of hours past the hour
// retention, and processes without rows after the rollup boundary.
func (c *Counters) deleteExpired() {
	keepHours := int64(cmp.Or(c.HourRetention, defaultHourRetention) / time.Hour)
	oldestHour := c.rollupBoundary/minutesPerHour - keepHours
	for key := range c.hours {
		if key.hour < oldestHour {
			delete(c.hours, key)
		}
	}
	for key := range c.coveredMinutes {
		if key.hour < oldestHour {
			delete(c.coveredMinutes, key)
		}
	}
	for proc, lifetime := range c.lifetimes {
		if lifetime.last < c.rollupBoundary {
			delete(c.lifetimes, proc)
		}
	}
}

// minuteCovered reports whether all rows of a minute of a host are held. That is
// the case if at least one process has rows in the minute and all rows of each
// such process are held. A minute is also not covered if a process that is not
// known to have shut down cleanly was replaced in it, because that process may
// have counted requests in the minute too.
func (c *Counters) minuteCovered(host string, minute int64) bool {
	fullyHeld := false
	for proc, lifetime := range c.lifetimes {
		if proc.host != host {
			continue
		}
		state, known := c.minutes[minuteKey{proc, minute}]
		switch {
		case known && state.fullyHeld():
			fullyHeld = true
		case known:
			return false
		case lifetime.last < minute && !lifetime.stopped && c.replacedInMinute(proc, minute):
			return false
		}
	}
	return fullyHeld
}

// replacedInMinute reports whether a later process of the same host started in
// the minute, in which case proc may have run in it too.
func (c *Counters) replacedInMinute(proc hostProcess, minute int64) bool {
	for other := range c.lifetimes {
		started := minuteOf(time.Unix(0, other.incarnation))
		if other.host == proc.host && other.incarnation > proc.incarnation && started == minute {
			return true
		}
	}
	return false
}
