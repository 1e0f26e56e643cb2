package dcdemocommand

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

const requestTimeout = 2 * time.Second

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

func (d *deployment) target() *dccommand.Target {
	return &dccommand.Target{Department: callerDepartment, Credential: d.credentials[callerDepartment], Timeout: requestTimeout}
}

func (d *deployment) query(ctx context.Context, host int, body string) (answer *callerv1.QueryResponse, elapsed time.Duration, err error) {
	answer = &callerv1.QueryResponse{}
	began := time.Now()
	err = d.target().Call(ctx, &dccommand.Environment{HTTP: d.client}, d.hostURL(host), dccommand.Request{
		Path: "/v1/query",
		Body: &callerv1.QueryRequest{ServiceGroup: queryGroup, SchemaVersion: schemaVersion, Body: []byte(body)},
	}, answer)
	return answer, time.Since(began), err
}

func (d *deployment) order(ctx context.Context, host int, key string) (answer *callerv1.OrderResponse, elapsed time.Duration, err error) {
	answer = &callerv1.OrderResponse{}
	began := time.Now()
	err = d.target().Call(ctx, &dccommand.Environment{HTTP: d.client}, d.hostURL(host), dccommand.Request{
		Path: "/v1/order",
		Body: &callerv1.OrderRequest{ServiceGroup: orderGroup, Service: d.orderService(), SchemaVersion: schemaVersion, Key: key, Body: []byte("flour " + key)},
	}, answer)
	return answer, time.Since(began), err
}

func (d *deployment) lookup(ctx context.Context, host int, key string) (*callerv1.OrderResponse, error) {
	answer := &callerv1.OrderResponse{}
	path := fmt.Sprintf("/v1/orders/%s/%s", orderGroup, key)
	return answer, d.target().Call(ctx, &dccommand.Environment{HTTP: d.client}, d.hostURL(host), dccommand.Request{Path: path}, answer)
}

// orderService is the first service that takes orders.
func (d *deployment) orderService() string {
	for _, group := range d.ready.GetGroups() {
		if group.GetName() == orderGroup {
			return group.GetServices()[0].GetName()
		}
	}
	return ""
}

func countShards(answer *callerv1.QueryResponse) (covered, missing int) {
	for _, service := range answer.GetCoverage() {
		covered += len(service.GetCovered())
		missing += len(service.GetMissing())
	}
	return covered, missing
}

// checkQuery checks that an answer is about this query, from one index version,
// and that its coverage is exact. A refusal has no shards.
func checkQuery(answer *callerv1.QueryResponse, body string, shards int) error {
	covered, missing := countShards(answer)
	if len(answer.GetShards()) == 0 && answer.GetResult().GetReason() != "ok" {
		return nil
	}
	if covered+missing != shards || covered != len(answer.GetShards()) {
		return eris.Errorf("%d shards covered and %d missing of %d, %d in the answer", covered, missing, shards, len(answer.GetShards()))
	}
	listed := map[string]uint32{}
	for _, service := range answer.GetCoverage() {
		for _, shard := range service.GetCovered() {
			listed[service.GetService()+"/"+shard] = service.GetMapEpoch()
		}
	}
	for _, shard := range answer.GetShards() {
		if err := checkShard(answer, shard, listed, body); err != nil {
			return err
		}
	}
	return nil
}

func checkShard(answer *callerv1.QueryResponse, shard *callerv1.ShardResult, listed map[string]uint32, body string) error {
	var read dcstandin.SearchAnswer
	if err := json.Unmarshal(shard.GetBody(), &read); err != nil {
		return err
	}
	name := shard.GetService() + "/" + shard.GetShard()
	epoch, ok := listed[name]
	switch {
	case !ok:
		return eris.Errorf("shard %s is in the answer and not covered", name)
	case string(read.Version) != answer.GetIndexVersion() || read.Epoch != dcid.MapEpoch(epoch):
		return eris.Errorf("shard %s was read from %s, epoch %d", name, read.Version, read.Epoch)
	case string(read.Service)+"/"+string(read.Shard) != name:
		return eris.Errorf("shard %s holds the answer of %s/%s", name, read.Service, read.Shard)
	case read.Query != dcstandin.QueryDigest([]byte(body)) || read.Request != answer.GetResult().GetRequestId():
		return eris.Errorf("shard %s answers another request", name)
	}
	return nil
}
