package dccapacity

import (
	"time"
)

const (
	secondsPerDay = 86400
	// distinctBodies is the number of digests that one host caches as known to be
	// good.
	distinctBodies = 65536
	// groupDepartmentPairs is the number of pairs of service group and department
	// that one host serves at the target size. There, a host is in the subset of
	// one service group, and the pairs are this group with its departments.
	groupDepartmentPairs = 10
	// storeWatchersPerDomain is the number of hosts of a failure domain that watch
	// the store for configuration changes.
	storeWatchersPerDomain = 2
	// hostRecordInterval is the interval at which a host renews its lease and reads
	// all host records: 5 s per 100 hosts, at 1,300 hosts.
	hostRecordInterval = 65 * time.Second
)

// RoleCost is the cost of one role on one host at the target size.
type RoleCost struct {
	Role string `json:"role"`
	// Mechanism describes how the role is implemented.
	Mechanism string `json:"mechanism"`
	// Cores is the processor usage in cores.
	Cores float64 `json:"core"`
	// MemoryBytes is the live memory in bytes.
	MemoryBytes float64 `json:"bytes"`
	// BytesPerSecond is the size of the messages sent and received per second.
	BytesPerSecond float64 `json:"bytes-per-second"`
	// StoreCallsPerSecond is the number of store calls per second of all hosts
	// together.
	StoreCallsPerSecond float64 `json:"store-calls"`
	// ControlPlane reports whether the role is part of the control plane.
	ControlPlane bool `json:"control"`
	// Basis describes how the figures were obtained.
	Basis string `json:"basis"`
}

// Series holds the measured points of one figure and the line fitted to them.
type Series struct {
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Report holds the results of all capacity measurements.
type Report struct {
	Target Size       `json:"target"`
	Seed   uint64     `json:"seed"`
	Series []Series   `json:"series"`
	Rows   []RoleCost `json:"rows"`
	// SuspectSeconds is the time at the target size until every host suspects a
	// killed host. RevisionSeconds is the time until every host has adopted a new
	// revision. Both are at a heartbeat interval of 1 s.
	SuspectSeconds  int `json:"suspect-seconds"`
	RevisionSeconds int `json:"revision-seconds"`
}

// Measure runs all measurements. It calls progress with the name of each
// measurement before it starts.
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

// addSeries fits a line to the points, adds both to the report and returns the
// line.
func (r *Report) addSeries(figure, unit string, points []Point) Fit {
	fit := FitLine(points)
	r.Series = append(r.Series, Series{Figure: figure, Unit: unit, Points: points, Fit: fit})
	return fit
}

func (r *Report) addMembership(seed uint64) {
	var cpuTimes, heaps, traffic []Point
	var last MembershipCost
	for _, size := range MeasuredHostCounts {
		last = MeasureMembership(size, seed)
		cpuTimes = append(cpuTimes, Point{float64(size), last.CPUTime.Seconds()})
		heaps = append(heaps, Point{float64(size), last.Heap})
		traffic = append(traffic, Point{float64(size), last.BytesSent + last.BytesReceived})
	}
	cpuTimeFit := r.addSeries("membership, processor time of one interval by hosts", "s", cpuTimes)
	heapFit := r.addSeries("membership, heap of one view by hosts", "B", heaps)
	r.addSeries("membership, bytes sent and received in one interval by hosts", "B", traffic)
	hosts := float64(Target.Hosts)
	r.SuspectSeconds, r.RevisionSeconds = last.SuspectIntervals, last.RevisionIntervals
	r.Rows = append(r.Rows, RoleCost{
		Role: "membership, leaving servers", Mechanism: "SWIM-style heartbeats to 3 peers, bounded messages", ControlPlane: true,
		Cores: cpuTimeFit.At(hosts) / HeartbeatInterval.Seconds(), MemoryBytes: heapFit.At(hosts),
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
	queryFit := r.addSeries("decisions of one query by shards", "s", query)
	statusFit := r.addSeries("one round of status reports by servers", "s", status)
	queriesPerSecond := float64(Target.QueriesPerSecond) / float64(Target.Hosts)
	servers := float64(Target.ServersPerQuery)
	r.Rows = append(r.Rows, RoleCost{
		Role: "entry and fan-out (data plane)", Mechanism: "admission and scatter-gather state machines",
		Cores: queriesPerSecond * queryFit.At(servers),
		Basis: "fit over 30 to 620 shards; without HTTP and the kernel",
	}, RoleCost{
		Role: "shard maps", Mechanism: "status polls of the steered group by two owners each second, by others every tenth", ControlPlane: true,
		Cores:          polledFraction() * statusFit.At(servers),
		BytesPerSecond: polledFraction() * servers * statusMessageBytes(),
		Basis:          "fit over 30 to 620 servers; without HTTP; needs polls that follow steering",
	})
}

// polledFraction returns the fraction of a group's servers that a host in the
// group's subset polls each second. Each server is polled every second by the two
// hosts that it is assigned to, and every 10 s by the others. The computation
// assumes that only the hosts in the subset poll the servers of a group.
func polledFraction() float64 {
	const assignedHosts, unassignedPollIntervals = 2, 10
	subsetSize := float64(Target.Hosts*Target.ServersPerQuery) / float64(Target.Servers)
	assignedFraction := assignedHosts / subsetSize
	return assignedFraction + (1-assignedFraction)/unassignedPollIntervals
}

func (r *Report) addAddresses(seed uint64) {
	var cached, uncached []Point
	for _, size := range MeasuredHostCounts {
		cost := MeasureAddressAnswer(size, seed)
		cached = append(cached, Point{float64(size), cost.CPUTime.Seconds()})
		uncached = append(uncached, Point{float64(size), cost.UncachedCPUTime.Seconds()})
	}
	cachedFit := r.addSeries("one kept address answer by hosts", "s", cached)
	uncachedFit := r.addSeries("first address answer after a change by hosts", "s", uncached)
	// A host serves 246 queries/s. The assumption is that they come from 50 callers,
	// each of which asks for addresses once in an address lifetime of 5 s.
	const answersPerSecond = 10
	// Each restart changes the membership three times: to leaving, gone and alive.
	const changesPerRestart = 3
	groups := float64(Target.Servers) / float64(Target.ServersPerQuery)
	uncachedPerSecond := groups * changesPerRestart * float64(Target.RestartsPerDay) / secondsPerDay
	hosts := float64(Target.Hosts)
	r.Rows = append(r.Rows, RoleCost{
		Role: "load sharing (address answers)", Mechanism: "rendezvous hashing over the membership, kept until it changes", ControlPlane: true,
		Cores: answersPerSecond*cachedFit.At(hosts) + uncachedPerSecond*uncachedFit.At(hosts),
		Basis: "fits over 4 to 1,300 hosts; assumes 50 callers for each host, a lifetime of 5 s, every group asked after each change",
	})
}

func (r *Report) addConfiguration() error {
	var cpuTimes, compressed []Point
	for _, servers := range []int{310, 1240, 3100, 6200, 10000} {
		cost, err := MeasureConfiguration(servers)
		if err != nil {
			return err
		}
		cpuTimes = append(cpuTimes, Point{float64(servers), cost.CPUTime.Seconds()})
		compressed = append(compressed, Point{float64(servers), float64(cost.Compressed)})
	}
	cpuTimeFit := r.addSeries("reading one configuration by servers", "s", cpuTimes)
	sizeFit := r.addSeries("compressed configuration by servers", "B", compressed)
	changesPerSecond := float64(Target.ChangesPerDay) / secondsPerDay
	servers := float64(Target.Servers)
	watchers := float64(Target.FailureDomains * storeWatchersPerDomain)
	r.Rows = append(r.Rows, RoleCost{
		Role: "configuration", Mechanism: "2 watchers for each failure domain, revisions in heartbeats, fetch from peers", ControlPlane: true,
		Cores: changesPerSecond * cpuTimeFit.At(servers), MemoryBytes: 2 * sizeFit.At(servers),
		BytesPerSecond:      2 * changesPerSecond * sizeFit.At(servers),
		StoreCallsPerSecond: watchers*changesPerSecond*2 + changesPerSecond*3 + watchers/60,
		Basis:               "fit over 310 to 10,000 servers; sent once and received once for each change",
	})
	return nil
}

func (r *Report) addLedger(seed uint64) {
	var cpuTimes, swaps []Point
	for _, rate := range []int{1, 2, 5, 10, 20} {
		cost := MeasureLedger(rate, seed)
		cpuTimes = append(cpuTimes, Point{float64(rate), cost.CPUTime.Seconds()})
		swaps = append(swaps, Point{float64(rate), cost.SwapsPerSecond})
	}
	r.addSeries("one claim by claims a second in its partition", "s", cpuTimes)
	r.addSeries("swaps a second by claims a second in one partition", "1/s", swaps)
}

func (r *Report) addReportsAndQuarantine() {
	reports := MeasureReports(groupDepartmentPairs)
	quarantine := MeasureQuarantine(distinctBodies)
	queriesPerSecond := float64(Target.QueriesPerSecond) / float64(Target.Hosts)
	r.Rows = append(r.Rows, RoleCost{
		Role: "reports", Mechanism: "counters by minute, replicated to 2 peers", ControlPlane: true,
		Cores: queriesPerSecond * reports.CPUTime.Seconds(), MemoryBytes: 6 * reports.Heap,
		BytesPerSecond: 4 * float64(reports.BytesPerMinute) / 60,
		Basis:          "measured for 10 pairs of group and department; 2 rows sent and 2 received; 6 h kept",
	}, RoleCost{
		Role: "quarantine", Mechanism: "known-good table and suspicions in heartbeats", ControlPlane: true,
		Cores: queriesPerSecond * quarantine.CPUTime.Seconds(), MemoryBytes: quarantine.Heap,
		Basis: "measured for 65,536 distinct requests",
	})
}

// ControlPlane returns the sum of the costs of the control plane's roles.
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
