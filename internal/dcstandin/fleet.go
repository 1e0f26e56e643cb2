package dcstandin

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dchostlist"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// FirstEpoch is the initial map epoch of every service.
const FirstEpoch dcid.MapEpoch = 1

// defaultFailureDomain is the failure domain of all servers when the profile
// names none.
const defaultFailureDomain = "local"

// Fleet runs the stand-ins of a profile: the platform and all upstream servers.
type Fleet struct {
	Platform *Platform
	// RunLog is shared by all upstream servers.
	RunLog *RunLog

	clock    clockwork.Clock
	groups   []dcid.GroupName
	services map[dcid.GroupName][]dcid.ServiceName
	servers  []*UpstreamServer
}

// Selector selects upstream servers. An empty field matches every server.
type Selector struct {
	Group         dcid.GroupName
	Service       dcid.ServiceName
	Server        dcid.ServerAddr
	FailureDomain dcid.FailureDomain
}

// NewFleet returns the stand-ins of a profile. They listen once Start is
// called. The error joins those of all invalid groups.
func NewFleet(profile *standinv1.Profile, clock clockwork.Clock) (*Fleet, error) {
	fleet := &Fleet{
		Platform: NewPlatform(clock),
		RunLog:   NewRunLog(),
		clock:    clock,
		services: make(map[dcid.GroupName][]dcid.ServiceName),
	}
	setAddress(fleet.Platform.StoreServer, profile.GetStoreListen())
	setAddress(fleet.Platform.HostListServer, profile.GetHostListListen())
	var failures []error
	for _, address := range profile.GetTierHosts() {
		fleet.Platform.Hosts.SetState(address, dchostlist.Live)
	}
	for _, group := range profile.GetGroups() {
		if err := checkGroup(group); err != nil {
			failures = append(failures, err)
			continue
		}
		fleet.addGroup(profile, group)
	}
	return fleet, errors.Join(failures...)
}

// setAddress sets the listen address of a server unless address is empty.
func setAddress(server *Server, address string) {
	if address != "" {
		server.Address = address
	}
}

func checkGroup(group *standinv1.Group) error {
	switch {
	case group.GetName() == "":
		return errors.New("group without a name; set name")
	case group.GetServices() < 1 || group.GetServers() < 1:
		return fmt.Errorf("group %s: set services and servers to 1 or more", group.GetName())
	case group.GetStragglerProbability() < 0 || group.GetStragglerProbability() > 1:
		return fmt.Errorf("group %s: set straggler-probability between 0 and 1", group.GetName())
	}
	return nil
}

// addGroup adds the services and servers of a group. Ports are consecutive from
// first-port, or chosen by the system when that is 0.
func (f *Fleet) addGroup(profile *standinv1.Profile, group *standinv1.Group) {
	name := dcid.GroupName(group.GetName())
	f.groups = append(f.groups, name)
	port := int(group.GetFirstPort())
	for number := range int(group.GetServices()) {
		service := serviceName(group, number)
		f.services[name] = append(f.services[name], service)
		for index := range int(group.GetServers()) {
			config := serverConfig(profile, group, index)
			config.Service = service
			config.Address = serverAddress(profile, port)
			// Gives every server a random sequence of its own.
			config.Seed = uint64(profile.GetSeed())<<32 + uint64(len(f.servers))
			f.addServer(config, group.GetVersions())
			if port > 0 {
				port++
			}
		}
		f.Repartition(name, service, FirstEpoch, int(group.GetServers()))
	}
}

// serviceName returns the name of the group, followed by a number from 01 if
// the group has several services.
func serviceName(group *standinv1.Group, number int) dcid.ServiceName {
	if group.GetServices() == 1 {
		return dcid.ServiceName(group.GetName())
	}
	return dcid.ServiceName(fmt.Sprintf("%s-%02d", group.GetName(), number+1))
}

// serverConfig returns the configuration of the server with the given index
// within its service, from 0. The servers of a service are in the failure
// domains in turn.
func serverConfig(profile *standinv1.Profile, group *standinv1.Group, index int) UpstreamConfig {
	domain := defaultFailureDomain
	if domains := profile.GetFailureDomains(); len(domains) > 0 {
		domain = domains[index%len(domains)]
	}
	return UpstreamConfig{
		Group:                dcid.GroupName(group.GetName()),
		FailureDomain:        dcid.FailureDomain(domain),
		Slots:                int(group.GetSlots()),
		QueueLimit:           int(group.GetQueueLimit()),
		Connections:          int(group.GetConnections()),
		ConnectTime:          group.GetConnectTime().AsDuration(),
		BaseTime:             group.GetBaseTime().AsDuration(),
		StragglerProbability: group.GetStragglerProbability(),
		StragglerFactor:      group.GetStragglerFactor(),
	}
}

func serverAddress(profile *standinv1.Profile, port int) dcid.ServerAddr {
	ip := profile.GetUpstreamIp()
	if ip == "" {
		ip = "127.0.0.1"
	}
	return dcid.ServerAddr(net.JoinHostPort(ip, strconv.Itoa(port)))
}

func (f *Fleet) addServer(config UpstreamConfig, versions []string) {
	upstream := NewUpstream(config, f.clock, f.RunLog)
	for _, version := range versions {
		upstream.AddVersion(dcid.IndexVersion(version))
	}
	f.servers = append(f.servers, NewUpstreamServer(upstream))
}

// Start listens on every address and then adds the upstream servers to the host
// list as live.
func (f *Fleet) Start() error {
	if err := f.Platform.Start(); err != nil {
		return err
	}
	for _, server := range f.servers {
		if err := server.Start(); err != nil {
			return err
		}
	}
	f.Platform.Hosts.Update(func(hosts []dchostlist.Host) []dchostlist.Host {
		for _, server := range f.servers {
			hosts = append(hosts, dchostlist.Host{Address: server.Server.Addr(), State: dchostlist.Live})
		}
		return hosts
	})
	return nil
}

// Close stops all stand-ins.
func (f *Fleet) Close() {
	for _, server := range f.servers {
		server.Close()
	}
	f.Platform.Close()
}

// Select returns the matching servers in the order of the profile.
func (f *Fleet) Select(selector Selector) (servers []*UpstreamServer) {
	for _, server := range f.servers {
		if selector.matches(server.Config()) {
			servers = append(servers, server)
		}
	}
	return servers
}

func (s Selector) matches(config UpstreamConfig) bool {
	return (s.Group == "" || s.Group == config.Group) &&
		(s.Service == "" || s.Service == config.Service) &&
		(s.Server == "" || s.Server == config.Address) &&
		(s.FailureDomain == "" || s.FailureDomain == config.FailureDomain)
}

// Repartition gives the servers of a service the shard maps of an epoch with
// the given total number of shards. The shard maps of earlier epochs stay until
// they are dropped.
func (f *Fleet) Repartition(group dcid.GroupName, service dcid.ServiceName, epoch dcid.MapEpoch, total int) {
	servers := f.Select(Selector{Group: group, Service: service})
	domains := make([]dcid.FailureDomain, 0, len(servers))
	for _, server := range servers {
		domains = append(domains, server.Config().FailureDomain)
	}
	for i, shards := range AssignReplicas(total, domains) {
		servers[i].SetMap(ShardMap{Epoch: epoch, Total: total, Shards: shards})
	}
}

// Services returns the services of a group.
func (f *Fleet) Services(group dcid.GroupName) []dcid.ServiceName {
	return f.services[group]
}

// Ready returns the addresses of all stand-ins, without that of the admin
// endpoint. They are final once Start has returned.
func (f *Fleet) Ready() *standinv1.Ready {
	ready := &standinv1.Ready{Store: f.Platform.StoreURL(), HostList: f.Platform.HostListURL()}
	for _, group := range f.groups {
		entry := &standinv1.ReadyGroup{Name: string(group)}
		for _, service := range f.services[group] {
			servers := f.Select(Selector{Group: group, Service: service})
			entry.Services = append(entry.Services, readyService(service, servers))
		}
		ready.Groups = append(ready.Groups, entry)
	}
	return ready
}

// readyService returns the servers of a service by failure domain, in the order
// of the profile.
func readyService(name dcid.ServiceName, servers []*UpstreamServer) *settingsv1.Service {
	service := &settingsv1.Service{Name: string(name)}
	byDomain := make(map[dcid.FailureDomain]*settingsv1.Upstream)
	for _, server := range servers {
		config := server.Config()
		upstream := byDomain[config.FailureDomain]
		if upstream == nil {
			upstream = &settingsv1.Upstream{FailureDomain: string(config.FailureDomain)}
			byDomain[config.FailureDomain] = upstream
			service.Upstreams = append(service.Upstreams, upstream)
		}
		upstream.Servers = append(upstream.Servers, server.Server.Addr())
	}
	return service
}
