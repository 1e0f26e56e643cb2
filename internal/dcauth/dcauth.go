// Package dcauth checks the credentials of departments against one-way
// digests. A digest takes tens of milliseconds to verify, so verified
// credentials are cached under a keyed hash; credentials themselves are not
// kept.
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
	// maxConcurrentVerifications bounds the verifications that run at once in a host, at
	// 19 MiB each for digests of NewDigest.
	maxConcurrentVerifications = 2
	// maxCacheEntries bounds each of the two caches, about 300 bytes an entry.
	maxCacheEntries = 4096
)

// Authenticator checks credentials; it is safe for concurrent use.
type Authenticator struct {
	hashKey []byte
	// verificationSlots holds a place for each verification that may run.
	verificationSlots chan struct{}

	mu          sync.Mutex
	revision    dcid.Revision
	departments map[dcid.Department]*department
	// verified holds the digest that each credential matched.
	verified *cache
	// rejected holds the digests that each credential did not match, so that a
	// caller that repeats a wrong credential does not occupy verifications.
	rejected *cache
}

type department struct {
	digests []string
	// verificationSlot has one place, so that one department cannot occupy every
	// verification and equal credentials are verified once.
	verificationSlot chan struct{}
}

type mac [sha256.Size]byte

// New returns an Authenticator that accepts nobody until Adopt is called. The
// random source keys the hash of cached credentials and must be
// cryptographically secure.
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

// SetDepartments replaces the accepted digests by those of a revision; an older
// revision than the last one is ignored. A digest that the revision does not
// list is refused from then on, also for cached credentials.
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

// Authenticate returns nil, ErrDenied, or the error of ctx when it ends while
// other verifications run.
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
	for _, text := range found.digests {
		if Verify(text, credential) {
			return a.cacheVerified(name, key, text)
		}
	}
	a.cacheRejected(key, found.digests)
	return ErrDenied
}

// lookup decides from the caches. It returns the department when the
// credential must be verified.
func (a *Authenticator) lookup(name dcid.Department, key mac) (*department, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	found, ok := a.departments[name]
	if !ok {
		return nil, ErrDenied
	}
	if text, ok := a.verified.get(key); ok && slices.Contains(found.digests, text) {
		return nil, nil
	}
	if texts, ok := a.rejected.get(key); ok && texts == joinDigests(found.digests) {
		return nil, ErrDenied
	}
	return found, nil
}

// cacheVerified caches a verified credential, unless its digest was removed during
// the verification.
func (a *Authenticator) cacheVerified(name dcid.Department, key mac, text string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	found, ok := a.departments[name]
	if !ok || !slices.Contains(found.digests, text) {
		return ErrDenied
	}
	a.verified.put(key, text)
	return nil
}

func (a *Authenticator) cacheRejected(key mac, digests []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rejected.put(key, joinDigests(digests))
}

// mac hashes a department and a credential. The length of the department's
// name keeps different pairs from having the same input.
func (a *Authenticator) mac(name dcid.Department, credential string) mac {
	hash := hmac.New(sha256.New, a.hashKey)
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(name)))
	_, _ = hash.Write(length[:])
	_, _ = hash.Write([]byte(name))
	_, _ = hash.Write([]byte(credential))
	return mac(hash.Sum(nil))
}

func joinDigests(digests []string) string {
	return strings.Join(digests, " ")
}

func acquire(ctx context.Context, places chan struct{}) error {
	select {
	case places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func release(places chan struct{}) {
	<-places
}

// cache evicts its oldest entry when it is full.
type cache struct {
	values map[mac]string
	// order holds the keys as a ring, next is the place of the oldest one.
	order []mac
	next  int
}

func newCache(capacity int) *cache {
	return &cache{
		values: make(map[mac]string),
		order:  make([]mac, capacity),
	}
}

func (c *cache) get(key mac) (string, bool) {
	value, ok := c.values[key]
	return value, ok
}

func (c *cache) put(key mac, value string) {
	if _, ok := c.values[key]; !ok {
		delete(c.values, c.order[c.next])
		c.order[c.next] = key
		c.next = (c.next + 1) % len(c.order)
	}
	c.values[key] = value
}
