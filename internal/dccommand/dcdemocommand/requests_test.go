package dcdemocommand

import (
	"fmt"
	"testing"

	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// shardBody returns what a stand-in of shard s/a responds to a query.
func shardBody(version, request, body string) []byte {
	return fmt.Appendf(nil, `{"service":"s","shard":"a","index-version":%q,"map-epoch":1,"request-id":%q,"query":%q}`,
		version, request, dcstandin.QueryDigest([]byte(body)))
}

// TestCheckQuery guards against a demo that accepts a response with parts of
// several index versions, with parts of another request, or with a wrong
// coverage.
func TestCheckQuery(t *testing.T) {
	cases := map[string]struct {
		change func(*callerv1.QueryResponse)
		ok     bool
	}{
		"truthful":           {func(*callerv1.QueryResponse) {}, true},
		"refused":            {func(a *callerv1.QueryResponse) { a.Shards = nil; a.Result.Reason = "queue-full" }, true},
		"other version":      {func(a *callerv1.QueryResponse) { a.Shards[0].Body = shardBody("v1", "r", "rye") }, false},
		"other request":      {func(a *callerv1.QueryResponse) { a.Shards[0].Body = shardBody("v2", "q", "rye") }, false},
		"other query":        {func(a *callerv1.QueryResponse) { a.Shards[0].Body = shardBody("v2", "r", "oat") }, false},
		"not covered":        {func(a *callerv1.QueryResponse) { a.Coverage[0].Covered[0] = "c" }, false},
		"not in answer":      {func(a *callerv1.QueryResponse) { a.Shards = nil }, false},
		"missing not listed": {func(a *callerv1.QueryResponse) { a.Coverage[0].Missing = nil }, false},
		"other epoch":        {func(a *callerv1.QueryResponse) { a.Coverage[0].MapEpoch = 2 }, false},
		"not JSON":           {func(a *callerv1.QueryResponse) { a.Shards[0].Body = []byte("?") }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			response := &callerv1.QueryResponse{
				Result:       &callerv1.Result{Reason: "ok", RequestId: "r"},
				IndexVersion: "v2",
				Coverage: []*callerv1.ServiceCoverage{{
					Service: "s", MapEpoch: 1, Covered: []string{"a"},
					Missing: []*callerv1.MissingShard{{Shard: "b", Reason: "no-server"}},
				}},
				Shards: []*callerv1.ShardResult{{Service: "s", Shard: "a", Body: shardBody("v2", "r", "rye")}},
			}
			c.change(response)
			if err := checkQuery(response, "rye", 2); (err == nil) != c.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}
