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

// journal holds the sends of a request until its outcome is known. Only those
// of requests that fail, answer without all shards or answer late are logged,
// so that the volume stays bounded by what needs an explanation.
type journal struct {
	mu      sync.Mutex
	entries []*entry
}

// entry is one send.
type entry struct {
	service dcid.ServiceName
	server  dcid.ServerID
	address dcid.ServerAddr
	// at is the time since the arrival of the request.
	at      time.Duration
	extra   bool
	done    bool
	outcome dcbalance.Outcome
	code    dcreason.Code
	status  int
	elapsed time.Duration
	err     error
}

func (j *journal) started(send dcattempt.Send, service dcid.ServiceName, at time.Duration) *entry {
	started := &entry{service: service, server: send.Call.Server.ID, address: send.Call.Server.Addr, at: at, extra: send.Extra}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, started)
	return started
}

func (j *journal) ended(e *entry, answer *dcforward.Answer, elapsed time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.done, e.outcome, e.code, e.status, e.elapsed, e.err = true, answer.Outcome, answer.Code, answer.Status, elapsed, answer.Err
}

const (
	// maxFullJournal is the number of sends up to which answered ones are logged.
	maxFullJournal = 4
	// maxLogged bounds the sends in a line. One takes up to 250 bytes, and a
	// collector of logs may cut lines at 8 KiB.
	maxLogged = 24
)

// MarshalLogArray implements zapcore.ArrayMarshaler. Answered sends are left
// out of requests with many parts: what explains those is what is missing.
// Sends that have failed come before those that wait.
func (j *journal) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	many := len(j.entries) > maxFullJournal
	logged := 0
	for _, waiting := range []bool{false, true} {
		for _, entry := range j.entries {
			if entry.done == waiting || many && entry.answered() || logged == maxLogged {
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

// outcomes counts the sends of a journal by reason code.
type outcomes struct{ *journal }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (o outcomes) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
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

// pending is logged for a send without an outcome.
const pending = "no-answer-yet"

func (e *entry) answered() bool { return e.done && e.outcome == dcbalance.Answered }

func (e *entry) reason() string {
	if !e.done {
		return pending
	}
	return string(e.code)
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e *entry) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("service", string(e.service))
	encoder.AddString("server", string(e.server))
	encoder.AddString("address", string(e.address))
	encoder.AddDuration("at", e.at)
	if e.extra {
		encoder.AddBool("extra", true)
	}
	encoder.AddString("reason", e.reason())
	if !e.done {
		return nil
	}
	encoder.AddDuration("elapsed", e.elapsed)
	if e.status != 0 {
		encoder.AddInt("status", e.status)
	}
	if e.err != nil {
		encoder.AddString("error", e.err.Error())
	}
	return nil
}
