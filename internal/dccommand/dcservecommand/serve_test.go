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

// run runs the command with a fake clock that advances until it returns.
func run(t *testing.T, ctx context.Context, clock *clockwork.FakeClock, settings string) (log string, err error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	env := &dccommand.Environment{Err: &output, Clock: clock, HTTP: http.DefaultClient, Random: strings.NewReader(strings.Repeat("seed", 100))}
	options := Options{Settings: path, StopAllowance: time.Second}
	result := make(chan error, 1)
	go func() { result <- options.Run(ctx, env) }()
	for {
		select {
		case err := <-result:
			return output.String(), err
		default:
			clock.Advance(10 * time.Millisecond)
			runtime.Gosched()
		}
	}
}

// freePort returns a loopback port on which nothing listens.
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

// TestRun guards against invalid settings that are accepted, and against a host
// that does not stop while it has neither a store nor a configuration.
func TestRun(t *testing.T) {
	const valid = `
host-id: host-1
failure-domain: a
callers: {listen: "127.0.0.1:%s"}
peers: {listen: "127.0.0.1:%s"}
store: {endpoints: ["http://127.0.0.1:1"]}
stop-timeout: 5s
`
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	log, err := run(t, cancelled, clockwork.NewFakeClock(), strings.NewReplacer("%s", freePort(t)).Replace(strings.Replace(valid, "%s", freePort(t), 1)))
	if err != nil || !strings.Contains(log, "host stopped") {
		t.Errorf("got %v, log %s", err, log)
	}
	for name, settings := range map[string]string{
		"not YAML":       "]",
		"unknown field":  valid + "colour: red",
		"no certificate": strings.ReplaceAll(valid, "%s", "7100") + "caller-tls: {certificate-file: /none, key-file: /none}",
		"malformed port": strings.ReplaceAll(valid, "%s", "99999"),
	} {
		if _, err := run(t, cancelled, clockwork.NewFakeClock(), settings); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
