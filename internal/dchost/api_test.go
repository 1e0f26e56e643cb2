package dchost

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
)

func newQuery(change func(*callerv1.QueryRequest)) proto.Message {
	query := &callerv1.QueryRequest{ServiceGroup: testGroup, SchemaVersion: testSchema, Body: []byte("rye")}
	change(query)
	return query
}

// TestBadInput guards against bad input that reaches a server, gets no Result,
// or gets an HTTP status or reason code that callers do not expect.
func TestBadInput(t *testing.T) {
	tier := newTier(t, 1)
	tier.start()
	order := func(change func(*callerv1.OrderRequest)) proto.Message {
		order := &callerv1.OrderRequest{ServiceGroup: testOrders, Service: testService, SchemaVersion: testSchema, Key: tier.key(0), Body: []byte("flour")}
		change(order)
		return order
	}
	valid, validOrder := newQuery(func(*callerv1.QueryRequest) {}), order(func(*callerv1.OrderRequest) {})
	query := func(req request) request { req.path = "/v1/query"; return req }
	placeOrder := func(req request) request { req.path = "/v1/order"; return req }
	cases := map[string]struct {
		request request
		status  int
		reason  string
	}{
		"body over the group's limit": {query(request{message: newQuery(func(q *callerv1.QueryRequest) { q.Body = make([]byte, 1025) })}), 413, "body-too-large"},
		"request over any limit":      {query(request{body: strings.Repeat(" ", 1<<20)}), 413, "body-too-large"},
		"unknown service group":       {query(request{message: newQuery(func(q *callerv1.QueryRequest) { q.ServiceGroup = "other" })}), 404, "group-unknown"},
		"schema not accepted":         {query(request{message: newQuery(func(q *callerv1.QueryRequest) { q.SchemaVersion = "1999" })}), 400, "schema-not-accepted"},
		"order to a query group":      {placeOrder(request{message: order(func(o *callerv1.OrderRequest) { o.ServiceGroup = testGroup })}), 400, "kind-mismatch"},
		"no deadline":                 {query(request{message: valid, noTimeout: true}), 400, "deadline-missing"},
		"expired deadline":            {query(request{message: valid, timeout: "0"}), 400, "deadline-invalid"},
		"deadline not a number":       {query(request{message: valid, timeout: "soon"}), 400, "deadline-invalid"},
		"deadline over the group's":   {query(request{message: valid, timeout: "10001"}), 400, "deadline-invalid"},
		"wrong credential":            {query(request{message: valid, credential: "wrong credential"}), 401, "credential-invalid"},
		"unknown department":          {query(request{message: valid, department: "nobody"}), 401, "credential-invalid"},
		"department without share":    {query(request{message: valid, department: "accounts"}), 403, "department-denied"},
		"unknown field":               {query(request{body: `{"service-group":"search","colour":"red"}`}), 400, "bad-request"},
		"not JSON":                    {query(request{body: `{`}), 400, "bad-request"},
		"no service group":            {query(request{body: `{}`}), 400, "bad-request"},
		"unknown service":             {placeOrder(request{message: order(func(o *callerv1.OrderRequest) { o.Service = "mill-99" })}), 404, "service-unknown"},
		"no key":                      {placeOrder(request{message: order(func(o *callerv1.OrderRequest) { o.Key = "" })}), 400, "key-malformed"},
		"malformed key":               {placeOrder(request{message: order(func(o *callerv1.OrderRequest) { o.Key = "17" })}), 400, "key-malformed"},
		"expired key":                 {placeOrder(request{message: order(func(o *callerv1.OrderRequest) { o.Key = tier.key(-25 * time.Hour) })}), 400, "key-expired"},
		"key from the future":         {placeOrder(request{message: order(func(o *callerv1.OrderRequest) { o.Key = tier.key(time.Hour) })}), 400, "key-from-future"},
		"expired order":               {placeOrder(request{message: validOrder, timeout: "-5"}), 400, "deadline-invalid"},
		"apply without operation":     {request{path: "/v1/config/apply", message: &callerv1.ApplyRequest{BaseRevision: 1}}, 400, "bad-request"},
		"apply an invalid document":   {request{path: "/v1/config/apply", message: &callerv1.ApplyRequest{BaseRevision: 1, OperationId: "x", Document: "]"}}, 422, "config-invalid"},
		"apply on an old revision":    {request{path: "/v1/config/apply", department: "operations", message: &callerv1.ApplyRequest{OperationId: "y", Document: "]"}}, 409, "config-conflict"},
		"unknown revision":            {request{path: "/v1/config/revisions/7"}, 404, "key-unknown"},
		"malformed revision":          {request{path: "/v1/config/revisions/-1"}, 400, "bad-request"},
		"malformed limit":             {request{path: "/v1/config/history?limit=0"}, 400, "bad-request"},
		"malformed report":            {request{path: "/v1/report/burn?from=yesterday"}, 400, "bad-request"},
		"addresses of another group":  {request{path: "/v1/addresses?service-group=other"}, 404, "group-unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			answer := responseFor(c.request.path)
			status := tier.call(0, c.request, answer)
			checkResult(t, answer.(interface{ GetResult() *callerv1.Result }).GetResult(), "not-run", c.reason)
			if status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
		})
	}
	received := 0
	for _, server := range tier.fleet.Report(dcstandin.Selector{}).GetServers() {
		received += int(server.GetSearches() + server.GetOrders())
	}
	if received > 0 {
		t.Errorf("%d requests with bad input reached a server", received)
	}
}

func responseFor(path string) proto.Message {
	for prefix, answer := range map[string]proto.Message{
		"/v1/query":            &callerv1.QueryResponse{},
		"/v1/order":            &callerv1.OrderResponse{},
		"/v1/config/apply":     &callerv1.ApplyResponse{},
		"/v1/config/revisions": &callerv1.ConfigResponse{},
		"/v1/config/history":   &callerv1.HistoryResponse{},
		"/v1/report":           &callerv1.ReportResponse{},
		"/v1/addresses":        &callerv1.AddressesResponse{},
	} {
		if strings.HasPrefix(path, prefix) {
			return answer
		}
	}
	return nil
}

// TestOtherRoutes guards against a lookup of an unknown key that reports
// not-run, against failing health checks, and against profiles that callers can
// reach.
func TestOtherRoutes(t *testing.T) {
	tier := newTier(t, 1)
	checkResult(t, tier.query(0, "rye").GetResult(), "not-run", "configuration-missing")
	tier.start()
	checkResult(t, tier.lookup(0, tier.key(0)).GetResult(), "unknown", "key-unknown")
	for path, want := range map[string]int{"/livez": 200, "/readyz": 200, "/debug/pprof/": 404} {
		response, err := tier.client.Get("http://" + tier.hosts[0].CallerListener.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%s: status %d, want %d", path, response.StatusCode, want)
		}
	}
}

// TestHTTPStatus guards against a refusal code without an HTTP status of its
// own, which would look like a failure of the tier, and against a partial
// answer whose status reports a failure.
func TestHTTPStatus(t *testing.T) {
	cases := map[int]decision{
		http.StatusOK:                 {code: "budget-exhausted", answered: true},
		http.StatusTooManyRequests:    refuse("queue-full", ""),
		http.StatusGatewayTimeout:     refuse("deadline-exceeded", ""),
		http.StatusServiceUnavailable: refuse("no-server", ""),
		http.StatusConflict:           refuse("key-in-progress", ""),
	}
	for want, d := range cases {
		if got := httpStatus(d); got != want {
			t.Errorf("decision %v: status %d, want %d", d, got, want)
		}
	}
}
