// Package dcconfig decides which configurations are accepted and which revision
// is in force on a host. It makes no calls and reads no clock; the host makes
// the store and peer calls that it requests.
//
// Accepted configurations form a chain of store keys. Revision n+1 is accepted
// when its key is created by a compare-and-swap that expects the key to be
// absent, so that one swap decides a race between operators.
package dcconfig

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// RevisionPrefix is the key prefix of the revision chain, below the store
// prefix of the host settings.
const RevisionPrefix = "config/revisions/"

// documentName replaces the file name in errors of a document that was received
// over the network.
const documentName = "document"

// ErrCorrupt reports a record that cannot be decoded, has no revision, or whose
// digest does not match its content.
var ErrCorrupt = errors.New("configuration record is damaged")

// Key returns the store key of a revision. Zero-padding makes the order of keys
// the order of revisions.
func Key(revision dcid.Revision) string {
	return fmt.Sprintf("%s%010d", RevisionPrefix, revision)
}

// AcceptedRevision is one accepted revision with its parsed document. It is
// shared and must not be modified.
type AcceptedRevision struct {
	Revision      dcid.Revision
	Record        *ledgerv1.ConfigRevision
	Configuration *settingsv1.Configuration
}

// Decode decodes and verifies a store value.
func Decode(value []byte) (accepted *AcceptedRevision, err error) {
	defer func() { err = eris.Wrap(err, "decode configuration revision") }()
	record := &ledgerv1.ConfigRevision{}
	if err := proto.Unmarshal(value, record); err != nil {
		return nil, errors.Join(ErrCorrupt, err)
	}
	return Verify(record)
}

// Verify checks the digest of a record and parses its document. It is used for
// records from peers and from the store.
func Verify(record *ledgerv1.ConfigRevision) (*AcceptedRevision, error) {
	if record.GetRevision() == 0 {
		return nil, ErrCorrupt
	}
	if !bytes.Equal(digestOf(record), record.GetDigest()) {
		return nil, ErrCorrupt
	}
	configuration, err := dcsettings.ParseConfiguration(documentName, []byte(record.GetDocument()))
	if err != nil {
		return nil, eris.Wrapf(err, "revision %d", record.GetRevision())
	}
	return &AcceptedRevision{
		Revision:      dcid.Revision(record.GetRevision()),
		Record:        record,
		Configuration: configuration,
	}, nil
}

// digestOf returns the SHA-256 of a record without its digest field. Unknown
// fields, which newer versions of the program may write, are included.
func digestOf(record *ledgerv1.ConfigRevision) []byte {
	withoutDigest := proto.CloneOf(record)
	withoutDigest.Digest = nil
	sum := sha256.Sum256(encode(withoutDigest))
	return sum[:]
}

// encode returns the deterministic encoding of a record.
func encode(record *ledgerv1.ConfigRevision) []byte {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		// Marshalling fails only for text that is not UTF-8. Records come from
		// unmarshalled messages, which contain none.
		return nil
	}
	return value
}

// HistoryEntry describes a revision in the history.
func HistoryEntry(record *ledgerv1.ConfigRevision) *callerv1.RevisionInfo {
	return &callerv1.RevisionInfo{
		Revision:    record.GetRevision(),
		Department:  record.GetDepartment(),
		Time:        time.UnixMilli(record.GetAcceptedMs()).UTC().Format(time.RFC3339Nano),
		Comment:     record.GetComment(),
		OperationId: record.GetOperationId(),
		Changed:     record.GetChanged(),
	}
}
