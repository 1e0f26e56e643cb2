package dcsettings

import (
	"sync"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/reflect/protoreflect"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// Default is the value of a field that a document leaves out.
type Default struct {
	// Message and Field are names of the schema.
	Message, Field string
	// Value is YAML text.
	Value string
	// Kind limits the default to query or order groups; empty for both.
	Kind string
}

// Defaults lists every default. Fields without one are either required or
// empty.
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

// messagesAlwaysSet are created when a document leaves them out, so that readers
// need no check for nil.
var messagesAlwaysSet = map[protoreflect.Name]bool{
	"LogSettings":        true,
	"StaleConfiguration": true,
	"Quarantine":         true,
}

// fillDefaults sets the fields of a message that the document leaves out.
func (r *decoder) fillDefaults(path string, message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		at := join(path, field.JSONName())
		if r.isSet(at) || !isMessage(field) || field.IsList() {
			continue
		}
		if messagesAlwaysSet[field.Message().Name()] {
			r.fillDefaults(at, message.Mutable(field).Message())
		}
	}
	for _, entry := range defaultNodes()[string(message.Descriptor().Name())] {
		r.fillDefault(path, message, entry)
	}
}

// defaultNode is a default with its parsed value.
type defaultNode struct {
	Default
	node *yaml.Node
}

// defaultNodes parses Defaults once, by message.
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

func (r *decoder) fillDefault(path string, message protoreflect.Message, entry defaultNode) {
	if r.isSet(join(path, entry.Field)) {
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
