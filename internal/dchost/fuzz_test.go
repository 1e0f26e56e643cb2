package dchost

import (
	"net/url"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// checkRefusal checks that a refusal has the outcome not-run, a client error
// status and a message.
func checkRefusal(t *testing.T, d decision) {
	t.Helper()
	if !d.ok() && (d.outcome != dcreason.NotRun || httpStatus(d) >= 500 || d.message == "") {
		t.Errorf("refused with %v", d)
	}
}

// FuzzParseMessages guards against panics on request bodies, and against
// requests that are accepted without the fields that later checks need.
func FuzzParseMessages(f *testing.F) {
	for _, seed := range []string{
		`{"service-group":"search","schema-version":"1","body":"cnll"}`,
		`{"service-group":"mill","service":"mill-01","key":"0198","body":""}`,
		`{"base-revision":1,"operation-id":"x","document":"a: b"}`,
		`{"service-group":1}`, `{"colour":"red"}`, `[]`, `null`, `{`, "", "\x00\xff", `{"body":"%%%"}`,
		`{"base-revision":-1}`, `{"service-group":"a","service-group":"b"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		query, d := parseQuery(text)
		checkRefusal(t, d)
		if d.ok() && query.GetServiceGroup() == "" {
			t.Error("query without a service group was accepted")
		}
		order, d := parseOrder(text)
		checkRefusal(t, d)
		if d.ok() && (order.GetServiceGroup() == "" || order.GetService() == "" || order.GetKey() == "") {
			t.Error("order without service group, service or key was accepted")
		}
		apply, d := parseApply(text)
		checkRefusal(t, d)
		if d.ok() && apply.GetOperationId() == "" {
			t.Error("apply request without an operation id was accepted")
		}
	})
}

// FuzzParseParameters guards against headers and URL parameters that are
// accepted although they overflow or reverse a time.
func FuzzParseParameters(f *testing.F) {
	for _, seed := range []string{
		"", "0", "-1", "250", "9223372036854775807", "99999999999999999999", "1e3", "0x10", "latest",
		"2026-06-01T08:00:00Z", "2026-06-01T08:00:00+14:00", "0000-01-01T00:00:00Z", "9999-12-31T23:59:59Z", "yesterday",
	} {
		f.Add(seed)
	}
	now := time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, text string) {
		timeout, d := parseTimeout(text)
		checkRefusal(t, d)
		if d.ok() && (timeout <= 0 || timeout > maxTimeout) {
			t.Errorf("timeout %s was accepted", timeout)
		}
		limit, d := parseLimit(text)
		checkRefusal(t, d)
		if d.ok() && (limit < 1 || limit > maxHistoryLimit) {
			t.Errorf("limit %d was accepted", limit)
		}
		_, d = parseRevision(text)
		checkRefusal(t, d)
		for _, values := range []url.Values{{"from": {text}}, {"until": {text}}} {
			from, until, d := parseInterval(values, now)
			checkRefusal(t, d)
			if d.ok() && (!from.Before(until) || until.Sub(from) > maxReportInterval) {
				t.Errorf("interval from %s until %s was accepted", from, until)
			}
		}
	})
}
