package dcexperiment

import (
	"context"
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"

	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
)

// Names of host counters.
const (
	metricSubQueries = "dandelioncart_sub_queries"
	metricHedges     = "dandelioncart_hedges"
	metricRetries    = "dandelioncart_retries"
)

// hostReading is one reading of a host's counters.
type hostReading struct {
	id            string
	pid           int
	cpuSeconds    float64
	residentBytes float64
	counters      subQueryCounters
}

// subQueryCounters are the counters that extra load is computed from.
type subQueryCounters struct {
	sent, hedges, retries float64
}

// extraLoad is the share of hedges and retries over first sub-queries.
func (s subQueryCounters) extraLoad() float64 {
	first := s.sent - s.hedges - s.retries
	if first <= 0 {
		return 0
	}
	return (s.hedges + s.retries) / first
}

// readHosts reads the counters of every host that answers.
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

// subtractReadings returns what the hosts used between two readings. A host that was
// restarted in between counts from its start.
func subtractReadings(first, last []hostReading) (costs []*benchv1.HostCost, counters subQueryCounters) {
	const bytesPerMB = 1 << 20
	for index, reading := range last {
		earlier := first[index]
		if earlier.pid != reading.pid {
			earlier = hostReading{}
		}
		costs = append(costs, &benchv1.HostCost{
			HostId: reading.id, CpuSeconds: max(reading.cpuSeconds-earlier.cpuSeconds, 0), ResidentMb: reading.residentBytes / bytesPerMB,
		})
		counters.sent += max(reading.counters.sent-earlier.counters.sent, 0)
		counters.hedges += max(reading.counters.hedges-earlier.counters.hedges, 0)
		counters.retries += max(reading.counters.retries-earlier.counters.retries, 0)
	}
	return costs, counters
}
