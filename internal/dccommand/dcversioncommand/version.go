// Package dcversioncommand implements the command that prints the version of
// the program.
package dcversioncommand

import (
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
)

// Options are the arguments of the version command.
type Options struct {
	dccommand.Output
}

// buildInfo describes the build of the program. Its fields are the JSON output.
type buildInfo struct {
	Version  string `json:"version"`
	Commit   string `json:"commit"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `Examples:

  dandelioncart version --json
`
}

// Run prints the build information that the Go linker recorded in the program.
func (o *Options) Run(env *dccommand.Environment) error {
	info := readBuildInfo()
	if o.JSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(info)
	}
	_, err := fmt.Fprintf(env.Out, "%s %s commit %s %s\n", dccommand.Name, info.Version, info.Commit, info.Go)
	return err
}

// readBuildInfo returns the build information, with "unknown" for what was not
// recorded.
func readBuildInfo() buildInfo {
	result := buildInfo{Version: "unknown", Commit: "unknown", Go: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return result
	}
	result.Go = info.GoVersion
	if info.Main.Version != "" {
		result.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			result.Commit = setting.Value
		case "vcs.modified":
			result.Modified = setting.Value == "true"
		}
	}
	return result
}
