package dcauth

import (
	"context"
	"errors"
	"math/rand"
	"strings"
	"testing"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// minimalParameters holds the lowest accepted parameters, to keep tests fast.
var minimalParameters = digest{memory: 8, time: 1, threads: 1, salt: make([]byte, 8), hash: make([]byte, 16)}

func minimalDigest(t *testing.T, seed int64, credential string) string {
	t.Helper()
	text, err := minimalParameters.derive(rand.New(rand.NewSource(seed)), credential)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func departments(name string, digests ...string) []*settingsv1.Department {
	return []*settingsv1.Department{{Name: name, CredentialDigests: digests}}
}

func newAuthenticator(t *testing.T) *Authenticator {
	t.Helper()
	authenticator, err := New(rand.New(rand.NewSource(1)))
	if err != nil {
		t.Fatal(err)
	}
	return authenticator
}

func TestNewDigest(t *testing.T) {
	text, err := NewDigest(rand.New(rand.NewSource(1)), "a long credential")
	if err != nil {
		t.Fatal(err)
	}
	if !Verify(text, "a long credential") || Verify(text, "a long credentiaL") {
		t.Errorf("digest %s rejects its credential or accepts another one", text)
	}
	if err := CheckDigest(text); err != nil {
		t.Error(err)
	}
	if _, err := NewDigest(rand.New(rand.NewSource(1)), "short"); err == nil {
		t.Error("short credential was accepted")
	}
}

// TestCheckDigest guards against parameters with which a configuration could
// exhaust the memory or processor of a host, and against more than one accepted
// text form of the same digest.
func TestCheckDigest(t *testing.T) {
	good := minimalDigest(t, 1, "credential")
	if err := CheckDigest(good); err != nil {
		t.Fatal(err)
	}
	for _, change := range [][2]string{
		{"argon2id", "argon2i"},
		{"v=19", "v=16"},
		{"m=8", "m=999999"},
		{"m=8", "m=08"},
		{"m=8", "m=7"},
		{"t=1", "t=0"},
		{"t=1", "t=99"},
		{"p=1", "p=9"},
		{"p=1$", "p=1$!"},
		{good, ""},
		{good, "a plain credential"},
		{good, good + "$"},
		{good, good + "\n"},
		{good, strings.Repeat("$", 300)},
	} {
		if changed := strings.Replace(good, change[0], change[1], 1); CheckDigest(changed) == nil {
			t.Errorf("%q was accepted", changed)
		}
	}
}

// TestCredentialChange guards against a credential that is still accepted from
// the cache after its digest was removed, and against an older revision that
// restores a removed digest.
func TestCredentialChange(t *testing.T) {
	ctx := context.Background()
	authenticator := newAuthenticator(t)
	old, next := minimalDigest(t, 1, "old credential"), minimalDigest(t, 2, "new credential")
	steps := []struct {
		revision         dcid.Revision
		digests          []string
		oldWant, newWant error
	}{
		{1, []string{old}, nil, ErrDenied},
		{2, []string{old, next}, nil, nil},
		{3, []string{next}, ErrDenied, nil},
		{2, []string{old, next}, ErrDenied, nil},
		{4, []string{old}, nil, ErrDenied},
	}
	for _, step := range steps {
		listed := departments("kitchen", step.digests...)
		authenticator.SetDepartments(step.revision, listed)
		for range 2 {
			if err := authenticator.Authenticate(ctx, "kitchen", "old credential"); !errors.Is(err, step.oldWant) {
				t.Errorf("revision %d, old credential: got %v, want %v", step.revision, err, step.oldWant)
			}
			if err := authenticator.Authenticate(ctx, "kitchen", "new credential"); !errors.Is(err, step.newWant) {
				t.Errorf("revision %d, new credential: got %v, want %v", step.revision, err, step.newWant)
			}
		}
	}
	if err := authenticator.Authenticate(ctx, "mills", "old credential"); !errors.Is(err, ErrDenied) {
		t.Errorf("unknown department: got %v, want %v", err, ErrDenied)
	}
}

// TestCachedCredentialsSkipVerification guards against requests whose credential
// is cached, as verified or rejected, that wait for a verification slot.
func TestCachedCredentialsSkipVerification(t *testing.T) {
	authenticator := newAuthenticator(t)
	authenticator.SetDepartments(1, departments("kitchen", minimalDigest(t, 1, "credential")))
	for _, credential := range []string{"credential", "mistaken"} {
		_ = authenticator.Authenticate(context.Background(), "kitchen", credential)
	}
	for range maxConcurrentVerifications {
		authenticator.verificationSlots <- struct{}{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for credential, want := range map[string]error{
		"credential": nil,
		"mistaken":   ErrDenied,
		"unknown":    context.Canceled,
	} {
		if err := authenticator.Authenticate(ctx, "kitchen", credential); !errors.Is(err, want) {
			t.Errorf("%s: got %v, want %v", credential, err, want)
		}
	}
}

func TestCacheIsBounded(t *testing.T) {
	cache := newCache(3)
	for i := range 10 {
		cache.put(mac{byte(i)}, "digest")
	}
	if _, newest := cache.get(mac{9}); !newest || len(cache.values) > 3 {
		t.Errorf("newest kept: %v, entries: %d", newest, len(cache.values))
	}
}
