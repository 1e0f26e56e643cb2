// Package dcadmission is the queue of one service group in one host: weighted
// fair queueing between departments, an adaptive concurrency limit, and
// refusal before start.
package dcadmission

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Ticket identifies an admitted or waiting request.
type Ticket uint64

// Config holds the rules of a queue.
type Config struct {
	// Weights of the departments; others are refused by the caller and get
	// DefaultWeight if they are not.
	Weights map[dcid.Department]float64
	// MaxQueue is the number of requests that wait before new ones are refused.
	MaxQueue int
	// Floor and Ceiling bound the concurrency limit.
	Floor, Ceiling int
}

// Decision is the end of a request's wait.
type Decision struct {
	Ticket Ticket
	// Code is OK when the request starts; otherwise it did not run.
	Code dcreason.Code
}

// Sample is what a finished request observed.
type Sample struct {
	// QueueTime is the longest time a sub-query waited in an upstream; negative
	// when unknown, and then the latency above the minimum counts.
	QueueTime time.Duration
	// Overloaded reports that an upstream shed a sub-query.
	Overloaded bool
	// Failed reports that the request ended without a useful answer.
	Failed bool
}

// Queue is the queue of one service group in one host. Decisions that a method
// returns are valid until the next call.
type Queue struct{}

// New returns an empty queue.
func New(config Config) *Queue { return &Queue{} }

// Configure changes the rules; requests that wait or run stay.
func (q *Queue) Configure(config Config) {}

// Arrive adds a request. The decisions may concern it and others.
func (q *Queue) Arrive(department dcid.Department, deadline, now time.Time) (Ticket, []Decision) {
	return 0, nil
}

// Done removes a request that was started.
func (q *Queue) Done(ticket Ticket, sample Sample, now time.Time) []Decision { return nil }

// Cancel removes a request whose caller went away while it waited.
func (q *Queue) Cancel(ticket Ticket, now time.Time) []Decision { return nil }

// Timer refuses waiting requests that can no longer be answered in time.
func (q *Queue) Timer(now time.Time) []Decision { return nil }

// Next returns when Timer must be called, or the zero time.
func (q *Queue) Next() time.Time { return time.Time{} }

// Limit returns the concurrency limit.
func (q *Queue) Limit() int { return 0 }

// Running returns the requests that were started and are not done.
func (q *Queue) Running() int { return 0 }

// Waiting returns the requests that wait.
func (q *Queue) Waiting() int { return 0 }
