package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
)

// fakeHosts is an HTTP transport that records each request and answers it with
// the next of its replies.
type fakeHosts struct {
	replies  []reply
	requests bytes.Buffer
}

// reply is the answer to one request. transportError is "refused" when the
// connection is refused, "lost" when the connection ends without a response,
// and empty otherwise.
type reply struct {
	status         int
	body           string
	transportError string
}

func (h *fakeHosts) RoundTrip(request *http.Request) (*http.Response, error) {
	h.record(request)
	if len(h.replies) == 0 {
		return nil, errors.New("no reply in the script")
	}
	current := h.replies[0]
	h.replies = h.replies[1:]
	switch current.transportError {
	case "refused":
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	case "lost":
		return nil, io.ErrUnexpectedEOF
	}
	return &http.Response{
		StatusCode: current.status,
		Header:     http.Header{},
		Body:       io.NopCloser(strings.NewReader(current.body)),
		Request:    request,
	}, nil
}

// record appends the method, the URL, the department, the credential, the
// timeout and the body of a request to requests.
func (h *fakeHosts) record(request *http.Request) {
	department, credential, _ := request.BasicAuth()
	fmt.Fprintf(&h.requests, "> %s %s %s:%s %s", request.Method, request.URL, department, credential, request.Header.Get("Request-Timeout-Ms"))
	body, _ := io.ReadAll(request.Body)
	if len(body) > 0 {
		h.requests.WriteByte(' ')
		// protojson varies its white space, so remove it.
		_ = json.Compact(&h.requests, body)
	}
	h.requests.WriteByte('\n')
}

// TestCommands guards against requests that do not match the arguments of a
// command, and against exit codes that do not match the outcome. The scripts in
// testdata set replies with the directives reply, refused and lost. The
// directive run executes a command and shows the requests, the output and the
// exit code.
func TestCommands(t *testing.T) {
	setEnvironment(t)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		hosts := &fakeHosts{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "reply":
				status := 200
				if data.HasArg("status") {
					data.ScanArgs(t, "status", &status)
				}
				hosts.replies = append(hosts.replies, reply{status: status, body: data.Input})
				return ""
			case "refused", "lost":
				times := 1
				if data.HasArg("times") {
					data.ScanArgs(t, "times", &times)
				}
				hosts.replies = append(hosts.replies, slices.Repeat([]reply{{transportError: data.Cmd}}, times)...)
				return ""
			case "run":
				return runScriptedCommand(t, hosts, strings.Split(data.Input, "\n"))
			}
			t.Fatalf("unknown directive %s", data.Cmd)
			return ""
		})
	})
}

// setEnvironment sets the environment variables for two entry hosts and the
// credential.
func setEnvironment(t *testing.T) {
	t.Setenv("DANDELIONCART_ADDRESS", "10.0.0.1:7100,10.0.0.2:7100")
	t.Setenv("DANDELIONCART_DEPARTMENT", "kitchen")
	t.Setenv("DANDELIONCART_CREDENTIAL", "secret")
}

// runScriptedCommand runs the command whose arguments are the words of the
// lines. The lines after a line with a single dot are its standard input.
func runScriptedCommand(t *testing.T, hosts *fakeHosts, lines []string) string {
	var input string
	for i, line := range lines {
		if line == "." {
			input = strings.Join(lines[i+1:], "\n")
			lines = lines[:i]
			break
		}
	}
	status, output := execute(t, hosts, input, strings.Fields(strings.Join(lines, " "))...)
	remaining := len(hosts.replies)
	hosts.replies = nil
	requests := hosts.requests.String()
	hosts.requests.Reset()
	return fmt.Sprintf("%s%sexit %d, %d replies left\n", requests, output, status, remaining)
}

// execute runs a command with a clock that starts on 2026-12-01 and skips all
// sleeps. It returns the exit code, and standard output and standard error
// together.
func execute(t *testing.T, hosts *fakeHosts, input string, arguments ...string) (int, string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC))
	go skipSleeps(ctx, clock)
	var output bytes.Buffer
	env := &dccommand.Environment{
		In:     strings.NewReader(input),
		Out:    &output,
		Err:    &output,
		Clock:  clock,
		HTTP:   &http.Client{Transport: hosts},
		Random: rand.New(rand.NewSource(1)),
	}
	status := dccommand.Execute(ctx, env, &commands{}, arguments)
	return status, output.String()
}

// skipSleeps advances the clock whenever a command sleeps, so that each sleep
// ends at once.
func skipSleeps(ctx context.Context, clock *clockwork.FakeClock) {
	for clock.BlockUntilContext(ctx, 1) == nil {
		clock.Advance(time.Second)
	}
}

// TestHelp guards against commands whose help lacks examples or exit codes.
func TestHelp(t *testing.T) {
	for _, command := range []string{
		"config check", "config apply", "config get", "config history", "config status", "addresses", "query",
		"order run", "order outcome", "report burn", "report department", "credential digest", "version",
	} {
		status, output := execute(t, &fakeHosts{}, "", append(strings.Fields(command), "--help")...)
		if status != 0 || !strings.Contains(output, "dandelioncart "+command) || !strings.Contains(output, "Examples:") {
			t.Errorf("%s: status %d, help:\n%s", command, status, output)
		}
		if command != "version" && !strings.Contains(output, "Exit codes:") {
			t.Errorf("%s: help has no exit codes", command)
		}
	}
}

// TestExamples guards against example files that config check rejects.
func TestExamples(t *testing.T) {
	for pattern, flag := range map[string]string{"configuration.yaml": "", "host-*.yaml": "--host"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", "*", pattern))
		if err != nil || len(files) < 2 {
			t.Fatalf("%s: %v %v", pattern, files, err)
		}
		arguments := append([]string{"config", "check"}, files...)
		if flag != "" {
			arguments = append(arguments, flag)
		}
		if status, output := execute(t, &fakeHosts{}, "", arguments...); status != 0 {
			t.Errorf("%s: status %d\n%s", pattern, status, output)
		}
	}
}

// TestCheckPlatformFiles guards against files of the users' platform that are
// parsed as another kind of file, or whose errors are not reported.
func TestCheckPlatformFiles(t *testing.T) {
	for flag, document := range map[string]string{
		"--platform-settings":      "node_name: h1\n",
		"--platform-configuration": `{"routes": [{"name": "a", "route_kind": "safe"}]}`,
	} {
		status, output := execute(t, &fakeHosts{}, document, "config", "check", flag, "-")
		if status != int(dccommand.ExitInvalid) || !strings.Contains(output, ":1: ") || !strings.Contains(output, "errors found") {
			t.Errorf("%s: status %d\n%s", flag, status, output)
		}
	}
	if status, output := execute(t, &fakeHosts{}, "", "config", "check", "--host", "--platform-settings", "-"); status == 0 {
		t.Errorf("two kinds at once: status %d\n%s", status, output)
	}
}

// TestBurnReportPage guards against a page that loads something from the
// network, and against labels that are not escaped and so could add elements to
// the page.
func TestBurnReportPage(t *testing.T) {
	setEnvironment(t)
	file := filepath.Join(t.TempDir(), "burn.html")
	report := `{"result":{"outcome":"ran","reason":"ok"},"rows":[{"service-group":"</script>find","department":"kitchen","objective":"latency","requests":10,"good":9,"burn":{"1h":2.5}}]}`
	hosts := &fakeHosts{replies: []reply{{status: 200, body: report}}}
	status, output := execute(t, hosts, "", "report", "burn", "--html", file)
	page, err := os.ReadFile(file)
	if status != 0 || err != nil {
		t.Fatalf("status %d, error %v\n%s", status, err, output)
	}
	text := string(page)
	if !strings.Contains(text, "2.5") || !strings.Contains(text, "<svg") {
		t.Errorf("page lacks figures or charts:\n%s", text)
	}
	for _, bad := range []string{"src=", "<script", "</script>find"} {
		if strings.Contains(text, bad) {
			t.Errorf("page contains %q", bad)
		}
	}
}
