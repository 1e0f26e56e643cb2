package dccapacity

import (
	"time"
)

const (
	secondsPerDay = 86400
	// distinctBodies is the size of the known-good table of one host.
	distinctBodies = 65536
	// groupDepartmentPairs is the number of pairs of service group and department that
	// one host serves at the target: one steered group and its departments.
	groupDepartmentPairs = 10
	// storeWatchersPerDomain is how many hosts of a failure domain wait on the
	// store for configuration changes.
	storeWatchersPerDomain = 2
	// hostRecordInterval is the interval at which a host renews its lease and
	// reads the records of all: 5 s for each 100 hosts.
	hostRecordInterval = 65 * time.Second
)

// RoleCost is the cost of one role on one host at the target.
type RoleCost struct {
	Role string `json:"role"`
	// Mechanism carries the role.
	Mechanism string `json:"mechanism"`
	// Cores is the processor time as a fraction of a core.
	Cores float64 `json:"core"`
	// MemoryBytes of live memory.
	MemoryBytes float64 `json:"bytes"`
	// BytesPerSecond are messages sent and received.
	BytesPerSecond float64 `json:"bytes-per-second"`
	// StoreCallsPerSecond are calls a second of all hosts together.
	StoreCallsPerSecond float64 `json:"store-calls"`
	// ControlPlane tells whether the role counts as control cost.
	ControlPlane bool `json:"control"`
	// Basis is how the figures were obtained.
	Basis string `json:"basis"`
}

// Series holds the points and the fit of one measured figure.
type Series struct {
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Report is the outcome of all capacity measurements.
type Report struct {
	Target Size       `json:"target"`
	Seed   uint64     `json:"seed"`
	Series []Series   `json:"series"`
	Rows   []RoleCost `json:"rows"`
	// SuspectSeconds and RevisionSeconds are the times at the target until
	// every host suspects a killed one, and has a new revision, at one
	// heartbeat a second.
	SuspectSeconds  int `json:"suspect-seconds"`
	RevisionSeconds int `json:"revision-seconds"`
}

// Measure runs all measurements. progress is called with each step.
func Measure(seed uint64, progress func(string)) (report *Report, err error) {
	report = &Report{Target: Target, Seed: seed}
	progress("membership")
	report.addMembership(seed)
	progress("fan-out")
	report.addFanOut(seed)
	progress("address answers")
	report.addAddresses(seed)
	progress("configuration")
	if err := report.addConfiguration(); err != nil {
		return nil, err
	}
	progress("ledger")
	report.addLedger(seed)
	progress("reports and quarantine")
	report.addReportsAndQuarantine()
	return report, nil
}

func (r *Report) addSeries(figure, unit string, points []Point) Fit {
	fit := FitLine(points)
	r.Series = append(r.Series, Series{Figure: figure, Unit: unit, Points: points, Fit: fit})
	return fit
}

func (r *Report) addMembership(seed uint64) {
	var processor, heap, sent []Point
	var last MembershipCost
	for _, size := range MeasuredHostCounts {
		last = MeasureMembership(size, seed)
		processor = append(processor, Point{float64(size), last.CPUTime.Seconds()})
		heap = append(heap, Point{float64(size), last.Heap})
		sent = append(sent, Point{float64(size), last.BytesSent + last.BytesReceived})
	}
	perInterval := r.addSeries("membership, processor time of one interval by hosts", "s", processor)
	view := r.addSeries("membership, heap of one view by hosts", "B", heap)
	r.addSeries("membership, bytes sent and received in one interval by hosts", "B", sent)
	hosts := float64(Target.Hosts)
	r.SuspectSeconds, r.RevisionSeconds = last.SuspectIntervals, last.RevisionIntervals
	r.Rows = append(r.Rows, RoleCost{
		Role: "membership, leaving servers", Mechanism: "SWIM-style heartbeats to 3 peers, bounded messages", ControlPlane: true,
		Cores: perInterval.At(hosts) / HeartbeatInterval.Seconds(), MemoryBytes: view.At(hosts),
		BytesPerSecond:      last.BytesSent + last.BytesReceived,
		StoreCallsPerSecond: 2*hosts/hostRecordInterval.Seconds() + 8*float64(Target.RestartsPerDay)/secondsPerDay,
		Basis:               "measured at the target's 1,300 instances; bytes without HTTP",
	})
}

func (r *Report) addFanOut(seed uint64) {
	var query, status []Point
	for _, shards := range []int{30, 100, 200, 310, 620} {
		query = append(query, Point{float64(shards), MeasureFanOut(shards, seed).Seconds()})
		status = append(status, Point{float64(shards), MeasureStatusRound(shards).Seconds()})
	}
	perQuery := r.addSeries("decisions of one query by shards", "s", query)
	perRound := r.addSeries("one round of status reports by servers", "s", status)
	queries := float64(Target.QueriesPerSecond) / float64(Target.Hosts)
	servers := float64(Target.ServersPerQuery)
	r.Rows = append(r.Rows, RoleCost{
		Role: "entry and fan-out (data plane)", Mechanism: "admission and scatter-gather state machines",
		Cores: queries * perQuery.At(servers),
		Basis: "fit over 30 to 620 shards; without HTTP and the kernel",
	}, RoleCost{
		Role: "shard maps", Mechanism: "status polls of the steered group by two owners each second, by others every tenth", ControlPlane: true,
		Cores:          polledFraction() * perRound.At(servers),
		BytesPerSecond: polledFraction() * servers * statusMessageBytes(),
		Basis:          "fit over 30 to 620 servers; without HTTP; needs polls that follow steering",
	})
}

// polledFraction is the fraction of a steered group's servers that one host polls
// each second.
func polledFraction() float64 {
	const owners, idleIntervals = 2, 10
	hosts := float64(Target.Hosts*Target.ServersPerQuery) / float64(Target.Servers)
	owned := owners / hosts
	return owned + (1-owned)/idleIntervals
}

func (r *Report) addAddresses(seed uint64) {
	var cached, rebuilt []Point
	for _, size := range MeasuredHostCounts {
		cost := MeasureAddressAnswer(size, seed)
		cached = append(cached, Point{float64(size), cost.CPUTime.Seconds()})
		rebuilt = append(rebuilt, Point{float64(size), cost.UncachedCPUTime.Seconds()})
	}
	answer := r.addSeries("one kept address answer by hosts", "s", cached)
	ranking := r.addSeries("first address answer after a change by hosts", "s", rebuilt)
	// Each caller connection of 246 queries/s asks once in an address lifetime of
	// 5 s; 50 callers a host is the assumption.
	const answersPerSecond = 10
	// Each restart changes the membership three times: leaving, gone, alive.
	const changesPerRestart = 3
	groups := float64(Target.Servers) / float64(Target.ServersPerQuery)
	rebuilds := groups * changesPerRestart * float64(Target.RestartsPerDay) / secondsPerDay
	hosts := float64(Target.Hosts)
	r.Rows = append(r.Rows, RoleCost{
		Role: "load sharing (address answers)", Mechanism: "rendezvous hashing over the membership, kept until it changes", ControlPlane: true,
		Cores: answersPerSecond*answer.At(hosts) + rebuilds*ranking.At(hosts),
		Basis: "fits over 4 to 1,300 hosts; assumes 50 callers for each host, a lifetime of 5 s, every group asked after each change",
	})
}

func (r *Report) addConfiguration() error {
	var processor, sent []Point
	for _, servers := range []int{310, 1240, 3100, 6200, 10000} {
		cost, err := MeasureConfiguration(servers)
		if err != nil {
			return err
		}
		processor = append(processor, Point{float64(servers), cost.CPUTime.Seconds()})
		sent = append(sent, Point{float64(servers), float64(cost.Compressed)})
	}
	read := r.addSeries("reading one configuration by servers", "s", processor)
	size := r.addSeries("compressed configuration by servers", "B", sent)
	changes := float64(Target.ChangesPerDay) / secondsPerDay
	servers := float64(Target.Servers)
	watchers := float64(Target.FailureDomains * storeWatchersPerDomain)
	r.Rows = append(r.Rows, RoleCost{
		Role: "configuration", Mechanism: "2 watchers for each failure domain, revisions in heartbeats, fetch from peers", ControlPlane: true,
		Cores: changes * read.At(servers), MemoryBytes: 2 * size.At(servers),
		BytesPerSecond:      2 * changes * size.At(servers),
		StoreCallsPerSecond: watchers*changes*2 + changes*3 + watchers/60,
		Basis:               "fit over 310 to 10,000 servers; sent once and received once for each change",
	})
	return nil
}

func (r *Report) addLedger(seed uint64) {
	var processor, swaps []Point
	for _, rate := range []int{1, 2, 5, 10, 20} {
		cost := MeasureLedger(rate, seed)
		processor = append(processor, Point{float64(rate), cost.CPUTime.Seconds()})
		swaps = append(swaps, Point{float64(rate), cost.SwapsPerSecond})
	}
	r.addSeries("one claim by claims a second in its partition", "s", processor)
	r.addSeries("swaps a second by claims a second in one partition", "1/s", swaps)
}

func (r *Report) addReportsAndQuarantine() {
	reports := MeasureReports(groupDepartmentPairs)
	quarantine := MeasureQuarantine(distinctBodies)
	queries := float64(Target.QueriesPerSecond) / float64(Target.Hosts)
	r.Rows = append(r.Rows, RoleCost{
		Role: "reports", Mechanism: "counters by minute, replicated to 2 peers", ControlPlane: true,
		Cores: queries * reports.CPUTime.Seconds(), MemoryBytes: 6 * reports.Heap,
		BytesPerSecond: 4 * float64(reports.BytesPerMinute) / 60,
		Basis:          "measured for 10 pairs of group and department; 2 rows sent and 2 received; 6 h kept",
	}, RoleCost{
		Role: "quarantine", Mechanism: "known-good table and suspicions in heartbeats", ControlPlane: true,
		Cores: queries * quarantine.CPUTime.Seconds(), MemoryBytes: quarantine.Heap,
		Basis: "measured for 65,536 distinct requests",
	})
}

// ControlPlane sums up the rows that count as control cost.
func (r *Report) ControlPlane() (sum RoleCost) {
	sum.Role = "sum of control"
	for _, row := range r.Rows {
		if row.ControlPlane {
			sum.Cores += row.Cores
			sum.MemoryBytes += row.MemoryBytes
			sum.BytesPerSecond += row.BytesPerSecond
			sum.StoreCallsPerSecond += row.StoreCallsPerSecond
		}
	}
	return sum
}
