package dcquery

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// reply is the response of the fake upstream to a sub-query.
type reply struct {
	// after is the latency.
	after    time.Duration
	response dcupstream.Response
	// duplicates is how many more times the response arrives.
	duplicates int
}

// pendingResponse is a response that has not reached the query yet.
type pendingResponse struct {
	at       time.Time
	id       TransmissionID
	response dcupstream.Response
}

// harness runs queries against a fake upstream in simulated time.
type harness struct {
	t     *testing.T
	serve func(send Action) reply
	// deliverCancelled also delivers the responses to cancelled transmissions.
	deliverCancelled bool
	// timerDelay is the delay with which timers fire.
	timerDelay time.Duration
	// pending holds the responses that have not arrived, sorted by time.
	pending []pendingResponse
	// timerAt is the time that the query set its timer to, zero for none.
	timerAt      time.Time
	sends        []Action
	crashReports []dcid.ServerAddr
	answer       *Answer
	// now is the time of the latest response or timer, finished the time at
	// which the query finished.
	now, finished time.Time
}

// run drives a query to its end and returns the answer. Then it delivers the
// responses that are still pending, which must have no effect.
func (r *harness) run(t *testing.T, q *Query, now time.Time) *Answer {
	t.Helper()
	r.t = t
	r.apply(q.Start(now), now)
	for r.answer == nil {
		if len(r.pending) > 0 && !r.pending[0].at.After(r.timerAt.Add(r.timerDelay)) {
			next := r.pending[0]
			r.pending = r.pending[1:]
			now = next.at
			r.now = now
			r.apply(q.Response(next.id, next.response, now), now)
			continue
		}
		if r.timerAt.IsZero() {
			t.Fatal("query waits without a timer")
		}
		now = r.timerAt.Add(r.timerDelay)
		r.now, r.timerAt = now, time.Time{}
		r.apply(q.Timer(now), now)
	}
	for _, late := range r.pending {
		if actions := q.Response(late.id, late.response, late.at); len(actions) > 0 {
			t.Errorf("response after the query finished returned actions %v", actions)
		}
	}
	return r.answer
}

func (r *harness) apply(actions []Action, now time.Time) {
	for _, action := range slices.Clone(actions) {
		if r.answer != nil {
			r.t.Errorf("action %+v after the query finished", action)
		}
		switch action.Kind {
		case Send:
			r.sends = append(r.sends, action)
			served := r.serve(action)
			for range served.duplicates + 1 {
				r.enqueue(pendingResponse{at: now.Add(served.after), id: action.TransmissionID, response: served.response})
			}
		case Cancel:
			if !r.deliverCancelled {
				r.pending = slices.DeleteFunc(r.pending, func(e pendingResponse) bool { return e.id == action.TransmissionID })
			}
		case SetTimer:
			r.timerAt = action.Time
		case ReportCrash:
			r.crashReports = append(r.crashReports, action.Server)
		case Finish:
			r.answer, r.finished = action.Answer, now
		}
	}
}

// enqueue adds a response after those that arrive at the same time.
func (r *harness) enqueue(e pendingResponse) {
	index, _ := slices.BinarySearchFunc(r.pending, e, func(a, b pendingResponse) int {
		return cmp.Or(a.at.Compare(b.at), -1)
	})
	r.pending = slices.Insert(r.pending, index, e)
}

// bodyOf encodes a label as a body, so that a test can check which sub-query a
// body answers.
func bodyOf(label dcupstream.Label) []byte {
	return fmt.Appendf(nil, "%s/%s/%s/%s/%d", label.Request, label.Service, label.Shard, label.Version, label.Epoch)
}

func okReply(label dcupstream.Label, after time.Duration) reply {
	return reply{after: after, response: dcupstream.Response{
		Label: label, Body: bodyOf(label), Outcome: dcreason.Ran, Code: dcreason.OK,
	}}
}

func failReply(outcome dcreason.Outcome, code dcreason.Code) reply {
	return reply{after: time.Millisecond, response: dcupstream.Response{Outcome: outcome, Code: code}}
}

// testSnapshot returns a snapshot with one service and the given number of
// shards. Each shard has three replicas, one in each failure domain.
func testSnapshot(shards int, version dcid.IndexVersion, epoch dcid.MapEpoch) *dcshardmap.Snapshot {
	snapshot := &dcshardmap.Snapshot{Version: version, TotalShards: shards, HeldShards: shards}
	service := dcshardmap.ServiceSnapshot{Service: "recipes", Epoch: epoch}
	for i := range shards {
		shard := dcshardmap.Shard{ID: dcid.ShardID(fmt.Sprintf("e%d-s%03d", epoch, i))}
		for _, domain := range []dcid.FailureDomain{"a", "b", "c"} {
			server := dcid.ServerAddr(fmt.Sprintf("%s%03d", domain, i))
			shard.Replicas = append(shard.Replicas, dcshardmap.Replica{Server: server, Domain: domain})
		}
		service.Shards = append(service.Shards, shard)
	}
	snapshot.Services = []dcshardmap.ServiceSnapshot{service}
	return snapshot
}

func testOptions(seed uint64) Options {
	return Options{
		Request:  "r1",
		Deadline: testStart.Add(200 * time.Millisecond),
		Rand:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// checkCoverage checks that covered and missing together are the shards of the
// snapshot, that each missing shard has a reason, and that each result is the
// answer to this request at the version and epoch of the snapshot.
func checkCoverage(t *testing.T, snapshot *dcshardmap.Snapshot, answer *Answer) {
	t.Helper()
	covered := make(map[dcid.ShardID]bool)
	for i, service := range answer.Coverage {
		unlisted := make(map[dcid.ShardID]int)
		for _, shard := range snapshot.Services[i].Shards {
			unlisted[shard.ID]++
		}
		for _, shard := range service.Covered {
			covered[shard] = true
			unlisted[shard]--
		}
		for _, missing := range service.Missing {
			unlisted[missing.Shard]--
			if missing.Code == "" || missing.Code == dcreason.OK {
				t.Errorf("missing shard %s has the reason %q", missing.Shard, missing.Code)
			}
		}
		for shard, balance := range unlisted {
			if balance != 0 || service.Epoch != snapshot.Services[i].Epoch {
				t.Errorf("shard %s of epoch %d is listed %d times in the coverage", shard, service.Epoch, 1-balance)
			}
		}
	}
	if !answer.Refused && len(answer.Results) != len(covered) {
		t.Errorf("%d results for %d covered shards", len(answer.Results), len(covered))
	}
	for _, result := range answer.Results {
		want := bodyOf(dcupstream.Label{
			Request: "r1", Service: "recipes", Shard: result.Shard,
			Version: snapshot.Version, Epoch: snapshot.Services[0].Epoch,
		})
		if !covered[result.Shard] || string(result.Body) != string(want) || answer.Version != snapshot.Version {
			t.Errorf("result %q, covered %t, want %q", result.Body, covered[result.Shard], want)
		}
	}
}
