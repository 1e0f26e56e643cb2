// Package dcroute decides which route a request takes: routes are selected by
// host name and by the longest matching path prefix.
package dcroute

import (
	"cmp"
	"errors"
	"fmt"
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
	LatencyTarget time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of servers that may run one request,
	// for each shard on its own.
	MaxAttempts int
	// Split lists the services that share the requests of a route to one
	// server; one entry without a split. It is empty for a query over shards.
	Split []WeightedService
	// Shards lists the services that a query is sent to, empty otherwise.
	Shards []dcid.ServiceName
	// MaxRecords is the number of records in the answer of a query.
	MaxRecords int
	// MinCoverage is the share of shards, 0 to 1, that an answer needs.
	MinCoverage float64
}

// Share is the part of a split route that one service takes.
type WeightedService struct {
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

// RouteError is what is wrong with one route.
type RouteError struct {
	// Index is the place of the route in the configuration.
	Index   int
	Name    dcid.RouteName
	Message string
}

// Error names the route.
func (e *RouteError) Error() string {
	return fmt.Sprintf("route %q: %s", e.Name, e.Message)
}

// RouteErrors returns every RouteError in an error.
func RouteErrors(err error) (faults []*RouteError) {
	if fault, ok := err.(*RouteError); ok {
		return []*RouteError{fault}
	}
	switch wrapped := err.(type) {
	case interface{ Unwrap() []error }:
		for _, each := range wrapped.Unwrap() {
			faults = append(faults, RouteErrors(each)...)
		}
	case interface{ Unwrap() error }:
		return RouteErrors(wrapped.Unwrap())
	}
	return faults
}

// NewTable checks a configuration and prepares it for lookups. Its error joins
// a RouteError for each route that cannot be used.
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
	var faults []error
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		if message := route.check(); message != "" {
			faults = append(faults, &RouteError{Index: i, Name: route.Name, Message: message})
			continue
		}
		host := normalizeHost(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
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

// check returns what is wrong with the route, or nothing.
func (r *Route) check() string {
	switch {
	case r.Host == "":
		return "host is missing"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return "timeout must be positive"
	case r.MaxAttempts < 1:
		return "the number of attempts must be at least 1"
	case (len(r.Split) == 0) == (len(r.Shards) == 0):
		return "name either services or shards"
	}
	return r.checkTargets()
}

func (r *Route) checkTargets() string {
	for _, share := range r.Split {
		if share.Service == "" || share.Weight < 0 {
			return "each part of a split needs a service and a weight of 0 or more"
		}
	}
	seen := make(map[dcid.ServiceName]bool, len(r.Shards))
	for _, shard := range r.Shards {
		if shard == "" || seen[shard] {
			return fmt.Sprintf("shard %q is empty or named twice", shard)
		}
		seen[shard] = true
	}
	if len(r.Shards) > 0 && (!r.Idempotent || r.MaxRecords < 1 || r.MinCoverage < 0 || r.MinCoverage > 1) {
		return "a query must be idempotent, with at least one record and a coverage from 0 to 1"
	}
	return ""
}

// MinParts returns the number of shards that an answer needs, at least one.
func (r *Route) MinParts() int {
	// rounding absorbs the error of binary fractions: 0.89 x 100 is a little
	// more than 89.
	const rounding = 1e-6
	return max(int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-rounding)), 1)
}
