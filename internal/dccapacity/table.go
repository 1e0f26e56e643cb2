package dccapacity

import (
	"time"
)

const (
	secondsPerDay = 86400
	// distinctBodies is the size of the known-good table of one host.
	distinctBodies = 65536
	// groupPairs is the number of pairs of service group and department that
	// one host serves at the target: one steered group and its departments.
	groupPairs = 10
	// storeWatchersPerDomain is how many hosts of a failure domain wait on the
	// store for configuration changes.
	storeWatchersPerDomain = 2
	// hostRecordInterval is the interval at which a host renews its lease and
	// reads the records of all: 5 s for each 100 hosts.
	hostRecordInterval = 65 * time.Second
)

// Row is the cost of one role on one host at the target.
type Row struct {
	Role string `json:"role"`
	// Mechanism carries the role.
	Mechanism string `json:"mechanism"`
	// Core is the processor time as a fraction of a core.
	Core float64 `json:"core"`
	// Bytes of live memory.
	Bytes float64 `json:"bytes"`
	// BytesPerSecond are messages sent and received.
	BytesPerSecond float64 `json:"bytes-per-second"`
	// StoreCalls are calls a second of all hosts together.
	StoreCalls float64 `json:"store-calls"`
	// Control tells whether the role counts as control cost.
	Control bool `json:"control"`
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
	Target Size     `json:"target"`
	Seed   uint64   `json:"seed"`
	Series []Series `json:"series"`
	Rows   []Row    `json:"rows"`
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
	report.addTables()
	return report, nil
}

func (r *Report) series(figure, unit string, points []Point) Fit {
	fit := FitLine(points)
	r.Series = append(r.Series, Series{Figure: figure, Unit: unit, Points: points, Fit: fit})
	return fit
}

func (r *Report) addMembership(seed uint64) {
	var processor, heap, sent []Point
	var last MembershipCost
	for _, size := range Sizes {
		last = MeasureMembership(size, seed)
		processor = append(processor, Point{float64(size), last.Processor.Seconds()})
		heap = append(heap, Point{float64(size), last.Heap})
		sent = append(sent, Point{float64(size), last.BytesSent + last.BytesReceived})
	}
	perInterval := r.series("membership, processor time of one interval by hosts", "s", processor)
	view := r.series("membership, heap of one view by hosts", "B", heap)
	r.series("membership, bytes sent and received in one interval by hosts", "B", sent)
	hosts := float64(Target.Hosts)
	r.SuspectSeconds, r.RevisionSeconds = last.SuspectRounds, last.RevisionRounds
	r.Rows = append(r.Rows, Row{
		Role: "membership, leaving servers", Mechanism: "SWIM-style heartbeats to 3 peers, bounded messages", Control: true,
		Core: perInterval.At(hosts) / HeartbeatInterval.Seconds(), Bytes: view.At(hosts),
		BytesPerSecond: last.BytesSent + last.BytesReceived,
		StoreCalls:     2*hosts/hostRecordInterval.Seconds() + 8*float64(Target.RestartsPerDay)/secondsPerDay,
		Basis:          "measured at the target's 1,300 instances; bytes without HTTP",
	})
}

func (r *Report) addFanOut(seed uint64) {
	var query, status []Point
	for _, shards := range []int{30, 100, 200, 310, 620} {
		query = append(query, Point{float64(shards), MeasureFanOut(shards, seed).Seconds()})
		status = append(status, Point{float64(shards), MeasureStatus(shards).Seconds()})
	}
	perQuery := r.series("decisions of one query by shards", "s", query)
	perRound := r.series("one round of status reports by servers", "s", status)
	queries := float64(Target.QueriesPerSecond) / float64(Target.Hosts)
	servers := float64(Target.ServersPerQuery)
	r.Rows = append(r.Rows, Row{
		Role: "entry and fan-out (data plane)", Mechanism: "admission and scatter-gather state machines",
		Core:  queries * perQuery.At(servers),
		Basis: "fit over 30 to 620 shards; without HTTP and the kernel",
	}, Row{
		Role: "shard maps", Mechanism: "status polls of the steered group by two owners each second, by others every tenth", Control: true,
		Core:           pollShare() * perRound.At(servers),
		BytesPerSecond: pollShare() * servers * statusBytes(),
		Basis:          "fit over 30 to 620 servers; without HTTP; needs polls that follow steering",
	})
}

// pollShare is the fraction of a steered group's servers that one host polls
// each second.
func pollShare() float64 {
	const owners, idleIntervals = 2, 10
	hosts := float64(Target.Hosts*Target.ServersPerQuery) / float64(Target.Servers)
	owned := owners / hosts
	return owned + (1-owned)/idleIntervals
}

func (r *Report) addAddresses(seed uint64) {
	var cached, rebuilt []Point
	for _, size := range Sizes {
		cost := MeasureAddress(size, seed)
		cached = append(cached, Point{float64(size), cost.Processor.Seconds()})
		rebuilt = append(rebuilt, Point{float64(size), cost.Rebuild.Seconds()})
	}
	answer := r.series("one kept address answer by hosts", "s", cached)
	ranking := r.series("first address answer after a change by hosts", "s", rebuilt)
	// Each caller connection of 246 queries/s asks once in an address lifetime of
	// 5 s; 50 callers a host is the assumption.
	const answersPerSecond = 10
	// Each restart changes the membership three times: leaving, gone, alive.
	const changesPerRestart = 3
	groups := float64(Target.Servers) / float64(Target.ServersPerQuery)
	rebuilds := groups * changesPerRestart * float64(Target.RestartsPerDay) / secondsPerDay
	hosts := float64(Target.Hosts)
	r.Rows = append(r.Rows, Row{
		Role: "load sharing (address answers)", Mechanism: "rendezvous hashing over the membership, kept until it changes", Control: true,
		Core:  answersPerSecond*answer.At(hosts) + rebuilds*ranking.At(hosts),
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
		processor = append(processor, Point{float64(servers), cost.Processor.Seconds()})
		sent = append(sent, Point{float64(servers), float64(cost.Compressed)})
	}
	read := r.series("reading one configuration by servers", "s", processor)
	size := r.series("compressed configuration by servers", "B", sent)
	changes := float64(Target.ChangesPerDay) / secondsPerDay
	servers := float64(Target.Servers)
	watchers := float64(Target.FailureDomains * storeWatchersPerDomain)
	r.Rows = append(r.Rows, Row{
		Role: "configuration", Mechanism: "2 watchers for each failure domain, revisions in heartbeats, fetch from peers", Control: true,
		Core: changes * read.At(servers), Bytes: 2 * size.At(servers),
		BytesPerSecond: 2 * changes * size.At(servers),
		StoreCalls:     watchers*changes*2 + changes*3 + watchers/60,
		Basis:          "fit over 310 to 10,000 servers; sent once and received once for each change",
	})
	return nil
}

func (r *Report) addLedger(seed uint64) {
	var processor, swaps []Point
	for _, rate := range []int{1, 2, 5, 10, 20} {
		cost := MeasureLedger(rate, seed)
		processor = append(processor, Point{float64(rate), cost.Processor.Seconds()})
		swaps = append(swaps, Point{float64(rate), cost.SwapsPerSecond})
	}
	r.series("one claim by claims a second in its partition", "s", processor)
	r.series("swaps a second by claims a second in one partition", "1/s", swaps)
}

func (r *Report) addTables() {
	reports := MeasureReports(groupPairs)
	quarantine := MeasureQuarantine(distinctBodies)
	queries := float64(Target.QueriesPerSecond) / float64(Target.Hosts)
	r.Rows = append(r.Rows, Row{
		Role: "reports", Mechanism: "counters by minute, replicated to 2 peers", Control: true,
		Core: queries * reports.Processor.Seconds(), Bytes: 6 * reports.Heap,
		BytesPerSecond: 4 * float64(reports.BytesPerMinute) / 60,
		Basis:          "measured for 10 pairs of group and department; 2 rows sent and 2 received; 6 h kept",
	}, Row{
		Role: "quarantine", Mechanism: "known-good table and suspicions in heartbeats", Control: true,
		Core: queries * quarantine.Processor.Seconds(), Bytes: quarantine.Heap,
		Basis: "measured for 65,536 distinct requests",
	})
}

// Control sums up the rows that count as control cost.
func (r *Report) Control() (sum Row) {
	sum.Role = "sum of control"
	for _, row := range r.Rows {
		if row.Control {
			sum.Core += row.Core
			sum.Bytes += row.Bytes
			sum.BytesPerSecond += row.BytesPerSecond
			sum.StoreCalls += row.StoreCalls
		}
	}
	return sum
}
