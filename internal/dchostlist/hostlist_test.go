package dchostlist_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dchostlist"
)

// TestFetch guards against a damaged or unreadable list that is accepted as a
// shorter one, which would make live hosts look gone.
func TestFetch(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   []dchostlist.Host
		fails  bool
	}{
		{"groups", 200, `[{"targets":["10.0.0.1:80","10.0.0.2:80"],"labels":{"state":"live"}},
			{"targets":["10.0.0.3:80"],"labels":{"state":"leaving"}},{"targets":["10.0.0.4:80"]}]`,
			[]dchostlist.Host{{Address: "10.0.0.1:80", State: "live"}, {Address: "10.0.0.2:80", State: "live"},
				{Address: "10.0.0.3:80", State: "leaving"}, {Address: "10.0.0.4:80", State: "live"}}, false},
		{"empty", 200, `[]`, nil, false},
		{"unknown state", 200, `[{"targets":["10.0.0.1:80"],"labels":{"state":"away"}}]`, nil, true},
		{"cut", 200, `[{"targets":["10.0.0.1:80"]`, nil, true},
		{"error status", 500, `[]`, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			client := &dchostlist.Client{URL: server.URL, HTTP: server.Client()}
			hosts, err := client.Fetch(context.Background())
			if (err != nil) != c.fails {
				t.Errorf("error is %v", err)
			}
			if diff := cmp.Diff(c.want, hosts); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestFakeLag guards against a fake that returns changes before its lag has
// passed, and against an outage without an error.
func TestFakeLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	fake := dchostlist.NewFake(clock, dchostlist.Host{Address: "a", State: dchostlist.Live})
	fake.SetLag(10 * time.Second)
	fake.SetState("a", dchostlist.Leaving)
	fake.SetState("b", dchostlist.Live)
	state := func() (states []dchostlist.State) {
		hosts, err := fake.Fetch(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for _, host := range hosts {
			states = append(states, host.State)
		}
		return states
	}
	if diff := cmp.Diff([]dchostlist.State{dchostlist.Live}, state()); diff != "" {
		t.Error(diff)
	}
	clock.Advance(10 * time.Second)
	if diff := cmp.Diff([]dchostlist.State{dchostlist.Leaving, dchostlist.Live}, state()); diff != "" {
		t.Error(diff)
	}
	fake.SetOutage(true)
	if _, err := fake.Fetch(context.Background()); !errors.Is(err, dchostlist.ErrUnavailable) {
		t.Errorf("error is %v, want ErrUnavailable", err)
	}
}
