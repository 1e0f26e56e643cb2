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

// fold sums the rows of minutes before horizon into hours. Each minute is folded
// once, and rows that arrive for it later are refused.
func (c *Counters) fold(horizon int64) {
	if horizon <= c.horizon {
		return
	}
	c.foldCoverage(horizon)
	for key, row := range c.rows {
		if key.minute >= horizon {
			continue
		}
		if !row.GetComplete() {
			c.hour(key).addRow(row)
		}
		delete(c.rows, key)
		delete(c.minutes, key.minuteKey)
		for _, sent := range c.sent {
			delete(sent, key)
		}
	}
	c.horizon = horizon
	c.expire()
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

// foldCoverage counts the covered minutes of each hour before their rows go.
func (c *Counters) foldCoverage(horizon int64) {
	type hostMinute struct {
		host   string
		minute int64
	}
	done := map[hostMinute]bool{}
	for key := range c.minutes {
		at := hostMinute{key.host, key.minute}
		if key.minute >= horizon || done[at] {
			continue
		}
		done[at] = true
		if c.coveredMinute(key.host, key.minute) {
			c.covered[hostHour{key.host, key.minute / minutesPerHour}]++
		}
	}
}

func (c *Counters) expire() {
	keep := int64(cmp.Or(c.HourRetention, defaultHourRetention) / time.Hour)
	oldest := c.horizon/minutesPerHour - keep
	for key := range c.hours {
		if key.hour < oldest {
			delete(c.hours, key)
		}
	}
	for key := range c.covered {
		if key.hour < oldest {
			delete(c.covered, key)
		}
	}
	for run, life := range c.spans {
		if life.last < c.horizon {
			delete(c.spans, run)
		}
	}
}

// coveredMinute reports that all rows of a host's minute are held: every
// process that is known in it has ended the minute, and one that started in it
// follows a process that stopped or that ended it too.
func (c *Counters) coveredMinute(host string, minute int64) bool {
	whole := false
	for run, life := range c.spans {
		if run.host != host {
			continue
		}
		state, known := c.minutes[minuteKey{run, minute}]
		switch {
		case known && state.whole():
			whole = true
		case known:
			return false
		case life.last < minute && !life.stopped && c.replacedIn(run, minute):
			return false
		}
	}
	return whole
}

// replacedIn reports that the next process of the host started in the minute,
// so that the earlier one may have run in it too.
func (c *Counters) replacedIn(run process, minute int64) bool {
	for other := range c.spans {
		started := minuteOf(time.Unix(0, other.incarnation))
		if other.host == run.host && other.incarnation > run.incarnation && started == minute {
			return true
		}
	}
	return false
}
