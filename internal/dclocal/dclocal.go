// Package dclocal runs a deployment on one machine for experiments. It starts one
// process with the stand-ins for the platform and the upstreams, and one process
// for each host. They communicate over loopback.
package dclocal

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/dandelioncart/dandelioncart/internal/dcauth"
	"github.com/dandelioncart/dandelioncart/internal/dcprocess"
	"github.com/dandelioncart/dandelioncart/internal/dcstandin"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

const (
	// startTimeout limits the time until all processes are ready.
	startTimeout    = 30 * time.Second
	pollInterval    = 50 * time.Millisecond
	addressLifetime = 2 * time.Second
	maxReplyBytes   = 16 << 20
)

// Deployment is a local deployment. Set the exported fields before Start.
type Deployment struct {
	// Binaries is the directory that holds the programs.
	Binaries string
	// Profile is the path of the profile of the stand-ins.
	Profile string
	// Hosts is the number of entry hosts.
	Hosts int
	// Groups lists the service groups to configure, with their callers.
	Groups GroupConfigs
	// ModifyConfiguration changes the configuration before it is first applied. It
	// may be nil.
	ModifyConfiguration func(*settingsv1.Configuration)
	// Directory is an existing directory that receives settings and logs.
	Directory  string
	Clock      clockwork.Clock
	HTTPClient *http.Client

	profile *standinv1.Profile
	// ready holds the addresses that the stand-ins listen on.
	ready   *standinv1.Ready
	standin *dcprocess.Process
	hosts   []*host
	// bootstrapDigest is the digest of the bootstrap credential.
	bootstrapDigest string
	logs            []*os.File

	configuration *settingsv1.Configuration
	// revision is the latest applied revision, or 0 if there is none.
	revision uint32
}

// host is one host process of a Deployment.
type host struct {
	id            string
	domain        string
	callerAddress string
	peerAddress   string
	// settings is the path of the settings file.
	settings string
	// process is nil until the host is first started.
	process *dcprocess.Process
	// reserved holds listeners on the ports of the host, so that no other program
	// takes the ports before the host starts.
	reserved []net.Listener
}

// reservePort listens on a free loopback port until releasePorts is called, and
// returns its address.
func (h *host) reservePort() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h.reserved = append(h.reserved, listener)
	return listener.Addr().String(), nil
}

// releasePorts closes the listeners on the reserved ports.
func (h *host) releasePorts() {
	for _, listener := range h.reserved {
		_ = listener.Close()
	}
	h.reserved = nil
}

// Start starts all processes, applies the configuration and waits until every
// host is ready to take requests. It fails after startTimeout (30 s). When it
// fails, it stops all processes.
func (d *Deployment) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			d.Stop()
			err = eris.Wrap(err, "start local deployment")
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.startStandin(ctx); err != nil {
		return err
	}
	if d.bootstrapDigest, err = dcauth.NewDigest(rand.Reader, Credential(administratorDepartment)); err != nil {
		return err
	}
	if err := d.prepareHosts(); err != nil {
		return err
	}
	for index := range d.hosts {
		if err := d.StartHost(index); err != nil {
			return err
		}
	}
	if err := d.waitAllOK(ctx, "/livez"); err != nil {
		return err
	}
	configuration, err := buildConfiguration(d.profile, d.ready, d.Groups, d.Hosts)
	if err != nil {
		return err
	}
	if d.ModifyConfiguration != nil {
		d.ModifyConfiguration(configuration)
	}
	d.configuration = configuration
	if err := d.applyConfiguration(ctx, d.hosts[0]); err != nil {
		return err
	}
	return d.waitAllOK(ctx, "/readyz")
}

// startStandin starts the process of the stand-ins and waits until it prints the
// line with its addresses, or until ctx is done.
func (d *Deployment) startStandin(ctx context.Context) error {
	text, err := os.ReadFile(d.Profile)
	if err != nil {
		return err
	}
	if d.profile, err = dcstandin.ParseProfile(d.Profile, text); err != nil {
		return err
	}
	log, err := d.openLog("standin")
	if err != nil {
		return err
	}
	reader, writer := io.Pipe()
	d.standin, err = dcprocess.Start(filepath.Join(d.Binaries, "dandelioncart-standin"), []string{d.Profile}, writer, log)
	if err != nil {
		return err
	}
	go func() {
		<-d.standin.Done()
		_ = writer.CloseWithError(io.ErrUnexpectedEOF)
	}()
	stop := context.AfterFunc(ctx, func() { _ = reader.CloseWithError(ctx.Err()) })
	defer stop()
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		return eris.Wrap(err, "stand-in did not become ready, see its log")
	}
	d.ready = &standinv1.Ready{}
	return protojson.Unmarshal(line, d.ready)
}

// prepareHosts chooses the addresses of all hosts and writes their settings. The
// first hosts use the caller addresses that the profile lists, if any.
func (d *Deployment) prepareHosts() (err error) {
	domains := d.profile.GetFailureDomains()
	for index := range d.Hosts {
		id := fmt.Sprintf("host-%d", index+1)
		newHost := &host{id: id, domain: domains[index%len(domains)], settings: filepath.Join(d.Directory, id+".yaml")}
		d.hosts = append(d.hosts, newHost)
		if newHost.callerAddress, err = newHost.reservePort(); err != nil {
			return err
		}
		if tierHosts := d.profile.GetTierHosts(); index < len(tierHosts) {
			newHost.callerAddress = tierHosts[index]
		}
		if newHost.peerAddress, err = newHost.reservePort(); err != nil {
			return err
		}
	}
	for _, host := range d.hosts {
		if err := d.writeSettings(host); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) writeSettings(host *host) error {
	settings := &settingsv1.HostSettings{
		HostId: host.id, FailureDomain: host.domain,
		Callers:                   &settingsv1.Listener{Listen: host.callerAddress},
		Peers:                     &settingsv1.Listener{Listen: host.peerAddress},
		Store:                     &settingsv1.StoreSettings{Endpoints: []string{d.ready.GetStore()}, Prefix: "local/"},
		HostList:                  &settingsv1.HostListSettings{Url: d.ready.GetHostList()},
		AddressLifetime:           durationpb.New(addressLifetime),
		BootstrapCredentialDigest: d.bootstrapDigest,
	}
	for _, other := range d.hosts {
		if other != host {
			settings.SeedPeers = append(settings.SeedPeers, other.peerAddress)
		}
	}
	text, err := protojson.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(host.settings, text, 0o600)
}

// StartHost starts a host that is not running. index is the number of the host,
// from 0. StartHost does not wait until the host is ready.
func (d *Deployment) StartHost(index int) error {
	host := d.hosts[index]
	log, err := d.openLog(host.id)
	if err != nil {
		return err
	}
	host.releasePorts()
	host.process, err = dcprocess.Start(filepath.Join(d.Binaries, "dandelioncart"),
		[]string{"serve", "--settings", host.settings}, log, log)
	return err
}

// KillHost kills the process of a host.
func (d *Deployment) KillHost(index int) { d.hosts[index].process.Kill() }

// StopHost stops a host gracefully and waits until its process has exited. If that
// takes longer than 60 s or ctx is done first, it kills the process and returns
// an error. It also returns an error if the process exits with one.
func (d *Deployment) StopHost(ctx context.Context, index int) error {
	return d.hosts[index].process.Stop(ctx)
}

// WaitReady waits until a host is ready to take requests.
func (d *Deployment) WaitReady(ctx context.Context, index int) error {
	return d.waitOK(ctx, d.hosts[index], "/readyz")
}

// Pid returns the process ID of a host.
func (d *Deployment) Pid(index int) int { return d.hosts[index].process.Pid() }

// HostID returns the ID of a host.
func (d *Deployment) HostID(index int) string { return d.hosts[index].id }

// CallerAddresses returns the caller addresses of all hosts.
func (d *Deployment) CallerAddresses() (addresses []string) {
	for _, host := range d.hosts {
		addresses = append(addresses, host.callerAddress)
	}
	return addresses
}

// Stop kills every process that is still running and closes the logs.
func (d *Deployment) Stop() {
	for _, host := range d.hosts {
		host.releasePorts()
		if host.process != nil && !host.process.Exited() {
			host.process.Kill()
		}
	}
	if d.standin != nil && !d.standin.Exited() {
		d.standin.Kill()
	}
	for _, log := range d.logs {
		_ = log.Close()
	}
	d.hosts, d.logs = nil, nil
}

func (d *Deployment) openLog(name string) (*os.File, error) {
	path := filepath.Join(d.Directory, name+".log")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		d.logs = append(d.logs, file)
	}
	return file, err
}

// waitAllOK waits until every host answers a GET of path with status 200.
func (d *Deployment) waitAllOK(ctx context.Context, path string) error {
	for _, host := range d.hosts {
		if err := d.waitOK(ctx, host, path); err != nil {
			return err
		}
	}
	return nil
}

// waitOK waits until a host answers a GET of path with status 200. It returns an
// error if the process of the host exits or ctx is done.
func (d *Deployment) waitOK(ctx context.Context, host *host, path string) error {
	for {
		if host.process.Exited() {
			return eris.Errorf("%s exited unexpectedly, see its log in %s", host.id, d.Directory)
		}
		reply, err := d.callJSON(ctx, http.MethodGet, "http://"+host.callerAddress+path, nil)
		if err == nil && reply.status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s did not answer %s with status 200", host.id, path)
		case <-d.Clock.After(pollInterval):
		}
	}
}

// CallAdmin calls the admin endpoint of the stand-ins with a JSON body, for
// example to set faults. path may have a query that selects servers. A status of
// 400 or above is an error.
func (d *Deployment) CallAdmin(ctx context.Context, method, path string, body []byte) error {
	reply, err := d.send(ctx, method, d.ready.GetAdmin()+path, body)
	if err == nil && reply.status >= http.StatusBadRequest {
		err = eris.Errorf("status %d: %s", reply.status, reply.body)
	}
	return eris.Wrapf(err, "call stand-in %s", path)
}

// Report returns the counters of the stand-ins.
func (d *Deployment) Report(ctx context.Context) (report *standinv1.Report, err error) {
	reply, err := d.callJSON(ctx, http.MethodGet, d.ready.GetAdmin()+"/v1/report", nil)
	if err != nil {
		return nil, eris.Wrap(err, "read stand-in report")
	}
	report = &standinv1.Report{}
	return report, eris.Wrap(protojson.Unmarshal(reply.body, report), "read stand-in report")
}

// RanOrders returns the keys of those orders that ran, according to the run log
// of the stand-ins.
func (d *Deployment) RanOrders(ctx context.Context, department string, keys []string) (ran []string, err error) {
	defer func() { err = eris.Wrap(err, "read stand-in run log") }()
	request := &standinv1.RunsRequest{Department: department, Keys: keys}
	reply, err := d.callJSON(ctx, http.MethodPost, d.ready.GetAdmin()+"/v1/runs", request)
	if err != nil {
		return nil, err
	}
	response := &standinv1.RunsResponse{}
	err = protojson.Unmarshal(reply.body, response)
	return response.GetRan(), err
}

// Services returns the names of the services of a service group.
func (d *Deployment) Services(group string) (names []string) {
	for _, ready := range d.ready.GetGroups() {
		if ready.GetName() != group {
			continue
		}
		for _, service := range ready.GetServices() {
			names = append(names, service.GetName())
		}
	}
	return names
}

// reply is an HTTP response whose body has been read.
type reply struct {
	status int
	body   []byte
}

// callJSON sends a message as JSON. message may be nil, for an empty body.
func (d *Deployment) callJSON(ctx context.Context, method, url string, message proto.Message) (answer reply, err error) {
	var body []byte
	if message != nil {
		if body, err = protojson.Marshal(message); err != nil {
			return answer, err
		}
	}
	return d.send(ctx, method, url, body)
}

// send sends a request with the credential of administratorDepartment and a
// request timeout of 5 s, and reads at most maxReplyBytes of the response body.
// It does not check the status.
func (d *Deployment) send(ctx context.Context, method, url string, body []byte) (answer reply, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	request.SetBasicAuth(administratorDepartment, Credential(administratorDepartment))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Timeout-Ms", "5000")
	response, err := d.HTTPClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	answer.status = response.StatusCode
	answer.body, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return answer, err
}
