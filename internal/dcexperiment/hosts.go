package dcexperiment

import (
	"context"
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"

	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
)

// Names of the counters that are read from the hosts.
const (
	metricSubQueries = "dandelioncart_sub_queries"
	metricHedges     = "dandelioncart_hedges"
	metricRetries    = "dandelioncart_retries"
)

// hostReading is one reading of the resource usage and the counters of a host. A
// value that could not be read is 0.
type hostReading struct {
	id            string
	pid           int
	cpuSeconds    float64
	residentBytes float64
	counters      subQueryCounters
}

// subQueryCounters holds the counters from which the extra load is computed.
type subQueryCounters struct {
	// sent counts all sub-queries, including hedges and retries.
	sent, hedges, retries float64
}

// extraLoad returns the ratio of hedges and retries to the other sub-queries,
// which are the first ones for their shards.
func (s subQueryCounters) extraLoad() float64 {
	initial := s.sent - s.hedges - s.retries
	if initial <= 0 {
		return 0
	}
	return (s.hedges + s.retries) / initial
}

// readHosts returns a reading of every host, in the order of their addresses.
func (s *session) readHosts(ctx context.Context) (readings []hostReading) {
	for index, address := range s.deployment.CallerAddresses() {
		reading := hostReading{id: s.deployment.HostID(index), pid: s.deployment.Pid(index)}
		if process, err := procfs.NewProc(reading.pid); err == nil {
			if stat, err := process.Stat(); err == nil {
				reading.cpuSeconds = stat.CPUTime()
				reading.residentBytes = float64(stat.ResidentMemory())
			}
		}
		reading.counters = scrapeMetrics(ctx, address)
		readings = append(readings, reading)
	}
	return readings
}

// scrapeMetrics reads the counters of a host, summed over their labels. It
// returns zeros if the host does not answer.
func scrapeMetrics(ctx context.Context, address string) (counters subQueryCounters) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return counters
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return counters
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return counters
	}
	sum := func(name string) (total float64) {
		for _, metric := range families[name].GetMetric() {
			total += metric.GetCounter().GetValue()
		}
		return total
	}
	return subQueryCounters{sent: sum(metricSubQueries), hedges: sum(metricHedges), retries: sum(metricRetries)}
}

// subtractReadings returns the resource usage of each host between two readings,
// and the sum of the counters' increases. The memory is that of the end reading.
// A host that was restarted in between counts from its last start. A host that
// does not run at the end counts as 0.
func subtractReadings(start, end []hostReading) (costs []*benchv1.HostCost, counters subQueryCounters) {
	const bytesPerMB = 1 << 20
	for index, reading := range end {
		previous := start[index]
		if previous.pid != reading.pid {
			previous = hostReading{}
		}
		costs = append(costs, &benchv1.HostCost{
			HostId: reading.id, CpuSeconds: max(reading.cpuSeconds-previous.cpuSeconds, 0), ResidentMb: reading.residentBytes / bytesPerMB,
		})
		counters.sent += max(reading.counters.sent-previous.counters.sent, 0)
		counters.hedges += max(reading.counters.hedges-previous.counters.hedges, 0)
		counters.retries += max(reading.counters.retries-previous.counters.retries, 0)
	}
	return costs, counters
}
