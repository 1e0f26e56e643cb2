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

// maxNameBytes bounds names, which become labels of metrics and parts of keys.
const maxNameBytes = 63

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// add records a fault at a line.
func (r *decoder) add(line int, path, format string, arguments ...any) {
	if r.aborted || len(r.errs) > maxErrors {
		return
	}
	message := fmt.Sprintf(format, arguments...)
	if len(r.errs) == maxErrors {
		message = fmt.Sprintf("more than %d errors; correct those above first", maxErrors)
	}
	r.errs = append(r.errs, dcdocument.Error{File: r.file, Line: line, Field: path, Message: message})
}

// abort records a fault after which nothing more is read.
func (r *decoder) abort(line int, path, format string, arguments ...any) {
	r.add(line, path, format, arguments...)
	r.aborted = true
}

// invalidValue records a value that could not be read.
func (r *decoder) invalidValue(path string, line int, format string, arguments ...any) {
	r.invalid[path] = true
	r.add(line, path, format, arguments...)
}

// at records a fault of a field, at the line of the field or of the nearest
// enclosing one that the document has.
func (r *decoder) at(path, format string, arguments ...any) {
	if r.invalid[path] {
		return
	}
	r.add(r.line(path), path, format, arguments...)
}

func (r *decoder) line(path string) int {
	for {
		if line, ok := r.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return r.lines[""]
		}
		path = path[:cut]
	}
}

// completed reports whether the document could be walked, so that further
// checks make sense.
func (r *decoder) completed() bool {
	return !r.aborted
}

func (r *decoder) err() error {
	if len(r.errs) == 0 {
		return nil
	}
	return sortAndDeduplicate(r.errs)
}

// isSet reports whether the document sets a field.
func (r *decoder) isSet(path string) bool {
	_, ok := r.lines[path]
	return ok
}

func (r *decoder) name(path, value string) {
	switch {
	case value == "":
		r.at(path, "is missing; give a kebab-case name")
	case len(value) > maxNameBytes:
		r.at(path, "is longer than %d bytes", maxNameBytes)
	case !kebabCase.MatchString(value):
		r.at(path, "%q must be kebab-case: a-z, 0-9 and single hyphens", dcdocument.Truncate(value))
	}
}

func (r *decoder) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		r.at(path, "%q must be one of: %s", dcdocument.Truncate(value), strings.Join(allowed, ", "))
	}
}

func (r *decoder) intBetween(path string, value, low, high int32) {
	if value == 0 && low > 0 && !r.isSet(path) {
		r.at(path, "is missing; give a number between %d and %d", low, high)
		return
	}
	if value < low || value > high {
		r.at(path, "%d must be between %d and %d", value, low, high)
	}
}

func (r *decoder) fraction(path string, value float64) {
	if value < 0 || value > 1 {
		r.at(path, "%g must be between 0 and 1", value)
	}
}

func (r *decoder) durationBetween(path string, value *durationpb.Duration, low, high time.Duration) {
	if value == nil {
		r.at(path, "is missing; give a duration between %s and %s", low, high)
		return
	}
	if actual := value.AsDuration(); actual < low || actual > high {
		r.at(path, "%s must be between %s and %s", actual, low, high)
	}
}

func (r *decoder) address(path, value string) {
	if value == "" {
		r.at(path, "is missing; give an IP address and port")
		return
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		r.at(path, "%q must be an IP address and port such as 10.0.0.1:7000", dcdocument.Truncate(value))
		return
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		r.at(path, "%q must be an address that others can connect to", value)
	}
	if parsed.String() != value {
		r.at(path, "%q must be written as %s", value, parsed)
	}
}

func (r *decoder) httpURL(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		r.at(path, "%q must be a URL such as http://10.0.0.1:2379", dcdocument.Truncate(value))
	}
}

// unique records a fault for each repeated value. The path of item i is
// prefix[i] followed by suffix.
func (r *decoder) unique(what, prefix, suffix string, values []string) {
	first := make(map[string]string, len(values))
	for i, value := range values {
		path := fmt.Sprintf("%s[%d]%s", prefix, i, suffix)
		if earlier, found := first[value]; found && value != "" {
			r.at(path, "%s %q is already used at line %d", what, dcdocument.Truncate(value), r.line(earlier))
			continue
		}
		first[value] = path
	}
}
