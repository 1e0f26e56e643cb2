// Package dcroute selects the route of a request by host name and by the longest
// matching path prefix.
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

	"github.com/dandelioncart/dandelioncart/internal/dcdepartment"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Version is the version of a configuration. A later configuration has a higher
// version; versions may increase by more than one.
type Version int64

// Route defines where requests for a host name and a path prefix are sent, and
// how.
type Route struct {
	Name dcid.RouteName
	// Host is the host name in the requests. A port is ignored.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Idempotent is set if the requests may run more than once.
	Idempotent bool
	// Timeout is the maximum time that a caller waits for the answer.
	Timeout time.Duration
	// LatencyTarget is the latency within which an answer has its full value.
	LatencyTarget time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of servers that may run a request; for a
	// query, it applies to each shard separately.
	MaxAttempts int
	// Split lists the services among which the requests are divided; each request
	// goes to one server of one of them. It has one entry if there is no split,
	// and none for a query over shards.
	Split []WeightedService
	// Shards lists the services to each of which a query is sent. It is empty
	// for other requests.
	Shards []dcid.ServiceName
	// MaxRecords is the maximum number of records in the answer of a query.
	MaxRecords int
	// MinCoverage is the fraction of shards, 0 to 1, that must answer a query.
	MinCoverage float64
	// Public is set if callers need no key.
	Public bool
}

// WeightedService is a service and its weight in the split of a route.
type WeightedService struct {
	Service dcid.ServiceName
	Weight  float64
}

// Service is a group of interchangeable servers.
type Service struct {
	Name dcid.ServiceName
	// MaxConnections is the number of connections that one server accepts from
	// all hosts together.
	MaxConnections int
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the routes, services, limits and departments.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Departments lists the departments whose callers may use the routes. Without
	// any, callers need no key.
	Departments []dcdepartment.Department
}

// Table is a validated configuration, indexed for lookups. It is read-only.
type Table struct {
	Configuration
	// routesByHost holds the routes of each host name, those with the longest
	// prefix first.
	routesByHost   map[string][]*Route
	servicesByName map[dcid.ServiceName]*Service
	departments    *dcdepartment.Index
}

// RouteError reports an invalid route.
type RouteError struct {
	// Index is the index of the route in the configuration.
	Index   int
	Name    dcid.RouteName
	Message string
}

// Error returns the message with the name of the route.
func (e *RouteError) Error() string {
	return fmt.Sprintf("route %q: %s", e.Name, e.Message)
}

// RouteErrors returns all RouteErrors that err wraps or joins.
func RouteErrors(err error) (routeErrors []*RouteError) {
	if routeError, ok := err.(*RouteError); ok {
		return []*RouteError{routeError}
	}
	switch wrapped := err.(type) {
	case interface{ Unwrap() []error }:
		for _, inner := range wrapped.Unwrap() {
			routeErrors = append(routeErrors, RouteErrors(inner)...)
		}
	case interface{ Unwrap() error }:
		return RouteErrors(wrapped.Unwrap())
	}
	return routeErrors
}

// NewTable validates a configuration and indexes it for lookups. Its error joins
// one RouteError for each invalid route.
func NewTable(configuration Configuration) (table *Table, err error) {
	defer func() { err = eris.Wrapf(err, "configuration version %d", configuration.Version) }()
	table = &Table{
		Configuration:  configuration,
		routesByHost:   make(map[string][]*Route),
		servicesByName: make(map[dcid.ServiceName]*Service),
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		table.servicesByName[service.Name] = service
	}
	var routeErrors []error
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		if message := route.check(); message != "" {
			routeErrors = append(routeErrors, &RouteError{Index: i, Name: route.Name, Message: message})
			continue
		}
		host := normalizeHost(route.Host)
		table.routesByHost[host] = append(table.routesByHost[host], route)
	}
	departments, err := dcdepartment.NewIndex(configuration.Departments)
	if err := errors.Join(append(routeErrors, err)...); err != nil {
		return nil, err
	}
	table.departments = departments
	for _, routes := range table.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table, nil
}

// Find returns the route of a request, or nil if none matches. The host may
// include a port, which is ignored.
func (t *Table) Find(host, path string) *Route {
	for _, route := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RequiresKeys reports whether callers need the key of a department, except on
// public routes.
func (t *Table) RequiresKeys() bool { return len(t.Departments) > 0 }

// FindDepartment returns the department that holds a key.
func (t *Table) FindDepartment(key dcdepartment.Key) (department *dcdepartment.Department, ok bool) {
	return t.departments.Find(key)
}

// Department returns the department of that name, or nil if the configuration has
// none.
func (t *Table) Department(name dcid.Department) *dcdepartment.Department {
	return t.departments.Department(name)
}

// Service returns the service of that name, or nil if the configuration has none.
func (t *Table) Service(name dcid.ServiceName) *Service {
	return t.servicesByName[name]
}

// normalizeHost returns the host name in lower case, without a port and without
// a trailing dot.
func normalizeHost(host string) string {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// check returns the first fault of the route, or an empty string if it is valid.
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

// checkTargets is check for the services and shards of the route.
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

// MinParts returns the number of shards that must answer, at least one.
func (r *Route) MinParts() int {
	// rounding compensates for binary rounding errors: 0.89 x 100 is slightly
	// more than 89.
	const rounding = 1e-6
	return max(int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-rounding)), 1)
}
