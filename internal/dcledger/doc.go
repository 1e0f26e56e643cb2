// Package dcledger decides what happens to orders that must run at most once.
//
// A Committer commits claims and outcomes of one partition to the key-value
// service, many in one compare-and-swap. An Order takes one order through
// claim, dispatch and record. A Lookup reads an outcome. None of them performs
// I/O or reads a clock: each event is a method call that returns the actions
// that the shell must perform, and every reply is a further event. A value is
// used by one goroutine at a time.
//
// # Interface for the shell
//
//	NewCommitter(config CommitterConfig, random *rand.Rand) *Committer
//	(*Committer) Claim(now time.Time, ticket Ticket, entry *ledgerv1.Entry) []Action
//	(*Committer) Record(now time.Time, ticket Ticket, entry *ledgerv1.Entry) []Action
//	(*Committer) Lookup(now time.Time, ticket Ticket, department dcid.Department, key dcid.OrderKey) []Action
//	(*Committer) StoreReplied(now time.Time, reply StoreReply) []Action
//	(*Committer) Tick(now time.Time) []Action
//
//	NewOrder(config OrderConfig, spec OrderSpec, random *rand.Rand) *Order
//	(*Order) Start(at Instant) []OrderAction
//	(*Order) Claimed(at Instant, result Result) []OrderAction
//	(*Order) Responded(at Instant, response dcupstream.Response) []OrderAction
//	(*Order) Recorded(at Instant, result Result) []OrderAction
//	(*Order) Asked(at Instant, response dcupstream.Response) []OrderAction
//	(*Order) Tick(at Instant) []OrderAction
//	(*Order) Done() bool
//
//	NewLookup(config OrderConfig, spec LookupSpec) *Lookup
//	(*Lookup) Start, Read, Asked, Recorded, Tick and Done, alike with now time.Time
//
//	ParseKey, PartitionOf, SegmentKey, BodyDigest, Retention
//
// The answer to a peer's Claim, Record or Lookup is the Result of this host's
// Committer: an entry when Code is OK, an error otherwise. A peer call that
// fails, for whatever reason, is Result{Code: PeerUnavailable, MayExist: true}
// unless the host then commits by itself.
package dcledger
