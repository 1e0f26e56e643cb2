package dccapacity

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcaddress"
	"github.com/dandelioncart/dandelioncart/internal/dcburn"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcquarantine"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
)

// AddressCost is the cost of one address answer.
type AddressCost struct {
	// CPUTime is the mean processor time of an answer from the cached subset.
	CPUTime time.Duration
	// UncachedCPUTime is the mean processor time of the first answer after a change
	// of the membership.
	UncachedCPUTime time.Duration
	// Hosts is the number of hosts in the answer.
	Hosts int
}

// MeasureAddressAnswer measures address answers for a service group of the target
// size in a deployment of count hosts.
func MeasureAddressAnswer(count int, seed uint64) (cost AddressCost) {
	const answers = 200
	members := syntheticHosts(count)
	resolver := &dcaddress.Resolver{
		Lifetime: 5 * time.Second, TotalServers: Target.Servers, Random: rand.New(rand.NewPCG(seed, 0)),
	}
	group := dcaddress.Group{Name: "group-01", Servers: Target.ServersPerQuery}
	hosts := func() []dcmembership.Host { return members }
	used := measure(func() {
		for version := range uint64(answers) {
			cost.Hosts = len(resolver.AnswerCached(group, version+1, hosts).Addresses)
		}
	})
	cost.UncachedCPUTime = used.elapsed / answers
	used = measure(func() {
		for range answers {
			resolver.AnswerCached(group, answers, hosts)
		}
	})
	cost.CPUTime = used.elapsed / answers
	return cost
}

// syntheticHosts returns alive hosts, distributed over the failure domains.
func syntheticHosts(count int) (hosts []dcmembership.Host) {
	for index := range count {
		hosts = append(hosts, dcmembership.Host{
			ID:            dcid.HostID(fmt.Sprintf("host-%04d", index)),
			Domain:        dcid.FailureDomain(fmt.Sprintf(domainFormat, index%Target.FailureDomains)),
			CallerAddress: fmt.Sprintf("10.%d.%d.1:8080", index/250, index%250),
			State:         dcmembership.Alive,
		})
	}
	return hosts
}

// ConfigurationCost is the cost of one configuration change on one host.
type ConfigurationCost struct {
	// CPUTime is the mean processor time for decoding and validating the document.
	CPUTime time.Duration
	// Bytes and Compressed are the sizes of the document in bytes, as written and
	// as sent between hosts.
	Bytes, Compressed int
}

// MeasureConfiguration measures a configuration document that lists the given
// number of servers. It returns an error if the document is not valid.
func MeasureConfiguration(servers int) (cost ConfigurationCost, err error) {
	document := syntheticDocument(servers)
	const reads = 3
	used := measure(func() {
		for range reads {
			if _, parseErr := dcsettings.ParseConfiguration("synthetic.yaml", document); parseErr != nil {
				err = parseErr
			}
		}
	})
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	// Writes to a buffer do not fail.
	_, _ = writer.Write(document)
	_ = writer.Close()
	return ConfigurationCost{CPUTime: used.elapsed / reads, Bytes: len(document), Compressed: compressed.Len()}, err
}

// syntheticDocument returns a configuration document with the given number of
// servers in service groups of Target.ServersPerQuery servers each.
func syntheticDocument(servers int) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "deployment: synthetic\nentry-hosts: 4\nfailure-domains: [")
	for domain := range Target.FailureDomains {
		fmt.Fprintf(&out, domainFormat+", ", domain)
	}
	fmt.Fprintf(&out, "]\ndepartments: [{name: d, administrator: true, credential-digests: [%q]}]\nservice-groups:\n", syntheticDigest)
	for first := 0; first < servers; first += Target.ServersPerQuery {
		fmt.Fprintf(&out, "  - name: group-%04d\n    owner: d\n    kind: query\n    shares: [{department: d, weight: 1}]\n"+
			"    schema-versions: [v1]\n    slots: 5\n    connections: 100\n    max-deadline: 2s\n    services:\n"+
			"      - name: service-%04d\n        upstreams:\n", first, first)
		writeServers(&out, first, min(first+Target.ServersPerQuery, servers))
	}
	return out.Bytes()
}

// writeServers writes the servers from first to end-1 by failure domain.
func writeServers(out *bytes.Buffer, first, end int) {
	for domain := range Target.FailureDomains {
		if first+domain >= end {
			return
		}
		fmt.Fprintf(out, "          - failure-domain: "+domainFormat+"\n            servers:\n", domain)
		for index := first + domain; index < end; index += Target.FailureDomains {
			fmt.Fprintf(out, "              - %s\n", syntheticServer(index))
		}
	}
}

// syntheticDigest is the digest of a random credential that is not used anywhere.
const syntheticDigest = "$argon2id$v=19$m=19456,t=2,p=1$XR7OLvJwUvYDyF/2g/UwEA$hyFmzk16AZgVZEdoJiB10L12dxZRPt3zRNZh8h0Dq6Y"

// ReportCost is the cost of the counters of one host.
type ReportCost struct {
	// CPUTime is the mean processor time per counted request.
	CPUTime time.Duration
	// BytesPerMinute is the size of the rows of one minute that are sent to one
	// peer, in bytes.
	BytesPerMinute int
	// Heap is the live heap of one hour of counters, in bytes.
	Heap float64
}

// MeasureReports counts requests of the given number of pairs of service group
// and department for one hour of simulated time.
func MeasureReports(pairs int) (cost ReportCost) {
	const minutes, requestsPerMinute = 60, 20
	now := time.Unix(1_700_000_040, 0)
	before := liveHeap()
	counters := dcburn.New("host-0001", now.UnixNano(), now)
	counters.SetReplicas([]dcid.HostID{syntheticPeer})
	used := measure(func() {
		for minute := range minutes {
			now = now.Add(time.Minute)
			for index := range pairs * requestsPerMinute {
				counters.Count(syntheticSample(index%pairs, index), now)
			}
			rows := counters.Pending(syntheticPeer, 1<<20, now.Add(time.Minute))
			counters.Acknowledge(syntheticPeer, rows)
			if minute == minutes-1 {
				cost.BytesPerMinute = proto.Size(&peerv1.ExchangeRequest{Counters: rows})
			}
		}
	})
	cost.CPUTime = used.elapsed / time.Duration(minutes*pairs*requestsPerMinute)
	cost.Heap = float64(liveHeap()) - float64(before)
	runtime.KeepAlive(counters)
	return cost
}

// syntheticPeer is the peer that holds a replica of the counters.
const syntheticPeer = dcid.HostID("host-0002")

// syntheticSample returns the outcome of a request. One request in 50 is refused
// because the queue is full.
func syntheticSample(pair, index int) dcburn.Sample {
	sample := dcburn.Sample{
		Group: dcid.GroupName(fmt.Sprintf("group-%04d", pair)), Department: "d",
		Outcome: dcreason.Ran, Code: dcreason.OK, Good: []string{"latency 250ms", "coverage"},
	}
	if index%50 == 0 {
		sample.Outcome, sample.Code, sample.Good = dcreason.NotRun, dcreason.QueueFull, nil
	}
	return sample
}

// QuarantineCost is the cost of the quarantine table of one host.
type QuarantineCost struct {
	// CPUTime is the mean processor time of deciding on one request and of finishing
	// its canary.
	CPUTime time.Duration
	// Heap is the live heap of the table in bytes.
	Heap float64
}

// MeasureQuarantine decides on the given number of requests with distinct bodies,
// each of which succeeds as a canary.
func MeasureQuarantine(bodies int) (cost QuarantineCost) {
	rule := dcquarantine.Rule{Canary: true, Duration: 10 * time.Minute}
	now := time.Unix(1_700_000_000, 0)
	digests := make([]dcquarantine.Digest, bodies)
	for index := range digests {
		digests[index] = dcquarantine.DigestOf("g", "v1", fmt.Appendf(nil, "body %d", index))
	}
	before := liveHeap()
	table := &dcquarantine.Table{}
	used := measure(func() {
		for _, digest := range digests {
			table.Decide(digest, rule, now)
			table.FinishCanary(digest, dcquarantine.Good, rule, now)
		}
	})
	cost.CPUTime = used.elapsed / time.Duration(bodies)
	cost.Heap = float64(liveHeap()) - float64(before)
	runtime.KeepAlive(table)
	runtime.KeepAlive(digests)
	return cost
}
