// Package dcburn counts request outcomes by minute, service group and
// department, keeps replicas of other hosts' counters, and computes reports and
// error-budget burn rates from them. A report lists the time spans for which
// counters are missing as gaps.
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
	// defaultHourRetention covers the longest burn-rate window, Window3d.
	defaultHourRetention = 73 * time.Hour
	defaultMaxRows       = 100_000
	// replicaCount is the number of peers that hold a replica of a host's rows.
	replicaCount = 2
	// maxClockAheadMinutes is how far, in minutes, the clock of another host may
	// be ahead. Rows of later minutes are ignored.
	maxClockAheadMinutes = 2
	minutesPerHour       = 60
	// rowFieldOverhead is the number of bytes that a row takes in a message on
	// top of its own size, for the tag and the length of the field.
	rowFieldOverhead = 3
)

// Sample is the result of one finished request.
type Sample struct {
	Group      dcid.GroupName
	Department dcid.Department
	Outcome    dcreason.Outcome
	Code       dcreason.Code
	// Good lists the objectives that the request met, by their keys of kind and
	// threshold.
	Good []string
}

// hostProcess identifies one process of a host. The incarnation is its start
// time in Unix nanoseconds.
type hostProcess struct {
	host        string
	incarnation int64
}

// minuteKey identifies one minute of one process. Minutes are counted from the
// Unix epoch.
type minuteKey struct {
	hostProcess
	minute int64
}

// rowKey identifies one row. The group and department are empty for the row that
// completes a minute.
type rowKey struct {
	minuteKey
	group, department string
}

// minuteState records which rows of a minute of a process are held.
type minuteState struct {
	// held is the number of rows held, without the completing row.
	held int
	// rows is the number of rows that the minute has; valid when complete.
	rows int
	// complete is set when the completing row is held.
	complete bool
}

// fullyHeld reports whether all rows of the minute are held.
func (m minuteState) fullyHeld() bool {
	return m.complete && m.held >= m.rows
}

// processLifetime describes the lifetime of a process as far as it is known from
// its rows.
type processLifetime struct {
	// last is the latest minute for which a row was inserted.
	last int64
	// stopped reports that the process shut down cleanly.
	stopped bool
}

// Counters holds the rows of this host and replicas of other hosts' rows. It is
// not safe for concurrent use. Set the exported fields before the first call.
type Counters struct {
	// MinuteRetention is how long rows are kept with minute resolution; 6 h when
	// 0. After that, they are rolled up into hours.
	MinuteRetention time.Duration
	// HourRetention is how long the totals of hours are kept after that; 73 h
	// when 0.
	HourRetention time.Duration
	// MaxRows limits the number of rows held; 100,000 when 0. Rows of other hosts
	// above it are dropped and show as gaps.
	MaxRows int

	self hostProcess
	// currentMinute is the minute to which Count adds.
	currentMinute int64
	// rollupBoundary is the first minute that is not rolled up into hours.
	rollupBoundary int64
	rows           map[rowKey]*peerv1.CounterRow
	minutes        map[minuteKey]minuteState
	lifetimes      map[hostProcess]processLifetime
	hours          map[hourKey]*Totals
	// coveredMinutes holds the number of rolled-up minutes of each hour for which
	// all rows were held.
	coveredMinutes map[hostHour]int
	// acknowledged holds, for each replica, the rows that it received and the
	// number of requests that they had then.
	acknowledged map[dcid.HostID]map[rowKey]uint32
}

// New returns empty counters for a process of a host that starts now.
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

// minuteOf returns the minute of a time, counted from the Unix epoch.
func minuteOf(now time.Time) int64 {
	return now.Unix() / int64(time.Minute/time.Second)
}

// timeOf returns the start of a minute.
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

// currentRow returns this host's row of the current minute, and creates it if
// there is none.
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

// advanceTo completes the minutes before now and rolls up those past the minute
// retention. If the clock goes back, the current minute stays, since a completed
// minute must not change.
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

// completeMinute adds the completing row of the current minute, which states how
// many rows the minute has and whether the process stopped in it.
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

// Close completes the current minute early. It is called when the host stops,
// after its last request.
func (c *Counters) Close(now time.Time) {
	c.advanceTo(now)
	c.completeMinute(true)
}

// insert adds or replaces a row and updates the state of its minute and process.
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
	lifetime := c.lifetimes[key.hostProcess]
	lifetime.last = max(lifetime.last, key.minute)
	lifetime.stopped = lifetime.stopped || row.GetStopped()
	c.lifetimes[key.hostProcess] = lifetime
}

// Merge adds rows of other hosts, which were received in heartbeats or fetched
// for a report. It retains the rows; the caller must not use them afterwards. A
// row replaces an older copy of itself, which has fewer requests. Rows of minutes
// that are rolled up or too far in the future, and new rows above MaxRows, are
// dropped.
func (c *Counters) Merge(rows []*peerv1.CounterRow, now time.Time) {
	c.advanceTo(now)
	for _, row := range rows {
		minute := row.GetMinute()
		if row.GetHostId() == "" || minute < c.rollupBoundary || minute > minuteOf(now)+maxClockAheadMinutes {
			continue
		}
		key := rowKeyOf(row)
		existing, known := c.rows[key]
		if known && existing.GetRequests() >= row.GetRequests() || !known && len(c.rows) >= cmp.Or(c.MaxRows, defaultMaxRows) {
			continue
		}
		c.insert(key, row)
	}
}

// rowKeyOf returns the key of a row.
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

// Rows returns sorted copies of all rows held for the minutes from from
// (inclusive) to until (exclusive). Peers fetch them for a report.
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

// compareRows orders rows by minute, host, incarnation, group and department.
func compareRows(a, b *peerv1.CounterRow) int {
	return cmp.Or(
		cmp.Compare(a.GetMinute(), b.GetMinute()),
		cmp.Compare(a.GetHostId(), b.GetHostId()),
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetServiceGroup(), b.GetServiceGroup()),
		cmp.Compare(a.GetDepartment(), b.GetDepartment()),
	)
}

// Replicas returns the peers that hold replicas of the rows of host self.
func Replicas(self dcid.HostID, hosts []dcmembership.Host) []dcid.HostID {
	others := slices.DeleteFunc(slices.Clone(hosts), func(host dcmembership.Host) bool { return host.ID == self })
	return dcmembership.Owners("counters/"+string(self), others, replicaCount)
}

// SetReplicas sets the peers that hold replicas of this host's rows. A new
// replica is sent all rows held.
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

// Pending returns copies of the rows of this process that a replica has not
// acknowledged, oldest first, up to a total of maxBytes as encoded in a message.
func (c *Counters) Pending(peer dcid.HostID, maxBytes int, now time.Time) []*peerv1.CounterRow {
	c.advanceTo(now)
	acknowledged, ok := c.acknowledged[peer]
	if !ok {
		return nil
	}
	var missing []*peerv1.CounterRow
	for key, row := range c.rows {
		if requests, known := acknowledged[key]; key.hostProcess == c.self && (!known || requests < row.GetRequests()) {
			missing = append(missing, row)
		}
	}
	slices.SortFunc(missing, compareRows)
	var pending []*peerv1.CounterRow
	for _, row := range missing {
		maxBytes -= proto.Size(row) + rowFieldOverhead
		if maxBytes < 0 {
			break
		}
		pending = append(pending, proto.CloneOf(row))
	}
	return pending
}

// Acknowledge records that a replica has received rows returned by Pending.
func (c *Counters) Acknowledge(peer dcid.HostID, rows []*peerv1.CounterRow) {
	acknowledged, ok := c.acknowledged[peer]
	if !ok {
		return
	}
	for _, row := range rows {
		acknowledged[rowKeyOf(row)] = row.GetRequests()
	}
}
