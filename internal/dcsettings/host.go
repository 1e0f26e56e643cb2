package dcsettings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcauth"
	"github.com/dandelioncart/dandelioncart/internal/dcdocument"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// checkHost checks decoded host settings and records their errors.
func checkHost(check *decoder, settings *settingsv1.HostSettings) {
	check.name("host-id", settings.GetHostId())
	check.name("failure-domain", settings.GetFailureDomain())
	checkListener(check, "callers", settings.GetCallers())
	checkListener(check, "peers", settings.GetPeers())
	checkStore(check, settings.GetStore())
	checkHostList(check, settings.GetHostList())
	checkTLS(check, "peer-tls", settings.GetPeerTls(), true)
	checkTLS(check, "caller-tls", settings.GetCallerTls(), false)
	check.oneOf("log.level", settings.GetLog().GetLevel(), "debug", "info", "warn", "error")
	check.oneOf("log.encoding", settings.GetLog().GetEncoding(), "json", "console")
	check.durationBetween("address-lifetime", settings.GetAddressLifetime(), 100*time.Millisecond, time.Hour)
	check.durationBetween("stop-timeout", settings.GetStopTimeout(), 0, time.Hour)
	check.durationBetween("heartbeat-interval", settings.GetHeartbeatInterval(), 10*time.Millisecond, 10*time.Second)
	check.durationBetween("status-interval", settings.GetStatusInterval(), 10*time.Millisecond, time.Minute)
	for i, peer := range settings.GetSeedPeers() {
		check.address(fmt.Sprintf("seed-peers[%d]", i), peer)
	}
	checkDigest(check, "bootstrap-credential-digest", settings.GetBootstrapCredentialDigest(), false)
}

func checkListener(check *decoder, path string, listener *settingsv1.Listener) {
	listen := join(path, "listen")
	if listener.GetListen() == "" {
		check.at(listen, "is missing; give an IP address and port to listen on")
		return
	}
	parsed, err := netip.ParseAddrPort(listener.GetListen())
	if err != nil {
		check.at(listen, "%q must be an IP address and port such as 10.0.0.1:7000", dcdocument.Truncate(listener.GetListen()))
		return
	}
	if listener.GetAdvertise() != "" {
		check.address(join(path, "advertise"), listener.GetAdvertise())
		return
	}
	if parsed.Addr().IsUnspecified() {
		check.at(join(path, "advertise"), "is missing; others cannot connect to %s", listener.GetListen())
	}
}

func checkStore(check *decoder, store *settingsv1.StoreSettings) {
	if len(store.GetEndpoints()) == 0 {
		check.at("store.endpoints", "is missing; give the base URL of the key-value service")
		return
	}
	for i, endpoint := range store.GetEndpoints() {
		check.httpURL(fmt.Sprintf("store.endpoints[%d]", i), endpoint)
	}
	check.durationBetween("store.timeout", store.GetTimeout(), 10*time.Millisecond, time.Minute)
	if !strings.HasSuffix(store.GetPrefix(), "/") {
		check.at("store.prefix", "%q must end with a slash", dcdocument.Truncate(store.GetPrefix()))
	}
}

func checkHostList(check *decoder, list *settingsv1.HostListSettings) {
	if list == nil {
		return
	}
	check.httpURL("host-list.url", list.GetUrl())
	check.durationBetween("host-list.interval", list.GetInterval(), 10*time.Millisecond, time.Hour)
}

// checkTLS checks TLS settings, which may be nil. A certificate authority is
// required only for mutual TLS.
func checkTLS(check *decoder, path string, tls *settingsv1.TLSSettings, mutual bool) {
	if tls == nil {
		return
	}
	if tls.GetCertificateFile() == "" {
		check.at(join(path, "certificate-file"), "is missing; name a PEM file or remove %s", path)
	}
	if tls.GetKeyFile() == "" {
		check.at(join(path, "key-file"), "is missing; name a PEM file or remove %s", path)
	}
	if mutual && tls.GetAuthorityFile() == "" {
		check.at(join(path, "authority-file"), "is missing; hosts check each other's certificates")
	}
}

// checkDigest checks that a credential digest is valid, or, if it is not
// required, empty.
func checkDigest(check *decoder, path, digest string, required bool) {
	if digest == "" && !required {
		return
	}
	if err := dcauth.CheckDigest(digest); err != nil {
		check.at(path, "%s; make one with: dandelioncart credential digest", err)
	}
}
