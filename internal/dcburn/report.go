package dcburn

import (
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// ExpectedHost is a host whose counters a report should cover, and the time span
// for which it should. A zero From or Until stands for that of the report.
type ExpectedHost struct {
	Host        dcid.HostID
	From, Until time.Time
}

// Scope defines what a report covers. Its times are widened to whole minutes,
// and to whole hours where rows are rolled up.
type Scope struct {
	// Department is the department whose rows are reported. Without one, the
	// report is empty.
	Department dcid.Department
	// From is inclusive, Until is exclusive.
	From, Until time.Time
	// Hosts lists the hosts for which gaps are reported.
	Hosts []ExpectedHost
}

// Gap is a time span for which counters of a host are missing or incomplete.
type Gap struct {
	Host        dcid.HostID
	From, Until time.Time
	// Minutes is the number of minutes in the span that are missing or
	// incomplete.
	Minutes int
}

// Report holds the totals of one department.
type Report struct {
	Groups map[dcid.GroupName]*Totals
	// Hosts lists the hosts whose rows are included, sorted.
	Hosts []dcid.HostID
	Gaps  []Gap
}

// Report sums the rows of one department and lists the gaps of the expected
// hosts.
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
	for _, expectedHost := range scope.Hosts {
		report.Gaps = append(report.Gaps, c.gaps(scope, expectedHost)...)
	}
	return report
}

// visitTotals calls visit for each row, and for the totals of each rolled-up
// hour, that belongs to the department and time span of a scope. add adds the
// counters to other totals.
func (c *Counters) visitTotals(scope Scope, visit func(host string, group dcid.GroupName, add func(*Totals))) {
	from, until := minuteOf(scope.From), ceilMinute(scope.Until)
	for key, row := range c.rows {
		if key.department == string(scope.Department) && key.minute >= from && key.minute < until {
			visit(key.host, dcid.GroupName(key.group), func(t *Totals) { t.addRow(row) })
		}
	}
	for key, sum := range c.hours {
		first := key.hour * minutesPerHour
		if key.department == string(scope.Department) && first+minutesPerHour > from && first < until {
			visit(key.host, dcid.GroupName(key.group), func(t *Totals) { t.add(sum) })
		}
	}
}

// ceilMinute returns the first minute that does not start before at.
func ceilMinute(at time.Time) int64 {
	minute := minuteOf(at)
	if timeOf(minute).Before(at) {
		minute++
	}
	return minute
}

// gaps lists the time spans for which counters of a host are missing: by hour
// before the rollup boundary, by minute after it. Adjacent spans are joined.
func (c *Counters) gaps(scope Scope, expectedHost ExpectedHost) []Gap {
	from, until := minuteOf(scope.From), ceilMinute(scope.Until)
	if from < c.rollupBoundary {
		// Of a rolled-up hour, only the number of covered minutes is known.
		from -= from % minutesPerHour
	}
	if !expectedHost.From.IsZero() {
		from = max(from, minuteOf(expectedHost.From))
	}
	if !expectedHost.Until.IsZero() {
		until = min(until, ceilMinute(expectedHost.Until))
	}
	var gaps []Gap
	addGap := func(first, end int64, missing int) {
		last := len(gaps) - 1
		if last >= 0 && gaps[last].Until.Equal(timeOf(first)) {
			gaps[last].Until = timeOf(end)
			gaps[last].Minutes += missing
			return
		}
		gaps = append(gaps, Gap{Host: expectedHost.Host, From: timeOf(first), Until: timeOf(end), Minutes: missing})
	}
	for minute := max(from, 0); minute < min(until, c.rollupBoundary); {
		hour := minute / minutesPerHour
		end := min((hour+1)*minutesPerHour, c.rollupBoundary)
		expected := int(end - minute)
		coveredMinutes := c.coveredMinutes[hostHour{string(expectedHost.Host), hour}]
		if coveredMinutes < expected {
			addGap(minute, end, expected-coveredMinutes)
		}
		minute = end
	}
	for minute := max(from, c.rollupBoundary); minute < until; minute++ {
		if !c.minuteCovered(string(expectedHost.Host), minute) {
			addGap(minute, minute+1, 1)
		}
	}
	return gaps
}

// Windows of the burn rates, and the thresholds of the alerts, as in The Site
// Reliability Workbook, chapter 5. An alert fires if the burn rates of both a
// short and a long window reach its threshold.
const (
	Window5m       = 5 * time.Minute
	Window1h       = time.Hour
	Window6h       = 6 * time.Hour
	Window3d       = 72 * time.Hour
	pageBurnRate   = 14.4
	ticketBurnRate = 1.0
)

// Objective is a service level objective of one group and department.
type Objective struct {
	Group      dcid.GroupName
	Department dcid.Department
	// Key identifies the objective in Sample.Good.
	Key string
	// Target is the fraction of requests that must be good, below 1.
	Target float64
}

// Burn holds the burn rates of an objective and the alerts that they trigger. A
// burn rate of 1 uses up exactly the error budget.
type Burn struct {
	// Rates holds the burn rate of each window. A window without requests has
	// none.
	Rates map[time.Duration]float64
	// Page reports that the burn rates over 5 m and 1 h are both at least 14.4.
	Page bool
	// Ticket reports that the burn rates over 6 h and 3 d are both at least 1.
	Ticket bool
}

// Burn computes the burn rates of an objective from the rows that are held.
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
