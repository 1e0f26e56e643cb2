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

var kebab = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// add records a fault at a line.
func (r *reader) add(line int, path, format string, arguments ...any) {
	if r.halted || len(r.faults) > maxErrors {
		return
	}
	message := fmt.Sprintf(format, arguments...)
	if len(r.faults) == maxErrors {
		message = fmt.Sprintf("more than %d errors; correct those above first", maxErrors)
	}
	r.faults = append(r.faults, dcdocument.Error{File: r.file, Line: line, Field: path, Message: message})
}

// halt records a fault after which nothing more is read.
func (r *reader) halt(line int, path, format string, arguments ...any) {
	r.add(line, path, format, arguments...)
	r.halted = true
}

// fail records a value that could not be read.
func (r *reader) fail(path string, line int, format string, arguments ...any) {
	r.broken[path] = true
	r.add(line, path, format, arguments...)
}

// at records a fault of a field, at the line of the field or of the nearest
// enclosing one that the document has.
func (r *reader) at(path, format string, arguments ...any) {
	if r.broken[path] {
		return
	}
	r.add(r.line(path), path, format, arguments...)
}

func (r *reader) line(path string) int {
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

// readable reports whether the document could be walked, so that further
// checks make sense.
func (r *reader) readable() bool {
	return !r.halted
}

func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return sorted(r.faults)
}

// given reports whether the document sets a field.
func (r *reader) given(path string) bool {
	_, ok := r.lines[path]
	return ok
}

func (r *reader) name(path, value string) {
	switch {
	case value == "":
		r.at(path, "is missing; give a kebab-case name")
	case len(value) > maxNameBytes:
		r.at(path, "is longer than %d bytes", maxNameBytes)
	case !kebab.MatchString(value):
		r.at(path, "%q must be kebab-case: a-z, 0-9 and single hyphens", dcdocument.Clip(value))
	}
}

func (r *reader) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		r.at(path, "%q must be one of: %s", dcdocument.Clip(value), strings.Join(allowed, ", "))
	}
}

func (r *reader) intBetween(path string, value, low, high int32) {
	if value == 0 && low > 0 && !r.given(path) {
		r.at(path, "is missing; give a number between %d and %d", low, high)
		return
	}
	if value < low || value > high {
		r.at(path, "%d must be between %d and %d", value, low, high)
	}
}

func (r *reader) fraction(path string, value float64) {
	if value < 0 || value > 1 {
		r.at(path, "%g must be between 0 and 1", value)
	}
}

func (r *reader) durationBetween(path string, value *durationpb.Duration, low, high time.Duration) {
	if value == nil {
		r.at(path, "is missing; give a duration between %s and %s", low, high)
		return
	}
	if actual := value.AsDuration(); actual < low || actual > high {
		r.at(path, "%s must be between %s and %s", actual, low, high)
	}
}

func (r *reader) address(path, value string) {
	if value == "" {
		r.at(path, "is missing; give an IP address and port")
		return
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		r.at(path, "%q must be an IP address and port such as 10.0.0.1:7000", dcdocument.Clip(value))
		return
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		r.at(path, "%q must be an address that others can connect to", value)
	}
	if parsed.String() != value {
		r.at(path, "%q must be written as %s", value, parsed)
	}
}

func (r *reader) httpURL(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		r.at(path, "%q must be a URL such as http://10.0.0.1:2379", dcdocument.Clip(value))
	}
}

// unique records a fault for each repeated value. The path of item i is
// prefix[i] followed by suffix.
func (r *reader) unique(what, prefix, suffix string, values []string) {
	first := make(map[string]string, len(values))
	for i, value := range values {
		path := fmt.Sprintf("%s[%d]%s", prefix, i, suffix)
		if earlier, found := first[value]; found && value != "" {
			r.at(path, "%s %q is already used at line %d", what, dcdocument.Clip(value), r.line(earlier))
			continue
		}
		first[value] = path
	}
}
