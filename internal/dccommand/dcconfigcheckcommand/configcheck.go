// Package dcconfigcheckcommand implements the command that checks settings
// files without calling a host.
package dcconfigcheckcommand

import (
	"errors"
	"fmt"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	"github.com/dandelioncart/dandelioncart/platform"
)

// Options are the arguments of the config check command.
type Options struct {
	dccommand.Output
	Host                  bool     `help:"The files are host settings, not service configurations." xor:"kind"`
	PlatformSettings      bool     `help:"The files are settings that the users' platform gives to its hosts." xor:"kind"`
	PlatformConfiguration bool     `help:"The files are configurations of the users' platform, as its store holds them." xor:"kind"`
	Files                 []string `arg:"" help:"Files to check; - for standard input." name:"file"`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `Every error is printed with its file, line and field.

Examples:

  dandelioncart config check configuration.yaml
  dandelioncart config check --host host-1.yaml host-2.yaml
  dandelioncart config check --platform-settings /etc/dandelioncart/local.yaml

` + dccommand.ExitHelp()
}

// Run checks all files, also after one that has errors, and prints the errors.
func (o *Options) Run(env *dccommand.Environment) error {
	response := &callerv1.ApplyResponse{}
	count := 0
	for _, file := range o.Files {
		fieldErrors, err := o.checkFile(env, file)
		if err != nil {
			return err
		}
		count += len(fieldErrors)
		response.Errors = append(response.Errors, dcsettings.FieldErrors(fieldErrors)...)
		if !o.JSON && len(fieldErrors) > 0 {
			_, _ = fmt.Fprintln(env.Out, fieldErrors)
		}
	}
	if o.JSON {
		if err := dccommand.WriteJSON(env.Out, response); err != nil {
			return err
		}
	}
	if count > 0 {
		return dccommand.ExitErrorf(dccommand.ExitInvalid, "errors found: %d; correct them and check again", count)
	}
	return nil
}

// checkFile returns the errors in one file. The second result is not nil when
// the check failed for another reason, such as a file that cannot be read.
func (o *Options) checkFile(env *dccommand.Environment, file string) (dcsettings.Errors, error) {
	document, err := dccommand.ReadInput(env, file, dcsettings.MaxDocumentBytes+1)
	if err != nil {
		return nil, err
	}
	switch {
	case o.Host:
		_, err = dcsettings.ParseHost(file, document)
	case o.PlatformSettings:
		_, err = platform.ParseSettings(file, document)
	case o.PlatformConfiguration:
		err = platform.CheckConfiguration(file, document)
	default:
		_, err = dcsettings.ParseConfiguration(file, document)
	}
	var fieldErrors dcsettings.Errors
	if errors.As(err, &fieldErrors) {
		return fieldErrors, nil
	}
	return nil, err
}
