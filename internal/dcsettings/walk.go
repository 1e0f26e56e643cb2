package dcsettings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/dandelioncart/dandelioncart/internal/dcdocument"
)

const (
	// maxNodes limits the number of nodes visited, where an aliased node counts
	// once for each alias. A configuration of 10,000 servers has about 25,000.
	maxNodes = 200_000
	// maxDepth limits the depth of nesting and of chains of merge keys. The
	// schema has 10 levels.
	maxDepth = 32
	// maxErrors limits the errors reported for one document.
	maxErrors = 500
)

// mergeKey is the YAML key that merges the fields of other mappings.
const mergeKey = "<<"

// decoder decodes one document and collects its errors. Its check methods then
// validate the decoded values and add to these errors.
type decoder struct {
	file string
	errs Errors
	// lines maps the path of each field that the document sets to its line.
	lines map[string]int
	// invalid holds the paths of fields whose value could not be decoded. Later
	// checks skip them.
	invalid map[string]bool
	// nodes is the number of nodes visited.
	nodes int
	// aborted is set by an error after which nothing more is decoded.
	aborted bool
}

// mappingField is a field of a mapping, set directly or through a merge key.
type mappingField struct {
	key, value *yaml.Node
}

// parse decodes a document into an empty message and fills in defaults. The
// result holds the errors.
func parse(file string, document []byte, message proto.Message) *decoder {
	d := &decoder{
		file:    file,
		lines:   map[string]int{"": 1},
		invalid: map[string]bool{},
	}
	root := d.document(document)
	if root == nil {
		return d
	}
	d.message(root, "", message.ProtoReflect(), 0)
	return d
}

// document parses the YAML and returns the root node of the only document. On an
// error, it aborts and returns nil.
func (d *decoder) document(document []byte) *yaml.Node {
	if len(document) > MaxDocumentBytes {
		d.abort(1, "", "document is larger than %d bytes; split the deployment or shorten it", MaxDocumentBytes)
		return nil
	}
	yamlDecoder := yaml.NewDecoder(bytes.NewReader(document))
	var root, extra yaml.Node
	if err := yamlDecoder.Decode(&root); err != nil {
		d.syntaxError(err)
		return nil
	}
	if err := yamlDecoder.Decode(&extra); !errors.Is(err, io.EOF) {
		d.abort(max(extra.Line, 1), "", "file holds more than one document; keep one")
		return nil
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 {
		d.abort(1, "", "document is empty")
		return nil
	}
	return root.Content[0]
}

// syntaxError aborts with an error of the YAML parser.
func (d *decoder) syntaxError(err error) {
	syntaxErr := dcdocument.SyntaxError(d.file, err)
	d.abort(syntaxErr.Line, "", "%s", syntaxErr.Message)
}

// message decodes a mapping into a message and fills in its defaults.
func (d *decoder) message(node *yaml.Node, path string, message protoreflect.Message, depth int) {
	node = resolve(node)
	if !d.visit(node, path, depth) {
		return
	}
	if node.Kind != yaml.MappingNode {
		d.addInvalidValue(path, node.Line, "must be a mapping of fields, found %s", dcdocument.Describe(node))
		d.aborted = d.aborted || path == ""
		return
	}
	fields := message.Descriptor().Fields()
	for _, entry := range d.mappingFields(node, path, depth) {
		field := fields.ByJSONName(entry.key.Value)
		fieldPath := join(path, entry.key.Value)
		if field == nil {
			d.addErrorAtLine(entry.key.Line, fieldPath, "unknown field; known fields: %s", fieldNames(fields))
			continue
		}
		d.lines[fieldPath] = entry.key.Line
		d.field(entry.value, fieldPath, message, field, depth+1)
	}
	d.fillDefaults(path, message)
}

// mappingFields returns the fields of a mapping, including merged ones. Fields
// set directly override merged ones, and earlier merge sources override later
// ones.
func (d *decoder) mappingFields(node *yaml.Node, path string, depth int) []mappingField {
	var fields []mappingField
	var sources []*yaml.Node
	seen := map[string]bool{}
	// A merged mapping is visited once for each merge, so its fields count toward
	// maxNodes each time.
	d.nodes += len(node.Content) / 2
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		switch {
		case key.Kind != yaml.ScalarNode:
			d.addErrorAtLine(key.Line, path, "field names must be plain text")
		case seen[key.Value]:
			d.addErrorAtLine(key.Line, join(path, key.Value), "field is given twice; keep one")
		case key.Value == mergeKey && key.ShortTag() == "!!merge":
			seen[key.Value] = true
			sources = append(sources, d.mergeSources(value, path)...)
		default:
			seen[key.Value] = true
			fields = append(fields, mappingField{key: key, value: value})
		}
	}
	for _, source := range sources {
		fields = d.mergeFields(fields, seen, source, path, depth+1)
	}
	return fields
}

// mergeFields appends the fields of a merge source that are not in seen, and
// adds them to seen.
func (d *decoder) mergeFields(fields []mappingField, seen map[string]bool, source *yaml.Node, path string, depth int) []mappingField {
	if !d.visit(source, path, depth) {
		return fields
	}
	if source.Kind != yaml.MappingNode {
		d.addErrorAtLine(source.Line, path, "merge key must name a mapping, found %s", dcdocument.Describe(source))
		return fields
	}
	for _, entry := range d.mappingFields(source, path, depth) {
		if !seen[entry.key.Value] {
			seen[entry.key.Value] = true
			fields = append(fields, entry)
		}
	}
	return fields
}

// mergeSources returns the mappings that the value of a merge key names: one, or
// a list of them.
func (d *decoder) mergeSources(value *yaml.Node, path string) []*yaml.Node {
	value = resolve(value)
	if value.Kind != yaml.SequenceNode {
		return []*yaml.Node{value}
	}
	var sources []*yaml.Node
	for _, item := range value.Content {
		if !d.visit(item, path, 0) {
			return nil
		}
		sources = append(sources, resolve(item))
	}
	return sources
}

// field decodes the value of one field and sets it in message.
func (d *decoder) field(node *yaml.Node, path string, message protoreflect.Message, field protoreflect.FieldDescriptor, depth int) {
	node = resolve(node)
	if node.ShortTag() == "!!null" && node.Kind == yaml.ScalarNode {
		d.addInvalidValue(path, node.Line, "has no value; set one or remove the field")
		return
	}
	switch {
	case field.IsList():
		d.list(node, path, message.Mutable(field).List(), field, depth)
	case isMessage(field):
		d.message(node, path, message.Mutable(field).Message(), depth)
	default:
		if value, ok := d.decodeValue(node, path, field, depth); ok {
			message.Set(field, value)
		}
	}
}

// list decodes a sequence into a list. An item that cannot be decoded becomes an
// empty one, so that the indexes of the following items stay right.
func (d *decoder) list(node *yaml.Node, path string, list protoreflect.List, field protoreflect.FieldDescriptor, depth int) {
	if !d.visit(node, path, depth) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.addInvalidValue(path, node.Line, "must be a list, found %s", dcdocument.Describe(node))
		return
	}
	for i, item := range node.Content {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		d.lines[itemPath] = item.Line
		if isMessage(field) {
			d.message(item, itemPath, list.AppendMutable().Message(), depth+1)
			continue
		}
		value, ok := d.decodeValue(resolve(item), itemPath, field, depth+1)
		if !ok {
			value = list.NewElement()
		}
		list.Append(value)
	}
}

// visit counts a node and reports whether decoding may continue. It aborts if
// maxNodes or maxDepth is exceeded.
func (d *decoder) visit(node *yaml.Node, path string, depth int) bool {
	if d.aborted {
		return false
	}
	d.nodes++
	if d.nodes > maxNodes {
		d.abort(node.Line, path, "document has more than %d values with aliases expanded; use fewer aliases", maxNodes)
		return false
	}
	if depth > maxDepth {
		d.abort(node.Line, path, "document is nested or merged deeper than %d levels", maxDepth)
		return false
	}
	return true
}

// resolve returns the node that an alias refers to, and any other node itself.
// YAML has no alias of an alias, so one step is enough.
func resolve(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		return node.Alias
	}
	return node
}

// join appends the name of a field to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldNames lists the names of fields for error messages.
func fieldNames(fields protoreflect.FieldDescriptors) string {
	known := make([]string, fields.Len())
	for i := range known {
		known[i] = fields.Get(i).JSONName()
	}
	return strings.Join(known, ", ")
}
