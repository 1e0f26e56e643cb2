package dctrace

import (
	"strings"
	"testing"
)

const log1 = `   1.5 h1 {"level":"warn","ts":"2026-01-01T00:00:10.5Z","msg":"request failed","host":"h1","request":"r1","status":502,"sends":[{"service":"s","server":"i-1","address":"a:1","at":0.001,"reason":"upstream-crashed","elapsed":0.002,"error":"EOF"}]}
{"level":"info","ts":"2026-01-01T00:00:09Z","msg":"store lost","host":"h1"}
{"level":"info","ts":"2026-01-01T00:00:01Z","msg":"long before","host":"h1"}
{"level":"info","ts":"2026-01-01T00:00:10Z","msg":"request failed","host":"h1","request":"r2"}
not a log line
{"broken":
`

const log2 = `{"level":"info","ts":"2026-01-01T00:00:09Z","msg":"store lost","host":"h2"}
{"level":"info","ts":"2026-01-01T00:00:09.5Z","msg":"answered late","host":"h3","request":"r1","elapsed":1.5}
`

// TestFind guards against a trace that contains lines of other requests or other
// hosts, and against a trace that lacks the lines of a host.
func TestFind(t *testing.T) {
	trace, err := Find("r1", strings.NewReader(log1), strings.NewReader(log2))
	if err != nil {
		t.Fatal(err)
	}
	if len(trace.Events) != 2 || trace.Events[0].Host != "h3" || len(trace.Events[1].Sends) != 1 || trace.Events[1].Sends[0].Reason != "upstream-crashed" {
		t.Errorf("events %+v", trace.Events)
	}
	if len(trace.HostEvents) != 1 || trace.HostEvents[0].Message != "store lost" || trace.HostEvents[0].Host != "h1" {
		t.Errorf("host events %+v", trace.HostEvents)
	}
	if trace.Events[1].Fields["status"] != 502.0 {
		t.Errorf("fields %v", trace.Events[1].Fields)
	}
}

// TestUnrelatedServicesOmitted guards against a trace that contains the many
// lines about servers of other services, and against one that omits lines about
// servers of its own services.
func TestUnrelatedServicesOmitted(t *testing.T) {
	const lines = `{"ts":"2026-01-01T00:00:10Z","msg":"request failed","host":"h1","request":"r1","services-without-server":["q"],"sends":[{"service":"s"}]}
{"ts":"2026-01-01T00:00:09Z","msg":"server removed","host":"h1","service":"s"}
{"ts":"2026-01-01T00:00:09Z","msg":"server listed","host":"h1","service":"q"}
{"ts":"2026-01-01T00:00:09Z","msg":"server listed","host":"h1","service":"other"}
{"ts":"2026-01-01T00:00:09Z","msg":"store lost","host":"h1"}
{"ts":"2026-01-01T00:00:09Z","msg":"route unknown","host":"h1","request":"r2"}
{"ts":"2026-01-01T00:00:09Z","msg":"request failed","host":"h1","request":"r3"}
`
	trace, err := Find("r1", strings.NewReader(lines))
	if err != nil {
		t.Fatal(err)
	}
	if len(trace.HostEvents) != 3 || trace.Omitted != 1 {
		t.Errorf("%d lines omitted, host events %+v", trace.Omitted, trace.HostEvents)
	}
	// If the lines of the request name no service, any server may be relevant.
	if trace, err = Find("r3", strings.NewReader(lines)); err != nil || len(trace.HostEvents) != 4 || trace.Omitted != 0 {
		t.Errorf("error %v, %d lines omitted, host events %+v", err, trace.Omitted, trace.HostEvents)
	}
}
