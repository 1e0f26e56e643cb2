// Package dcauth checks the credentials of departments against one-way
// digests.
package dcauth

import (
	"context"
	"errors"
	"io"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// ErrDenied reports an unknown department or a wrong credential.
var ErrDenied = errors.New("department or credential is not accepted")

// Authenticator checks credentials; it is safe for concurrent use.
type Authenticator struct{}

// New returns an Authenticator that accepts nobody until Adopt is called. The
// random source keys the hash of cached credentials.
func New(random io.Reader) (*Authenticator, error) { panic("not implemented") }

// Adopt replaces the accepted digests by those of a revision. A digest that
// the revision does not list is refused from then on.
func (a *Authenticator) Adopt(revision dcid.Revision, departments []*settingsv1.Department) {
	panic("not implemented")
}

// Authenticate returns nil, ErrDenied, or the error of ctx when it ends while
// other verifications run.
func (a *Authenticator) Authenticate(ctx context.Context, department dcid.Department, credential string) error {
	panic("not implemented")
}

// NewDigest returns the argon2id digest of a credential in PHC form.
func NewDigest(random io.Reader, credential string) (digest string, err error) {
	panic("not implemented")
}

// CheckDigest reports whether the text is a digest that NewDigest could return.
func CheckDigest(digest string) error { panic("not implemented") }

// Verify reports whether a credential has the digest, for the bootstrap
// credential of host settings.
func Verify(digest, credential string) bool { panic("not implemented") }
