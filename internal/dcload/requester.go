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

const defaultBodyBytes = 32

// ClientRequester sends requests through the caller client and checks the
// answers of the stand-ins for mixed versions, false coverage and crossed
// answers.
type ClientRequester struct {
	Client *dcclient.Client
	// Services of the group, for orders.
	Services []string

	mu     sync.Mutex
	notRun map[string]bool
}

// Send implements Requester.
func (r *ClientRequester) Send(ctx context.Context, load *benchv1.Load, random *rand.Rand) Sample {
	if load.GetKind() == dcsettings.KindOrder {
		return r.order(ctx, load, random)
	}
	return r.query(ctx, load, random)
}

func requestBody(load *benchv1.Load, random *rand.Rand) []byte {
	if load.GetBody() != "" {
		return []byte(load.GetBody())
	}
	number := random.IntN(max(int(load.GetDistinctBodies()), 1))
	body := fmt.Appendf(nil, "%s/%s/%d/", load.GetServiceGroup(), load.GetDepartment(), number)
	size := max(int(load.GetBodyBytes()), defaultBodyBytes)
	if len(body) < size {
		body = append(body, bytes.Repeat([]byte{'.'}, size-len(body))...)
	}
	return body
}

func (r *ClientRequester) query(ctx context.Context, load *benchv1.Load, random *rand.Rand) Sample {
	body := requestBody(load, random)
	answer, err := r.Client.Query(ctx, dcclient.Query{
		Group: load.GetServiceGroup(), SchemaVersion: load.GetSchemaVersion(), Body: body,
	})
	sample := Sample{Outcome: string(answer.Result.Outcome), Reason: answer.Result.Reason, Attempts: answer.Result.Attempts}
	if err != nil {
		sample.Reason = clientError(err)
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

// clientError tells a request that the tier cut off from one that it did not
// answer in time.
func clientError(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "client-timeout"
	}
	return "client-error"
}

// checkQuery compares an answer with what the stand-ins wrote into each shard.
func checkQuery(answer dcclient.QueryAnswer, body []byte) (covered, total int, violation string) {
	expected := map[string]uint32{}
	for _, service := range answer.Coverage {
		total += len(service.Covered) + len(service.Missing)
		for _, shard := range service.Covered {
			expected[service.Service+"/"+shard] = service.MapEpoch
		}
		for _, missing := range service.Missing {
			if _, both := expected[service.Service+"/"+missing.Shard]; both {
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
		if problem := checkShard(answer, shard, epoch, digest); problem != "" {
			return covered, total, problem
		}
	}
	return covered, total, ""
}

func checkShard(answer dcclient.QueryAnswer, shard dcclient.Shard, epoch uint32, digest string) string {
	var read dcstandin.SearchResponse
	if err := json.Unmarshal(shard.Body, &read); err != nil {
		return "malformed shard answer was merged"
	}
	switch {
	case string(read.Version) != answer.IndexVersion:
		return fmt.Sprintf("mixed versions: %s within %s", read.Version, answer.IndexVersion)
	case uint32(read.Epoch) != epoch:
		return fmt.Sprintf("mixed epochs: %d within %d", read.Epoch, epoch)
	case string(read.Service) != shard.Service || string(read.Shard) != shard.Shard:
		return "crossed answer: another shard"
	case read.Query != digest || read.Request != answer.Result.RequestID:
		return "crossed answer: another request"
	}
	return ""
}

func (r *ClientRequester) order(ctx context.Context, load *benchv1.Load, random *rand.Rand) Sample {
	key, err := dcclient.NewKey()
	if err != nil {
		return Sample{Reason: "client-error", Outcome: string(dcclient.NotRun)}
	}
	answer, err := r.Client.Order(ctx, dcclient.Order{
		Group: load.GetServiceGroup(), Service: r.Services[random.IntN(len(r.Services))],
		SchemaVersion: load.GetSchemaVersion(), Key: key, Body: requestBody(load, random),
	})
	sample := Sample{Outcome: string(answer.Result.Outcome), Reason: answer.Result.Reason, Coverage: 1, Attempts: answer.Result.Attempts}
	if err != nil {
		sample.Reason = clientError(err)
	}
	sample.Good = answer.Result.Outcome == dcclient.Ran
	if answer.Result.Outcome == dcclient.NotRun {
		r.remember(key)
	}
	return sample
}

// remember keeps a key that was reported as not run, so that it can be
// compared with the orders that ran.
func (r *ClientRequester) remember(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notRun == nil {
		r.notRun = map[string]bool{}
	}
	r.notRun[key] = true
}

// NotRun returns the keys that were reported as not run.
func (r *ClientRequester) NotRun() (keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.notRun {
		keys = append(keys, key)
	}
	return keys
}
