// Package dcconfigcheckcommand checks settings files without calling a host.
package dcconfigcheckcommand

import (
	"errors"
	"fmt"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	"github.com/dandelioncart/dandelioncart/platform"
)

// Options of config check.
type Options struct {
	dccommand.Output
	Host                  bool     `help:"The files are host settings, not service configurations." xor:"kind"`
	PlatformSettings      bool     `help:"The files are settings that the users' platform gives to its hosts." xor:"kind"`
	PlatformConfiguration bool     `help:"The files are configurations of the users' platform, as its store holds them." xor:"kind"`
	Files                 []string `arg:"" help:"Files to check; - for standard input." name:"file"`
}

// Help returns examples.
func (o *Options) Help() string {
	return `Every fault is printed with its file, line and field.

Examples:

  dandelioncart config check configuration.yaml
  dandelioncart config check --host host-1.yaml host-2.yaml
  dandelioncart config check --platform-settings /etc/dandelioncart/local.yaml

` + dccommand.ExitHelp()
}

// Run checks every file before it returns.
func (o *Options) Run(env *dccommand.Environment) error {
	answer := &callerv1.ApplyResponse{}
	count := 0
	for _, file := range o.Files {
		faults, err := o.checkFile(env, file)
		if err != nil {
			return err
		}
		count += len(faults)
		answer.Errors = append(answer.Errors, dcsettings.Proto(faults)...)
		if !o.JSON && len(faults) > 0 {
			_, _ = fmt.Fprintln(env.Out, faults)
		}
	}
	if o.JSON {
		if err := dccommand.WriteJSON(env.Out, answer); err != nil {
			return err
		}
	}
	if count > 0 {
		return dccommand.ExitErrorf(dccommand.ExitInvalid, "errors found: %d; correct them and check again", count)
	}
	return nil
}

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
	var faults dcsettings.Errors
	if errors.As(err, &faults) {
		return faults, nil
	}
	return nil, err
}
