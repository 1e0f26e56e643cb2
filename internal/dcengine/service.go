package dcengine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcbudget"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
)

// slowShare is the share of the latency target from which an answer shows that its
// server has more requests than it can run.
const slowShare = 0.5

// service holds what this host knows about the servers of one service.
type service struct {
	name dcid.ServiceName

	mu    sync.Mutex
	group dcbalance.Group
	// extra is the budget of extra sends, which are hedges and retries.
	extra   dcbudget.SlidingWindow
	servers []dcbalance.Server
	meter   *Meter
	// counters is nil until the first request.
	counters *serviceCounters
	// rateLimitMeters holds the metrics of the servers that name a rate limit.
	rateLimitMeters map[dcid.ServerID]*rateLimitMeter
	// leaving holds the servers that leave, by the list or by what they say.
	leaving departures
	// estimateMeters holds the metrics of the estimates of servers.
	estimateMeters map[dcid.ServerID]*estimateMeter
	// waiting is the number of parts whose first send waits for a server.
	waiting int
	log     *zap.Logger
}

func newService(name dcid.ServiceName, domain dcid.FailureDomain, extra ExtraLoad, started time.Time, random *rand.Rand, meter *Meter, log *zap.Logger) *service {
	return &service{
		name:  name,
		meter: meter,
		log:   log,
		group: dcbalance.Group{Domain: domain, Random: random},
		extra: dcbudget.SlidingWindow{Span: extra.Span, Ratio: extra.Ratio, Slack: extra.Slack, MaxDelay: extra.MaxDelay, Started: started},
	}
}

// SetServer adds a server to a service, or updates it.
func (e *Engine) SetServer(name dcid.ServiceName, server dcbalance.Server) {
	service := e.service(name)
	service.setServer(server, e.Clock.Now())
	if table := e.table.Load(); table != nil {
		e.limitConnections(service, table.Service(name))
	}
}

// RemoveServer removes a server from a service.
func (e *Engine) RemoveServer(name dcid.ServiceName, id dcid.ServerID) {
	service := e.service(name)
	service.mu.Lock()
	defer service.mu.Unlock()
	service.servers = slices.DeleteFunc(service.servers, func(s dcbalance.Server) bool { return s.ID == id })
	service.group.SetServers(service.servers)
}

func (s *service) setServer(server dcbalance.Server, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server.Leaving {
		s.leaving.add(server, now)
	}
	server.Leaving = s.leaving.has(server, now)
	index := slices.IndexFunc(s.servers, func(known dcbalance.Server) bool { return known.ID == server.ID })
	if index < 0 {
		s.servers = append(s.servers, server)
	} else {
		s.servers[index] = server
	}
	s.group.SetServers(s.servers)
}

// setConnectionLimit sets this host's share of the connections to each server.
func (s *service) setConnectionLimit(share, hosts int, connections Connections) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.MaxInFlight, s.group.Hosts = share, hosts
	for _, server := range s.servers {
		connections.SetLimit(server.Addr, share)
	}
}

// setDomainHosts sets the number of hosts in this host's failure domain.
func (s *service) setDomainHosts(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.DomainHosts = count
}

// pick is pickFor for a request of unknown work.
func (s *service) pick(exclude []dcid.ServerID, extra bool, sharers int, now time.Time) (*dcbalance.Call, bool) {
	return s.pickFor(0, exclude, extra, sharers, now)
}

// pickFor starts a call to a server that is not excluded, for a request whose work is
// estimated as work, 0 if unknown. Extra sends are counted
// against the budget, and not started when it is used up.
func (s *service) pickFor(work time.Duration, exclude []dcid.ServerID, extra bool, sharers int, now time.Time) (*dcbalance.Call, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if extra && s.extra.Available(sharers, now) < 1 {
		s.metrics().extraDenied.Inc(1)
		return nil, false
	}
	call, ok := s.group.PickFor(work, exclude, extra, now)
	switch {
	case ok && extra:
		s.extra.RecordExtra(now)
		s.metrics().extra.Inc(1)
	case ok:
		s.metrics().first.Inc(1)
	}
	return call, ok
}

// metrics returns the counters of the service. The caller holds the lock.
func (s *service) metrics() *serviceCounters {
	if s.counters == nil {
		s.counters = s.meter.service(s.name)
	}
	return s.counters
}

// request counts a request to the service. The budget of extra sends grows with
// it.
func (s *service) request(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra.RecordRequest(now)
	s.metrics().requests.Inc(1)
}

// unresponsive records that a call is unanswered after the hedge delay.
func (s *service) unresponsive(call *dcbalance.Call, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.MarkUnresponsive(call, now)
}

// recordAnswer ends a call and records its outcome, and what the answer says of
// the rate limit of its server. medianLatency is 0 while it is unknown, target is
// the latency target of the request.
func (s *service) recordAnswer(call *dcbalance.Call, answer *dcforward.Answer, medianLatency, target time.Duration, place dcratelimit.Place, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.RecordOutcome(call, answer.Outcome, medianLatency, time.Duration(float64(target)*slowShare), now)
	s.reportEstimates(call, now)
	if answer.Leaving {
		s.recordLeaving(call.Server, now)
	}
	if answer.RetryDelay > 0 {
		s.recordRetryDelay(call, answer.RetryDelay, now)
	}
	if answer.Waited >= delayedSend {
		s.metrics().delayed.Inc(1)
	}
	if answer.RateLimit.Kind != dcratelimit.Unknown {
		s.recordRateLimit(call, answer, place, now)
	}
}

// recordRetryDelay records for how long a server wants no requests. The caller
// holds the lock.
func (s *service) recordRetryDelay(call *dcbalance.Call, delay time.Duration, now time.Time) {
	if s.group.RecordDelay(call, delay, now) {
		s.log.Info("server wants no requests", zap.String("service", string(s.name)), zap.String("server", string(call.Server.ID)),
			zap.String("address", string(call.Server.Addr)), zap.Duration("named", delay))
	}
}

// recordLeaving records that a server says that it leaves. The caller holds the
// lock.
func (s *service) recordLeaving(server dcbalance.Server, now time.Time) {
	if s.leaving.has(server, now) {
		return
	}
	s.leaving.add(server, now)
	s.log.Info("server says that it leaves", zap.String("service", string(s.name)), zap.String("server", string(server.ID)),
		zap.String("address", string(server.Addr)))
	for i := range s.servers {
		if s.servers[i].SameProcess(server) {
			s.servers[i].Leaving = true
		}
	}
	s.group.SetServers(s.servers)
}
