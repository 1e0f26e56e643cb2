package dcstandin

import (
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dchostlist"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// HostListPath is the path at which the platform stand-in serves the host list.
const HostListPath = "/v1/hosts"

// Platform stands in for the key-value service and the host list of the
// platform. Each has its own listener, so that one can fail without the other.
type Platform struct {
	Store          *dcstore.Fake
	Hosts          *dchostlist.Fake
	StoreServer    *Server
	HostListServer *Server
}

// NewPlatform returns a platform with an empty store and host list. It listens
// on free loopback ports unless the addresses of its servers are set before
// Start.
func NewPlatform(clock clockwork.Clock) *Platform {
	p := &Platform{Store: dcstore.NewFake(clock), Hosts: dchostlist.NewFake(clock)}
	p.StoreServer = &Server{Handler: NewGateway(p.Store), Address: freeLoopbackAddress, Clock: clock}
	hosts := http.NewServeMux()
	hosts.HandleFunc("GET "+HostListPath, p.hosts)
	p.HostListServer = &Server{Handler: hosts, Address: freeLoopbackAddress, Clock: clock}
	return p
}

// freeLoopbackAddress is a loopback address with a port that the system
// chooses.
const freeLoopbackAddress = "127.0.0.1:0"

// Start listens on both addresses.
func (p *Platform) Start() error {
	if err := p.StoreServer.Start(); err != nil {
		return err
	}
	return p.HostListServer.Start()
}

// Close stops listening.
func (p *Platform) Close() {
	p.StoreServer.Close()
	p.HostListServer.Close()
}

// StoreURL returns the base URL of the key-value service.
func (p *Platform) StoreURL() string {
	return "http://" + p.StoreServer.Addr()
}

// HostListURL returns the URL of the host list.
func (p *Platform) HostListURL() string {
	return "http://" + p.HostListServer.Addr() + HostListPath
}

// SetStoreOutage takes the store down or brings it back. During an outage,
// connections are refused, and callers that share the dcstore.Fake see the
// outage too.
func (p *Platform) SetStoreOutage(outage bool) {
	p.Store.SetFaults(func(f *dcstore.FakeFaults) { f.Outage = outage })
	if outage {
		p.StoreServer.Down()
		return
	}
	p.StoreServer.Up()
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Hosts.Fetch(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, dchostlist.ToTargetGroups(hosts))
}
