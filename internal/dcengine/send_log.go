package dcengine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/dandelioncart/dandelioncart/internal/dcattempt"
	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// sendLog records the sends of a request until its outcome is known. It is
// logged only for requests that fail, are answered without all shards or are
// answered late, so that the volume of logs is bounded by what needs an
// explanation.
type sendLog struct {
	mu      sync.Mutex
	entries []*sendEntry
}

// sendEntry describes one send.
type sendEntry struct {
	service dcid.ServiceName
	server  dcid.ServerID
	address dcid.ServerAddr
	// sinceArrival is the time from the arrival of the request to the send.
	sinceArrival time.Duration
	extra        bool
	done         bool
	outcome      dcbalance.Outcome
	code         dcreason.Code
	status       int
	elapsed      time.Duration
	// waited is the time until the send got a connection.
	waited time.Duration
	err    error
}

// started adds an entry for a send that starts.
func (l *sendLog) started(send dcattempt.Send, service dcid.ServiceName, sinceArrival time.Duration) *sendEntry {
	started := &sendEntry{service: service, server: send.Call.Server.ID, address: send.Call.Server.Addr, sinceArrival: sinceArrival, extra: send.Extra}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, started)
	return started
}

// ended records the outcome of a send.
func (l *sendLog) ended(e *sendEntry, answer *dcforward.Answer, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.done, e.outcome, e.code, e.status, e.elapsed, e.waited, e.err = true, answer.Outcome, answer.Code, answer.Status, elapsed, answer.Waited, answer.Err
}

const (
	// maxSendsLoggedInFull is the largest number of sends for which answered
	// sends are logged too.
	maxSendsLoggedInFull = 4
	// maxLoggedSends limits the sends in a log line. One send takes up to 250
	// bytes, and a log collector may truncate lines at 8 KiB.
	maxLoggedSends = 24
	// minLoggedWait is the shortest wait for a connection that is logged.
	minLoggedWait = time.Millisecond
)

// MarshalLogArray implements zapcore.ArrayMarshaler. For requests with many
// sends it omits the answered ones, because only the missing answers need an
// explanation. Failed sends come before pending ones.
func (l *sendLog) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	omitAnswered := len(l.entries) > maxSendsLoggedInFull
	logged := 0
	for _, pending := range []bool{false, true} {
		for _, entry := range l.entries {
			if entry.done == pending || omitAnswered && entry.answered() || logged == maxLoggedSends {
				continue
			}
			if err := encoder.AppendObject(entry); err != nil {
				return err
			}
			logged++
		}
	}
	return nil
}

// outcomeCounts logs the number of sends in a sendLog by reason code.
type outcomeCounts struct{ *sendLog }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (o outcomeCounts) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := make(map[string]int)
	for _, entry := range o.entries {
		counts[entry.reason()]++
	}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		encoder.AddInt(reason, counts[reason])
	}
	return nil
}

// pendingReason is logged as the reason of a send without an outcome.
const pendingReason = "no-answer-yet"

func (e *sendEntry) answered() bool { return e.done && e.outcome == dcbalance.Answered }

func (e *sendEntry) reason() string {
	if !e.done {
		return pendingReason
	}
	return string(e.code)
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e *sendEntry) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("service", string(e.service))
	encoder.AddString("server", string(e.server))
	encoder.AddString("address", string(e.address))
	encoder.AddDuration("at", e.sinceArrival)
	if e.extra {
		encoder.AddBool("extra", true)
	}
	encoder.AddString("reason", e.reason())
	if !e.done {
		return nil
	}
	encoder.AddDuration("elapsed", e.elapsed)
	if e.waited >= minLoggedWait {
		encoder.AddDuration("waited", e.waited)
	}
	if e.status != 0 {
		encoder.AddInt("status", e.status)
	}
	if e.err != nil {
		encoder.AddString("error", e.err.Error())
	}
	return nil
}
