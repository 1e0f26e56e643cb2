package dcstore

import "time"

// FollowQuery is a request for the changes of another host's copy.
type FollowQuery struct {
	// Known is the position of the asking host's copy, zero when it has none.
	Known Position
	// Confirmed is set if the store has confirmed that copy, ConfirmationAge ago.
	Confirmed       bool
	ConfirmationAge time.Duration
	// Wait is how long the call may wait for a change or a younger confirmation.
	Wait time.Duration
}

// FollowAnswer is the answer to a FollowQuery.
type FollowAnswer struct {
	// Position is the position of the answering host's copy, zero when it has none.
	Position Position
	// Confirmed is set if the store has confirmed that copy, ConfirmationAge before
	// the answer.
	Confirmed       bool
	ConfirmationAge time.Duration
	// Waited is how long the answering host held the call before it read its copy.
	Waited time.Duration
	// Snapshot is set if Records is the whole copy, and not only what has changed
	// since the known position.
	Snapshot bool
	Records  []Record
	Removals []Removal
}

// Removal is the removal of a record in the copy of a host.
type Removal struct {
	Key string
	// Position is that at which the host had learned of the removal.
	Position Position
	// Remaining is how long the record stays in use because it may be written again.
	Remaining time.Duration
}
