package dcauth

import (
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/crypto/argon2"
)

// Bounds of the parameters of a digest. The upper bounds limit the memory and
// processor time of one verification. maxTime is a number of passes.
const (
	maxMemoryKiB   = 64 << 10
	maxTime        = 8
	maxThreads     = 4
	minSaltBytes   = 8
	maxSaltBytes   = 64
	minHashBytes   = 16
	maxHashBytes   = 64
	maxDigestBytes = 256
)

// Limits of the length of a credential in bytes.
const (
	MinCredentialBytes = 8
	MaxCredentialBytes = 1024
)

// digest is a parsed argon2id digest. memory is in KiB, time in passes.
type digest struct {
	memory  uint32
	time    uint32
	threads uint8
	salt    []byte
	hash    []byte
}

// recommendedParameters holds the first argon2id parameters that the OWASP
// Password Storage Cheat Sheet lists: 19 MiB, 2 passes, 1 thread. Its salt and
// hash only give the lengths.
var recommendedParameters = digest{
	memory:  19 << 10,
	time:    2,
	threads: 1,
	salt:    make([]byte, 16),
	hash:    make([]byte, 32),
}

// NewDigest returns the argon2id digest of a credential in the PHC string
// format. The salt is read from random, which must be cryptographically secure.
// It fails if the credential is shorter than MinCredentialBytes or longer than
// MaxCredentialBytes.
func NewDigest(random io.Reader, credential string) (text string, err error) {
	defer func() { err = eris.Wrap(err, "make digest") }()
	if len(credential) < MinCredentialBytes || len(credential) > MaxCredentialBytes {
		return "", fmt.Errorf("credential must have %d to %d bytes", MinCredentialBytes, MaxCredentialBytes)
	}
	return recommendedParameters.derive(random, credential)
}

// derive returns the digest of a credential in the PHC string format, with the
// parameters and the salt and hash lengths of d and a new salt from random.
func (d digest) derive(random io.Reader, credential string) (string, error) {
	d.salt = make([]byte, len(d.salt))
	if _, err := io.ReadFull(random, d.salt); err != nil {
		return "", err
	}
	d.hash = d.hashCredential(credential)
	return d.phcString(), nil
}

// hashCredential returns the argon2id hash of a credential with the salt of d.
func (d digest) hashCredential(credential string) []byte {
	return argon2.IDKey([]byte(credential), d.salt, d.time, d.memory, d.threads, uint32(len(d.hash)))
}

// phcString formats the digest in the PHC string format.
func (d digest) phcString() string {
	encode := base64.RawStdEncoding.EncodeToString
	return fmt.Sprintf("$argon2id$v=%d$m=%d,t=%d,p=%d$%s$%s", argon2.Version, d.memory, d.time, d.threads, encode(d.salt), encode(d.hash))
}

// matches reports whether a credential has the digest. It compares the hashes in
// constant time.
func (d digest) matches(credential string) bool {
	return subtle.ConstantTimeCompare(d.hashCredential(credential), d.hash) == 1
}

// CheckDigest returns an error if text is not a valid digest within the bounds.
// The error does not contain the text, which could be a credential that was
// entered by mistake.
func CheckDigest(text string) error {
	_, err := parseDigest(text)
	return err
}

// Verify reports whether a credential matches a digest; an invalid digest
// matches none. It takes tens of milliseconds; use an Authenticator, which
// caches results, to authenticate requests.
func Verify(text, credential string) bool {
	parsed, err := parseDigest(text)
	if err != nil || len(credential) > MaxCredentialBytes {
		return false
	}
	return parsed.matches(credential)
}

// parseDigest parses the PHC string of a digest and checks its bounds.
func parseDigest(phcString string) (parsed digest, err error) {
	malformed := errors.New("is not an argon2id digest of the form $argon2id$v=19$m=,t=,p=$salt$hash")
	parts := strings.Split(phcString, "$")
	if len(phcString) > maxDigestBytes || len(parts) != 6 || parts[0] != "" || parts[1] != "argon2id" {
		return digest{}, malformed
	}
	if parts[2] != fmt.Sprintf("v=%d", argon2.Version) {
		return digest{}, fmt.Errorf("has another argon2 version than %d", argon2.Version)
	}
	if _, err := fmt.Sscanf(parts[3], "m=%d,t=%d,p=%d", &parsed.memory, &parsed.time, &parsed.threads); err != nil {
		return digest{}, malformed
	}
	if parsed.salt, err = base64.RawStdEncoding.DecodeString(parts[4]); err != nil {
		return digest{}, malformed
	}
	if parsed.hash, err = base64.RawStdEncoding.DecodeString(parts[5]); err != nil {
		return digest{}, malformed
	}
	// Only the canonical form is accepted, so that equal digests are equal texts.
	if parsed.phcString() != phcString {
		return digest{}, malformed
	}
	return parsed, parsed.checkBounds()
}

// checkBounds returns an error if a parameter or length is out of bounds.
func (d digest) checkBounds() error {
	switch {
	case d.threads < 1 || d.threads > maxThreads:
		return fmt.Errorf("p must be between 1 and %d", maxThreads)
	case d.time < 1 || d.time > maxTime:
		return fmt.Errorf("t must be between 1 and %d", maxTime)
	case d.memory < 8*uint32(d.threads) || d.memory > maxMemoryKiB:
		return fmt.Errorf("m must be between 8 times p and %d", maxMemoryKiB)
	case len(d.salt) < minSaltBytes || len(d.salt) > maxSaltBytes:
		return fmt.Errorf("salt must have %d to %d bytes", minSaltBytes, maxSaltBytes)
	case len(d.hash) < minHashBytes || len(d.hash) > maxHashBytes:
		return fmt.Errorf("hash must have %d to %d bytes", minHashBytes, maxHashBytes)
	}
	return nil
}
