// Package dccredentialdigestcommand makes the digest of a credential.
package dccredentialdigestcommand

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/dandelioncart/dandelioncart/internal/dcauth"
	"github.com/dandelioncart/dandelioncart/internal/dccommand"
)

// Options of credential digest.
type Options struct{}

// Help returns examples.
func (o *Options) Help() string {
	return `The credential is read as one line from standard input, so that it appears
neither in the list of processes nor in the history of the shell. Put the digest
into credential-digests in single quotes.

Examples:

  dandelioncart credential digest < credential.txt
  openssl rand -base64 24 | tee credential.txt | dandelioncart credential digest

` + dccommand.ExitHelp()
}

// Run prints the digest.
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
