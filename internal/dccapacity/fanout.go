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
	fanOutQueries = 300
	replicas      = 2
	domainFormat  = "domain-%02d"
)

// MeasureFanOut returns the processor time that the decisions of one query
// take at a number of shards, from admission to the answer.
func MeasureFanOut(shards int, seed uint64) time.Duration {
	table := newShardMap(shards)
	pin := table.Snapshot()
	budget := dcbudget.NewGroup(0.95, 0.05).NewBudget()
	queue := dcadmission.New(dcadmission.Config{
		Weights:  map[dcid.Department]float64{"d": 1},
		MaxQueue: fanOutQueries, Floor: 1, Ceiling: fanOutQueries,
	})
	now := time.Unix(1_700_000_000, 0)
	cost := measure(func() {
		for index := range fanOutQueries {
			now = now.Add(time.Millisecond)
			simulateQuery(pin, budget, queue, rand.New(rand.NewPCG(seed, uint64(index))), now)
		}
	})
	return cost.elapsed / fanOutQueries
}

func simulateQuery(pin *dcshardmap.Snapshot, budget dcquery.Budget, queue *dcadmission.Queue, random *rand.Rand, now time.Time) {
	ticket, _ := queue.Submit("d", now.Add(time.Second), now)
	query := dcquery.New(pin, dcquery.Options{
		Request: "r", Deadline: now.Add(time.Second), Budget: budget, Rand: random,
	})
	var sent []dcquery.Action
	for _, action := range query.Start(now) {
		if action.Kind == dcquery.Send {
			sent = append(sent, action)
		}
	}
	for _, action := range sent {
		query.Response(action.TransmissionID, dcupstream.Response{
			Label: action.Label, Outcome: dcreason.Ran, Code: dcreason.OK,
		}, now.Add(time.Millisecond))
	}
	queue.Done(ticket, dcadmission.Sample{}, now.Add(time.Millisecond))
}

// newShardMap returns the map of a group with one service, in which each shard
// has two replicas in different failure domains.
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
	asked := time.Unix(1_700_000_000, 0)
	for index := range shards {
		applyServerReport(table, index, shards, asked)
	}
	return table
}

func syntheticServer(index int) dcid.ServerAddr {
	return dcid.ServerAddr(fmt.Sprintf("10.%d.%d.1:7000", index/250, index%250))
}

func applyServerReport(table *dcshardmap.Table, index, shards int, asked time.Time) {
	epoch := &upstreamv1.MapEpoch{Epoch: 1, TotalShards: int32(shards)}
	for replica := range replicas {
		shard := (index + replica) % shards
		epoch.Shards = append(epoch.Shards, &upstreamv1.HeldShard{Shard: fmt.Sprintf("s%04d", shard), Versions: []string{"v1"}})
	}
	// The reports are well-formed, so that no error can occur.
	_ = table.ApplyReport(syntheticServer(index), &upstreamv1.Status{State: "serving", Maps: []*upstreamv1.MapEpoch{epoch}}, asked)
}

// MeasureStatusRound returns the processor time that one round of status reports of
// a group's servers takes, with the pin that follows it.
func MeasureStatusRound(servers int) time.Duration {
	const rounds = 20
	table := newShardMap(servers)
	asked := time.Unix(1_700_000_000, 0)
	cost := measure(func() {
		for range rounds {
			asked = asked.Add(time.Second)
			for index := range servers {
				applyServerReport(table, index, servers, asked)
			}
			table.Snapshot()
		}
	})
	return cost.elapsed / rounds
}

// statusMessageBytes is the size of one status message as JSON.
func statusMessageBytes() float64 {
	epoch := &upstreamv1.MapEpoch{Epoch: 1, TotalShards: int32(Target.ServersPerQuery)}
	for replica := range replicas {
		epoch.Shards = append(epoch.Shards, &upstreamv1.HeldShard{Shard: fmt.Sprintf("s%04d", replica), Versions: []string{"v0001", "v0002"}})
	}
	// A message without invalid text always marshals.
	text, _ := protojson.Marshal(&upstreamv1.Status{State: "serving", Maps: []*upstreamv1.MapEpoch{epoch}})
	return float64(len(text))
}
