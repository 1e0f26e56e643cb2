package dccommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Output holds the output flags. It is embedded in the options of commands that
// print data.
type Output struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// WriteJSON prints a message as indented JSON. Because protojson varies its
// white space on purpose, encoding/json does the indentation, which keeps the
// output stable.
func WriteJSON(out io.Writer, message proto.Message) error {
	compact, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, compact, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, indented.String())
	return err
}

// WriteTable prints rows in aligned columns. The first row is the header.
func WriteTable(out io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// ReadInput reads at most limit bytes of a file, or of standard input when path
// is "-".
func ReadInput(env *Environment, path string, limit int64) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(env.In, limit))
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, ExitErrorf(ExitUsage, "input cannot be read: %s", err)
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, limit))
}

// Payload holds the flags for an opaque request body. It is embedded in the
// options of commands that send one.
type Payload struct {
	Body     string `help:"Body of the request." xor:"body"`
	BodyFile string `help:"File with the body; - for standard input." xor:"body" placeholder:"FILE"`
}

// maxPayloadBytes is the number of bytes after which a request body is cut off.
// It exceeds the largest value allowed for max-body-bytes of a service group,
// so that the tier refuses a body that was cut off.
const maxPayloadBytes = 17 << 20

// ReadBody returns the request body from the flag or the file.
func (p *Payload) ReadBody(env *Environment) ([]byte, error) {
	if p.BodyFile == "" {
		return []byte(p.Body), nil
	}
	return ReadInput(env, p.BodyFile, maxPayloadBytes)
}

// Period holds the flags for the period of a report. It is embedded in the
// options of report commands.
type Period struct {
	From  time.Time     `help:"First minute, RFC 3339; --since before --until when not set."`
	Until time.Time     `help:"Last minute, RFC 3339; now when not set."`
	Since time.Duration `help:"Length of the period when --from is not set." default:"1h"`
}

// Bounds returns the first and the last minute of the period in UTC. It returns
// an ExitError when the period ends before it starts.
func (p *Period) Bounds(env *Environment) (from, until time.Time, err error) {
	until = p.Until
	if until.IsZero() {
		until = env.Clock.Now()
	}
	from = p.From
	if from.IsZero() {
		from = until.Add(-p.Since)
	}
	if from.After(until) {
		return from, until, ExitErrorf(ExitUsage, "the period ends before it starts: give --from before --until")
	}
	return from.UTC(), until.UTC(), nil
}
