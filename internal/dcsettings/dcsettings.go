// Package dcsettings reads host settings and service configurations from
// strict YAML into the messages of proto/dandelioncart/settings/v1. Field
// names are the kebab-case JSON names of the schema; durations are Go duration
// text with a unit. Anchors, aliases and merge keys are accepted.
package dcsettings

import (
	"io"
	"os"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcdocument"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// MaxDocumentBytes is the largest document that is read. A revision with its
// document must fit into one store value of 1 MiB.
const MaxDocumentBytes = 768 << 10

// Errors holds every fault of a document, ordered by line. LoadHost,
// ParseHost and ParseConfiguration return it as their error.
type Errors = dcdocument.Errors

// FieldErrors returns faults as messages for callers.
func FieldErrors(faults Errors) []*callerv1.FieldError {
	messages := make([]*callerv1.FieldError, len(faults))
	for i, fault := range faults {
		messages[i] = &callerv1.FieldError{
			File:    fault.File,
			Line:    int32(fault.Line),
			Field:   fault.Field,
			Message: fault.Message,
		}
	}
	return messages
}

// LoadHost reads host settings from a file, with defaults filled in.
func LoadHost(path string) (*settingsv1.HostSettings, error) {
	document, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseHost(path, document)
}

// ReadFile reads a settings file of at most MaxDocumentBytes. One byte more is
// returned for a larger file, so that parsing reports it.
func ReadFile(path string) (document []byte, err error) {
	defer func() { err = eris.Wrap(err, "read settings") }()
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, MaxDocumentBytes+1))
}

// ParseHost reads host settings from a document, with defaults filled in.
func ParseHost(file string, document []byte) (*settingsv1.HostSettings, error) {
	settings := &settingsv1.HostSettings{}
	check := parse(file, document, settings)
	if check.completed() {
		checkHost(check, settings)
	}
	if err := check.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// ParseConfiguration reads a service configuration, with defaults filled in.
// The file is only a name for error messages.
func ParseConfiguration(file string, document []byte) (*settingsv1.Configuration, error) {
	configuration := &settingsv1.Configuration{}
	check := parse(file, document, configuration)
	if check.completed() {
		checkConfiguration(check, configuration)
	}
	if err := check.err(); err != nil {
		return nil, err
	}
	return configuration, nil
}

// Parse reads a document into a message of any schema with the same strict
// rules. It knows no defaults and no contradictions of that schema.
func Parse(file string, document []byte, message proto.Message) error {
	return parse(file, document, message).err()
}

// sortAndDeduplicate returns the faults by line. A fault behind an anchor occurs once for
// each alias; only the first is kept.
func sortAndDeduplicate(faults Errors) Errors {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	seen := make(map[dcdocument.Error]bool, len(faults))
	var kept Errors
	for _, fault := range faults {
		same := fault
		same.Field = fault.Field[strings.LastIndex(fault.Field, ".")+1:]
		if !seen[same] {
			seen[same] = true
			kept = append(kept, fault)
		}
	}
	return kept
}
