// Package dcmetrics collects the metrics of a process and serves them in the
// Prometheus text format.
package dcmetrics

import (
	"io"
	"net/http"
	"time"

	tally "github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// prefix is the first part of the name of each metric.
const prefix = "dandelioncart"

// New returns the root scope of the metrics and the handler that serves them.
// The values that the handler serves are updated once per interval until closer
// is closed.
func New(interval time.Duration) (scope tally.Scope, handler http.Handler, closer io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, interval)
	return scope, reporter.HTTPHandler(), closer
}
