package dcsettings

import (
	"sync"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/reflect/protoreflect"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// Default is the value of a field that a document does not set.
type Default struct {
	// Message and Field are the names of the message and the field in the
	// schema.
	Message, Field string
	// Value is the value as YAML.
	Value string
	// Kind limits the default to groups of kind query or order. If it is empty,
	// the default applies to both.
	Kind string
}

// Defaults lists all defaults. A field without a default is either required or
// empty if not set.
var Defaults = []Default{
	{Message: "HostSettings", Field: "address-lifetime", Value: "5s"},
	{Message: "HostSettings", Field: "stop-timeout", Value: "30s"},
	{Message: "HostSettings", Field: "heartbeat-interval", Value: "1s"},
	{Message: "HostSettings", Field: "status-interval", Value: "1s"},
	{Message: "StoreSettings", Field: "timeout", Value: "2s"},
	{Message: "StoreSettings", Field: "prefix", Value: "dandelioncart/"},
	{Message: "HostListSettings", Field: "interval", Value: "2s"},
	{Message: "LogSettings", Field: "level", Value: "info"},
	{Message: "LogSettings", Field: "encoding", Value: "json"},
	{Message: "Configuration", Field: "ledger-partitions", Value: "16"},
	{Message: "DepartmentShare", Field: "weight", Value: "1"},
	{Message: "ServiceGroup", Field: "connect-time", Value: "5ms"},
	{Message: "ServiceGroup", Field: "coverage", Value: "complete", Kind: KindQuery},
	{Message: "ServiceGroup", Field: "extra-load", Value: "0.05"},
	{Message: "ServiceGroup", Field: "hedge-quantile", Value: "0.95", Kind: KindQuery},
	{Message: "ServiceGroup", Field: "key-retention", Value: "24h", Kind: KindOrder},
	{Message: "ServiceGroup", Field: "max-body-bytes", Value: "65536"},
	{Message: "ServiceGroup", Field: "max-queue", Value: "256"},
	{Message: "StaleConfiguration", Field: "rule", Value: StaleServe},
	{Message: "Quarantine", Field: "canary", Value: "true"},
	{Message: "Quarantine", Field: "duration", Value: "10m"},
}

// messagesAlwaysSet holds the messages that are created if the document does not
// set them, so that they need not be checked for nil.
var messagesAlwaysSet = map[protoreflect.Name]bool{
	"LogSettings":        true,
	"StaleConfiguration": true,
	"Quarantine":         true,
}

// fillDefaults sets the fields of a message that have a default and are not set
// by the document.
func (d *decoder) fillDefaults(path string, message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		fieldPath := join(path, field.JSONName())
		if d.isSet(fieldPath) || !isMessage(field) || field.IsList() {
			continue
		}
		if messagesAlwaysSet[field.Message().Name()] {
			d.fillDefaults(fieldPath, message.Mutable(field).Message())
		}
	}
	for _, entry := range defaultNodes()[string(message.Descriptor().Name())] {
		d.fillDefault(path, message, entry)
	}
}

// defaultNode is a default and its value as a YAML node.
type defaultNode struct {
	Default
	node *yaml.Node
}

// defaultNodes returns Defaults by message name, with parsed values. It parses
// them once, and panics if one is not valid YAML.
var defaultNodes = sync.OnceValue(func() map[string][]defaultNode {
	parsed := map[string][]defaultNode{}
	for _, entry := range Defaults {
		var document yaml.Node
		if err := yaml.Unmarshal([]byte(entry.Value), &document); err != nil {
			panic(err)
		}
		parsed[entry.Message] = append(parsed[entry.Message], defaultNode{Default: entry, node: document.Content[0]})
	}
	return parsed
})

// fillDefault sets one field to its default, unless the document sets the field
// or the default is for groups of another kind. It panics if the default does
// not have the type of the field.
func (d *decoder) fillDefault(path string, message protoreflect.Message, entry defaultNode) {
	if d.isSet(join(path, entry.Field)) {
		return
	}
	group, isGroup := message.Interface().(*settingsv1.ServiceGroup)
	if entry.Kind != "" && isGroup && group.GetKind() != entry.Kind {
		return
	}
	field := message.Descriptor().Fields().ByJSONName(entry.Field)
	value, err := decodeScalar(entry.node, field)
	if err != nil {
		panic(err)
	}
	message.Set(field, value)
}
