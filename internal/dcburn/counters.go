// Package dcburn counts outcomes by minute, service group and department, keeps
// replicas of other hosts' counters, and derives reports and burn rates. What a
// report does not cover it states as gaps.
package dcburn

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

const (
	defaultMinuteRetention = 6 * time.Hour
	// defaultHourRetention covers the longest burn-rate window.
	defaultHourRetention = 73 * time.Hour
	defaultMaxRows       = 100_000
	// replicaCount is the number of peers that keep a host's rows.
	replicaCount = 2
	// maxClockAheadMinutes bounds how far another host's clock may be ahead, in minutes.
	maxClockAheadMinutes = 2
	minutesPerHour       = 60
	rowFieldOverhead     = 3
)

// Sample is one finished request.
type Sample struct {
	Group      dcid.GroupName
	Department dcid.Department
	Outcome    dcreason.Outcome
	Code       dcreason.Code
	// Good lists the objectives that the request met, keyed kind and threshold.
	Good []string
}

// hostProcess is one run of a host.
type hostProcess struct {
	host        string
	incarnation int64
}

type minuteKey struct {
	hostProcess
	minute int64
}

type rowKey struct {
	minuteKey
	group, department string
}

// minuteState says how much of a process's minute is held.
type minuteState struct {
	held int
	// rows is the number of rows that the minute has; valid when complete.
	rows     int
	complete bool
}

func (m minuteState) fullyHeld() bool {
	return m.complete && m.held >= m.rows
}

// processLifetime is the life of a process as far as it is known, in minutes.
type processLifetime struct {
	last    int64
	stopped bool
}

// Counters holds the rows of this host and replicas of other hosts' rows.
type Counters struct {
	// MinuteRetention is the time for which rows keep minute resolution.
	MinuteRetention time.Duration
	// HourRetention is the time for which sums of hours are kept after that.
	HourRetention time.Duration
	// MaxRows bounds the rows held; rows beyond it show as gaps.
	MaxRows int

	self           hostProcess
	currentMinute  int64
	rollupBoundary int64
	rows           map[rowKey]*peerv1.CounterRow
	minutes        map[minuteKey]minuteState
	lifetimes      map[hostProcess]processLifetime
	hours          map[hourKey]*Totals
	coveredMinutes map[hostHour]int
	acknowledged   map[dcid.HostID]map[rowKey]uint32
}

// New returns empty counters of one process of a host, which starts now.
func New(self dcid.HostID, incarnation int64, now time.Time) *Counters {
	return &Counters{
		self:           hostProcess{host: string(self), incarnation: incarnation},
		currentMinute:  minuteOf(now),
		rows:           map[rowKey]*peerv1.CounterRow{},
		minutes:        map[minuteKey]minuteState{},
		lifetimes:      map[hostProcess]processLifetime{},
		hours:          map[hourKey]*Totals{},
		coveredMinutes: map[hostHour]int{},
		acknowledged:   map[dcid.HostID]map[rowKey]uint32{},
	}
}

func minuteOf(now time.Time) int64 {
	return now.Unix() / int64(time.Minute/time.Second)
}

func timeOf(minute int64) time.Time {
	return time.Unix(minute*int64(time.Minute/time.Second), 0).UTC()
}

// Count adds a request to the current minute.
func (c *Counters) Count(sample Sample, now time.Time) {
	c.advanceTo(now)
	row := c.currentRow(string(sample.Group), string(sample.Department))
	row.Requests++
	row.Outcomes[string(sample.Outcome)]++
	row.Reasons[string(sample.Code)]++
	for _, objective := range sample.Good {
		row.Good[objective]++
	}
}

// currentRow returns this host's row of the open minute.
func (c *Counters) currentRow(group, department string) *peerv1.CounterRow {
	key := rowKey{minuteKey: minuteKey{c.self, c.currentMinute}, group: group, department: department}
	if row, ok := c.rows[key]; ok {
		return row
	}
	row := &peerv1.CounterRow{
		HostId:       c.self.host,
		Incarnation:  c.self.incarnation,
		Minute:       c.currentMinute,
		ServiceGroup: group,
		Department:   department,
		Reasons:      map[string]uint32{},
		Outcomes:     map[string]uint32{},
		Good:         map[string]uint32{},
	}
	c.insert(key, row)
	return row
}

// advanceTo ends the minutes before now. A clock that goes back adds to the open
// minute, since a minute that has ended does not change.
func (c *Counters) advanceTo(now time.Time) {
	current := minuteOf(now)
	oldest := current - int64(c.minuteRetention()/time.Minute)
	c.currentMinute = max(c.currentMinute, oldest)
	for c.currentMinute < current {
		c.completeMinute(false)
		c.currentMinute++
	}
	c.rollUp(oldest)
}

// completeMinute adds the row that ends the open minute.
func (c *Counters) completeMinute(stopped bool) {
	minute := minuteKey{c.self, c.currentMinute}
	row := &peerv1.CounterRow{
		HostId:      c.self.host,
		Incarnation: c.self.incarnation,
		Minute:      c.currentMinute,
		Complete:    true,
		Rows:        uint32(c.minutes[minute].held),
		Stopped:     stopped,
	}
	c.insert(rowKey{minuteKey: minute}, row)
}

// Close ends the current minute early, when the host stops after its last
// request.
func (c *Counters) Close(now time.Time) {
	c.advanceTo(now)
	c.completeMinute(true)
}

// insert adds or replaces a row.
func (c *Counters) insert(key rowKey, row *peerv1.CounterRow) {
	state := c.minutes[key.minuteKey]
	_, known := c.rows[key]
	switch {
	case row.GetComplete():
		state.complete = true
		state.rows = int(row.GetRows())
	case !known:
		state.held++
	}
	c.rows[key] = row
	c.minutes[key.minuteKey] = state
	life := c.lifetimes[key.hostProcess]
	life.last = max(life.last, key.minute)
	life.stopped = life.stopped || row.GetStopped()
	c.lifetimes[key.hostProcess] = life
}

// Merge takes over rows of other hosts, from heartbeats or fetched for a report;
// the caller does not use them again. A row replaces an older copy of itself, which has fewer requests.
func (c *Counters) Merge(rows []*peerv1.CounterRow, now time.Time) {
	c.advanceTo(now)
	for _, row := range rows {
		minute := row.GetMinute()
		if row.GetHostId() == "" || minute < c.rollupBoundary || minute > minuteOf(now)+maxClockAheadMinutes {
			continue
		}
		key := rowKeyOf(row)
		held, known := c.rows[key]
		if known && held.GetRequests() >= row.GetRequests() || !known && len(c.rows) >= cmp.Or(c.MaxRows, defaultMaxRows) {
			continue
		}
		c.insert(key, row)
	}
}

func rowKeyOf(row *peerv1.CounterRow) rowKey {
	key := rowKey{
		minuteKey: minuteKey{hostProcess{row.GetHostId(), row.GetIncarnation()}, row.GetMinute()},
	}
	if !row.GetComplete() {
		key.group = row.GetServiceGroup()
		key.department = row.GetDepartment()
	}
	return key
}

// Rows returns copies of all rows held for minutes from from until before
// until, ordered, for a peer that makes a report.
func (c *Counters) Rows(from, until time.Time) []*peerv1.CounterRow {
	var rows []*peerv1.CounterRow
	for key, row := range c.rows {
		if key.minute >= minuteOf(from) && timeOf(key.minute).Before(until) {
			rows = append(rows, proto.CloneOf(row))
		}
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

func compareRows(a, b *peerv1.CounterRow) int {
	return cmp.Or(
		cmp.Compare(a.GetMinute(), b.GetMinute()),
		cmp.Compare(a.GetHostId(), b.GetHostId()),
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetServiceGroup(), b.GetServiceGroup()),
		cmp.Compare(a.GetDepartment(), b.GetDepartment()),
	)
}

// Replicas returns the peers that keep a host's rows.
func Replicas(self dcid.HostID, hosts []dcmembership.Host) []dcid.HostID {
	others := slices.DeleteFunc(slices.Clone(hosts), func(host dcmembership.Host) bool { return host.ID == self })
	return dcmembership.Owners("counters/"+string(self), others, replicaCount)
}

// SetReplicas names the peers that keep this host's rows. A new one gets all of
// them.
func (c *Counters) SetReplicas(peers []dcid.HostID) {
	acknowledged := make(map[dcid.HostID]map[rowKey]uint32, len(peers))
	for _, peer := range peers {
		acknowledged[peer] = c.acknowledged[peer]
		if acknowledged[peer] == nil {
			acknowledged[peer] = map[rowKey]uint32{}
		}
	}
	c.acknowledged = acknowledged
}

// Pending returns copies of this host's rows that a replica lacks, oldest
// first, at most maxBytes.
func (c *Counters) Pending(peer dcid.HostID, maxBytes int, now time.Time) []*peerv1.CounterRow {
	c.advanceTo(now)
	acknowledged, ok := c.acknowledged[peer]
	if !ok {
		return nil
	}
	var lacking []*peerv1.CounterRow
	for key, row := range c.rows {
		if requests, known := acknowledged[key]; key.hostProcess == c.self && (!known || requests < row.GetRequests()) {
			lacking = append(lacking, row)
		}
	}
	slices.SortFunc(lacking, compareRows)
	var pending []*peerv1.CounterRow
	for _, row := range lacking {
		maxBytes -= proto.Size(row) + rowFieldOverhead
		if maxBytes < 0 {
			break
		}
		pending = append(pending, proto.CloneOf(row))
	}
	return pending
}

// Acknowledge notes that a replica has received rows of Pending.
func (c *Counters) Acknowledge(peer dcid.HostID, rows []*peerv1.CounterRow) {
	acknowledged, ok := c.acknowledged[peer]
	if !ok {
		return
	}
	for _, row := range rows {
		acknowledged[rowKeyOf(row)] = row.GetRequests()
	}
}
