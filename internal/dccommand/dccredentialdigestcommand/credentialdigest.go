// Package dccredentialdigestcommand implements the command that computes the
// digest of a credential.
package dccredentialdigestcommand

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/dandelioncart/dandelioncart/internal/dcauth"
	"github.com/dandelioncart/dandelioncart/internal/dccommand"
)

// Options are the arguments of the credential digest command, which has none.
type Options struct{}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The credential is read as one line from standard input, so that it appears
neither in the process list nor in the shell history. Put the digest into
credential-digests in single quotes.

Examples:

  dandelioncart credential digest < credential.txt
  openssl rand -base64 24 | tee credential.txt | dandelioncart credential digest

` + dccommand.ExitHelp()
}

// Run reads the credential from standard input and prints its digest.
func (o *Options) Run(env *dccommand.Environment) error {
	line, err := bufio.NewReader(io.LimitReader(env.In, 2*dcauth.MaxCredentialBytes)).ReadString('\n')
	if err != nil && err != io.EOF {
		return err
	}
	digest, err := dcauth.NewDigest(env.Random, strings.TrimRight(line, "\r\n"))
	if err != nil {
		return dccommand.ExitErrorf(dccommand.ExitUsage, "%s; give a longer line on standard input", err)
	}
	_, err = fmt.Fprintln(env.Out, digest)
	return err
}
