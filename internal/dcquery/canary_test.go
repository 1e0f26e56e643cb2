package dcquery

import (
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbudget"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// TestCanary checks that a request that crashes every server that runs it is
// sent to at most two servers.
func TestCanary(t *testing.T) {
	crash := failReply(dcreason.Unknown, dcreason.UpstreamCrashed)
	shed := failReply(dcreason.NotRun, dcreason.UpstreamShed)
	timeout := failReply(dcreason.Unknown, dcreason.OutcomeUnknown)
	tests := []struct {
		name    string
		replies []reply
		retry   bool
		// sent is the number of transmissions of a query with 10 shards.
		sent, crashReports int
		code               dcreason.Code
	}{
		{"succeeds", nil, false, 10, 0, dcreason.OK},
		{"crashes, no retry", []reply{crash}, false, 1, 1, dcreason.UpstreamCrashed},
		{"crashes once", []reply{crash}, true, 11, 1, dcreason.OK},
		{"crashes twice", []reply{crash, crash}, true, 2, 2, dcreason.UpstreamCrashed},
		{"crashes, then refused", []reply{crash, shed}, true, 2, 1, dcreason.UpstreamCrashed},
		{"refused", []reply{shed}, true, 11, 0, dcreason.OK},
		{"no answer", []reply{timeout}, true, 1, 0, dcreason.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			options := testOptions(1)
			options.Budget = dcbudget.NewGroup(0.9, 0.05).NewBudget()
			options.Canary = true
			options.AllowCanaryRetry = func(dcid.ServerAddr) bool { return test.retry }
			runner := harness{}
			runner.serve = func(send Action) reply {
				if len(runner.sends) <= len(test.replies) {
					return test.replies[len(runner.sends)-1]
				}
				return okReply(send.Label, time.Millisecond)
			}
			snapshot := testSnapshot(10, "v1", 1)
			answer := runner.run(t, New(snapshot, options), testStart)
			checkCoverage(t, snapshot, answer)
			if answer.Code != test.code || answer.Stats.Sent != test.sent || len(runner.crashReports) != test.crashReports {
				t.Errorf("code %s, %d sent, suspects %v", answer.Code, answer.Stats.Sent, runner.crashReports)
			}
			if len(runner.crashReports) == 2 && runner.crashReports[0] == runner.crashReports[1] {
				t.Errorf("the request was sent twice to server %s", runner.crashReports[0])
			}
		})
	}
}
