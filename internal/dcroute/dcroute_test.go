package dcroute

import (
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

func newServiceRoute(name dcid.RouteName, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, MaxAttempts: 1, Split: []WeightedService{{Service: "s", Weight: 1}}}
}

// TestFind guards against a shorter prefix that shadows a longer one, and
// against selecting a route of another host name.
func TestFind(t *testing.T) {
	table, err := NewTable(Configuration{Routes: []Route{
		newServiceRoute("short", "a.example", "/x/"), newServiceRoute("long", "a.example", "/x/y/"), newServiceRoute("other", "b.example", "/"),
	}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		host, path string
		want       dcid.RouteName
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:80", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	} {
		var got dcid.RouteName
		if route := table.Find(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s: found route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestCheck guards against accepting invalid routes.
func TestCheck(t *testing.T) {
	query := Route{Name: "q", Host: "a", Prefix: "/", Timeout: time.Second, MaxAttempts: 1, Idempotent: true, Shards: []dcid.ServiceName{"s1", "s2"}, MaxRecords: 5}
	for name, change := range map[string]func(*Route){
		"prefix":      func(r *Route) { r.Prefix = "/x" },
		"timeout":     func(r *Route) { r.Timeout = 0 },
		"attempts":    func(r *Route) { r.MaxAttempts = 0 },
		"both":        func(r *Route) { r.Split = []WeightedService{{Service: "s", Weight: 1}} },
		"neither":     func(r *Route) { r.Shards = nil },
		"shard twice": func(r *Route) { r.Shards = []dcid.ServiceName{"s1", "s1"} },
		"unsafe":      func(r *Route) { r.Idempotent = false },
		"host":        func(r *Route) { r.Host = "" },
	} {
		route := query
		change(&route)
		if _, err := NewTable(Configuration{Routes: []Route{route}}); err == nil {
			t.Errorf("%s: an invalid route was accepted", name)
		}
	}
	if _, err := NewTable(Configuration{Routes: []Route{query}}); err != nil {
		t.Error(err)
	}
}

// TestMinParts guards against rounding that requires one shard too few or too
// many.
func TestMinParts(t *testing.T) {
	for _, c := range []struct {
		shards int
		share  float64
		want   int
	}{{10, 0.89, 9}, {10, 0.9, 9}, {10, 0.75, 8}, {15, 0.89, 14}, {100, 0.89, 89}, {10, 0, 1}, {36, 0.95, 35}, {54, 0.85, 46}, {10, 1, 10}} {
		route := Route{Shards: make([]dcid.ServiceName, c.shards), MinCoverage: c.share}
		if got := route.MinParts(); got != c.want {
			t.Errorf("%v of %d shards: %d parts, want %d", c.share, c.shards, got, c.want)
		}
	}
}
