// Package dcdocument parses YAML documents whose fields are looked up by path,
// and reports all errors of a document with their file, line and field.
package dcdocument

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Error is one error in a document.
type Error struct {
	File string
	// Line is the line number, from 1.
	Line int
	// Field is a path such as service-groups[0].max-deadline. It is empty for an
	// error that concerns the whole document.
	Field   string
	Message string
}

// String formats the error as "file:line: field: message", without the field if
// it is empty.
func (e Error) String() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Message)
}

// Errors holds all errors of a document, ordered by line.
type Errors []Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed document. The methods that look up a field record an error
// if it is invalid, or missing and required, and return its zero value or default
// if it is missing or has the wrong type. Err returns the errors. A Document is
// not safe for concurrent use.
type Document struct {
	file string
	root *yaml.Node
	errs Errors
	// requested holds the paths of the fields that were looked up.
	requested map[string]bool
}

// syntaxErrorPattern matches an error of the YAML decoder that names a line.
var syntaxErrorPattern = regexp.MustCompile(`line (\d+): (.*)`)

// Parse parses a file that holds one document, which must be a mapping. The file
// name is only used in error messages. The error is of type Errors.
func Parse(file string, content []byte) (*Document, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	var root, extra yaml.Node
	if err := decoder.Decode(&root); err != nil {
		return nil, Errors{SyntaxError(file, err)}
	}
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return nil, Errors{{File: file, Line: max(extra.Line, 1), Message: "file holds more than one document; keep one"}}
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 || root.Content[0].Kind != yaml.MappingNode {
		return nil, Errors{{File: file, Line: 1, Message: "must be a mapping of fields"}}
	}
	return &Document{file: file, root: root.Content[0], requested: make(map[string]bool)}, nil
}

// SyntaxError converts an error of the YAML decoder. The line is 1 if the decoder
// gives none.
func SyntaxError(file string, err error) Error {
	if errors.Is(err, io.EOF) {
		return Error{File: file, Line: 1, Message: "document is empty"}
	}
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	match := syntaxErrorPattern.FindStringSubmatch(text)
	if match == nil {
		return Error{File: file, Line: 1, Message: "not valid YAML: " + text}
	}
	line, _ := strconv.Atoi(match[1])
	return Error{File: file, Line: max(line, 1), Message: "not valid YAML: " + match[2]}
}

// Err returns the recorded errors as Errors, ordered by line, or nil if there are
// none.
func (d *Document) Err() error {
	if len(d.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errs, func(a, b Error) int { return a.Line - b.Line })
	return d.errs
}

// AddError records an error of the field at a path. Its line is that of the
// field, or of the nearest enclosing field if the document does not set it.
func (d *Document) AddError(path, format string, arguments ...any) {
	line := 1
	node := d.root
	for name := range strings.SplitSeq(path, ".") {
		key, value := lookup(node, name)
		if key == nil {
			break
		}
		line, node = key.Line, value
	}
	d.errs = append(d.errs, Error{File: d.file, Line: line, Field: path, Message: fmt.Sprintf(format, arguments...)})
}

// Text returns a string that is required and must not be empty.
func (d *Document) Text(path string) string {
	text := d.OptionalText(path)
	if text == "" && !d.hasError(path) {
		d.AddError(path, "is missing; give a name")
	}
	return text
}

// OptionalText returns a string, or "" if it is missing or null.
func (d *Document) OptionalText(path string) string {
	node := d.find(path)
	switch {
	case node == nil || node.ShortTag() == "!!null":
		return ""
	case node.Kind != yaml.ScalarNode || node.ShortTag() != "!!str":
		d.AddError(path, "must be text, found %s", Describe(node))
		return ""
	}
	return node.Value
}

// Address returns an IP address and port, which is required.
func (d *Document) Address(path string) string {
	text := d.OptionalText(path)
	if d.hasError(path) {
		return ""
	}
	d.checkAddress(path, text)
	return text
}

// OptionalAddress returns an IP address and port, or "" if it is missing or null.
func (d *Document) OptionalAddress(path string) string {
	text := d.OptionalText(path)
	if text != "" {
		d.checkAddress(path, text)
	}
	return text
}

// checkAddress records an error if text is not an IP address and a port other
// than 0.
func (d *Document) checkAddress(path, text string) {
	switch parsed, err := netip.ParseAddrPort(text); {
	case text == "":
		d.AddError(path, "is missing; give an IP address and port")
	case err != nil || parsed.Port() == 0:
		d.AddError(path, "%q must be an IP address and port such as 10.0.0.1:7000", Truncate(text))
	}
}

// TextList returns the strings of a list, or nil if it is missing or null. It
// records an error for each entry that is not a string and leaves it out.
func (d *Document) TextList(path string) (texts []string) {
	node := d.find(path)
	switch {
	case node == nil || node.ShortTag() == "!!null":
		return nil
	case node.Kind != yaml.SequenceNode:
		d.AddError(path, "must be a list, found %s", Describe(node))
		return nil
	}
	for i, item := range node.Content {
		item = resolve(item)
		if item.Kind != yaml.ScalarNode || item.ShortTag() != "!!str" {
			d.AddError(path, "entry %d must be text, found %s", i+1, Describe(item))
			continue
		}
		texts = append(texts, item.Value)
	}
	return texts
}

// Number returns a number from low to high, inclusive, which is required.
func (d *Document) Number(path string, low, high float64) float64 {
	if d.find(path) == nil {
		d.AddError(path, "is missing; give a number from %g to %g", low, high)
		return 0
	}
	return d.OptionalNumber(path, 0, low, high)
}

// OptionalNumber returns a number from low to high, inclusive, or defaultValue if
// it is missing or invalid.
func (d *Document) OptionalNumber(path string, defaultValue, low, high float64) float64 {
	value, ok := d.number(path)
	switch {
	case !ok:
		return defaultValue
	case value < low || value > high:
		d.addRangeError(path, low, high)
		return defaultValue
	}
	return value
}

// LimitedNumber is Number for a field in which numbers above high have the same effect
// as high, which it returns for them.
func (d *Document) LimitedNumber(path string, low, high float64) float64 {
	if d.find(path) == nil {
		return d.Number(path, low, high)
	}
	return d.OptionalLimitedNumber(path, 0, low, high)
}

// OptionalLimitedNumber is OptionalNumber for a field in which numbers above high have
// the same effect as high, which it returns for them.
func (d *Document) OptionalLimitedNumber(path string, defaultValue, low, high float64) float64 {
	value, ok := d.number(path)
	switch {
	case !ok:
		return defaultValue
	case value < low:
		d.addRangeError(path, low, high)
		return defaultValue
	}
	return min(value, high)
}

// number returns a number, or false if it is missing or invalid.
func (d *Document) number(path string) (value float64, ok bool) {
	node := d.find(path)
	if node == nil {
		return 0, false
	}
	tag := node.ShortTag()
	if node.Kind != yaml.ScalarNode || tag != "!!int" && tag != "!!float" || node.Decode(&value) != nil || math.IsNaN(value) {
		d.AddError(path, "must be a number, found %s", Describe(node))
		return 0, false
	}
	return value, true
}

func (d *Document) addRangeError(path string, low, high float64) {
	d.AddError(path, "%s must be from %g to %g", Truncate(d.find(path).Value), low, high)
}

// UnknownPaths returns the sorted paths of the fields that were not looked up and
// are not in known. If a mapping was looked up or is in known, so are all fields
// below it. Paths are truncated as by Truncate.
func (d *Document) UnknownPaths(known ...string) []string {
	paths := make(map[string]bool)
	d.addUnknownPaths(d.root, "", known, paths)
	sorted := make([]string, 0, len(paths))
	for path := range paths {
		sorted = append(sorted, path)
	}
	slices.Sort(sorted)
	return sorted
}

// addUnknownPaths adds the unknown paths of a mapping and the mappings below it
// to paths. prefix is the path of the mapping with a final dot, or empty for the
// root.
func (d *Document) addUnknownPaths(node *yaml.Node, prefix string, known []string, paths map[string]bool) {
	for i := 0; i+1 < len(node.Content); i += 2 {
		path := prefix + node.Content[i].Value
		value := resolve(node.Content[i+1])
		switch {
		case d.requested[path] || slices.Contains(known, path):
		case value.Kind == yaml.MappingNode && d.knowsFieldBelow(path, known):
			d.addUnknownPaths(value, path+".", known, paths)
		default:
			paths[Truncate(path)] = true
		}
	}
}

// knowsFieldBelow reports whether a field below a path was looked up or is in
// known.
func (d *Document) knowsFieldBelow(path string, known []string) bool {
	isBelow := func(other string) bool { return strings.HasPrefix(other, path+".") }
	for requested := range d.requested {
		if isBelow(requested) {
			return true
		}
	}
	return slices.ContainsFunc(known, isBelow)
}

// hasError reports whether an error was recorded for the field at a path.
func (d *Document) hasError(path string) bool {
	return slices.ContainsFunc(d.errs, func(e Error) bool { return e.Field == path })
}

// find returns the value of the field at a path, or nil if the document does not
// set it. It records that the field was looked up.
func (d *Document) find(path string) *yaml.Node {
	d.requested[path] = true
	node := d.root
	for name := range strings.SplitSeq(path, ".") {
		key, value := lookup(node, name)
		if key == nil {
			return nil
		}
		node = value
	}
	return node
}

// lookup returns the key and the value of a field of a mapping, or nil if there
// is none. The name may be that of a list followed by an index from 0, such as
// routes[2]; then both results are the node of that entry.
func lookup(node *yaml.Node, name string) (key, value *yaml.Node) {
	if list, index, ok := strings.Cut(strings.TrimSuffix(name, "]"), "["); ok {
		_, entries := lookup(node, list)
		position, err := strconv.Atoi(index)
		if entries == nil || entries.Kind != yaml.SequenceNode || err != nil || position >= len(entries.Content) {
			return nil, nil
		}
		return entries.Content[position], resolve(entries.Content[position])
	}
	if node.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i], resolve(node.Content[i+1])
		}
	}
	return nil, nil
}

// resolve returns the node that an alias refers to, and any other node itself.
func resolve(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		return node.Alias
	}
	return node
}

// Describe returns a description of a value for error messages, such as
// "the number 7".
func Describe(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	switch node.ShortTag() {
	case "!!int", "!!float":
		return "the number " + Truncate(node.Value)
	case "!!bool":
		return "the truth value " + Truncate(node.Value)
	case "!!null":
		return "no value"
	case "!!timestamp":
		return "the date " + Truncate(node.Value)
	case "!!str":
		return strconv.Quote(Truncate(node.Value))
	default:
		return "a value tagged " + Truncate(node.Tag)
	}
}

// Truncate shortens text to at most 40 bytes for error messages, and appends
// "..." if it was longer. It drops a character that would be cut in half.
func Truncate(text string) string {
	const limit = 40
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}
