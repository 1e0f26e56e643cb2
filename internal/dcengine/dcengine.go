// Package dcengine answers callers' requests: it selects a route, sends the
// request to one server, or to one server of each shard, and merges the
// answers. Other packages translate to and from the protocols of callers,
// servers and the store.
package dcengine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

// Sender sends a request to a server, without retries. left is the time that
// the server may work on it.
type Sender interface {
	Send(ctx context.Context, server dcbalance.Server, request *dcforward.Request, left time.Duration) dcforward.Answer
}

// Connections limits the connections from this host to a server.
type Connections interface {
	SetLimit(addr dcid.ServerAddr, limit int)
}

// Hosts reports how many hosts share the servers.
type Hosts interface {
	// Count returns the number of hosts, 0 while it is unknown.
	Count() int
	// Sharers returns the number of hosts that share the slack of the extra sends,
	// 0 while this host may not use any of it.
	Sharers() int
	// Rank returns the place of this host, from 0, in an order of the hosts that
	// differs from server to server.
	Rank(server dcid.ServerID) int
	// StaleConnections reports whether servers may still hold connections of an
	// earlier process of this host.
	StaleConnections() bool
}

// ExtraLoad limits the extra sends, hedges and retries together, to each
// service, summed over all hosts.
type ExtraLoad struct {
	// Ratio is the number of extra sends allowed for each request.
	Ratio float64
	// Slack is the number of extra sends allowed in addition to the ratio.
	Slack float64
	// Span is the length of the sliding window to which the limit applies.
	Span time.Duration
	// MaxDelay is the longest time from the decision to send to the arrival at a
	// server.
	MaxDelay time.Duration
}

// Engine answers requests. Set the exported fields before the first call.
type Engine struct {
	Sender      Sender
	Connections Connections
	Hosts       Hosts
	Clock       clockwork.Clock
	Log         *zap.Logger
	Meter       *Meter
	// Domain is this host's failure domain.
	Domain    dcid.FailureDomain
	ExtraLoad ExtraLoad
	Seed      uint64
	// Started is the time at which the process started.
	Started time.Time
	// ShareSuspicions passes what this host learns of requests that crash servers to
	// the other hosts. It must not block, and may be nil.
	ShareSuspicions func(suspicions []*peerv1.Suspicion)
	// Quotas limits the requests of each department. It may be nil.
	Quotas Quotas
	// DomainHosts returns the number of hosts in this host's failure domain, itself
	// included, 0 while it is unknown. It may be nil.
	DomainHosts func() int

	table    atomic.Pointer[dcroute.Table]
	inFlight atomic.Int64
	services services
	routes   routes
	// quarantine holds the requests that crash servers.
	quarantine quarantine
	stop       stop
	evacuation evacuation
	lateness   lateness
	fairRoom   fairRoom
}

// services holds the state of each service, created on first use.
type services struct {
	mu     sync.RWMutex
	byName map[dcid.ServiceName]*service
}

// UpdateTable puts a configuration into effect if it is newer than the current
// one.
func (e *Engine) UpdateTable(table *dcroute.Table) {
	for {
		current := e.table.Load()
		if current != nil && table.Version <= current.Version {
			e.Log.Info("configuration ignored, not newer",
				zap.Int64("version", int64(table.Version)), zap.Int64("in-force", int64(current.Version)))
			return
		}
		if e.table.CompareAndSwap(current, table) {
			break
		}
	}
	e.Log.Info("configuration in force", zap.Int64("version", int64(table.Version)),
		zap.Int("routes", len(table.Routes)), zap.Int("services", len(table.Services)), zap.Int("departments", len(table.Departments)))
	e.Meter.configurationVersion.Update(float64(table.Version))
	e.LimitConnections()
}

// Table returns the configuration in effect, nil before the first one.
func (e *Engine) Table() *dcroute.Table { return e.table.Load() }

// InFlight returns the number of requests in progress.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// LimitConnections divides the connections to all servers among the hosts. It
// is called when the hosts or the configuration have changed.
func (e *Engine) LimitConnections() {
	table := e.table.Load()
	if table == nil {
		return
	}
	for i := range table.Services {
		configured := &table.Services[i]
		e.limitConnections(e.service(configured.Name), configured)
	}
}

// limitConnections sets this host's share of the connections to the servers of
// a service. One share is reserved for a host that the others do not list.
// configured may be nil.
func (e *Engine) limitConnections(service *service, configured *dcroute.Service) {
	if configured == nil {
		return
	}
	hosts := e.Hosts.Count()
	if hosts == 0 {
		hosts = assumedHostCount
	}
	share := configured.MaxConnections / (hosts + 1)
	if e.Hosts.StaleConnections() {
		share /= staleShareDivisor
	}
	service.setConnectionLimit(max(share, 1), hosts, e.Connections)
	if e.DomainHosts != nil {
		service.setDomainHosts(e.DomainHosts())
	}
}

// SetExtraLoad changes the limit on extra sends.
func (e *Engine) SetExtraLoad(extra ExtraLoad) {
	e.services.mu.Lock()
	defer e.services.mu.Unlock()
	e.ExtraLoad = extra
	for _, service := range e.services.byName {
		service.mu.Lock()
		service.extra.Ratio, service.extra.Slack = extra.Ratio, extra.Slack
		service.mu.Unlock()
	}
}

// staleShareDivisor reduces the share of a host while servers may still count
// the connections that the host had before it lost power. Servers reset
// connections above their limit, which is most of the new ones when all hosts
// lose power at once.
const staleShareDivisor = 2

// assumedHostCount is the number of hosts assumed while none are known. It
// keeps a host's shares, of connections and of rate limits, low until the host
// knows its peers.
const assumedHostCount = 7

// place returns the place of this host among those that send to a server, for a
// rate limit that the server names.
func (e *Engine) place(server dcid.ServerID, statement dcratelimit.Statement) dcratelimit.Place {
	if statement.Kind != dcratelimit.Named {
		return dcratelimit.Place{}
	}
	place := dcratelimit.Place{Hosts: e.Hosts.Count()}
	if place.Hosts == 0 {
		place.Hosts = assumedHostCount
	}
	if place.Hosts > dcratelimit.Sharers(statement.Rate) {
		place.Rank = e.Hosts.Rank(server)
	}
	return place
}

func (e *Engine) service(name dcid.ServiceName) *service {
	e.services.mu.RLock()
	found := e.services.byName[name]
	e.services.mu.RUnlock()
	if found != nil {
		return found
	}
	e.services.mu.Lock()
	defer e.services.mu.Unlock()
	if found = e.services.byName[name]; found != nil {
		return found
	}
	if e.services.byName == nil {
		e.services.byName = make(map[dcid.ServiceName]*service)
	}
	e.Seed++
	found = newService(name, e.Domain, e.ExtraLoad, e.Started, rand.New(rand.NewPCG(e.Seed, uint64(len(name)))), e.Meter, e.Log)
	found.setEvacuated(e.evacuation.current())
	e.services.byName[name] = found
	return found
}
