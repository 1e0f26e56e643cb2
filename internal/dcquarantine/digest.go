package dcquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Digest identifies a request. It is the SHA-256 of its parts, such as service
// group, schema version and body, in hex.
type Digest string

// DigestOf returns the digest of a request. The length of each part is hashed
// before the part, so that different requests never hash the same bytes.
func DigestOf(group dcid.GroupName, schema dcid.SchemaVersion, body []byte) Digest {
	return digestOf([]byte(group), []byte(schema), body)
}

// DigestOfHTTP returns the digest of an HTTP request.
func DigestOfHTTP(method, host, target string, body []byte) Digest {
	return digestOf([]byte(method), []byte(host), []byte(target), body)
}

func digestOf(parts ...[]byte) Digest {
	hash := sha256.New()
	for _, part := range parts {
		length := binary.BigEndian.AppendUint64(nil, uint64(len(part)))
		_, _ = hash.Write(length)
		_, _ = hash.Write(part)
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)))
}
