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

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// reply is what a fake server does with a sub-query.
type reply struct {
	after    time.Duration
	response dcupstream.Response
	// copies is the number of further times the response arrives.
	copies int
}

// event is a response on its way to the query.
type event struct {
	at       time.Time
	id       Transmission
	response dcupstream.Response
}

// rig runs queries against a fake upstream under its own time.
type rig struct {
	t     *testing.T
	serve func(send Action) reply
	// uncancelled delivers the responses to cancelled transmissions as well.
	uncancelled bool
	// lag is how late timers fire.
	lag      time.Duration
	events   []event
	wake     time.Time
	sends    []Action
	suspects []dcid.ServerAddr
	answer   *Answer
	// now is the time of the newest event.
	now, finished time.Time
}

// run drives a query to its end and returns the answer. Responses that are
// still on their way are delivered afterwards.
func (r *rig) run(t *testing.T, q *Query, now time.Time) *Answer {
	t.Helper()
	r.t = t
	r.apply(q.Start(now), now)
	for r.answer == nil {
		if len(r.events) > 0 && !r.events[0].at.After(r.wake.Add(r.lag)) {
			next := r.events[0]
			r.events = r.events[1:]
			now = next.at
			r.now = now
			r.apply(q.Response(next.id, next.response, now), now)
			continue
		}
		if r.wake.IsZero() {
			t.Fatal("query waits without a wake-up time")
		}
		now = r.wake.Add(r.lag)
		r.now, r.wake = now, time.Time{}
		r.apply(q.Timer(now), now)
	}
	for _, late := range r.events {
		if actions := q.Response(late.id, late.response, late.at); len(actions) > 0 {
			t.Errorf("response after the end has actions %v", actions)
		}
	}
	return r.answer
}

func (r *rig) apply(actions []Action, now time.Time) {
	for _, action := range slices.Clone(actions) {
		if r.answer != nil {
			r.t.Errorf("action %+v after the end", action)
		}
		switch action.Kind {
		case Send:
			r.sends = append(r.sends, action)
			served := r.serve(action)
			for range served.copies + 1 {
				r.deliver(event{at: now.Add(served.after), id: action.Transmission, response: served.response})
			}
		case Cancel:
			if !r.uncancelled {
				r.events = slices.DeleteFunc(r.events, func(e event) bool { return e.id == action.Transmission })
			}
		case Wake:
			r.wake = action.Time
		case Suspect:
			r.suspects = append(r.suspects, action.Server)
		case Finish:
			r.answer, r.finished = action.Answer, now
		}
	}
}

func (r *rig) deliver(e event) {
	place, _ := slices.BinarySearchFunc(r.events, e, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), -1)
	})
	r.events = slices.Insert(r.events, place, e)
}

// bodyOf encodes a label, so that a test sees which sub-query a body answers.
func bodyOf(label dcupstream.Label) []byte {
	return fmt.Appendf(nil, "%s/%s/%s/%s/%d", label.Request, label.Service, label.Shard, label.Version, label.Epoch)
}

func ok(label dcupstream.Label, after time.Duration) reply {
	return reply{after: after, response: dcupstream.Response{
		Label: label, Body: bodyOf(label), Outcome: dcreason.Ran, Code: dcreason.OK,
	}}
}

func fail(outcome dcreason.Outcome, code dcreason.Code) reply {
	return reply{after: time.Millisecond, response: dcupstream.Response{Outcome: outcome, Code: code}}
}

// testPin has one shard for each service and three replicas for each shard,
// one in each failure domain.
func testPin(shards int, version dcid.IndexVersion, epochs dcid.MapEpoch) *dcshardmap.Pin {
	pin := &dcshardmap.Pin{Version: version, Total: shards, Held: shards}
	service := dcshardmap.ServicePin{Service: "recipes", Epoch: epochs}
	for i := range shards {
		shard := dcshardmap.Shard{ID: dcid.ShardID(fmt.Sprintf("e%d-s%03d", epochs, i))}
		for _, domain := range []dcid.FailureDomain{"a", "b", "c"} {
			server := dcid.ServerAddr(fmt.Sprintf("%s%03d", domain, i))
			shard.Replicas = append(shard.Replicas, dcshardmap.Replica{Server: server, Domain: domain})
		}
		service.Shards = append(service.Shards, shard)
	}
	pin.Services = []dcshardmap.ServicePin{service}
	return pin
}

func testOptions(seed uint64) Options {
	return Options{
		Request:  "r1",
		Deadline: epoch.Add(200 * time.Millisecond),
		Rand:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// checkCoverage checks that covered and missing together are the shards of the
// pinned map, that each missing shard has a reason, and that each result is the
// answer to this request at the pinned version and epoch.
func checkCoverage(t *testing.T, pin *dcshardmap.Pin, answer *Answer) {
	t.Helper()
	covered := make(map[dcid.ShardID]bool)
	for i, service := range answer.Coverage {
		pinned := make(map[dcid.ShardID]int)
		for _, shard := range pin.Services[i].Shards {
			pinned[shard.ID]++
		}
		for _, shard := range service.Covered {
			covered[shard] = true
			pinned[shard]--
		}
		for _, missing := range service.Missing {
			pinned[missing.Shard]--
			if missing.Code == "" || missing.Code == dcreason.OK {
				t.Errorf("missing shard %s has reason %q", missing.Shard, missing.Code)
			}
		}
		for shard, balance := range pinned {
			if balance != 0 || service.Epoch != pin.Services[i].Epoch {
				t.Errorf("shard %s of epoch %d is named %d times", shard, service.Epoch, 1-balance)
			}
		}
	}
	if !answer.Refused && len(answer.Results) != len(covered) {
		t.Errorf("%d results for %d covered shards", len(answer.Results), len(covered))
	}
	for _, result := range answer.Results {
		want := bodyOf(dcupstream.Label{
			Request: "r1", Service: "recipes", Shard: result.Shard,
			Version: pin.Version, Epoch: pin.Services[0].Epoch,
		})
		if !covered[result.Shard] || string(result.Body) != string(want) || answer.Version != pin.Version {
			t.Errorf("result %q, covered %t, want %q", result.Body, covered[result.Shard], want)
		}
	}
}
