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

func newOrderKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// target returns the credential and the timeout for requests of the caller's
// department.
func (d *deployment) target() *dccommand.Target {
	return &dccommand.Target{Department: callerDepartment, Credential: d.credentials[callerDepartment], Timeout: requestTimeout}
}

// query sends a query to one host and measures the time until the response.
func (d *deployment) query(ctx context.Context, host int, body string) (response *callerv1.QueryResponse, elapsed time.Duration, err error) {
	response = &callerv1.QueryResponse{}
	startTime := time.Now()
	err = d.target().Call(ctx, &dccommand.Environment{HTTP: d.client}, d.hostURL(host), dccommand.Request{
		Path: "/v1/query",
		Body: &callerv1.QueryRequest{ServiceGroup: queryGroup, SchemaVersion: schemaVersion, Body: []byte(body)},
	}, response)
	return response, time.Since(startTime), err
}

// order sends an order to one host and measures the time until the response.
func (d *deployment) order(ctx context.Context, host int, key string) (response *callerv1.OrderResponse, elapsed time.Duration, err error) {
	response = &callerv1.OrderResponse{}
	startTime := time.Now()
	err = d.target().Call(ctx, &dccommand.Environment{HTTP: d.client}, d.hostURL(host), dccommand.Request{
		Path: "/v1/order",
		Body: &callerv1.OrderRequest{ServiceGroup: orderGroup, Service: d.orderService(), SchemaVersion: schemaVersion, Key: key, Body: []byte("flour " + key)},
	}, response)
	return response, time.Since(startTime), err
}

// lookup asks one host for the outcome of an order.
func (d *deployment) lookup(ctx context.Context, host int, key string) (*callerv1.OrderResponse, error) {
	response := &callerv1.OrderResponse{}
	path := fmt.Sprintf("/v1/orders/%s/%s", orderGroup, key)
	return response, d.target().Call(ctx, &dccommand.Environment{HTTP: d.client}, d.hostURL(host), dccommand.Request{Path: path}, response)
}

// orderService returns the name of the first service in the group that takes
// orders, or an empty string when there is no such group.
func (d *deployment) orderService() string {
	for _, group := range d.ready.GetGroups() {
		if group.GetName() == orderGroup {
			return group.GetServices()[0].GetName()
		}
	}
	return ""
}

// countShards returns the number of covered and of missing shards in the
// coverage of a response.
func countShards(response *callerv1.QueryResponse) (covered, missing int) {
	for _, service := range response.GetCoverage() {
		covered += len(service.GetCovered())
		missing += len(service.GetMissing())
	}
	return covered, missing
}

// checkQuery checks that a response belongs to this query, that all of its
// parts come from one index version, and that its coverage lists exactly the
// shards that it contains and those that are missing. A refusal, which has no
// shards, passes.
func checkQuery(response *callerv1.QueryResponse, body string, shards int) error {
	covered, missing := countShards(response)
	if len(response.GetShards()) == 0 && response.GetResult().GetReason() != "ok" {
		return nil
	}
	if covered+missing != shards || covered != len(response.GetShards()) {
		return eris.Errorf("%d shards covered and %d missing of %d, but %d in the response", covered, missing, shards, len(response.GetShards()))
	}
	coveredEpochs := map[string]uint32{}
	for _, service := range response.GetCoverage() {
		for _, shard := range service.GetCovered() {
			coveredEpochs[service.GetService()+"/"+shard] = service.GetMapEpoch()
		}
	}
	for _, shard := range response.GetShards() {
		if err := checkShard(response, shard, coveredEpochs, body); err != nil {
			return err
		}
	}
	return nil
}

// checkShard checks that the part of a response from one shard is covered, and
// that it comes from the shard, the index version, the map epoch and the
// request that the response names.
func checkShard(response *callerv1.QueryResponse, shard *callerv1.ShardResult, coveredEpochs map[string]uint32, body string) error {
	var decoded dcstandin.SearchResponse
	if err := json.Unmarshal(shard.GetBody(), &decoded); err != nil {
		return err
	}
	name := shard.GetService() + "/" + shard.GetShard()
	epoch, ok := coveredEpochs[name]
	switch {
	case !ok:
		return eris.Errorf("shard %s is in the response, but not in its coverage", name)
	case string(decoded.Version) != response.GetIndexVersion() || decoded.Epoch != dcid.MapEpoch(epoch):
		return eris.Errorf("shard %s was read from index version %s, map epoch %d, which the response does not name", name, decoded.Version, decoded.Epoch)
	case string(decoded.Service)+"/"+string(decoded.Shard) != name:
		return eris.Errorf("shard %s contains the response of %s/%s", name, decoded.Service, decoded.Shard)
	case decoded.Query != dcstandin.QueryDigest([]byte(body)) || decoded.Request != response.GetResult().GetRequestId():
		return eris.Errorf("shard %s contains the response to another request", name)
	}
	return nil
}
