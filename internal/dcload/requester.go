package dcload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
	"github.com/dandelioncart/dandelioncart/pkg/dcclient"
)

// minBodyBytes is the minimum size of a generated request body.
const minBodyBytes = 32

// ClientRequester sends requests with the client of the callers. It checks the
// answers to queries for shards of mixed index versions or map epochs, for a
// coverage that does not match the shards, and for crossed answers: those that
// belong to another shard or request. It is safe for concurrent use.
type ClientRequester struct {
	Client *dcclient.Client
	// Services are the services of the group. An order goes to a random one.
	Services []string

	mu sync.Mutex
	// notRun holds the keys of the orders that were reported as not run.
	notRun map[string]bool
}

// Send implements Requester.
func (r *ClientRequester) Send(ctx context.Context, load *benchv1.Load, random *rand.Rand) Sample {
	if load.GetKind() == dcsettings.KindOrder {
		return r.sendOrder(ctx, load, random)
	}
	return r.sendQuery(ctx, load, random)
}

// newBody returns the body of the load, or one of its distinct bodies, chosen at
// random. A generated body is padded to the body size of the load, which is at
// least minBodyBytes.
func newBody(load *benchv1.Load, random *rand.Rand) []byte {
	if load.GetBody() != "" {
		return []byte(load.GetBody())
	}
	number := random.IntN(max(int(load.GetDistinctBodies()), 1))
	body := fmt.Appendf(nil, "%s/%s/%d/", load.GetServiceGroup(), load.GetDepartment(), number)
	size := max(int(load.GetBodyBytes()), minBodyBytes)
	if len(body) < size {
		body = append(body, bytes.Repeat([]byte{'.'}, size-len(body))...)
	}
	return body
}

// sendQuery sends a query. It is good if it ran and covers at least one shard.
func (r *ClientRequester) sendQuery(ctx context.Context, load *benchv1.Load, random *rand.Rand) Sample {
	body := newBody(load, random)
	answer, err := r.Client.Query(ctx, dcclient.Query{
		Group: load.GetServiceGroup(), SchemaVersion: load.GetSchemaVersion(), Body: body,
	})
	sample := Sample{Outcome: string(answer.Result.Outcome), Reason: answer.Result.Reason, Attempts: answer.Result.Attempts}
	if err != nil {
		sample.Reason = clientErrorReason(err)
		return sample
	}
	covered, total, violation := checkQuery(answer, body)
	sample.Violation = violation
	sample.Good = answer.Result.Outcome == dcclient.Ran && covered > 0 && len(answer.Shards) > 0
	if total > 0 {
		sample.Coverage = float64(covered) / float64(total)
	}
	return sample
}

// clientErrorReason returns the reason that is recorded for a request without an
// answer: client-timeout if the tier did not answer before the deadline, and
// client-error if the request failed earlier, such as by a closed connection.
func clientErrorReason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "client-timeout"
	}
	return "client-error"
}

// checkQuery compares the coverage and the index version of an answer with what
// the stand-ins wrote into the answer of each shard. It returns the numbers of
// covered and of all shards, and the violation, which is empty if there is none.
func checkQuery(answer dcclient.QueryAnswer, body []byte) (covered, total int, violation string) {
	expected := map[string]uint32{}
	for _, service := range answer.Coverage {
		total += len(service.Covered) + len(service.Missing)
		for _, shard := range service.Covered {
			expected[service.Service+"/"+shard] = service.MapEpoch
		}
		for _, missing := range service.Missing {
			if _, isCovered := expected[service.Service+"/"+missing.Shard]; isCovered {
				return 0, total, "false coverage: " + missing.Shard + " is both covered and missing"
			}
		}
	}
	covered = len(expected)
	if len(answer.Shards) == 0 {
		return covered, total, ""
	}
	if len(answer.Shards) != covered {
		return covered, total, fmt.Sprintf("false coverage: %d shards for %d covered", len(answer.Shards), covered)
	}
	digest := dcstandin.QueryDigest(body)
	for _, shard := range answer.Shards {
		epoch, ok := expected[shard.Service+"/"+shard.Shard]
		if !ok {
			return covered, total, "false coverage: " + shard.Shard + " is not listed as covered"
		}
		if shardViolation := checkShard(answer, shard, epoch, digest); shardViolation != "" {
			return covered, total, shardViolation
		}
	}
	return covered, total, ""
}

// checkShard returns the violation in the answer of one shard, or an empty
// string. epoch is the map epoch that the coverage states for the shard's
// service, and digest is the digest of the request body.
func checkShard(answer dcclient.QueryAnswer, shard dcclient.Shard, epoch uint32, digest string) string {
	var decoded dcstandin.SearchResponse
	if err := json.Unmarshal(shard.Body, &decoded); err != nil {
		return "malformed shard answer was merged"
	}
	switch {
	case string(decoded.Version) != answer.IndexVersion:
		return fmt.Sprintf("mixed versions: %s within %s", decoded.Version, answer.IndexVersion)
	case uint32(decoded.Epoch) != epoch:
		return fmt.Sprintf("mixed epochs: %d within %d", decoded.Epoch, epoch)
	case string(decoded.Service) != shard.Service || string(decoded.Shard) != shard.Shard:
		return "crossed answer: another shard"
	case decoded.Query != digest || decoded.Request != answer.Result.RequestID:
		return "crossed answer: another request"
	}
	return ""
}

// sendOrder sends an order with a new key to a random service of the group. It
// is good if it ran.
func (r *ClientRequester) sendOrder(ctx context.Context, load *benchv1.Load, random *rand.Rand) Sample {
	key, err := dcclient.NewKey()
	if err != nil {
		return Sample{Reason: "client-error", Outcome: string(dcclient.NotRun)}
	}
	answer, err := r.Client.Order(ctx, dcclient.Order{
		Group: load.GetServiceGroup(), Service: r.Services[random.IntN(len(r.Services))],
		SchemaVersion: load.GetSchemaVersion(), Key: key, Body: newBody(load, random),
	})
	sample := Sample{Outcome: string(answer.Result.Outcome), Reason: answer.Result.Reason, Coverage: 1, Attempts: answer.Result.Attempts}
	if err != nil {
		sample.Reason = clientErrorReason(err)
	}
	sample.Good = answer.Result.Outcome == dcclient.Ran
	if answer.Result.Outcome == dcclient.NotRun {
		r.recordNotRun(key)
	}
	return sample
}

// recordNotRun keeps the key of an order that was reported as not run, so that
// NotRun can return it for a comparison with the orders that ran.
func (r *ClientRequester) recordNotRun(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notRun == nil {
		r.notRun = map[string]bool{}
	}
	r.notRun[key] = true
}

// NotRun returns the keys of the orders that were reported as not run, in no
// particular order.
func (r *ClientRequester) NotRun() (keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.notRun {
		keys = append(keys, key)
	}
	return keys
}
