package dcsettings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/dandelioncart/dandelioncart/internal/dcdocument"
)

const durationMessageName = protoreflect.FullName("google.protobuf.Duration")

func isDuration(field protoreflect.FieldDescriptor) bool {
	return field.Message() != nil && field.Message().FullName() == durationMessageName
}

// isMessage reports whether a field is a message that is written as a mapping,
// which a duration is not.
func isMessage(field protoreflect.FieldDescriptor) bool {
	return field.Message() != nil && !isDuration(field)
}

// decodeValue decodes a scalar value of a field. It records an error and returns
// false if that fails.
func (d *decoder) decodeValue(node *yaml.Node, path string, field protoreflect.FieldDescriptor, depth int) (protoreflect.Value, bool) {
	var none protoreflect.Value
	if !d.visit(node, path, depth) {
		return none, false
	}
	if node.Kind != yaml.ScalarNode {
		d.addInvalidValue(path, node.Line, "must be %s, found %s", describeKind(field), dcdocument.Describe(node))
		return none, false
	}
	value, err := decodeScalar(node, field)
	if err != nil {
		d.addInvalidValue(path, node.Line, "%s", err)
		return none, false
	}
	return value, true
}

// decodeScalar decodes a scalar node as the type of a field.
func decodeScalar(node *yaml.Node, field protoreflect.FieldDescriptor) (protoreflect.Value, error) {
	if isDuration(field) {
		return decodeDuration(node)
	}
	switch field.Kind() {
	case protoreflect.StringKind:
		return decodeText(node)
	case protoreflect.BoolKind:
		return decodeBool(node)
	case protoreflect.Int32Kind:
		return decodeInt32(node)
	case protoreflect.Uint32Kind:
		return decodeUint32(node)
	case protoreflect.DoubleKind:
		return decodeDouble(node)
	default:
		return protoreflect.Value{}, fmt.Errorf("fields of type %s are not supported", field.Kind())
	}
}

func decodeText(node *yaml.Node) (protoreflect.Value, error) {
	if node.ShortTag() != "!!str" {
		return protoreflect.Value{}, fmt.Errorf("must be text, found %s; put it in quotes", dcdocument.Describe(node))
	}
	return protoreflect.ValueOfString(node.Value), nil
}

func decodeBool(node *yaml.Node) (protoreflect.Value, error) {
	var value bool
	if node.ShortTag() != "!!bool" || node.Decode(&value) != nil {
		return protoreflect.Value{}, fmt.Errorf("must be true or false, found %s", dcdocument.Describe(node))
	}
	return protoreflect.ValueOfBool(value), nil
}

func decodeInt32(node *yaml.Node) (protoreflect.Value, error) {
	var value int64
	if node.ShortTag() != "!!int" {
		return protoreflect.Value{}, fmt.Errorf("must be a whole number, found %s", dcdocument.Describe(node))
	}
	if node.Decode(&value) != nil || value < math.MinInt32 || value > math.MaxInt32 {
		return protoreflect.Value{}, fmt.Errorf("%s is out of range for a 32-bit number", node.Value)
	}
	return protoreflect.ValueOfInt32(int32(value)), nil
}

func decodeUint32(node *yaml.Node) (protoreflect.Value, error) {
	var value uint64
	if node.ShortTag() != "!!int" {
		return protoreflect.Value{}, fmt.Errorf("must be a whole number, found %s", dcdocument.Describe(node))
	}
	if node.Decode(&value) != nil || value > math.MaxUint32 {
		return protoreflect.Value{}, fmt.Errorf("%s is out of range for a 32-bit number that is not negative", node.Value)
	}
	return protoreflect.ValueOfUint32(uint32(value)), nil
}

func decodeDouble(node *yaml.Node) (protoreflect.Value, error) {
	var value float64
	tag := node.ShortTag()
	if (tag != "!!int" && tag != "!!float") || node.Decode(&value) != nil {
		return protoreflect.Value{}, fmt.Errorf("must be a number, found %s", dcdocument.Describe(node))
	}
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return protoreflect.Value{}, fmt.Errorf("must be a finite number, found %s", node.Value)
	}
	return protoreflect.ValueOfFloat64(value), nil
}

// decodeDuration decodes a duration such as 250ms. Numbers without a unit are
// errors, including 0, which time.ParseDuration accepts.
func decodeDuration(node *yaml.Node) (protoreflect.Value, error) {
	if _, err := strconv.ParseFloat(node.Value, 64); err == nil {
		return protoreflect.Value{}, fmt.Errorf("duration %q has no unit; write for example %sms or %ss", node.Value, node.Value, node.Value)
	}
	if node.ShortTag() != "!!str" {
		return protoreflect.Value{}, fmt.Errorf("must be a duration such as 250ms, found %s", dcdocument.Describe(node))
	}
	value, err := time.ParseDuration(node.Value)
	if err != nil {
		reason := strings.TrimPrefix(err.Error(), "time: ")
		return protoreflect.Value{}, fmt.Errorf("%s; use a unit of ns, us, ms, s, m or h, for example 250ms", reason)
	}
	return protoreflect.ValueOfMessage(durationpb.New(value).ProtoReflect()), nil
}

// describeKind describes the type of a field for error messages.
func describeKind(field protoreflect.FieldDescriptor) string {
	switch {
	case isDuration(field):
		return "a duration such as 250ms"
	case field.Kind() == protoreflect.StringKind:
		return "text"
	case field.Kind() == protoreflect.BoolKind:
		return "true or false"
	default:
		return "a number"
	}
}
