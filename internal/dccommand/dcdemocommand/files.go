package dcdemocommand

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"io"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/dandelioncart/dandelioncart/internal/dcauth"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

const (
	addressLifetime = 300 * time.Millisecond
	stopTimeout     = 10 * time.Second
	// credentialBytes is the number of random bytes in a credential. They are
	// written in hexadecimal.
	credentialBytes     = 16
	certificateLifetime = time.Hour
	// Listen ports are chosen at random from firstPort up to lastPort, which is
	// not included.
	firstPort       = 23000
	lastPort        = 31000
	maxPortAttempts = 1000
)

// reservePorts returns addresses with free loopback ports, and listeners that
// hold the ports until the hosts start. The ports are below the ephemeral
// range, because an outgoing connection could take a port of that range before
// the host listens on it.
func reservePorts(count int) (addresses []string, listeners []net.Listener, err error) {
	for range maxPortAttempts {
		if len(addresses) == count {
			return addresses, listeners, nil
		}
		port := firstPort + mathrand.IntN(lastPort-firstPort)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		addresses = append(addresses, listener.Addr().String())
		listeners = append(listeners, listener)
	}
	return nil, listeners, eris.New("no free loopback ports")
}

func closeAll(listeners []net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close()
	}
}

// writeMessage writes a message to a file as JSON, which is also valid YAML.
func (d *deployment) writeMessage(name string, message proto.Message) error {
	text, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	return os.WriteFile(d.filePath(name), text, 0o600)
}

// writeProfile writes the example profile of the stand-ins, changed so that all
// ports are chosen by the system and the given hosts are the hosts of the tier.
func (d *deployment) writeProfile(tierHosts []string) error {
	path := filepath.Join(d.options.Examples, "standin", "prairie-west.yaml")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	profile, err := dcstandin.ParseProfile(path, text)
	if err != nil {
		return err
	}
	profile.StoreListen, profile.HostListListen, profile.AdminListen = "", "", ""
	profile.TierHosts = tierHosts
	for _, group := range profile.GetGroups() {
		group.FirstPort = 0
	}
	return d.writeMessage("profile.yaml", profile)
}

// writeFiles writes the certificates, the configuration and the settings of all
// hosts.
func (d *deployment) writeFiles(callers, peers []string) error {
	if err := d.writeCertificates(); err != nil {
		return err
	}
	bootstrap, err := d.writeConfiguration()
	if err != nil {
		return err
	}
	tlsFiles := &settingsv1.TLSSettings{
		CertificateFile: d.filePath("certificate.pem"),
		KeyFile:         d.filePath("key.pem"),
		AuthorityFile:   d.filePath("authority.pem"),
	}
	domains := []string{"regina-a", "saskatoon-b", "calgary-c"}
	for i := range callers {
		settings := &settingsv1.HostSettings{
			HostId:                    hostName(i),
			FailureDomain:             domains[i%len(domains)],
			Callers:                   &settingsv1.Listener{Listen: callers[i]},
			Peers:                     &settingsv1.Listener{Listen: peers[i]},
			Store:                     &settingsv1.StoreSettings{Endpoints: []string{d.ready.GetStore()}, Prefix: "demo/"},
			HostList:                  &settingsv1.HostListSettings{Url: d.ready.GetHostList()},
			PeerTls:                   tlsFiles,
			CallerTls:                 tlsFiles,
			AddressLifetime:           durationpb.New(addressLifetime),
			StopTimeout:               durationpb.New(stopTimeout),
			BootstrapCredentialDigest: bootstrap,
		}
		for j, peer := range peers {
			if j != i {
				settings.SeedPeers = append(settings.SeedPeers, peer)
			}
		}
		d.settings = append(d.settings, settings)
		if err := d.writeMessage(settings.GetHostId()+".yaml", settings); err != nil {
			return err
		}
	}
	return nil
}

// writeConfiguration writes the example configuration with the servers of the
// stand-ins and new credentials. It returns the credential digest of the
// administrator's department, with which hosts accept the first revision.
func (d *deployment) writeConfiguration() (bootstrap string, err error) {
	name := filepath.Join(d.options.Examples, "prairie-west", "configuration.yaml")
	text, err := os.ReadFile(name)
	if err != nil {
		return "", err
	}
	configuration, err := dcsettings.ParseConfiguration(name, text)
	if err != nil {
		return "", err
	}
	configuration.EntryHosts = int32(d.options.Hosts)
	d.credentials = map[string]string{}
	for _, department := range configuration.GetDepartments() {
		digest, err := d.newCredential(department.GetName())
		if err != nil {
			return "", err
		}
		department.CredentialDigests = []string{digest}
		if department.GetName() == adminDepartment {
			bootstrap = digest
		}
	}
	for _, group := range configuration.GetServiceGroups() {
		for _, ready := range d.ready.GetGroups() {
			if ready.GetName() == group.GetName() {
				group.Services = ready.GetServices()
			}
		}
	}
	return bootstrap, d.writeMessage("configuration.yaml", configuration)
}

// newCredential generates the credential of a department and returns its
// digest.
func (d *deployment) newCredential(department string) (digest string, err error) {
	secret := make([]byte, credentialBytes)
	if _, err := io.ReadFull(d.random, secret); err != nil {
		return "", err
	}
	d.credentials[department] = hex.EncodeToString(secret)
	return dcauth.NewDigest(d.random, d.credentials[department])
}

// writeCertificates writes the certificate of a new authority, and a
// certificate and a key for 127.0.0.1 that all hosts use. It also sets the HTTP
// client of the demo to one that trusts the authority.
func (d *deployment) writeCertificates() error {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	authority := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "demo authority"},
		NotBefore:             now.Add(-time.Minute),
		NotAfter:              now.Add(certificateLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "demo host"},
		NotBefore:    authority.NotBefore,
		NotAfter:     authority.NotAfter,
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, authorityKey.Public(), authorityKey)
	if err != nil {
		return err
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, authority, key.Public(), authorityKey)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	for name, block := range map[string]*pem.Block{
		"authority.pem":   {Type: "CERTIFICATE", Bytes: authorityDER},
		"certificate.pem": {Type: "CERTIFICATE", Bytes: leafDER},
		"key.pem":         {Type: "PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(d.filePath(name), pem.EncodeToMemory(block), 0o600); err != nil {
			return err
		}
	}
	return d.initClient(authorityDER)
}

// initClient sets the HTTP client of the demo, which trusts only the authority.
func (d *deployment) initClient(authorityDER []byte) error {
	authority, err := x509.ParseCertificate(authorityDER)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	d.client = &http.Client{Transport: &http.Transport{
		TLSClientConfig:     &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
		MaxIdleConnsPerHost: 64,
	}}
	return nil
}
