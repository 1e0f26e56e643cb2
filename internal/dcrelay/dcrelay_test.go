package dcrelay

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// TestFetch guards against a copy that loses something on the way to another
// host: without the pending removals, that host would use departed servers for
// as long as it cannot reach the store.
func TestFetch(t *testing.T) {
	want := dcstore.Copy{
		Records:         []dcstore.Record{{Key: "a", Value: []byte("v"), Modified: 3}, {Key: "b", Value: []byte("w"), Modified: 4}},
		PendingRemovals: []string{"a"},
		Revision:        7,
	}
	server := &RecordServer{
		Copy: func(known dcstore.Revision) dcstore.Copy {
			if known >= want.Revision {
				return dcstore.Copy{Revision: want.Revision}
			}
			return want
		},
		Host: func() *hostv1.Record { return &hostv1.Record{HostId: "h1"} },
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	listener := httptest.NewServer(mux)
	defer listener.Close()
	var hosts []string
	client := &Client{
		HTTP:           listener.Client(),
		Addresses:      func() []string { return []string{strings.TrimPrefix(listener.URL, "http://")} },
		RecordReceived: func(host *hostv1.Record) { hosts = append(hosts, host.GetHostId()) },
		Random:         rand.New(rand.NewPCG(1, 1)),
	}
	for known, want := range map[dcstore.Revision]dcstore.Copy{0: want, want.Revision: {Revision: want.Revision}} {
		if got, err := client.Fetch(t.Context(), known); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("known revision %d: got %+v, %v, want %+v", known, got, err, want)
		}
	}
	if len(hosts) != 2 || hosts[0] != "h1" {
		t.Errorf("records of hosts %v, want h1 twice", hosts)
	}
}
