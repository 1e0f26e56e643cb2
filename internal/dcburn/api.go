// Package dcburn counts outcomes by minute and derives burn rates.
package dcburn

import (
	"time"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Sample is one finished request.
type Sample struct {
	Group      dcid.GroupName
	Department dcid.Department
	Outcome    dcreason.Outcome
	Code       dcreason.Code
	Good       []string
}

// Counters of one host, with replicas of other hosts' rows.
type Counters struct {
	Self                           dcid.HostID
	Incarnation                    int64
	MinuteRetention, HourRetention time.Duration
}

func New(self dcid.HostID, incarnation int64, now time.Time) *Counters       { panic("todo") }
func (c *Counters) Count(sample Sample, now time.Time)                       { panic("todo") }
func (c *Counters) Close(now time.Time)                                      { panic("todo") }
func (c *Counters) Pending(maxBytes int, now time.Time) []*peerv1.CounterRow { panic("todo") }
func (c *Counters) Acknowledge(rows []*peerv1.CounterRow)                    { panic("todo") }
func (c *Counters) Merge(rows []*peerv1.CounterRow, now time.Time)           { panic("todo") }
func (c *Counters) Rows(from, until time.Time) []*peerv1.CounterRow          { panic("todo") }
func Replicas(self dcid.HostID, hosts []dcmembership.Host) []dcid.HostID     { panic("todo") }

// Totals of a report.
type Totals struct {
	Requests                uint64
	Outcomes, Reasons, Good map[string]uint64
}

// Gap is a span of minutes of one host without complete counters.
type Gap struct {
	Host        dcid.HostID
	From, Until time.Time
}

// Report of one department.
type Report struct {
	Groups map[dcid.GroupName]Totals
	Gaps   []Gap
}

// Scope of a report.
type Scope struct {
	Department  dcid.Department
	From, Until time.Time
	Hosts       []dcid.HostID
}

func (c *Counters) Report(scope Scope) Report { panic("todo") }

// Burn is the burn rate of one objective by window.
type Burn struct {
	Rates  map[time.Duration]float64
	Page   bool
	Ticket bool
}

func (c *Counters) Burn(department dcid.Department, group dcid.GroupName, objective string, target float64, now time.Time) Burn {
	panic("todo")
}
