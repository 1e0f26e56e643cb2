package dcload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
)

// Requester sends one request and judges the answer. The deadline is in ctx.
type Requester interface {
	Send(ctx context.Context, load *benchv1.Load, random *rand.Rand) Sample
}

// Generator sends the requests of one load at their planned times, whether or
// not earlier ones have been answered, so that a slow answer does not delay
// the requests behind it.
type Generator struct {
	Load      *benchv1.Load
	Requester Requester
	Recorder  *Recorder
	Clock     clockwork.Clock
	// Seed of the arrivals and of the request bodies.
	Seed uint64
	// From and Until bound the sending, counted from the start.
	From  time.Duration
	Until time.Duration
}

// Run sends until the end and waits for the last answer.
func (g *Generator) Run(ctx context.Context, start time.Time) {
	arrivals := Arrivals{Rate: g.Load.GetRate(), Random: rand.New(rand.NewPCG(g.Seed, 0))}
	arrivals.skipTo(g.From)
	var pending sync.WaitGroup
	defer pending.Wait()
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
		pending.Go(func() { g.send(ctx, start, at, random) })
	}
}

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
