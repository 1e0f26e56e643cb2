// Package dcsettings decodes and validates host settings and service
// configurations, which are YAML documents, into the messages of
// proto/dandelioncart/settings/v1. Unknown and repeated fields are errors. Field
// names are the kebab-case JSON names of the schema; durations are written as in
// Go, with a unit. Anchors, aliases and merge keys are accepted.
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

// MaxDocumentBytes is the maximum size of a document. A configuration revision
// with its document must fit into one store value of 1 MiB.
const MaxDocumentBytes = 768 << 10

// Errors holds all errors of a document, ordered by line. LoadHost, ParseHost
// and ParseConfiguration return it for an invalid document.
type Errors = dcdocument.Errors

// FieldErrors converts errors to messages of the caller API.
func FieldErrors(errs Errors) []*callerv1.FieldError {
	messages := make([]*callerv1.FieldError, len(errs))
	for i, err := range errs {
		messages[i] = &callerv1.FieldError{
			File:    err.File,
			Line:    int32(err.Line),
			Field:   err.Field,
			Message: err.Message,
		}
	}
	return messages
}

// LoadHost reads host settings from a file and fills in defaults.
func LoadHost(path string) (*settingsv1.HostSettings, error) {
	document, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseHost(path, document)
}

// ReadFile reads a settings file. Of a file larger than MaxDocumentBytes, it
// returns the first MaxDocumentBytes+1 bytes, so that parsing reports the size.
func ReadFile(path string) (document []byte, err error) {
	defer func() { err = eris.Wrap(err, "read settings") }()
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, MaxDocumentBytes+1))
}

// ParseHost decodes and validates host settings and fills in defaults. The file
// is only used in error messages.
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

// ParseConfiguration decodes and validates a service configuration and fills in
// defaults. The file is only used in error messages.
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

// Parse decodes a document into a message of any schema with the same rules for
// syntax, field names and types. It does not know the defaults and the valid
// values of that schema.
func Parse(file string, document []byte, message proto.Message) error {
	return parse(file, document, message).err()
}

// sortAndDeduplicate returns the errors ordered by line. An error in an anchored
// node occurs once for each alias, at the same line with the same message and
// last field name; only the first of them is kept.
func sortAndDeduplicate(errs Errors) Errors {
	sort.SliceStable(errs, func(i, j int) bool { return errs[i].Line < errs[j].Line })
	seen := make(map[dcdocument.Error]bool, len(errs))
	var unique Errors
	for _, err := range errs {
		key := err
		key.Field = err.Field[strings.LastIndex(err.Field, ".")+1:]
		if !seen[key] {
			seen[key] = true
			unique = append(unique, err)
		}
	}
	return unique
}
