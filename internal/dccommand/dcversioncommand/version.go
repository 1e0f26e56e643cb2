// Package dcversioncommand prints the version of the program.
package dcversioncommand

import (
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
)

// Options of version.
type Options struct {
	dccommand.Output
}

type buildInfo struct {
	Version  string `json:"version"`
	Commit   string `json:"commit"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// Help returns examples.
func (o *Options) Help() string {
	return `Examples:

  dandelioncart version --json
`
}

// Run prints what the linker recorded.
func (o *Options) Run(env *dccommand.Environment) error {
	found := readBuildInfo()
	if o.JSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(found)
	}
	_, err := fmt.Fprintf(env.Out, "%s %s commit %s %s\n", dccommand.Name, found.Version, found.Commit, found.Go)
	return err
}

func readBuildInfo() buildInfo {
	found := buildInfo{Version: "unknown", Commit: "unknown", Go: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return found
	}
	found.Go = info.GoVersion
	if info.Main.Version != "" {
		found.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			found.Commit = setting.Value
		case "vcs.modified":
			found.Modified = setting.Value == "true"
		}
	}
	return found
}
