// Package dcquarantine decides whether a request that may crash servers runs.
package dcquarantine

import (
	"time"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Digest is the SHA-256 of service group, schema version and body, in hex.
type Digest string

func DigestOf(group dcid.GroupName, schema dcid.SchemaVersion, body []byte) Digest { panic("todo") }

// Action says what to do with a request.
type Action string

// Actions.
const (
	Run    Action = "run"
	Canary Action = "canary"
	Join   Action = "join"
	Refuse Action = "refuse"
)

// Decision on one request.
type Decision struct {
	Action Action
	// Code is the reason of a refusal.
	Code dcreason.Code
	// Avoid lists servers that a canary must not use; when no other server is
	// left, call Abandon and refuse with request-suspected.
	Avoid []dcid.ServerAddr
	// Until is the end of the quarantine or suspicion, zero otherwise.
	Until time.Time
}

// Verdict of a canary; joined requests call Decide again after it.
type Verdict string

// Verdicts.
const (
	Good         Verdict = "good"
	Crashed      Verdict = "crashed"
	Inconclusive Verdict = "inconclusive"
)

// Rule is a group's rule.
type Rule struct {
	Canary   bool
	Duration time.Duration
}

// Table is the state of one host (or of one shard of it, by digest).
type Table struct {
	MaxGood, MaxEntries, MaxCanaries int
	CanaryTimeout                    time.Duration
}

func (t *Table) Decide(digest Digest, rule Rule, now time.Time) Decision { panic("todo") }
func (t *Table) Started(digest Digest, server dcid.ServerAddr)           { panic("todo") }
func (t *Table) Abandon(digest Digest)                                   { panic("todo") }
func (t *Table) Finish(digest Digest, verdict Verdict, rule Rule, now time.Time) (push []*peerv1.Suspicion) {
	panic("todo")
}
func (t *Table) Crash(digest Digest, server dcid.ServerAddr, rule Rule, now time.Time) (push []*peerv1.Suspicion) {
	panic("todo")
}
func (t *Table) Merge(entries []*peerv1.Suspicion, now time.Time)        { panic("todo") }
func (t *Table) Entries(maxBytes int, now time.Time) []*peerv1.Suspicion { panic("todo") }
