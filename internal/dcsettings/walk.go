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
	// maxNodes bounds the nodes visited, aliases expanded. A configuration of
	// 10,000 servers has about 25,000.
	maxNodes = 200_000
	// maxDepth bounds nesting and chains of merge keys. The schema nests 10
	// levels.
	maxDepth = 32
	// maxErrors bounds the faults reported for one document.
	maxErrors = 500
)

const mergeKey = "<<"

// decoder walks one document and collects its faults.
type decoder struct {
	file string
	errs Errors
	// lines holds the line of each field that the document sets, by path.
	lines map[string]int
	// invalid marks paths whose value could not be read; later checks skip them.
	invalid map[string]bool
	nodes   int
	aborted bool
}

// mappingField is a field of a mapping, given in place or through a merge key.
type mappingField struct {
	key, value *yaml.Node
}

// parse reads a document into an empty message and fills in defaults.
func parse(file string, document []byte, message proto.Message) *decoder {
	read := &decoder{
		file:    file,
		lines:   map[string]int{"": 1},
		invalid: map[string]bool{},
	}
	root := read.document(document)
	if root == nil {
		return read
	}
	read.message(root, "", message.ProtoReflect(), 0)
	return read
}

// document returns the root node of the only document, or nil.
func (r *decoder) document(document []byte) *yaml.Node {
	if len(document) > MaxDocumentBytes {
		r.abort(1, "", "document is larger than %d bytes; split the deployment or shorten it", MaxDocumentBytes)
		return nil
	}
	yamlDecoder := yaml.NewDecoder(bytes.NewReader(document))
	var root, extra yaml.Node
	if err := yamlDecoder.Decode(&root); err != nil {
		r.syntaxError(err)
		return nil
	}
	if err := yamlDecoder.Decode(&extra); !errors.Is(err, io.EOF) {
		r.abort(max(extra.Line, 1), "", "file holds more than one document; keep one")
		return nil
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 {
		r.abort(1, "", "document is empty")
		return nil
	}
	return root.Content[0]
}

func (r *decoder) syntaxError(err error) {
	fault := dcdocument.SyntaxError(r.file, err)
	r.abort(fault.Line, "", "%s", fault.Message)
}

// message reads a mapping into a message.
func (r *decoder) message(node *yaml.Node, path string, message protoreflect.Message, depth int) {
	node = resolve(node)
	if !r.visit(node, path, depth) {
		return
	}
	if node.Kind != yaml.MappingNode {
		r.invalidValue(path, node.Line, "must be a mapping of fields, found %s", dcdocument.Describe(node))
		r.aborted = r.aborted || path == ""
		return
	}
	fields := message.Descriptor().Fields()
	for _, entry := range r.mappingFields(node, path, depth) {
		field := fields.ByJSONName(entry.key.Value)
		at := join(path, entry.key.Value)
		if field == nil {
			r.add(entry.key.Line, at, "unknown field; known fields: %s", fieldNames(fields))
			continue
		}
		r.lines[at] = entry.key.Line
		r.field(entry.value, at, message, field, depth+1)
	}
	r.fillDefaults(path, message)
}

// mappingFields returns the fields of a mapping. Fields given in place win over merged
// ones, and earlier merge sources over later ones.
func (r *decoder) mappingFields(node *yaml.Node, path string, depth int) []mappingField {
	var found []mappingField
	var sources []*yaml.Node
	seen := map[string]bool{}
	// Merged mappings are walked again for each merge, so all fields count.
	r.nodes += len(node.Content) / 2
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		switch {
		case key.Kind != yaml.ScalarNode:
			r.add(key.Line, path, "field names must be plain text")
		case seen[key.Value]:
			r.add(key.Line, join(path, key.Value), "field is given twice; keep one")
		case key.Value == mergeKey && key.ShortTag() == "!!merge":
			seen[key.Value] = true
			sources = append(sources, r.mergeSources(value, path)...)
		default:
			seen[key.Value] = true
			found = append(found, mappingField{key: key, value: value})
		}
	}
	for _, source := range sources {
		found = r.mergeFields(found, seen, source, path, depth+1)
	}
	return found
}

func (r *decoder) mergeFields(found []mappingField, seen map[string]bool, source *yaml.Node, path string, depth int) []mappingField {
	if !r.visit(source, path, depth) {
		return found
	}
	if source.Kind != yaml.MappingNode {
		r.add(source.Line, path, "merge key must name a mapping, found %s", dcdocument.Describe(source))
		return found
	}
	for _, entry := range r.mappingFields(source, path, depth) {
		if !seen[entry.key.Value] {
			seen[entry.key.Value] = true
			found = append(found, entry)
		}
	}
	return found
}

func (r *decoder) mergeSources(value *yaml.Node, path string) []*yaml.Node {
	value = resolve(value)
	if value.Kind != yaml.SequenceNode {
		return []*yaml.Node{value}
	}
	var sources []*yaml.Node
	for _, item := range value.Content {
		if !r.visit(item, path, 0) {
			return nil
		}
		sources = append(sources, resolve(item))
	}
	return sources
}

func (r *decoder) field(node *yaml.Node, path string, message protoreflect.Message, field protoreflect.FieldDescriptor, depth int) {
	node = resolve(node)
	if node.ShortTag() == "!!null" && node.Kind == yaml.ScalarNode {
		r.invalidValue(path, node.Line, "has no value; set one or remove the field")
		return
	}
	switch {
	case field.IsList():
		r.list(node, path, message.Mutable(field).List(), field, depth)
	case isMessage(field):
		r.message(node, path, message.Mutable(field).Message(), depth)
	default:
		if value, ok := r.decodeValue(node, path, field, depth); ok {
			message.Set(field, value)
		}
	}
}

func (r *decoder) list(node *yaml.Node, path string, list protoreflect.List, field protoreflect.FieldDescriptor, depth int) {
	if !r.visit(node, path, depth) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		r.invalidValue(path, node.Line, "must be a list, found %s", dcdocument.Describe(node))
		return
	}
	for i, item := range node.Content {
		at := fmt.Sprintf("%s[%d]", path, i)
		r.lines[at] = item.Line
		if isMessage(field) {
			r.message(item, at, list.AppendMutable().Message(), depth+1)
			continue
		}
		value, ok := r.decodeValue(resolve(item), at, field, depth+1)
		if !ok {
			value = list.NewElement()
		}
		list.Append(value)
	}
}

// visit counts a node and reports whether the walk may go on.
func (r *decoder) visit(node *yaml.Node, path string, depth int) bool {
	if r.aborted {
		return false
	}
	r.nodes++
	if r.nodes > maxNodes {
		r.abort(node.Line, path, "document has more than %d values with aliases expanded; use fewer aliases", maxNodes)
		return false
	}
	if depth > maxDepth {
		r.abort(node.Line, path, "document is nested or merged deeper than %d levels", maxDepth)
		return false
	}
	return true
}

// resolve follows aliases. An alias of an alias does not exist in YAML, so one
// step is enough.
func resolve(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		return node.Alias
	}
	return node
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(fields protoreflect.FieldDescriptors) string {
	known := make([]string, fields.Len())
	for i := range known {
		known[i] = fields.Get(i).JSONName()
	}
	return strings.Join(known, ", ")
}
