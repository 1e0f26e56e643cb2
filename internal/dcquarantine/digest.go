package dcquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Digest is the SHA-256 of service group, schema version and body, in hex.
type Digest string

// DigestOf returns the digest of a request. The lengths of the parts are part
// of it, so that no two requests share their bytes.
func DigestOf(group dcid.GroupName, schema dcid.SchemaVersion, body []byte) Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(group), []byte(schema), body} {
		length := binary.BigEndian.AppendUint64(nil, uint64(len(part)))
		_, _ = hash.Write(length)
		_, _ = hash.Write(part)
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)))
}
