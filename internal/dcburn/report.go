package dcburn

import (
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// ExpectedHost is a host that a report expects, and from when until when. Zero
// times mean the whole report.
type ExpectedHost struct {
	Host        dcid.HostID
	From, Until time.Time
}

// Scope of a report. Its times are cut to minutes, and to hours beyond the
// minute retention.
type Scope struct {
	// Department whose rows are reported; required.
	Department dcid.Department
	// From is included, Until is not.
	From, Until time.Time
	// Hosts that the report must cover.
	Hosts []ExpectedHost
}

// Gap is a span of one host without complete counters.
type Gap struct {
	Host        dcid.HostID
	From, Until time.Time
	// Minutes that are missing within the span.
	Minutes int
}

// Report of one department.
type Report struct {
	Groups map[dcid.GroupName]*Totals
	// Hosts whose rows are included, ordered.
	Hosts []dcid.HostID
	Gaps  []Gap
}

// Report sums the rows of one department and states what is missing.
func (c *Counters) Report(scope Scope) Report {
	report := Report{Groups: map[dcid.GroupName]*Totals{}}
	if scope.Department == "" {
		return report
	}
	hosts := map[dcid.HostID]bool{}
	c.visitTotals(scope, func(host string, group dcid.GroupName, add func(*Totals)) {
		hosts[dcid.HostID(host)] = true
		if report.Groups[group] == nil {
			report.Groups[group] = newTotals()
		}
		add(report.Groups[group])
	})
	for host := range hosts {
		report.Hosts = append(report.Hosts, host)
	}
	slices.Sort(report.Hosts)
	for _, presence := range scope.Hosts {
		report.Gaps = append(report.Gaps, c.gaps(scope, presence)...)
	}
	return report
}

// visitTotals calls f for each minute row and hour sum of the scope's department.
func (c *Counters) visitTotals(scope Scope, f func(host string, group dcid.GroupName, add func(*Totals))) {
	from, until := minuteOf(scope.From), ceilMinute(scope.Until)
	for key, row := range c.rows {
		if key.department == string(scope.Department) && key.minute >= from && key.minute < until {
			f(key.host, dcid.GroupName(key.group), func(t *Totals) { t.addRow(row) })
		}
	}
	for key, sum := range c.hours {
		first := key.hour * minutesPerHour
		if key.department == string(scope.Department) && first+minutesPerHour > from && first < until {
			f(key.host, dcid.GroupName(key.group), func(t *Totals) { t.add(sum) })
		}
	}
}

func ceilMinute(at time.Time) int64 {
	minute := minuteOf(at)
	if timeOf(minute).Before(at) {
		minute++
	}
	return minute
}

// gaps lists the spans of a host that are not covered: hours before the
// horizon, minutes after it.
func (c *Counters) gaps(scope Scope, presence ExpectedHost) []Gap {
	from, until := minuteOf(scope.From), ceilMinute(scope.Until)
	if from < c.rollupBoundary {
		// Hours know only how many of their minutes are covered.
		from -= from % minutesPerHour
	}
	if !presence.From.IsZero() {
		from = max(from, minuteOf(presence.From))
	}
	if !presence.Until.IsZero() {
		until = min(until, ceilMinute(presence.Until))
	}
	var gaps []Gap
	add := func(first, end int64, missing int) {
		last := len(gaps) - 1
		if last >= 0 && gaps[last].Until.Equal(timeOf(first)) {
			gaps[last].Until = timeOf(end)
			gaps[last].Minutes += missing
			return
		}
		gaps = append(gaps, Gap{Host: presence.Host, From: timeOf(first), Until: timeOf(end), Minutes: missing})
	}
	for minute := max(from, 0); minute < min(until, c.rollupBoundary); {
		hour := minute / minutesPerHour
		end := min((hour+1)*minutesPerHour, c.rollupBoundary)
		expected := int(end - minute)
		coveredMinutes := c.coveredMinutes[hostHour{string(presence.Host), hour}]
		if coveredMinutes < expected {
			add(minute, end, expected-coveredMinutes)
		}
		minute = end
	}
	for minute := max(from, c.rollupBoundary); minute < until; minute++ {
		if !c.minuteCovered(string(presence.Host), minute) {
			add(minute, minute+1, 1)
		}
	}
	return gaps
}

// Windows of the burn rates, and the rates at which the pairs of a short and a
// long window alert, as in The Site Reliability Workbook, chapter 5.
const (
	Window5m       = 5 * time.Minute
	Window1h       = time.Hour
	Window6h       = 6 * time.Hour
	Window3d       = 72 * time.Hour
	pageBurnRate   = 14.4
	ticketBurnRate = 1.0
)

// Objective of one group and department.
type Objective struct {
	Group      dcid.GroupName
	Department dcid.Department
	// Key of the objective in Sample.Good.
	Key string
	// Target is the fraction of requests that must be good, below 1.
	Target float64
}

// Burn is the burn rate of an objective: 1 uses up the error budget exactly.
type Burn struct {
	// Rates by window; a window without requests has no rate.
	Rates map[time.Duration]float64
	// Page reports a fast burn in 5 m and 1 h.
	Page bool
	// Ticket reports a slow burn in 6 h and 3 d.
	Ticket bool
}

// Burn returns the burn rates of an objective over the rows that are held.
func (c *Counters) Burn(objective Objective, now time.Time) Burn {
	burn := Burn{Rates: map[time.Duration]float64{}}
	for _, window := range []time.Duration{Window5m, Window1h, Window6h, Window3d} {
		scope := Scope{Department: objective.Department, From: now.Add(-window), Until: now}
		totals := c.Report(scope).Groups[objective.Group]
		if totals == nil || totals.Requests == 0 {
			continue
		}
		bad := 1 - float64(totals.Good[objective.Key])/float64(totals.Requests)
		burn.Rates[window] = bad / (1 - objective.Target)
	}
	burn.Page = burn.Rates[Window5m] >= pageBurnRate && burn.Rates[Window1h] >= pageBurnRate
	burn.Ticket = burn.Rates[Window6h] >= ticketBurnRate && burn.Rates[Window3d] >= ticketBurnRate
	return burn
}
