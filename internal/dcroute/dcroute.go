// Package dcroute decides which route a request takes: routes are selected by
// host name and by the longest matching path prefix.
package dcroute

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Version orders configurations. Versions rise in steps of any size.
type Version int64

// Route says where the requests below a path prefix of a host go.
type Route struct {
	Name   dcid.RouteName
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Target is the latency within which an answer has its full value.
	Target time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of servers that may run one request,
	// for each shard on its own.
	MaxAttempts int
	// Split lists the services that share the requests of a route to one
	// server; one entry without a split. It is empty for a query over shards.
	Split []Share
	// Shards lists the services that a query is sent to, empty otherwise.
	Shards []dcid.ServiceName
	// MaxRecords is the number of records in the answer of a query.
	MaxRecords int
	// MinCoverage is the share of shards, 0 to 1, that an answer needs.
	MinCoverage float64
}

// Share is the part of a split route that one service takes.
type Share struct {
	Service dcid.ServiceName
	Weight  float64
}

// Service is a group of servers that answer alike.
type Service struct {
	Name dcid.ServiceName
	// MaxConnections is the number of connections that one server accepts from
	// all hosts together.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of routes, services and limits.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is a checked configuration, ready for lookups. It is read only.
type Table struct {
	Configuration
	hosts    map[string][]*Route
	services map[dcid.ServiceName]*Service
}

// NewTable checks a configuration and prepares it for lookups.
func NewTable(configuration Configuration) (table *Table, err error) {
	defer func() { err = eris.Wrapf(err, "configuration version %d", configuration.Version) }()
	table = &Table{
		Configuration: configuration,
		hosts:         make(map[string][]*Route),
		services:      make(map[dcid.ServiceName]*Service),
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		table.services[service.Name] = service
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		if err := route.check(); err != nil {
			return nil, err
		}
		host := normalizeHost(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table, nil
}

// Find returns the route of a request, or nil. The host may carry a port.
func (t *Table) Find(host, path string) *Route {
	for _, route := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service of the configuration, or nil.
func (t *Table) Service(name dcid.ServiceName) *Service {
	return t.services[name]
}

func normalizeHost(host string) string {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

func (r *Route) check() error {
	switch {
	case r.Host == "":
		return eris.Errorf("route %q: host is missing", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return eris.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return eris.Errorf("route %q: timeout must be positive", r.Name)
	case r.MaxAttempts < 1:
		return eris.Errorf("route %q: the number of attempts must be at least 1", r.Name)
	case (len(r.Split) == 0) == (len(r.Shards) == 0):
		return eris.Errorf("route %q: name either services or shards", r.Name)
	}
	return r.checkTargets()
}

func (r *Route) checkTargets() error {
	for _, share := range r.Split {
		if share.Service == "" || share.Weight < 0 {
			return eris.Errorf("route %q: each part of a split needs a service and a weight of 0 or more", r.Name)
		}
	}
	seen := make(map[dcid.ServiceName]bool, len(r.Shards))
	for _, shard := range r.Shards {
		if shard == "" || seen[shard] {
			return eris.Errorf("route %q: shard %q is empty or named twice", r.Name, shard)
		}
		seen[shard] = true
	}
	if len(r.Shards) > 0 && (!r.Idempotent || r.MaxRecords < 1 || r.MinCoverage < 0 || r.MinCoverage > 1) {
		return eris.Errorf("route %q: a query must be idempotent, with at least one record and a coverage from 0 to 1", r.Name)
	}
	return nil
}

// MinParts returns the number of shards that an answer needs, at least one.
func (r *Route) MinParts() int {
	// rounding absorbs the error of binary fractions: 0.89 x 100 is a little
	// more than 89.
	const rounding = 1e-6
	return max(int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-rounding)), 1)
}
