package dcburn

import (
	"cmp"
	"time"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

// hostHour is one hour of one host.
type hostHour struct {
	host string
	hour int64
}

type hourKey struct {
	hostHour
	group, department string
}

// Totals are sums over rows.
type Totals struct {
	Requests uint64
	Outcomes map[string]uint64
	Reasons  map[string]uint64
	Good     map[string]uint64
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

// rollUp sums the rows of minutes before horizon into hours. Each minute is folded
// once, and rows that arrive for it later are refused.
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

func (c *Counters) hour(key rowKey) *Totals {
	hour := hourKey{hostHour{key.host, key.minute / minutesPerHour}, key.group, key.department}
	totals, ok := c.hours[hour]
	if !ok {
		totals = newTotals()
		c.hours[hour] = totals
	}
	return totals
}

// rollUpCoverage counts the covered minutes of each hour before their rows go.
func (c *Counters) rollUpCoverage(rollupBoundary int64) {
	type hostMinute struct {
		host   string
		minute int64
	}
	done := map[hostMinute]bool{}
	for key := range c.minutes {
		at := hostMinute{key.host, key.minute}
		if key.minute >= rollupBoundary || done[at] {
			continue
		}
		done[at] = true
		if c.minuteCovered(key.host, key.minute) {
			c.coveredMinutes[hostHour{key.host, key.minute / minutesPerHour}]++
		}
	}
}

func (c *Counters) deleteExpired() {
	keep := int64(cmp.Or(c.HourRetention, defaultHourRetention) / time.Hour)
	oldest := c.rollupBoundary/minutesPerHour - keep
	for key := range c.hours {
		if key.hour < oldest {
			delete(c.hours, key)
		}
	}
	for key := range c.coveredMinutes {
		if key.hour < oldest {
			delete(c.coveredMinutes, key)
		}
	}
	for run, life := range c.lifetimes {
		if life.last < c.rollupBoundary {
			delete(c.lifetimes, run)
		}
	}
}

// minuteCovered reports that all rows of a host's minute are held: every
// process that is known in it has ended the minute, and one that started in it
// follows a process that stopped or that ended it too.
func (c *Counters) minuteCovered(host string, minute int64) bool {
	fullyHeld := false
	for run, life := range c.lifetimes {
		if run.host != host {
			continue
		}
		state, known := c.minutes[minuteKey{run, minute}]
		switch {
		case known && state.fullyHeld():
			fullyHeld = true
		case known:
			return false
		case life.last < minute && !life.stopped && c.replacedInMinute(run, minute):
			return false
		}
	}
	return fullyHeld
}

// replacedInMinute reports that the next process of the host started in the minute,
// so that the earlier one may have run in it too.
func (c *Counters) replacedInMinute(run hostProcess, minute int64) bool {
	for other := range c.lifetimes {
		started := minuteOf(time.Unix(0, other.incarnation))
		if other.host == run.host && other.incarnation > run.incarnation && started == minute {
			return true
		}
	}
	return false
}
