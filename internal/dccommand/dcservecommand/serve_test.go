package dcservecommand

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
)

func run(t *testing.T, ctx context.Context, clock *clockwork.FakeClock, settings string) (log string, err error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	env := &dccommand.Environment{Err: &output, Clock: clock, HTTP: http.DefaultClient, Random: strings.NewReader(strings.Repeat("seed", 100))}
	options := Options{Settings: path, StopAllowance: time.Second}
	ended := make(chan error, 1)
	go func() { ended <- options.Run(ctx, env) }()
	for {
		select {
		case err := <-ended:
			return output.String(), err
		default:
			clock.Advance(10 * time.Millisecond)
			runtime.Gosched()
		}
	}
}

func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	_, port, _ := net.SplitHostPort(listener.Addr().String())
	return port
}

// Guards against settings that are accepted in spite of a fault, and against a
// host without store and configuration that does not stop.
func TestRun(t *testing.T) {
	const valid = `
host-id: host-1
failure-domain: a
callers: {listen: "127.0.0.1:%s"}
peers: {listen: "127.0.0.1:%s"}
store: {endpoints: ["http://127.0.0.1:1"]}
stop-timeout: 5s
`
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	log, err := run(t, ended, clockwork.NewFakeClock(), strings.NewReplacer("%s", freePort(t)).Replace(strings.Replace(valid, "%s", freePort(t), 1)))
	if err != nil || !strings.Contains(log, "host stopped") {
		t.Errorf("got %v, log %s", err, log)
	}
	for name, settings := range map[string]string{
		"not YAML":       "]",
		"unknown field":  valid + "colour: red",
		"no certificate": strings.ReplaceAll(valid, "%s", "7100") + "caller-tls: {certificate-file: /none, key-file: /none}",
		"malformed port": strings.ReplaceAll(valid, "%s", "99999"),
	} {
		if _, err := run(t, ended, clockwork.NewFakeClock(), settings); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
