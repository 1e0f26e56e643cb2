package dcengine

import (
	"strconv"
	"sync/atomic"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Meter holds the metrics of an engine.
type Meter struct {
	scope                tally.Scope
	configurationVersion tally.Gauge
	sends                tally.Counter
	// unresponsive counts sends without an answer after the hedge delay, extra
	// counts sends of a part after its first one, partialAnswers counts merged
	// answers without all shards.
	unresponsive   tally.Counter
	extra          tally.Counter
	partialAnswers tally.Counter
	// extraSharers is the number of hosts that share the slack of the extra sends.
	extraSharers tally.Gauge
	// evacuatedDomains is the number of failure domains whose servers get no requests.
	evacuatedDomains tally.Gauge
	// estimates is the number of servers and routes whose estimates are shown.
	estimates atomic.Int32
	// roomWaiting is the number of requests that wait for room.
	roomWaiting tally.Gauge
}

// NewMeter creates the metrics of an engine in a scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{
		scope:                scope,
		configurationVersion: scope.Gauge("configuration_version"),
		sends:                scope.Counter("sends"),
		unresponsive:         scope.Counter("silent_sends"),
		extra:                scope.Counter("extra_sends"),
		partialAnswers:       scope.Counter("answers_without_all_shards"),
		extraSharers:         scope.Gauge("extra_sends_sharers"),
		evacuatedDomains:     scope.Gauge("evacuated_domains"),
		roomWaiting:          scope.Gauge("room_waiting"),
	}
}

// Scope returns the scope of the metrics.
func (m *Meter) Scope() tally.Scope { return m.scope }

// roomWait records how long a request of a priority has waited for room.
func (m *Meter) roomWait(priority int, waited time.Duration) {
	m.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Timer("room_wait").Record(waited)
}

// roomRefused counts a request that was refused instead of waiting for room, or after
// it.
func (m *Meter) roomRefused(code dcreason.Code) {
	m.scope.Tagged(map[string]string{"reason": string(code)}).Counter("room_refused").Inc(1)
}

// roomRate records the rate to which requests to a service are limited, 0 for none.
func (m *Meter) roomRate(service dcid.ServiceName, rate float64) {
	m.scope.Tagged(map[string]string{"service": string(service)}).Gauge("room_rate").Update(rate)
}

// request counts a finished request and records its latency.
func (m *Meter) request(code dcreason.Code, elapsed time.Duration) {
	m.scope.Tagged(map[string]string{"reason": string(code)}).Counter("requests").Inc(1)
	m.scope.Timer("request_latency").Record(elapsed)
}

// serviceCounters holds the counters of the budget of extra sends of a service.
type serviceCounters struct {
	// requests counts the requests that the budget grows with, first the first
	// sends, extra the extra sends, and extraDenied those that the budget did not
	// allow. delayed counts sends that waited for a connection for delayedSend or
	// longer.
	requests, first, extra, extraDenied, delayed tally.Counter
}

// delayedSend is the wait for a connection from which a send counts as delayed.
const delayedSend = 100 * time.Millisecond

// service returns the counters of a service.
func (m *Meter) service(name dcid.ServiceName) *serviceCounters {
	scope := m.scope.Tagged(map[string]string{"service": string(name)})
	return &serviceCounters{
		requests:    scope.Counter("service_requests"),
		first:       scope.Counter("service_first_sends"),
		extra:       scope.Counter("service_extra_sends"),
		extraDenied: scope.Counter("service_extra_sends_denied"),
		delayed:     scope.Counter("service_delayed_sends"),
	}
}

// rateLimitMeter holds the metrics of the rate limit that a server names.
type rateLimitMeter struct {
	// inForce is 1 while the server names a limit. limit and share are in requests
	// a second, since is the Unix time of the first answer that named it, and
	// passedOver the number of sends that went elsewhere, or waited, for it.
	inForce, limit, share, since, passedOver tally.Gauge
}

// rateLimit returns the metrics of the rate limit of a server.
func (m *Meter) rateLimit(service dcid.ServiceName, server dcid.ServerID) *rateLimitMeter {
	scope := m.scope.Tagged(map[string]string{"service": string(service), "server": string(server)})
	return &rateLimitMeter{
		inForce:    scope.Gauge("server_rate_limit_in_force"),
		limit:      scope.Gauge("server_rate_limit"),
		share:      scope.Gauge("server_rate_limit_share"),
		since:      scope.Gauge("server_rate_limit_since_seconds"),
		passedOver: scope.Gauge("server_rate_limit_passed_over"),
	}
}

func (m *rateLimitMeter) update(share *dcratelimit.Share) {
	m.inForce.Update(1)
	m.limit.Update(float64(share.Limit()))
	m.share.Update(float64(share.Rate()))
	m.since.Update(float64(share.Since().Unix()))
	m.passedOver.Update(float64(share.PassedOver))
}

// estimateMeter holds the metrics of what is known of the work of a server.
type estimateMeter struct {
	// slowness is the time that the server takes as a multiple of what the others of
	// its service take, recent the latency of the last answers as a multiple of what
	// is usual for it, and pending the work of this host's calls in flight, in seconds.
	slowness, recent, pending tally.Gauge
}

// estimate returns the metrics of the estimates of a server.
func (m *Meter) estimate(service dcid.ServiceName, server dcid.ServerID) *estimateMeter {
	scope := m.scope.Tagged(map[string]string{"service": string(service), "server": string(server)})
	return &estimateMeter{
		slowness: scope.Gauge("server_slowness"),
		recent:   scope.Gauge("server_recent_latency_ratio"),
		pending:  scope.Gauge("server_pending_work_seconds"),
	}
}

func (m *estimateMeter) update(estimate dcbalance.Estimate) {
	m.slowness.Update(estimate.Slowness)
	m.recent.Update(estimate.LatencyRatio)
	m.pending.Update(estimate.Pending.Seconds())
}

// routeWork returns the metric of the estimated work of the requests of a route, in
// seconds.
func (m *Meter) routeWork(route dcid.RouteName) tally.Gauge {
	return m.scope.Tagged(map[string]string{"route": string(route)}).Gauge("route_work_seconds")
}

// maxEstimates is the number of servers and routes whose estimates are shown as
// metrics: those that answer first. A host may know ten thousand servers.
const maxEstimates = 256

// takeEstimate reports whether the estimates of one more server or route are shown.
func (m *Meter) takeEstimate() bool {
	if m.estimates.Add(1) <= maxEstimates {
		return true
	}
	m.estimates.Add(-1)
	return false
}

// releaseEstimate makes room for the estimates of another server.
func (m *Meter) releaseEstimate() { m.estimates.Add(-1) }
