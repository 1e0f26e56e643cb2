// Package dcmetrics collects the metrics of a process and serves them as text.
package dcmetrics

import (
	"io"
	"net/http"
	"time"

	tally "github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// prefix begins the names of all metrics.
const prefix = "dandelioncart"

// New returns the root of all metrics and the handler that serves them.
// interval is how often they are passed on to the handler, until the closer is
// closed.
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
