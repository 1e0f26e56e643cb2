package dcsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// TestReference guards against settings fields that docs/operators.md does not
// list, or lists with another default.
func TestReference(t *testing.T) {
	document, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators.md"))
	if err != nil {
		t.Fatal(err)
	}
	defaults := map[string]string{}
	for _, entry := range Defaults {
		text := entry.Value
		if entry.Kind != "" {
			text += fmt.Sprintf(" (%s groups)", entry.Kind)
		}
		defaults[entry.Message+"."+entry.Field] = text
	}
	messages := settingsv1.File_dandelioncart_settings_v1_settings_proto.Messages()
	for i := range messages.Len() {
		checkReference(t, string(document), messages.Get(i), defaults)
	}
}

func checkReference(t *testing.T, document string, message protoreflect.MessageDescriptor, defaults map[string]string) {
	t.Helper()
	_, section, found := strings.Cut(document, "#### "+string(message.Name())+"\n")
	if !found {
		t.Errorf("docs/operators.md has no section for %s", message.Name())
	}
	section, _, _ = strings.Cut(section, "#### ")
	fields := message.Fields()
	for i := range fields.Len() {
		name := fields.Get(i).JSONName()
		_, row, found := strings.Cut(section, "| `"+name+"` | ")
		cells := strings.Split(row, " | ")
		if !found || len(cells) < 2 {
			t.Errorf("%s.%s is not documented", message.Name(), name)
			continue
		}
		want, hasDefault := defaults[string(message.Name())+"."+name]
		if hasDefault && cells[1] != want || !hasDefault && cells[1] != "required" && cells[1] != "none" {
			t.Errorf("%s.%s has default %q in docs/operators.md, want %q", message.Name(), name, cells[1], want)
		}
	}
}
