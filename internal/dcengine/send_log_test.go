package dcengine

import (
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// TestLogLineLength guards against log lines of queries over many shards that a
// log collector truncates, so that nothing is found by request id, and against
// lines that omit failed sends.
func TestLogLineLength(t *testing.T) {
	const (
		shards       = 300
		maxLineBytes = 8 << 10
	)
	var sendLog sendLog
	for i := range shards {
		call := &dcbalance.Call{Server: dcbalance.Server{ID: "i-0123456789", Addr: "10.200.100.100:65535"}}
		entry := sendLog.started(dcattempt.Send{Part: i, Call: call, Extra: true}, "service-of-a-shard", time.Second)
		if i == shards-1 {
			sendLog.ended(entry, &dcforward.Answer{
				Outcome: dcbalance.Lost, Code: dcreason.UpstreamCrashed,
				Err: errors.New("read tcp 10.200.100.100:65535->10.200.100.100:65535: read: connection reset by peer"),
			}, time.Second)
		}
	}
	line, err := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()).EncodeEntry(zapcore.Entry{Message: "request failed"}, []zapcore.Field{
		zap.String("request", string(dcid.RequestID(strings.Repeat("0", 64)))),
		zap.Object("sends-by-outcome", outcomeCounts{&sendLog}), zap.Array("sends", &sendLog),
	})
	if err != nil {
		t.Fatal(err)
	}
	text := line.String()
	if len(text) > maxLineBytes {
		t.Errorf("log line of %d bytes is too long", len(text))
	}
	for _, want := range []string{`"no-answer-yet":299`, `"upstream-crashed":1`, "connection reset by peer"} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing in %s", want, text)
		}
	}
}
