package dcdemocommand

import (
	"fmt"
	"testing"

	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

func shardBody(version, request, body string) []byte {
	return fmt.Appendf(nil, `{"service":"s","shard":"a","index-version":%q,"map-epoch":1,"request-id":%q,"query":%q}`,
		version, request, dcstandin.QueryDigest([]byte(body)))
}

// Guards against a demo that finds nothing wrong with a mixed, mismatched or
// wrongly covered answer.
func TestCheckQuery(t *testing.T) {
	cases := map[string]struct {
		change func(*callerv1.QueryResponse)
		ok     bool
	}{
		"truthful":       {func(*callerv1.QueryResponse) {}, true},
		"refused":        {func(a *callerv1.QueryResponse) { a.Shards = nil; a.Result.Reason = "queue-full" }, true},
		"mixed version":  {func(a *callerv1.QueryResponse) { a.Shards[0].Body = shardBody("v1", "r", "rye") }, false},
		"other request":  {func(a *callerv1.QueryResponse) { a.Shards[0].Body = shardBody("v2", "q", "rye") }, false},
		"other query":    {func(a *callerv1.QueryResponse) { a.Shards[0].Body = shardBody("v2", "r", "oat") }, false},
		"not covered":    {func(a *callerv1.QueryResponse) { a.Coverage[0].Covered[0] = "c" }, false},
		"not in answer":  {func(a *callerv1.QueryResponse) { a.Shards = nil }, false},
		"missing hidden": {func(a *callerv1.QueryResponse) { a.Coverage[0].Missing = nil }, false},
		"other epoch":    {func(a *callerv1.QueryResponse) { a.Coverage[0].MapEpoch = 2 }, false},
		"not an answer":  {func(a *callerv1.QueryResponse) { a.Shards[0].Body = []byte("?") }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			answer := &callerv1.QueryResponse{
				Result:       &callerv1.Result{Reason: "ok", RequestId: "r"},
				IndexVersion: "v2",
				Coverage: []*callerv1.ServiceCoverage{{
					Service: "s", MapEpoch: 1, Covered: []string{"a"},
					Missing: []*callerv1.MissingShard{{Shard: "b", Reason: "no-server"}},
				}},
				Shards: []*callerv1.ShardResult{{Service: "s", Shard: "a", Body: shardBody("v2", "r", "rye")}},
			}
			c.change(answer)
			if err := checkQuery(answer, "rye", 2); (err == nil) != c.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}
