package dcstandincommand_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/dandelioncart/dandelioncart/internal/dccommand/dcstandincommand"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

const smallProfile = `
failure-domains: [a, b]
groups:
  - {name: mill, services: 2, servers: 3, slots: 1, base-time: 0.001s, versions: [v1]}
`

func writeProfile(t *testing.T, text string) dcstandincommand.Options {
	t.Helper()
	path := filepath.Join(t.TempDir(), "profile.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return dcstandincommand.Options{Profile: path}
}

// TestRun guards against a line of addresses that names some on which nothing
// listens, and against a program that does not stop.
func TestRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	result := make(chan error, 1)
	options := writeProfile(t, smallProfile)
	go func() { result <- dcstandincommand.Run(ctx, options, writer, zap.NewNop()) }()
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	var ready standinv1.Ready
	if err := protojson.Unmarshal(line, &ready); err != nil {
		t.Fatal(err)
	}
	urls := []string{ready.GetHostList(), ready.GetAdmin() + "/v1/report"}
	for _, service := range ready.GetGroups()[0].GetServices() {
		for _, upstream := range service.GetUpstreams() {
			for _, server := range upstream.GetServers() {
				urls = append(urls, "http://"+server+"/v1/status")
			}
		}
	}
	if len(urls) != 2+2*3 {
		t.Errorf("line of addresses lists %v", urls)
	}
	for _, url := range urls {
		response, err := http.Get(url)
		if err != nil {
			t.Error(err)
			continue
		}
		response.Body.Close()
	}
	cancel()
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// TestProfileErrors guards against an invalid profile that is accepted.
func TestProfileErrors(t *testing.T) {
	cases := []struct{ text, want string }{
		{"grops: []", "grops"},
		{"groups: [{name: mill, services: 1}]", "set services and servers"},
		{"groups: [{services: 1, servers: 1}]", "set name"},
		{"store-listen: nowhere", "listen on nowhere"},
		{"]", "parse stand-in profile"},
	}
	for _, c := range cases {
		err := dcstandincommand.Run(t.Context(), writeProfile(t, c.text), io.Discard, zap.NewNop())
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error is %v, want %q in it", c.text, err, c.want)
		}
	}
}

// TestExamples guards against example profiles that do not load or whose
// servers share an address.
func TestExamples(t *testing.T) {
	paths, _ := filepath.Glob("../../../examples/standin/*.yaml")
	if len(paths) != 2 {
		t.Errorf("examples are %v, want two", paths)
	}
	seen := make(map[string]string)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		profile, err := dcstandin.ParseProfile(path, text)
		if err != nil {
			t.Fatal(err)
		}
		fleet, err := dcstandin.NewFleet(profile, clockwork.NewFakeClock())
		if err != nil {
			t.Fatal(err)
		}
		for _, server := range fleet.Select(dcstandin.Selector{}) {
			address := string(server.Config().Address)
			if otherPath, ok := seen[address]; ok {
				t.Errorf("%s is used in %s and %s", address, otherPath, path)
			}
			seen[address] = path
		}
	}
}
