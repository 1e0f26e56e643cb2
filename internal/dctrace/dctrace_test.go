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

// TestFind guards against lines of other requests and hosts in a story, and
// against a story that misses a host.
func TestFind(t *testing.T) {
	story, err := Find("r1", strings.NewReader(log1), strings.NewReader(log2))
	if err != nil {
		t.Fatal(err)
	}
	if len(story.Events) != 2 || story.Events[0].Host != "h3" || len(story.Events[1].Sends) != 1 || story.Events[1].Sends[0].Reason != "upstream-crashed" {
		t.Errorf("events %+v", story.Events)
	}
	if len(story.HostEvents) != 1 || story.HostEvents[0].Message != "store lost" || story.HostEvents[0].Host != "h1" {
		t.Errorf("around %+v", story.HostEvents)
	}
	if story.Events[1].Fields["status"] != 502.0 {
		t.Errorf("fields %v", story.Events[1].Fields)
	}
}

// TestUnrelatedServicesOmitted guards against a story that drowns in lines about servers of
// other services, and against one that leaves out those of its own.
func TestUnrelatedServicesOmitted(t *testing.T) {
	const lines = `{"ts":"2026-01-01T00:00:10Z","msg":"request failed","host":"h1","request":"r1","services-without-server":["q"],"sends":[{"service":"s"}]}
{"ts":"2026-01-01T00:00:09Z","msg":"server removed","host":"h1","service":"s"}
{"ts":"2026-01-01T00:00:09Z","msg":"server listed","host":"h1","service":"q"}
{"ts":"2026-01-01T00:00:09Z","msg":"server listed","host":"h1","service":"other"}
{"ts":"2026-01-01T00:00:09Z","msg":"store lost","host":"h1"}
{"ts":"2026-01-01T00:00:09Z","msg":"route unknown","host":"h1","request":"r2"}
{"ts":"2026-01-01T00:00:09Z","msg":"request failed","host":"h1","request":"r3"}
`
	story, err := Find("r1", strings.NewReader(lines))
	if err != nil {
		t.Fatal(err)
	}
	if len(story.HostEvents) != 3 || story.Omitted != 1 {
		t.Errorf("%d lines left out, around %+v", story.Omitted, story.HostEvents)
	}
	// Without any service of its own, all servers may matter.
	if story, err = Find("r3", strings.NewReader(lines)); err != nil || len(story.HostEvents) != 4 || story.Omitted != 0 {
		t.Errorf("%v, %d lines left out, around %+v", err, story.Omitted, story.HostEvents)
	}
}
