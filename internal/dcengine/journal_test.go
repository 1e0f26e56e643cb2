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

// TestLineLength guards against log lines of queries over many shards that a
// collector cuts, so that nothing can be found by the request's id, and against
// lines that leave out the sends that failed.
func TestLineLength(t *testing.T) {
	const (
		shards  = 300
		longest = 8 << 10
	)
	var journal journal
	for i := range shards {
		use := &dcbalance.Call{Server: dcbalance.Server{ID: "i-0123456789", Addr: "10.200.100.100:65535"}}
		entry := journal.started(dcattempt.Send{Part: i, Call: use, Extra: true}, "service-of-a-shard", time.Second)
		if i == shards-1 {
			journal.ended(entry, &dcforward.Answer{
				Outcome: dcbalance.Lost, Code: dcreason.UpstreamCrashed,
				Err: errors.New("read tcp 10.200.100.100:65535->10.200.100.100:65535: read: connection reset by peer"),
			}, time.Second)
		}
	}
	line, err := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()).EncodeEntry(zapcore.Entry{Message: "request failed"}, []zapcore.Field{
		zap.String("request", string(dcid.RequestID(strings.Repeat("0", 64)))),
		zap.Object("sends-by-outcome", outcomes{&journal}), zap.Array("sends", &journal),
	})
	if err != nil {
		t.Fatal(err)
	}
	text := line.String()
	if len(text) > longest {
		t.Errorf("%d bytes", len(text))
	}
	for _, want := range []string{`"no-answer-yet":299`, `"upstream-crashed":1`, "connection reset by peer"} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing in %s", want, text)
		}
	}
}
