package dchost

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// writeCertificate writes a self-signed certificate with the given serial
// number, which is its own authority.
func writeCertificate(t *testing.T, directory string, serial int64, modified time.Time) *settingsv1.TLSSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    time.Unix(0, 0), NotAfter: time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	settings := &settingsv1.TLSSettings{
		CertificateFile: filepath.Join(directory, "certificate.pem"),
		KeyFile:         filepath.Join(directory, "key.pem"),
		AuthorityFile:   filepath.Join(directory, "certificate.pem"),
	}
	for name, block := range map[string]*pem.Block{
		settings.CertificateFile: {Type: "CERTIFICATE", Bytes: certificate},
		settings.KeyFile:         {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	return settings
}

// handshake returns the serial number of the certificate of the server, or the
// error of either side.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener := tls.NewListener(listenLoopback(t), server)
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			accepted <- err
			return
		}
		defer conn.Close()
		accepted <- conn.(*tls.Conn).Handshake()
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		<-accepted
		return 0, err
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-accepted
}

// TestCertificateReload guards against a replaced certificate that takes effect
// only after a restart, against a broken file that stops a running host, and
// against a peer that is accepted without a certificate of the authority.
func TestCertificateReload(t *testing.T) {
	directory, other := t.TempDir(), t.TempDir()
	start := time.Unix(1_700_000_000, 0)
	certificates, err := NewCertificates(writeCertificate(t, directory, 1, start))
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := NewCertificates(writeCertificate(t, other, 9, start))
	if err != nil {
		t.Fatal(err)
	}
	server, client := certificates.MutualServer(), certificates.Client()
	check := func(want int64) {
		t.Helper()
		if serial, err := handshake(t, server, client); serial != want || err != nil {
			t.Errorf("certificate %d, want %d: %v", serial, want, err)
		}
	}
	check(1)
	writeCertificate(t, directory, 2, start.Add(time.Second))
	check(2)
	if err := os.WriteFile(filepath.Join(directory, "key.pem"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	check(2)
	if _, err := handshake(t, server, foreign.Client()); err == nil {
		t.Error("client accepted a server of another authority")
	}
	unverifying := foreign.Client()
	unverifying.VerifyConnection = nil
	if _, err := handshake(t, server, unverifying); err == nil {
		t.Error("server accepted a client of another authority")
	}
	if none, err := NewCertificates(nil); none.Server() != nil || none.Client() != nil || err != nil {
		t.Error("TLS is configured without settings")
	}
}
