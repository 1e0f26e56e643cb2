// Package dcconfig decides which configurations are accepted and which
// revision a host has in force.
package dcconfig

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// Prefix is the key prefix of the revision chain.
const Prefix = "config/revisions/"

// Key returns the store key of a revision.
func Key(revision dcid.Revision) string { panic("not implemented") }

// Accepted is one accepted revision with its parsed document.
type Accepted struct {
	Revision      dcid.Revision
	Record        *ledgerv1.ConfigRevision
	Configuration *settingsv1.Configuration
}

// Decode checks the digest and the document of a store value or a peer's
// record.
func Decode(value []byte) (*Accepted, error)                   { panic("not implemented") }
func Check(record *ledgerv1.ConfigRevision) (*Accepted, error) { panic("not implemented") }

// Proposal is a configuration that an authenticated department proposes.
type Proposal struct {
	Author  dcid.Department
	Request *callerv1.ApplyRequest
}

// Result tells what became of a proposal.
type Result struct {
	Outcome dcreason.Outcome
	Code    dcreason.Code
	Message string
	// Revision that the proposal became, or the newest one otherwise.
	Revision dcid.Revision
	Errors   dcsettings.Errors
	// Accepted is set when Outcome is Ran; offer it to the Adopter.
	Accepted *Accepted
}

// Accept decides a proposal against the head of the chain, nil when empty.
func Accept(head *Accepted, proposal Proposal, now time.Time) (*Accepted, *Result) {
	panic("not implemented")
}

// Step is the next store call of an Application; exactly one field is set.
type Step struct {
	// List the newest revision: List(ctx, Prefix, 1, true), then call Listed.
	List bool
	// Get this key, then call Got.
	Get string
	// Swap this key, then call Swapped.
	Swap *dcstore.Swap
	// Done ends the application.
	Done *Result
}

// Application runs one proposal over the store.
type Application struct{}

// NewApplication starts a proposal. Known is the newest revision that this
// host has in force or heard of from peers.
func NewApplication(proposal Proposal, known dcid.Revision) (*Application, Step) {
	panic("not implemented")
}
func (a *Application) Listed(records []dcstore.Record, err error, now time.Time) Step {
	panic("not implemented")
}
func (a *Application) Got(record dcstore.Record, err error) Step { panic("not implemented") }
func (a *Application) Swapped(err error) Step                    { panic("not implemented") }

// Adopter holds the revision in force on one host; callers serialise access.
type Adopter struct{}

// NewAdopter returns an Adopter without a configuration.
func NewAdopter() *Adopter { panic("not implemented") }

// InForce returns the revision in force, nil when there is none. It must not
// be changed.
func (a *Adopter) InForce() *Accepted { panic("not implemented") }

// OfferStore takes the answer of List(ctx, Prefix, 1, true) and reports
// whether a new revision came into force.
func (a *Adopter) OfferStore(records []dcstore.Record, now time.Time) (adopted bool, err error) {
	panic("not implemented")
}

// OfferPeer takes the answer of FetchConfig.
func (a *Adopter) OfferPeer(peer dcid.HostID, record *ledgerv1.ConfigRevision, now time.Time) (adopted bool, err error) {
	panic("not implemented")
}

// OfferOwn takes a revision that this host created by a swap.
func (a *Adopter) OfferOwn(accepted *Accepted, now time.Time) (adopted bool) {
	panic("not implemented")
}

// Heard takes the revision in a peer's heartbeat and reports whether to call
// FetchConfig on that peer now.
func (a *Adopter) Heard(peer dcid.HostID, revision dcid.Revision, now time.Time) (fetch bool) {
	panic("not implemented")
}

// FetchFailed allows a fetch from another peer at once.
func (a *Adopter) FetchFailed(peer dcid.HostID) { panic("not implemented") }

// Known returns the newest revision in force or heard of.
func (a *Adopter) Known() dcid.Revision { panic("not implemented") }

// Confirmed returns when freshness was last confirmed; zero for never.
func (a *Adopter) Confirmed() time.Time { panic("not implemented") }

// Serve applies the stale-configuration rule of a group: OK,
// ConfigurationMissing, GroupUnknown or ConfigurationStale.
func (a *Adopter) Serve(group dcid.GroupName, now time.Time) dcreason.Code {
	panic("not implemented")
}

// Member is an entry host in the membership.
type Member struct {
	Host          dcid.HostID
	FailureDomain dcid.FailureDomain
}

// Watches reports whether self is one of at most two hosts of its failure
// domain that wait on the store.
func Watches(self dcid.HostID, members []Member) bool { panic("not implemented") }

// HostView is what this host knows of another host, or of itself.
type HostView struct {
	Host          dcid.HostID
	FailureDomain dcid.FailureDomain
	State         string
	Revision      dcid.Revision
	Heard         time.Time
}

// Status lists hosts with their revision and those not heard from.
func Status(latest dcid.Revision, views []HostView, expected []dcid.HostID, now time.Time) *callerv1.StatusResponse {
	panic("not implemented")
}

// Info describes a revision for the history.
func Info(record *ledgerv1.ConfigRevision) *callerv1.RevisionInfo { panic("not implemented") }

// PruneLimit is the limit of the ascending list call before Prune.
const PruneLimit = 8

// Prune takes the oldest records, from List(ctx, Prefix, PruneLimit, false),
// and returns those to delete. Call it after each accepted revision.
func Prune(newest dcid.Revision, oldest []dcstore.Record) []dcstore.Record {
	panic("not implemented")
}
