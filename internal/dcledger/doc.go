// Package dcledger implements the state machines of the order ledger, which
// makes each order run at most once.
//
// A Committer writes the claims and outcomes of one partition to the key-value
// store, batching many of them in one compare-and-swap. An Order takes one
// order through the steps claim, dispatch and record. A Lookup reads the
// outcome of an order key.
//
// None of these types performs I/O or reads a clock. Each event is a method
// call that returns the actions that the driver (package dchost) must perform,
// and the reply to an action is a further event. The types are not safe for
// concurrent use: a value is used by one goroutine at a time.
//
// # Interface for the driver
//
//	NewCommitter(config CommitterConfig, random *rand.Rand) *Committer
//	(*Committer) Claim(now time.Time, id SubmissionID, entry *ledgerv1.Entry) []Action
//	(*Committer) Record(now time.Time, id SubmissionID, entry *ledgerv1.Entry) []Action
//	(*Committer) Lookup(now time.Time, id SubmissionID, department dcid.Department, key dcid.OrderKey) []Action
//	(*Committer) StoreReplied(now time.Time, reply StoreReply) []Action
//	(*Committer) Tick(now time.Time) []Action
//
//	NewOrder(config OrderConfig, spec OrderSpec, random *rand.Rand) *Order
//	(*Order) Start(at Instant) []OrderAction
//	(*Order) Claimed(at Instant, result Result) []OrderAction
//	(*Order) Responded(at Instant, response dcupstream.Response) []OrderAction
//	(*Order) Recorded(at Instant, result Result) []OrderAction
//	(*Order) UpstreamAnswered(at Instant, response dcupstream.Response) []OrderAction
//	(*Order) Tick(at Instant) []OrderAction
//	(*Order) Done() bool
//
//	NewLookup(config OrderConfig, spec LookupSpec) *Lookup
//	(*Lookup) Start, EntryRead, UpstreamAnswered, Recorded, Tick and Done take
//	now time.Time in place of at Instant
//
//	ParseKey, PartitionOf, SegmentKey, BodyDigest, RetentionPolicy
//
// A host answers a peer's Claim, Record or Lookup call with the Result of its
// own Committer: an entry when Code is OK, an error otherwise. A peer call that
// fails for any reason counts as Result{Code: PeerUnavailable, MayExist: true},
// unless the calling host then commits by itself.
package dcledger
