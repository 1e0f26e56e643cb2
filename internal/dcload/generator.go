package dcload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
)

// Requester sends one request.
type Requester interface {
	// Send sends a request of the load and returns its result without Intended
	// and Latency, which the Generator sets. ctx has the deadline of the request.
	Send(ctx context.Context, load *benchv1.Load, random *rand.Rand) Sample
}

// Generator sends the requests of one load at their intended times, whether or
// not earlier ones have been answered, so that a slow answer does not delay the
// requests after it. A load with one-at-a-time is the exception: its next
// request waits for the answer, and the arrivals until then are skipped.
type Generator struct {
	Load      *benchv1.Load
	Requester Requester
	Recorder  *Recorder
	Clock     clockwork.Clock
	// Seed is the seed of the arrivals and of the request bodies.
	Seed uint64
	// From and Until bound the time in which requests are sent, relative to the
	// start.
	From  time.Duration
	Until time.Duration
}

// Run sends requests until Until or until ctx is done, and waits for the
// answers to all of them.
func (g *Generator) Run(ctx context.Context, start time.Time) {
	arrivals := Arrivals{Rate: g.Load.GetRate(), Random: rand.New(rand.NewPCG(g.Seed, 0))}
	arrivals.skipTo(g.From)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for sequence := uint64(1); ; sequence++ {
		at := arrivals.Next()
		if at >= g.Until || !g.sleepUntil(ctx, start.Add(at)) {
			return
		}
		random := rand.New(rand.NewPCG(g.Seed, sequence))
		if g.Load.GetOneAtATime() {
			g.send(ctx, start, at, random)
			arrivals.skipTo(g.Clock.Since(start))
			continue
		}
		inFlight.Go(func() { g.send(ctx, start, at, random) })
	}
}

// sleepUntil waits until at. It returns false if ctx is done.
func (g *Generator) sleepUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(g.Clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-g.Clock.After(wait):
		return true
	}
}

// send sends one request and records its result. The deadline and the latency
// count from the intended send time, which is at after start.
func (g *Generator) send(ctx context.Context, start time.Time, at time.Duration, random *rand.Rand) {
	intended := start.Add(at)
	deadline := g.Load.GetDeadline().AsDuration()
	ctx, cancel := context.WithDeadline(ctx, intended.Add(deadline))
	defer cancel()
	sample := g.Requester.Send(ctx, g.Load, random)
	sample.Intended = at
	sample.Latency = g.Clock.Now().Sub(intended)
	if sample.Latency > deadline {
		sample.Good = false
	}
	g.Recorder.Add(sample)
}
