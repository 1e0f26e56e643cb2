package dchost

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// Certificates holds the certificates of TLS settings. It reads the PEM files
// again when they change, so that a certificate can be replaced without a
// restart. If the files cannot be read, the last valid ones stay in use.
type Certificates struct {
	settings *settingsv1.TLSSettings

	mu sync.Mutex
	// loaded holds the states of the certificate, key and authority files as of
	// the last successful read.
	loaded      [3]fileState
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// fileState distinguishes the versions of a file; zero if there is no file.
type fileState struct {
	modified time.Time
	size     int64
}

// NewCertificates reads the files for the first time. It returns nil if
// settings is nil.
func NewCertificates(settings *settingsv1.TLSSettings) (certificates *Certificates, err error) {
	defer func() { err = eris.Wrap(err, "read TLS files") }()
	if settings == nil {
		return nil, nil
	}
	certificates = &Certificates{settings: settings}
	return certificates, certificates.reload()
}

// Server returns the configuration of a listener that does not request client
// certificates. It returns nil without settings.
func (c *Certificates) Server() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := c.current()
			return certificate, nil
		},
	}
}

// MutualServer returns the configuration of a listener that requires a client
// certificate of the authority. It returns nil without settings.
func (c *Certificates) MutualServer() *tls.Config {
	if c == nil {
		return nil
	}
	base := c.Server()
	base.ClientAuth = tls.RequireAndVerifyClientCert
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := base.Clone()
		current.GetConfigForClient = nil
		_, current.ClientCAs = c.current()
		return current, nil
	}
	return base
}

// Client returns the configuration of a client that presents the certificate
// and accepts servers with a certificate of the authority. It returns nil
// without settings. The standard verification is replaced by one against the
// authority that was read last. Hosts are called by IP address, for which TLS
// sends no server name. Only the authority therefore distinguishes the hosts of
// this tier from others, and it must not sign any other certificates.
func (c *Certificates) Client() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := c.current()
			return certificate, nil
		},
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

func (c *Certificates) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, authorities := c.current()
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       state.ServerName,
		Roots:         authorities,
		Intermediates: intermediates,
	})
	return err
}

func (c *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	_ = c.reload()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.certificate, c.authorities
}

// reload reads the files if one of them has changed.
func (c *Certificates) reload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, err := c.stat()
	if err != nil || found == c.loaded {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(c.settings.GetCertificateFile(), c.settings.GetKeyFile())
	if err != nil {
		return err
	}
	var authorities *x509.CertPool
	if file := c.settings.GetAuthorityFile(); file != "" {
		pemData, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		authorities = x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(pemData) {
			return errors.New("authority file contains no valid PEM certificate")
		}
	}
	c.certificate, c.authorities, c.loaded = &certificate, authorities, found
	return nil
}

func (c *Certificates) stat() (found [3]fileState, err error) {
	files := []string{c.settings.GetCertificateFile(), c.settings.GetKeyFile(), c.settings.GetAuthorityFile()}
	for i, file := range files {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return found, err
		}
		found[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return found, nil
}
