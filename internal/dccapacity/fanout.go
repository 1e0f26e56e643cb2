package dccapacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/dandelioncart/dandelioncart/internal/dcadmission"
	"github.com/dandelioncart/dandelioncart/internal/dcbudget"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcquery"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"
)

const (
	// fanOutQueries is the number of queries over which a measurement averages.
	fanOutQueries = 300
	// replicas is the number of servers that hold each shard.
	replicas = 2
	// domainFormat is the format of the names of the failure domains.
	domainFormat = "domain-%02d"
)

// MeasureFanOut returns the mean processor time of the decisions for one query
// over the given number of shards, from admission to the answer.
func MeasureFanOut(shards int, seed uint64) time.Duration {
	table := newShardMap(shards)
	snapshot := table.Snapshot()
	budget := dcbudget.NewGroup(0.95, 0.05).NewBudget()
	queue := dcadmission.New(dcadmission.Config{
		Weights:  map[dcid.Department]float64{"d": 1},
		MaxQueue: fanOutQueries, Floor: 1, Ceiling: fanOutQueries,
	})
	now := time.Unix(1_700_000_000, 0)
	used := measure(func() {
		for index := range fanOutQueries {
			now = now.Add(time.Millisecond)
			simulateQuery(snapshot, budget, queue, rand.New(rand.NewPCG(seed, uint64(index))), now)
		}
	})
	return used.elapsed / fanOutQueries
}

// simulateQuery takes one query through admission and scatter-gather. Every
// server answers after 1 ms.
func simulateQuery(snapshot *dcshardmap.Snapshot, budget dcquery.Budget, queue *dcadmission.Queue, random *rand.Rand, now time.Time) {
	admissionID, _ := queue.Submit("d", now.Add(time.Second), now)
	query := dcquery.New(snapshot, dcquery.Options{
		Request: "r", Deadline: now.Add(time.Second), Budget: budget, Rand: random,
	})
	var sends []dcquery.Action
	for _, action := range query.Start(now) {
		if action.Kind == dcquery.Send {
			sends = append(sends, action)
		}
	}
	for _, action := range sends {
		query.Response(action.TransmissionID, dcupstream.Response{
			Label: action.Label, Outcome: dcreason.Ran, Code: dcreason.OK,
		}, now.Add(time.Millisecond))
	}
	queue.Done(admissionID, dcadmission.Sample{}, now.Add(time.Millisecond))
}

// newShardMap returns the shard map of a group with one service and as many
// servers as shards. Each shard has two replicas in different failure domains.
func newShardMap(shards int) *dcshardmap.Table {
	table := dcshardmap.New()
	service := dcshardmap.Service{Name: "s"}
	for index := range shards {
		service.Servers = append(service.Servers, dcshardmap.Server{
			Address: syntheticServer(index),
			Domain:  dcid.FailureDomain(fmt.Sprintf(domainFormat, index%Target.FailureDomains)),
		})
	}
	table.Configure([]dcshardmap.Service{service})
	requestedAt := time.Unix(1_700_000_000, 0)
	for index := range shards {
		applyServerReport(table, index, shards, requestedAt)
	}
	return table
}

// syntheticServer returns the address of a server. index must be below 64,000.
func syntheticServer(index int) dcid.ServerAddr {
	return dcid.ServerAddr(fmt.Sprintf("10.%d.%d.1:7000", index/250, index%250))
}

// applyServerReport applies the status report of a server that holds two
// consecutive shards.
func applyServerReport(table *dcshardmap.Table, index, shards int, requestedAt time.Time) {
	epoch := &upstreamv1.MapEpoch{Epoch: 1, TotalShards: int32(shards)}
	for replica := range replicas {
		shard := (index + replica) % shards
		epoch.Shards = append(epoch.Shards, &upstreamv1.HeldShard{Shard: fmt.Sprintf("s%04d", shard), Versions: []string{"v1"}})
	}
	// The reports are valid, so that no error can occur.
	_ = table.ApplyReport(syntheticServer(index), &upstreamv1.Status{State: "serving", Maps: []*upstreamv1.MapEpoch{epoch}}, requestedAt)
}

// MeasureStatusRound returns the mean processor time of applying one status
// report from each of the given number of servers and of taking a snapshot of the
// shard map afterwards.
func MeasureStatusRound(servers int) time.Duration {
	const rounds = 20
	table := newShardMap(servers)
	requestedAt := time.Unix(1_700_000_000, 0)
	used := measure(func() {
		for range rounds {
			requestedAt = requestedAt.Add(time.Second)
			for index := range servers {
				applyServerReport(table, index, servers, requestedAt)
			}
			table.Snapshot()
		}
	})
	return used.elapsed / rounds
}

// statusMessageBytes returns the size of one status message as JSON.
func statusMessageBytes() float64 {
	epoch := &upstreamv1.MapEpoch{Epoch: 1, TotalShards: int32(Target.ServersPerQuery)}
	for replica := range replicas {
		epoch.Shards = append(epoch.Shards, &upstreamv1.HeldShard{Shard: fmt.Sprintf("s%04d", replica), Versions: []string{"v0001", "v0002"}})
	}
	// Marshal fails only for strings that are not valid UTF-8.
	text, _ := protojson.Marshal(&upstreamv1.Status{State: "serving", Maps: []*upstreamv1.MapEpoch{epoch}})
	return float64(len(text))
}
