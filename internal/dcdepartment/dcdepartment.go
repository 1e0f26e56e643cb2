// Package dcdepartment identifies the department of a request by the API key that
// its caller sends.
package dcdepartment

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"

	"github.com/rotisserie/eris"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Key is an API key. All formats print it as a fixed word, so that no log line and
// no error message can contain it.
type Key struct {
	value string
}

// NewKey returns the key with the given value.
func NewKey(value string) Key { return Key{value: value} }

// redacted replaces keys in formatted output.
const redacted = "redacted"

// String returns a fixed word.
func (Key) String() string { return redacted }

// GoString returns a fixed word.
func (Key) GoString() string { return redacted }

// MarshalText returns a fixed word.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Quota limits the requests of a department, summed over all hosts. The zero value
// has no limit.
type Quota struct {
	// Rate is the number of requests a second, 0 for no limit.
	Rate float64
	// Burst is the number of requests allowed in addition to the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Department is a department and its entitlements.
type Department struct {
	Name dcid.Department
	Keys []Key
	// Priority replaces the priority of the routes, nil for none.
	Priority *int
	Quota    Quota
}

// Index finds departments by key. It is read-only.
type Index struct {
	// byDigest holds digests instead of keys, so that the duration of a lookup does
	// not depend on how much of a guessed key is right.
	byDigest map[[sha256.Size]byte]*Department
	byName   map[dcid.Department]*Department
}

// NewIndex validates departments and indexes them. Its error joins all faults and
// names no key. The departments must not be changed afterwards.
func NewIndex(departments []Department) (index *Index, err error) {
	defer func() { err = eris.Wrap(err, "departments") }()
	index = &Index{
		byDigest: make(map[[sha256.Size]byte]*Department),
		byName:   make(map[dcid.Department]*Department),
	}
	var faults []error
	for i := range departments {
		department := &departments[i]
		if fault := index.add(department); fault != nil {
			faults = append(faults, fmt.Errorf("department %q: %w", department.Name, fault))
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return index, nil
}

func (x *Index) add(department *Department) error {
	switch quota := department.Quota; {
	case department.Name == "":
		return errors.New("name is missing")
	case x.byName[department.Name] != nil:
		return errors.New("the name is used twice")
	case !(quota.Rate >= 0) || !(quota.Burst >= 0) || math.IsInf(quota.Rate, 0) || math.IsInf(quota.Burst, 0):
		return errors.New("the rate and the burst of a quota must be 0 or more")
	}
	x.byName[department.Name] = department
	for _, key := range department.Keys {
		digest := sha256.Sum256([]byte(key.value))
		other := x.byDigest[digest]
		switch {
		case key.value == "":
			return errors.New("a key is empty")
		case other != nil && other != department:
			return fmt.Errorf("a key is also one of department %q", other.Name)
		}
		x.byDigest[digest] = department
	}
	return nil
}

// Find returns the department that holds a key. Keys are case-sensitive.
func (x *Index) Find(key Key) (department *Department, ok bool) {
	department, ok = x.byDigest[sha256.Sum256([]byte(key.value))]
	return department, ok
}

// Department returns the department of that name, or nil if there is none.
func (x *Index) Department(name dcid.Department) *Department { return x.byName[name] }
