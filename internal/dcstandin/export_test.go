package dcstandin

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// DrawServiceTimes returns the service times that one server draws for a number
// of requests.
func DrawServiceTimes(config UpstreamConfig, draws int) []time.Duration {
	upstream := NewUpstream(config, clockwork.NewFakeClock(), NewRunLog())
	times := make([]time.Duration, draws)
	for i := range times {
		times[i] = upstream.serviceTime()
	}
	return times
}
