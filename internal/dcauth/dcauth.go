// Package dcauth authenticates departments by verifying their credentials
// against argon2id digests. One verification takes tens of milliseconds, so the
// results are cached under a keyed hash (HMAC-SHA-256) of the credential;
// credentials themselves are not stored.
package dcauth

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// ErrDenied reports an unknown department or a wrong credential.
var ErrDenied = errors.New("department or credential is not accepted")

const (
	// maxConcurrentVerifications limits the verifications that run at the same
	// time in a host. Each takes 19 MiB for digests made by NewDigest.
	maxConcurrentVerifications = 2
	// maxCacheEntries limits each of the two caches. An entry takes about 300
	// bytes.
	maxCacheEntries = 4096
)

// Authenticator verifies credentials. It is safe for concurrent use.
type Authenticator struct {
	// hashKey is the key of the HMAC that identifies cached credentials.
	hashKey []byte
	// verificationSlots is a semaphore of maxConcurrentVerifications permits.
	verificationSlots chan struct{}

	mu          sync.Mutex
	revision    dcid.Revision
	departments map[dcid.Department]*department
	// verified maps each accepted credential to the digest that it matched.
	verified *cache
	// rejected maps each wrong credential to the digests that it did not match,
	// so that a caller that repeats it takes no verification slots.
	rejected *cache
}

// department holds the accepted digests of one department.
type department struct {
	digests []string
	// verificationSlot is a semaphore of one permit, so that one department
	// cannot take all slots of the host and concurrent requests with the same
	// credential cause one verification.
	verificationSlot chan struct{}
}

// mac is the HMAC of a department and a credential.
type mac [sha256.Size]byte

// New returns an Authenticator that denies every credential until
// SetDepartments is called. The HMAC key of cached credentials is read from
// random, which must be cryptographically secure.
func New(random io.Reader) (authenticator *Authenticator, err error) {
	defer func() { err = eris.Wrap(err, "make authenticator") }()
	hashKey := make([]byte, sha256.Size)
	if _, err := io.ReadFull(random, hashKey); err != nil {
		return nil, err
	}
	return &Authenticator{
		hashKey:           hashKey,
		verificationSlots: make(chan struct{}, maxConcurrentVerifications),
		departments:       map[dcid.Department]*department{},
		verified:          newCache(maxCacheEntries),
		rejected:          newCache(maxCacheEntries),
	}, nil
}

// SetDepartments replaces the accepted digests by those of a revision of the
// configuration. A revision older than the current one is ignored. A credential
// that matches only digests absent from the revision is denied from then on,
// even if it is cached as verified.
func (a *Authenticator) SetDepartments(revision dcid.Revision, departments []*settingsv1.Department) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision < a.revision {
		return
	}
	a.revision = revision
	next := make(map[dcid.Department]*department, len(departments))
	for _, listed := range departments {
		name := dcid.Department(listed.GetName())
		verificationSlot := make(chan struct{}, 1)
		if known, ok := a.departments[name]; ok {
			verificationSlot = known.verificationSlot
		}
		next[name] = &department{
			digests:          slices.Clone(listed.GetCredentialDigests()),
			verificationSlot: verificationSlot,
		}
	}
	a.departments = next
}

// Authenticate verifies the credential of a department. It returns nil if the
// credential is accepted, ErrDenied if not, and the error of ctx if ctx is done
// while the call waits for other verifications.
func (a *Authenticator) Authenticate(ctx context.Context, name dcid.Department, credential string) error {
	if credential == "" || len(credential) > MaxCredentialBytes {
		return ErrDenied
	}
	key := a.mac(name, credential)
	found, err := a.lookup(name, key)
	if found == nil {
		return err
	}
	if err := acquire(ctx, found.verificationSlot); err != nil {
		return err
	}
	defer release(found.verificationSlot)
	// Another request may have verified the same credential in the meantime.
	found, err = a.lookup(name, key)
	if found == nil {
		return err
	}
	if err := acquire(ctx, a.verificationSlots); err != nil {
		return err
	}
	defer release(a.verificationSlots)
	for _, digestText := range found.digests {
		if Verify(digestText, credential) {
			return a.cacheVerified(name, key, digestText)
		}
	}
	a.cacheRejected(key, found.digests)
	return ErrDenied
}

// lookup answers from the caches. If the result is not cached, it returns the
// department, against whose digests the credential has to be verified. A nil
// department means that the result is known: accepted if the error is nil.
func (a *Authenticator) lookup(name dcid.Department, key mac) (*department, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	found, ok := a.departments[name]
	if !ok {
		return nil, ErrDenied
	}
	if digestText, ok := a.verified.get(key); ok && slices.Contains(found.digests, digestText) {
		return nil, nil
	}
	if digestList, ok := a.rejected.get(key); ok && digestList == joinDigests(found.digests) {
		return nil, ErrDenied
	}
	return found, nil
}

// cacheVerified caches a credential that matched a digest. It returns ErrDenied,
// and caches nothing, if the digest was removed during the verification.
func (a *Authenticator) cacheVerified(name dcid.Department, key mac, digestText string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	found, ok := a.departments[name]
	if !ok || !slices.Contains(found.digests, digestText) {
		return ErrDenied
	}
	a.verified.put(key, digestText)
	return nil
}

// cacheRejected caches a credential that matched none of the digests.
func (a *Authenticator) cacheRejected(key mac, digests []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rejected.put(key, joinDigests(digests))
}

// mac returns the HMAC of a department and a credential. The input starts with
// the length of the department's name, so that different pairs never have the
// same input.
func (a *Authenticator) mac(name dcid.Department, credential string) mac {
	hash := hmac.New(sha256.New, a.hashKey)
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(name)))
	_, _ = hash.Write(length[:])
	_, _ = hash.Write([]byte(name))
	_, _ = hash.Write([]byte(credential))
	return mac(hash.Sum(nil))
}

// joinDigests returns the digests as one string, the form of the values in the
// cache of rejected credentials.
func joinDigests(digests []string) string {
	return strings.Join(digests, " ")
}

// acquire takes a slot. It waits until one is free or ctx is done.
func acquire(ctx context.Context, slots chan struct{}) error {
	select {
	case slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func release(slots chan struct{}) {
	<-slots
}

// cache is a map of bounded size. When it is full, adding a key evicts the key
// that was added first. It is not safe for concurrent use.
type cache struct {
	values map[mac]string
	// ring holds the keys in insertion order; oldest is the index of the oldest
	// key, which is the next one to be replaced.
	ring   []mac
	oldest int
}

func newCache(capacity int) *cache {
	return &cache{
		values: make(map[mac]string),
		ring:   make([]mac, capacity),
	}
}

func (c *cache) get(key mac) (string, bool) {
	value, ok := c.values[key]
	return value, ok
}

func (c *cache) put(key mac, value string) {
	if _, ok := c.values[key]; !ok {
		delete(c.values, c.ring[c.oldest])
		c.ring[c.oldest] = key
		c.oldest = (c.oldest + 1) % len(c.ring)
	}
	c.values[key] = value
}
