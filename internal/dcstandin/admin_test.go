package dcstandin_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/dandelioncart/dandelioncart/internal/dchostlist"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

func callAdmin(fx *fixture, method, path, body string) int {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	dcstandin.NewAdmin(fx.fleet).ServeHTTP(recorder, request)
	return recorder.Code
}

// TestAdminRefusals guards against an invalid change, such as a mistyped switch,
// that is answered as if it had taken effect.
func TestAdminRefusals(t *testing.T) {
	fx := newFixture(t, nil)
	cases := []struct{ method, path, body string }{
		{"PUT", "/v1/faults", `{"drainin":true}`},
		{"PUT", "/v1/faults?group=none", `{}`},
		{"POST", "/v1/power", `{"action":"explode"}`},
		{"POST", "/v1/index", `{"epoch":2}`},
		{"POST", "/v1/index?failure-domain=a", `{"epoch":2,"total-shards":3}`},
		{"PUT", "/v1/host-list", `{"hosts":[{"address":"x","state":"gone"}]}`},
	}
	for _, c := range cases {
		if status := callAdmin(fx, c.method, c.path, c.body); status != http.StatusBadRequest {
			t.Errorf("%s %s %s: status %d, want 400", c.method, c.path, c.body, status)
		}
	}
}

// TestAdminFaults guards against changes that reach servers that are not
// selected, or do not reach the selected ones.
func TestAdminFaults(t *testing.T) {
	fx := newFixture(t, nil)
	steps := []struct {
		method, path, body string
		search             int
	}{
		{"PUT", "/v1/faults?failure-domain=b", `{"draining":true}`, http.StatusOK},
		{"PUT", "/v1/faults?failure-domain=a", `{"draining":true}`, http.StatusServiceUnavailable},
		{"PUT", "/v1/faults?group=mill", `{}`, http.StatusOK},
		{"POST", "/v1/index?service=mill", `{"drop-versions":["v1"],"add-versions":["v2"]}`, http.StatusConflict},
		{"POST", "/v1/index", `{"add-versions":["v1"],"epoch":2,"total-shards":6,"drop-epoch":1}`, http.StatusConflict},
		{"POST", "/v1/power?failure-domain=a", `{"action":"kill"}`, 0},
		{"POST", "/v1/power", `{"action":"restart"}`, http.StatusConflict},
	}
	for _, step := range steps {
		if status := callAdmin(fx, step.method, step.path, step.body); status != http.StatusNoContent {
			t.Fatalf("%s %s: status %d", step.path, step.body, status)
		}
		fx.expectAnswer(fx.send(t.Context(), searchCall()), step.search)
	}
	fx.expectAnswer(fx.send(t.Context(), searchCall("Map-Epoch", "2")), http.StatusOK)
}

// TestAdminPlatform guards against a store outage that does not refuse
// connections, which the tier could not tell from a lost reply, and against a
// host list without the lag.
func TestAdminPlatform(t *testing.T) {
	fx := newFixture(t, nil)
	ctx := context.Background()
	client := dcstore.NewClient([]string{fx.fleet.Platform.StoreURL()}, time.Minute, "")
	defer client.Close()
	swap := func(key string) error {
		_, err := client.CompareAndSwap(ctx, dcstore.Swap{Key: key})
		return err
	}
	steps := []struct {
		body string
		want error
	}{
		{`{"outage":true}`, dcstore.ErrUnavailable},
		{`{"lose-replies":1}`, dcstore.ErrUnknownOutcome},
		{`{}`, nil},
	}
	for i, step := range steps {
		callAdmin(fx, "PUT", "/v1/store", step.body)
		if err := swap(strings.Repeat("k", i+1)); !errors.Is(err, step.want) {
			t.Errorf("%s: error is %v, want %v", step.body, err, step.want)
		}
	}
	fx.clock.Advance(time.Minute)
	address := fx.first().Server.Addr()
	body := `{"hosts":[{"address":"` + address + `","state":"leaving"}],"lag":"60s"}`
	callAdmin(fx, "PUT", "/v1/host-list", body)
	list := &dchostlist.Client{URL: fx.fleet.Platform.HostListURL(), HTTP: fx.client}
	for _, want := range []dchostlist.State{dchostlist.Live, dchostlist.Leaving} {
		fx.clock.Advance(30 * time.Second)
		hosts, err := list.Fetch(ctx)
		if err != nil || len(hosts) != 3 || hosts[0] != (dchostlist.Host{Address: address, State: want}) {
			t.Errorf("host list is %v, error %v, want the first host %s", hosts, err, want)
		}
	}
}

// TestAdminReport guards against a report that omits an order that ran twice.
func TestAdminReport(t *testing.T) {
	fx := newFixture(t, nil)
	fx.send(t.Context(), orderCall())
	fx.send(t.Context(), orderCall())
	recorder := httptest.NewRecorder()
	dcstandin.NewAdmin(fx.fleet).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/report?failure-domain=a", nil))
	var report standinv1.Report
	if err := protojson.Unmarshal(recorder.Body.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	if report.GetOrdersRun() != 1 || len(report.GetDuplicates()) != 1 || len(report.GetServers()) != 1 {
		t.Errorf("report is %v", &report)
	}
	if servers := report.GetDuplicates()[0].GetServers(); len(servers) != 2 {
		t.Errorf("duplicate order ran on %v, want two runs", servers)
	}
}
