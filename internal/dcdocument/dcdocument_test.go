package dcdocument

import (
	"slices"
	"testing"
)

// TestErrors guards against errors with the wrong line, field or message, and
// against invalid documents that are accepted.
func TestErrors(t *testing.T) {
	for name, c := range map[string]struct {
		content string
		read    func(*Document)
		want    string
	}{
		"empty":     {"", nil, "f:1: document is empty"},
		"list":      {"- a", nil, "f:1: must be a mapping of fields"},
		"two":       {"a: 1\n---\nb: 1", nil, "f:2: file holds more than one document; keep one"},
		"syntax":    {"a: 1\nb: [", nil, "f:2: not valid YAML: did not find expected node content"},
		"missing":   {"a:\n  b: 1", func(d *Document) { d.Number("a.c", 1, 2) }, "f:1: a.c: is missing; give a number from 1 to 2"},
		"range":     {"a:\n  b: 3", func(d *Document) { d.Number("a.b", 1, 2) }, "f:2: a.b: 3 must be from 1 to 2"},
		"not one":   {"a: .nan", func(d *Document) { d.OptionalNumber("a", 0, 1, 2) }, "f:1: a: must be a number, found the number .nan"},
		"null":      {"a: ~", func(d *Document) { d.Text("a") }, "f:1: a: is missing; give a name"},
		"number":    {"a: 1", func(d *Document) { d.Text("a") }, "f:1: a: must be text, found the number 1"},
		"address":   {"a: host:80", func(d *Document) { d.OptionalAddress("a") }, `f:1: a: "host:80" must be an IP address and port such as 10.0.0.1:7000`},
		"texts":     {"a:\n- x\n- 4", func(d *Document) { d.TextList("a") }, "f:1: a: entry 2 must be text, found the number 4"},
		"in a list": {"a:\n- b: 1\n- b: 2", func(d *Document) { d.AddError("a[1].b", "wrong") }, "f:3: a[1].b: wrong"},
		"beyond":    {"a:\n- b: 1", func(d *Document) { d.AddError("a[4].b", "wrong") }, "f:1: a[4].b: wrong"},
		"by line":   {"a: 1\nb: 2", func(d *Document) { d.AddError("b", "wrong"); d.AddError("a", "wrong") }, "f:1: a: wrong\nf:2: b: wrong"},
	} {
		document, err := Parse("f", []byte(c.content))
		if err == nil {
			c.read(document)
			err = document.Err()
		}
		if err == nil || err.Error() != c.want {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
}

// TestUnknownPaths guards against a misspelled field that is not reported, and
// against known fields that are.
func TestUnknownPaths(t *testing.T) {
	document, err := Parse("f", []byte("a: {b: 1, c: 2, d: 3}\ne: {f: 1}\ng: 1\nh: {i: 1}"))
	if err != nil {
		t.Fatal(err)
	}
	document.Number("a.b", 0, 1)
	got := document.UnknownPaths("a.d", "h")
	if !slices.Equal(got, []string{"a.c", "e", "g"}) || document.Err() != nil {
		t.Errorf("unknown paths %v, errors %v", got, document.Err())
	}
}
