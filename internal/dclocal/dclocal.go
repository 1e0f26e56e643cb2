// Package dclocal starts a deployment on one machine for experiments: the
// stand-ins for platform and upstreams, and the hosts, each as its own
// process on loopback.
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
	startPatience   = 30 * time.Second
	pollInterval    = 50 * time.Millisecond
	addressLifetime = 2 * time.Second
	maxReplyBytes   = 16 << 20
)

// Deployment is a set of processes on loopback. Set the exported fields before
// Start.
type Deployment struct {
	// Binaries is the directory of the programs.
	Binaries string
	// Profile is the path of the stand-ins' profile.
	Profile string
	// Hosts is the number of entry hosts.
	Hosts int
	// Uses tells which groups are configured and who calls them.
	Uses Groups
	// Change adapts the configuration before it is applied; nil for none.
	Change func(*settingsv1.Configuration)
	// Directory receives settings and logs.
	Directory string
	Clock     clockwork.Clock
	HTTP      *http.Client

	profile *standinv1.Profile
	ready   *standinv1.Ready
	standin *dcprocess.Process
	hosts   []*host
	digest  string
	logs    []*os.File

	configuration *settingsv1.Configuration
	revision      uint32
}

type host struct {
	id       string
	domain   string
	callers  string
	peers    string
	settings string
	process  *dcprocess.Process
	// held keeps the ports from other programs until the host starts.
	held []net.Listener
}

// hold takes a free loopback port.
func (h *host) hold() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h.held = append(h.held, listener)
	return listener.Addr().String(), nil
}

// letGo frees the held ports.
func (h *host) letGo() {
	for _, listener := range h.held {
		_ = listener.Close()
	}
	h.held = nil
}

// Start starts every process, applies the configuration and waits until each
// host has it in force.
func (d *Deployment) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			d.Stop()
			err = eris.Wrap(err, "start local deployment")
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	if err := d.startStandin(ctx); err != nil {
		return err
	}
	if d.digest, err = dcauth.NewDigest(rand.Reader, Credential(administrator)); err != nil {
		return err
	}
	if err := d.planHosts(); err != nil {
		return err
	}
	for index := range d.hosts {
		if err := d.StartHost(index); err != nil {
			return err
		}
	}
	if err := d.waitAll(ctx, "/livez"); err != nil {
		return err
	}
	configuration, err := buildConfiguration(d.profile, d.ready, d.Uses, d.Hosts)
	if err != nil {
		return err
	}
	if d.Change != nil {
		d.Change(configuration)
	}
	d.configuration = configuration
	if err := d.apply(ctx, d.hosts[0]); err != nil {
		return err
	}
	return d.waitAll(ctx, "/readyz")
}

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
		return eris.Wrap(err, "stand-in did not get ready, see its log")
	}
	d.ready = &standinv1.Ready{}
	return protojson.Unmarshal(line, d.ready)
}

// planHosts chooses addresses and writes the settings of each host.
func (d *Deployment) planHosts() (err error) {
	domains := d.profile.GetFailureDomains()
	for index := range d.Hosts {
		id := fmt.Sprintf("host-%d", index+1)
		planned := &host{id: id, domain: domains[index%len(domains)], settings: filepath.Join(d.Directory, id+".yaml")}
		d.hosts = append(d.hosts, planned)
		if planned.callers, err = planned.hold(); err != nil {
			return err
		}
		if listed := d.profile.GetTierHosts(); index < len(listed) {
			planned.callers = listed[index]
		}
		if planned.peers, err = planned.hold(); err != nil {
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
		Callers:                   &settingsv1.Listener{Listen: host.callers},
		Peers:                     &settingsv1.Listener{Listen: host.peers},
		Store:                     &settingsv1.StoreSettings{Endpoints: []string{d.ready.GetStore()}, Prefix: "local/"},
		HostList:                  &settingsv1.HostListSettings{Url: d.ready.GetHostList()},
		AddressLifetime:           durationpb.New(addressLifetime),
		BootstrapCredentialDigest: d.digest,
	}
	for _, other := range d.hosts {
		if other != host {
			settings.SeedPeers = append(settings.SeedPeers, other.peers)
		}
	}
	text, err := protojson.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(host.settings, text, 0o600)
}

// StartHost starts a host, counted from 0, that is not running.
func (d *Deployment) StartHost(index int) error {
	host := d.hosts[index]
	log, err := d.openLog(host.id)
	if err != nil {
		return err
	}
	host.letGo()
	host.process, err = dcprocess.Start(filepath.Join(d.Binaries, "dandelioncart"),
		[]string{"serve", "--settings", host.settings}, log, log)
	return err
}

// KillHost ends a host at once.
func (d *Deployment) KillHost(index int) { d.hosts[index].process.Kill() }

// StopHost stops a host gracefully and waits for it.
func (d *Deployment) StopHost(ctx context.Context, index int) error {
	return d.hosts[index].process.Stop(ctx)
}

// WaitReady waits until a host takes requests.
func (d *Deployment) WaitReady(ctx context.Context, index int) error {
	return d.wait(ctx, d.hosts[index], "/readyz")
}

// Pid returns the process id of a host.
func (d *Deployment) Pid(index int) int { return d.hosts[index].process.Pid() }

// HostID returns the id of a host.
func (d *Deployment) HostID(index int) string { return d.hosts[index].id }

// Addresses returns the caller addresses of all hosts.
func (d *Deployment) Addresses() (addresses []string) {
	for _, host := range d.hosts {
		addresses = append(addresses, host.callers)
	}
	return addresses
}

// Stop ends every process that is still running.
func (d *Deployment) Stop() {
	for _, host := range d.hosts {
		host.letGo()
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

func (d *Deployment) waitAll(ctx context.Context, path string) error {
	for _, host := range d.hosts {
		if err := d.wait(ctx, host, path); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) wait(ctx context.Context, host *host, path string) error {
	for {
		if host.process.Exited() {
			return eris.Errorf("%s ended early, see its log in %s", host.id, d.Directory)
		}
		reply, err := d.call(ctx, http.MethodGet, "http://"+host.callers+path, nil)
		if err == nil && reply.status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s did not answer %s", host.id, path)
		case <-d.Clock.After(pollInterval):
		}
	}
}

// Admin changes a switch of the stand-ins with a JSON body; path may carry a
// selector.
func (d *Deployment) Admin(ctx context.Context, method, path string, body []byte) error {
	reply, err := d.send(ctx, method, d.ready.GetAdmin()+path, body)
	if err == nil && reply.status >= http.StatusBadRequest {
		err = eris.Errorf("status %d: %s", reply.status, reply.body)
	}
	return eris.Wrapf(err, "call stand-in %s", path)
}

// Report returns what the stand-ins counted.
func (d *Deployment) Report(ctx context.Context) (report *standinv1.Report, err error) {
	reply, err := d.call(ctx, http.MethodGet, d.ready.GetAdmin()+"/v1/report", nil)
	if err != nil {
		return nil, eris.Wrap(err, "read stand-in report")
	}
	report = &standinv1.Report{}
	return report, eris.Wrap(protojson.Unmarshal(reply.body, report), "read stand-in report")
}

// Ran returns those of the orders that ran, by the stand-ins' run log.
func (d *Deployment) Ran(ctx context.Context, department string, keys []string) (ran []string, err error) {
	defer func() { err = eris.Wrap(err, "read stand-in journal") }()
	request := &standinv1.RunsRequest{Department: department, Keys: keys}
	reply, err := d.call(ctx, http.MethodPost, d.ready.GetAdmin()+"/v1/runs", request)
	if err != nil {
		return nil, err
	}
	response := &standinv1.RunsResponse{}
	err = protojson.Unmarshal(reply.body, response)
	return response.GetRan(), err
}

// Services returns the names of a group's services.
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

type reply struct {
	status int
	body   []byte
}

func (d *Deployment) call(ctx context.Context, method, url string, message proto.Message) (answer reply, err error) {
	var body []byte
	if message != nil {
		if body, err = protojson.Marshal(message); err != nil {
			return answer, err
		}
	}
	return d.send(ctx, method, url, body)
}

func (d *Deployment) send(ctx context.Context, method, url string, body []byte) (answer reply, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	request.SetBasicAuth(administrator, Credential(administrator))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Timeout-Ms", "5000")
	response, err := d.HTTP.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	answer.status = response.StatusCode
	answer.body, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return answer, err
}
