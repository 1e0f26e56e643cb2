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
	// maxAhead bounds how far another host's clock may be ahead, in minutes.
	maxAhead       = 2
	minutesPerHour = 60
	fieldOverhead  = 3
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

// process is one run of a host.
type process struct {
	host        string
	incarnation int64
}

type minuteKey struct {
	process
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

func (m minuteState) whole() bool {
	return m.complete && m.held >= m.rows
}

// span is the life of a process as far as it is known, in minutes.
type span struct {
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

	self    process
	open    int64
	horizon int64
	rows    map[rowKey]*peerv1.CounterRow
	minutes map[minuteKey]minuteState
	spans   map[process]span
	hours   map[hourKey]*Totals
	covered map[hostHour]int
	sent    map[dcid.HostID]map[rowKey]uint32
}

// New returns empty counters of one process of a host, which starts now.
func New(self dcid.HostID, incarnation int64, now time.Time) *Counters {
	return &Counters{
		self:    process{host: string(self), incarnation: incarnation},
		open:    minuteOf(now),
		rows:    map[rowKey]*peerv1.CounterRow{},
		minutes: map[minuteKey]minuteState{},
		spans:   map[process]span{},
		hours:   map[hourKey]*Totals{},
		covered: map[hostHour]int{},
		sent:    map[dcid.HostID]map[rowKey]uint32{},
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
	c.advance(now)
	row := c.own(string(sample.Group), string(sample.Department))
	row.Requests++
	row.Outcomes[string(sample.Outcome)]++
	row.Reasons[string(sample.Code)]++
	for _, objective := range sample.Good {
		row.Good[objective]++
	}
}

// own returns this host's row of the open minute.
func (c *Counters) own(group, department string) *peerv1.CounterRow {
	key := rowKey{minuteKey: minuteKey{c.self, c.open}, group: group, department: department}
	if row, ok := c.rows[key]; ok {
		return row
	}
	row := &peerv1.CounterRow{
		HostId:       c.self.host,
		Incarnation:  c.self.incarnation,
		Minute:       c.open,
		ServiceGroup: group,
		Department:   department,
		Reasons:      map[string]uint32{},
		Outcomes:     map[string]uint32{},
		Good:         map[string]uint32{},
	}
	c.insert(key, row)
	return row
}

// advance ends the minutes before now. A clock that goes back adds to the open
// minute, since a minute that has ended does not change.
func (c *Counters) advance(now time.Time) {
	current := minuteOf(now)
	oldest := current - int64(c.minuteRetention()/time.Minute)
	c.open = max(c.open, oldest)
	for c.open < current {
		c.end(false)
		c.open++
	}
	c.fold(oldest)
}

// end adds the row that ends the open minute.
func (c *Counters) end(stopped bool) {
	minute := minuteKey{c.self, c.open}
	row := &peerv1.CounterRow{
		HostId:      c.self.host,
		Incarnation: c.self.incarnation,
		Minute:      c.open,
		Complete:    true,
		Rows:        uint32(c.minutes[minute].held),
		Stopped:     stopped,
	}
	c.insert(rowKey{minuteKey: minute}, row)
}

// Close ends the current minute early, when the host stops after its last
// request.
func (c *Counters) Close(now time.Time) {
	c.advance(now)
	c.end(true)
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
	life := c.spans[key.process]
	life.last = max(life.last, key.minute)
	life.stopped = life.stopped || row.GetStopped()
	c.spans[key.process] = life
}

// Merge takes over rows of other hosts, from heartbeats or fetched for a report;
// the caller does not use them again. A row replaces an older copy of itself, which has fewer requests.
func (c *Counters) Merge(rows []*peerv1.CounterRow, now time.Time) {
	c.advance(now)
	for _, row := range rows {
		minute := row.GetMinute()
		if row.GetHostId() == "" || minute < c.horizon || minute > minuteOf(now)+maxAhead {
			continue
		}
		key := keyOf(row)
		held, known := c.rows[key]
		if known && held.GetRequests() >= row.GetRequests() || !known && len(c.rows) >= cmp.Or(c.MaxRows, defaultMaxRows) {
			continue
		}
		c.insert(key, row)
	}
}

func keyOf(row *peerv1.CounterRow) rowKey {
	key := rowKey{
		minuteKey: minuteKey{process{row.GetHostId(), row.GetIncarnation()}, row.GetMinute()},
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
	sent := make(map[dcid.HostID]map[rowKey]uint32, len(peers))
	for _, peer := range peers {
		sent[peer] = c.sent[peer]
		if sent[peer] == nil {
			sent[peer] = map[rowKey]uint32{}
		}
	}
	c.sent = sent
}

// Pending returns copies of this host's rows that a replica lacks, oldest
// first, at most maxBytes.
func (c *Counters) Pending(peer dcid.HostID, maxBytes int, now time.Time) []*peerv1.CounterRow {
	c.advance(now)
	sent, ok := c.sent[peer]
	if !ok {
		return nil
	}
	var lacking []*peerv1.CounterRow
	for key, row := range c.rows {
		if requests, known := sent[key]; key.process == c.self && (!known || requests < row.GetRequests()) {
			lacking = append(lacking, row)
		}
	}
	slices.SortFunc(lacking, compareRows)
	var pending []*peerv1.CounterRow
	for _, row := range lacking {
		maxBytes -= proto.Size(row) + fieldOverhead
		if maxBytes < 0 {
			break
		}
		pending = append(pending, proto.CloneOf(row))
	}
	return pending
}

// Acknowledge notes that a replica has received rows of Pending.
func (c *Counters) Acknowledge(peer dcid.HostID, rows []*peerv1.CounterRow) {
	sent, ok := c.sent[peer]
	if !ok {
		return
	}
	for _, row := range rows {
		sent[keyOf(row)] = row.GetRequests()
	}
}
