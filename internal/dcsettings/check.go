package dcsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/dandelioncart/dandelioncart/internal/dcdocument"
)

// maxNameBytes limits the length of names, which are used as metric labels and
// as parts of store keys.
const maxNameBytes = 63

// kebabCase matches names such as host-1.
var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// addErrorAtLine records an error of a field at a line. It does nothing after an
// abort. Errors above maxErrors are replaced by one that says so.
func (d *decoder) addErrorAtLine(line int, path, format string, arguments ...any) {
	if d.aborted || len(d.errs) > maxErrors {
		return
	}
	message := fmt.Sprintf(format, arguments...)
	if len(d.errs) == maxErrors {
		message = fmt.Sprintf("more than %d errors; correct those above first", maxErrors)
	}
	d.errs = append(d.errs, dcdocument.Error{File: d.file, Line: line, Field: path, Message: message})
}

// abort records an error and stops the decoding. Later errors are not recorded.
func (d *decoder) abort(line int, path, format string, arguments ...any) {
	d.addErrorAtLine(line, path, format, arguments...)
	d.aborted = true
}

// addInvalidValue records an error of a value that could not be decoded, and
// marks its field as invalid.
func (d *decoder) addInvalidValue(path string, line int, format string, arguments ...any) {
	d.invalid[path] = true
	d.addErrorAtLine(line, path, format, arguments...)
}

// at records an error of the field at a path. Its line is that of the field, or
// of the nearest enclosing field if the document does not set it. Nothing is
// recorded for a field that is already marked as invalid.
func (d *decoder) at(path, format string, arguments ...any) {
	if d.invalid[path] {
		return
	}
	d.addErrorAtLine(d.line(path), path, format, arguments...)
}

// line returns the line of the field at a path, or of the nearest enclosing field
// that the document sets.
func (d *decoder) line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return d.lines[""]
		}
		path = path[:cut]
	}
}

// completed reports whether the whole document was decoded, possibly with
// errors, so that its values can be checked.
func (d *decoder) completed() bool {
	return !d.aborted
}

// err returns the recorded errors as Errors, or nil if there are none.
func (d *decoder) err() error {
	if len(d.errs) == 0 {
		return nil
	}
	return sortAndDeduplicate(d.errs)
}

// isSet reports whether the document sets a field.
func (d *decoder) isSet(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// name checks that a value is a kebab-case name of at most maxNameBytes.
func (d *decoder) name(path, value string) {
	switch {
	case value == "":
		d.at(path, "is missing; give a kebab-case name")
	case len(value) > maxNameBytes:
		d.at(path, "is longer than %d bytes", maxNameBytes)
	case !kebabCase.MatchString(value):
		d.at(path, "%q must be kebab-case: a-z, 0-9 and single hyphens", dcdocument.Truncate(value))
	}
}

// oneOf checks that a value is one of those allowed.
func (d *decoder) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		d.at(path, "%q must be one of: %s", dcdocument.Truncate(value), strings.Join(allowed, ", "))
	}
}

// intBetween checks that a number is set and lies from low to high, inclusive.
func (d *decoder) intBetween(path string, value, low, high int32) {
	if value == 0 && low > 0 && !d.isSet(path) {
		d.at(path, "is missing; give a number between %d and %d", low, high)
		return
	}
	if value < low || value > high {
		d.at(path, "%d must be between %d and %d", value, low, high)
	}
}

// fraction checks that a number lies from 0 to 1, inclusive.
func (d *decoder) fraction(path string, value float64) {
	if value < 0 || value > 1 {
		d.at(path, "%g must be between 0 and 1", value)
	}
}

// durationBetween checks that a duration is set and lies from low to high,
// inclusive.
func (d *decoder) durationBetween(path string, value *durationpb.Duration, low, high time.Duration) {
	if value == nil {
		d.at(path, "is missing; give a duration between %s and %s", low, high)
		return
	}
	if actual := value.AsDuration(); actual < low || actual > high {
		d.at(path, "%s must be between %s and %s", actual, low, high)
	}
}

// address checks that a value is the canonical text of an IP address and port
// that other hosts can connect to.
func (d *decoder) address(path, value string) {
	if value == "" {
		d.at(path, "is missing; give an IP address and port")
		return
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		d.at(path, "%q must be an IP address and port such as 10.0.0.1:7000", dcdocument.Truncate(value))
		return
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		d.at(path, "%q must be an address that others can connect to", value)
	}
	if parsed.String() != value {
		d.at(path, "%q must be written as %s", value, parsed)
	}
}

// httpURL checks that a value is an absolute URL with the scheme http or https.
func (d *decoder) httpURL(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		d.at(path, "%q must be a URL such as http://10.0.0.1:2379", dcdocument.Truncate(value))
	}
}

// unique records an error for each repeated value that is not empty. The path of
// item i is prefix[i] followed by suffix. valueKind names the kind of value in
// the errors.
func (d *decoder) unique(valueKind, prefix, suffix string, values []string) {
	first := make(map[string]string, len(values))
	for i, value := range values {
		path := fmt.Sprintf("%s[%d]%s", prefix, i, suffix)
		if earlier, found := first[value]; found && value != "" {
			d.at(path, "%s %q is already used at line %d", valueKind, dcdocument.Truncate(value), d.line(earlier))
			continue
		}
		first[value] = path
	}
}
