package dchost

import (
	"encoding/base64"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcdrain"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

func checkResult(t *testing.T, result *callerv1.Result, outcome, reason string) {
	t.Helper()
	if result.GetOutcome() != outcome || result.GetReason() != reason {
		t.Errorf("got %s %s (%s), want %s %s", result.GetOutcome(), result.GetReason(), result.GetMessage(), outcome, reason)
	}
}

func checkComplete(t *testing.T, answer *callerv1.QueryResponse) {
	t.Helper()
	checkResult(t, answer.GetResult(), "ran", "ok")
	covered := 0
	for _, service := range answer.GetCoverage() {
		covered += len(service.GetCovered())
	}
	if covered != testShards || len(answer.GetShards()) != testShards || answer.GetIndexVersion() != "v2" {
		t.Errorf("%d shards covered, %d in the answer, version %s", covered, len(answer.GetShards()), answer.GetIndexVersion())
	}
	for _, shard := range answer.GetShards() {
		if !strings.Contains(string(shard.GetBody()), answer.GetResult().GetRequestId()) {
			t.Errorf("shard %s answers another request: %s", shard.GetShard(), shard.GetBody())
		}
	}
}

// TestWholePath guards against faults in the path of a request from the caller
// to the upstream and back on every host, and against an order that runs twice
// when it is sent again to another host.
func TestWholePath(t *testing.T) {
	tier := newTier(t, 3)
	tier.start()
	for host := range tier.hosts {
		checkComplete(t, tier.query(host, "rye"))
	}
	key := tier.key(0)
	first := tier.order(0, key, "flour")
	checkResult(t, first.GetResult(), "ran", "ok")
	for _, again := range []*callerv1.OrderResponse{tier.order(1, key, "flour"), tier.lookup(2, key)} {
		checkResult(t, again.GetResult(), "ran", "ok")
		if string(again.GetBody()) != string(first.GetBody()) {
			t.Errorf("%s answered %s, first answer %s", again.GetResult().GetHostId(), again.GetBody(), first.GetBody())
		}
	}
	checkResult(t, tier.order(2, key, "other").GetResult(), "not-run", "key-body-mismatch")
	if runs := tier.fleet.RunLog.Runs(dcstandin.OrderID{Department: "kitchen", Key: dcid.OrderKey(key)}); len(runs) != 1 {
		t.Errorf("order ran on %v", runs)
	}
	addresses := &callerv1.AddressesResponse{}
	tier.call(1, request{path: "/v1/addresses?service-group=" + testGroup}, addresses)
	if len(addresses.GetAddresses()) != 3 || addresses.GetLifetimeMs() != 5000 {
		t.Errorf("got addresses %v", addresses)
	}
	checkConfigRoutes(t, tier)
	checkReports(t, tier)
}

func checkConfigRoutes(t *testing.T, tier *tier) {
	t.Helper()
	status, latest, history := &callerv1.StatusResponse{}, &callerv1.ConfigResponse{}, &callerv1.HistoryResponse{}
	tier.call(1, request{path: "/v1/config/status"}, status)
	tier.call(2, request{path: "/v1/config/revisions/latest"}, latest)
	tier.call(0, request{path: "/v1/config/history?limit=5"}, history)
	if len(status.GetHosts()) != 3 || status.GetLatestRevision() != 1 || len(status.GetNotHeardFrom()) > 0 {
		t.Errorf("status: %v", status)
	}
	if latest.GetRevision().GetRevision() != 1 || latest.GetDocument() == "" || len(history.GetRevisions()) != 1 {
		t.Errorf("latest %v, history %v", latest.GetRevision(), history)
	}
}

// checkReports waits for the end of the minute, since reports cover whole
// minutes only.
func checkReports(t *testing.T, tier *tier) {
	t.Helper()
	until := tier.clock.Now().Add(time.Minute)
	tier.waitFor("the end of the minute", func() bool { return !tier.clock.Now().Before(until) })
	department, other, burn := &callerv1.ReportResponse{}, &callerv1.ReportResponse{}, &callerv1.ReportResponse{}
	tier.call(0, request{path: "/v1/report/department"}, department)
	tier.call(0, request{path: "/v1/report/department", department: "accounts"}, other)
	tier.call(0, request{path: "/v1/report/burn"}, burn)
	got := map[string]uint32{}
	for _, row := range department.GetRows() {
		got[row.GetServiceGroup()] = row.GetRequests()
	}
	if diff := cmp.Diff(map[string]uint32{testGroup: 3, testOrders: 3}, got); diff != "" {
		t.Errorf("department report: %s", diff)
	}
	if len(other.GetRows()) != 0 || len(department.GetCoveredHosts()) != 3 {
		t.Errorf("another department sees %v; hosts covered %v", other.GetRows(), department.GetCoveredHosts())
	}
	if len(burn.GetRows()) != 2 || burn.GetRows()[0].GetGood() != 3 {
		t.Errorf("burn report: %v", burn.GetRows())
	}
}

// TestStoreOutage guards against queries that depend on the store, and, while
// the store is down, against orders that wait for it or are sent without a
// claim.
func TestStoreOutage(t *testing.T) {
	tier := newTier(t, 2)
	tier.start()
	tier.fleet.Platform.Store.SetFaults(func(faults *dcstore.FakeFaults) { faults.Outage = true })
	key := tier.key(0)
	checkResult(t, tier.order(0, key, "flour").GetResult(), "not-run", "store-unavailable")
	checkComplete(t, tier.query(1, "rye"))
	tier.fleet.Platform.Store.SetFaults(func(faults *dcstore.FakeFaults) { faults.Outage = false })
	var answer *callerv1.OrderResponse
	tier.waitFor("an order after the outage", func() bool {
		answer = tier.order(0, key, "flour")
		return answer.GetResult().GetReason() == "ok"
	})
	checkResult(t, answer.GetResult(), "ran", "ok")
	if tier.fleet.RunLog.Orders() != 1 || len(tier.fleet.RunLog.Duplicates()) > 0 {
		t.Errorf("%d orders ran, duplicates: %v", tier.fleet.RunLog.Orders(), tier.fleet.RunLog.Duplicates())
	}
}

// TestStop guards against a stopping host that refuses callers with an earlier
// address answer, and against address answers that still include the host.
func TestStop(t *testing.T) {
	tier := newTier(t, 3)
	tier.start()
	leaving := tier.hosts[0]
	tier.stops[0]()
	tier.waitFor("leaving", func() bool { return !leaving.drain.ready() })
	checkComplete(t, tier.query(0, "rye"))
	addresses := &callerv1.AddressesResponse{}
	tier.waitFor("an address answer without the host", func() bool {
		tier.call(1, request{path: "/v1/addresses?service-group=" + testGroup}, addresses)
		return !slices.Contains(addresses.GetAddresses(), leaving.self.CallerAddress)
	})
	checkComplete(t, tier.query(0, "rye"))
	tier.waitForEnd(tier.ended[0])
	tier.ended[0] <- nil
	seats, err := tier.fleet.Platform.Store.List(t.Context(), seatPrefix, 0, false)
	if err != nil || len(seats) != 2 {
		t.Errorf("%d seats are held, want 2: %v", len(seats), err)
	}
	checkComplete(t, tier.query(1, "rye"))
}

// TestCrashingRequest guards against a request that crashes more than two
// servers when it is sent again to every host.
func TestCrashingRequest(t *testing.T) {
	tier := newTier(t, 3)
	tier.start()
	for _, server := range tier.fleet.Select(dcstandin.Selector{Group: testGroup}) {
		server.SetFaults(func(faults *dcstandin.Faults) { faults.CrashBody = []byte("poison") })
	}
	for i := range 6 {
		answer := tier.query(i%3, "poison")
		if answer.GetResult().GetOutcome() == "ran" {
			t.Errorf("answer %d: %v", i, answer.GetResult())
		}
	}
	checkResult(t, tier.query(2, "poison").GetResult(), "not-run", "quarantined")
	crashes := 0
	for _, server := range tier.fleet.Select(dcstandin.Selector{Group: testGroup}) {
		crashes += server.Stats().Crashes
	}
	if crashes > 2 {
		t.Errorf("%d servers crashed, want at most 2", crashes)
	}
}

// TestDrainingUpstream guards against a host that still sends work to a
// draining server after the threshold of 3 s.
func TestDrainingUpstream(t *testing.T) {
	tier := newTier(t, 2)
	tier.start()
	server := tier.fleet.Select(dcstandin.Selector{Group: testGroup})[0]
	server.SetFaults(func(faults *dcstandin.Faults) { faults.Draining = true })
	until := tier.clock.Now().Add(3 * time.Second)
	tier.waitFor("the threshold", func() bool { return !tier.clock.Now().Before(until) })
	refused := server.Stats().Refused
	for host := range tier.hosts {
		checkComplete(t, tier.query(host, "rye"))
	}
	if got := server.Stats().Refused; got != refused {
		t.Errorf("draining server refused %d more requests", got-refused)
	}
}

// TestStopsTakeTurns guards against two hosts that stop at the same time and
// leave callers with fewer hosts than a rolling restart may take away.
func TestStopsTakeTurns(t *testing.T) {
	tier := newTier(t, 3)
	tier.start()
	for host := range 2 {
		tier.stops[host]()
	}
	refusing := func() (count int) {
		for _, host := range tier.hosts[:2] {
			if host.drain.admit(dcdrain.Query) != dcreason.OK {
				count++
			}
		}
		return count
	}
	first := -1
	tier.waitFor("the first stop", func() bool {
		if refusing() > 1 {
			t.Fatal("both hosts refuse queries")
		}
		for host, ended := range tier.ended[:2] {
			if len(ended) > 0 {
				first = host
			}
		}
		return first >= 0
	})
	checkComplete(t, tier.query(1-first, "rye"))
	tier.waitFor("the second stop", func() bool { return len(tier.ended[1-first]) > 0 })
	checkComplete(t, tier.query(2, "rye"))
}

// TestLogs guards against credentials or bodies in logs, and against refusals
// that cannot be found in the logs by their request id.
func TestLogs(t *testing.T) {
	tier := newTier(t, 1)
	tier.start()
	checkComplete(t, tier.query(0, "secret flour"))
	answer := &callerv1.QueryResponse{}
	tier.call(0, request{path: "/v1/query", credential: "secret credential", message: newQuery(func(*callerv1.QueryRequest) {})}, answer)
	logs := tier.logs.String()
	for _, want := range []string{answer.GetResult().GetRequestId(), `"reason":"credential-invalid"`, `"revision":1`} {
		if !strings.Contains(logs, want) {
			t.Errorf("logs do not contain %s", want)
		}
	}
	for _, secret := range []string{testCredential, "secret", base64.StdEncoding.EncodeToString([]byte("secret flour"))} {
		if strings.Contains(logs, secret) {
			t.Errorf("logs contain %q", secret)
		}
	}
}
