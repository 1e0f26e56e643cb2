package dcstandin

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dchostlist"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// Admin is the HTTP handler that reports the counters of a Fleet and switches
// its faults. The query parameters group, service, server and failure-domain
// select servers.
type Admin struct {
	fleet *Fleet
	mux   *http.ServeMux
}

// NewAdmin returns the admin handler of a fleet.
func NewAdmin(fleet *Fleet) *Admin {
	a := &Admin{fleet: fleet, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /v1/report", a.report)
	a.mux.HandleFunc("POST /v1/runs", a.runs)
	a.mux.HandleFunc("PUT /v1/faults", applyMessage(a.setFaults))
	a.mux.HandleFunc("POST /v1/index", applyMessage(a.changeIndex))
	a.mux.HandleFunc("POST /v1/power", applyMessage(a.changePower))
	a.mux.HandleFunc("PUT /v1/store", applyMessage(a.setStore))
	a.mux.HandleFunc("PUT /v1/host-list", applyMessage(a.setHostList))
	return a
}

// ServeHTTP implements http.Handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

// applyMessage returns a handler that decodes the JSON message of a request and
// applies it. It answers 204, or 400 with the error.
func applyMessage[M any, P interface {
	*M
	proto.Message
}](apply func(Selector, P) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		message := P(new(M))
		if err == nil {
			err = protojson.Unmarshal(text, message)
		}
		if err == nil {
			err = apply(selectorFromQuery(r), message)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func selectorFromQuery(r *http.Request) Selector {
	query := r.URL.Query()
	return Selector{
		Group:         dcid.GroupName(query.Get("group")),
		Service:       dcid.ServiceName(query.Get("service")),
		Server:        dcid.ServerAddr(query.Get("server")),
		FailureDomain: dcid.FailureDomain(query.Get("failure-domain")),
	}
}

var errNoMatchingServer = errors.New("no server matches; check group, service, server and failure-domain")

// forEachServer applies a change to the selected servers. It returns an error
// when there are none.
func (a *Admin) forEachServer(selector Selector, change func(*UpstreamServer)) error {
	servers := a.fleet.Select(selector)
	if len(servers) == 0 {
		return errNoMatchingServer
	}
	for _, server := range servers {
		change(server)
	}
	return nil
}

func (a *Admin) setFaults(selector Selector, message *standinv1.Faults) error {
	faults := faultsFromMessage(message)
	return a.forEachServer(selector, func(server *UpstreamServer) {
		server.SetFaults(func(f *Faults) { *f = faults })
	})
}

func faultsFromMessage(message *standinv1.Faults) Faults {
	return Faults{
		Draining:     message.GetDraining(),
		Shed:         message.GetShed(),
		SlowFactor:   message.GetSlowFactor(),
		ColdFactor:   message.GetColdFactor(),
		ColdFor:      message.GetColdFor().AsDuration(),
		Frozen:       message.GetFrozen(),
		LyingStatus:  message.GetLyingStatus(),
		CrashBody:    message.GetCrashBody(),
		RestartAfter: message.GetRestartAfter().AsDuration(),
		Rate:         message.GetRate(),
		WrongLabel:   message.GetWrongLabel(),
		Malformed:    message.GetMalformed(),
		Duplicate:    message.GetDuplicate(),
		LateBy:       message.GetLateBy().AsDuration(),
	}
}

func (a *Admin) changeIndex(selector Selector, message *standinv1.IndexChange) error {
	err := a.forEachServer(selector, func(server *UpstreamServer) {
		for _, version := range message.GetAddVersions() {
			server.AddVersion(dcid.IndexVersion(version))
		}
		for _, version := range message.GetDropVersions() {
			server.DropVersion(dcid.IndexVersion(version))
		}
		if epoch := message.GetDropEpoch(); epoch > 0 {
			server.DropMap(dcid.MapEpoch(epoch))
		}
	})
	if err != nil || message.GetEpoch() == 0 {
		return err
	}
	return a.repartition(selector, message)
}

// repartition changes whole services, because the servers of one service cannot
// have different shard maps.
func (a *Admin) repartition(selector Selector, message *standinv1.IndexChange) error {
	if selector.Server != "" || selector.FailureDomain != "" {
		return errors.New("epoch changes whole services; select by group and service only")
	}
	if message.GetTotalShards() < 1 {
		return errors.New("set total-shards to 1 or more")
	}
	for _, group := range a.fleet.groups {
		for _, service := range a.fleet.services[group] {
			if selector.matches(UpstreamConfig{Group: group, Service: service}) {
				a.fleet.Repartition(group, service, dcid.MapEpoch(message.GetEpoch()), int(message.GetTotalShards()))
			}
		}
	}
	return nil
}

func (a *Admin) changePower(selector Selector, message *standinv1.PowerChange) error {
	switch message.GetAction() {
	case "kill":
		return a.forEachServer(selector, func(server *UpstreamServer) { server.Kill() })
	case "restart":
		return a.forEachServer(selector, func(server *UpstreamServer) { server.Restart() })
	}
	return fmt.Errorf("unknown action %q; use kill or restart", message.GetAction())
}

func (a *Admin) setStore(_ Selector, message *standinv1.StoreFaults) error {
	a.fleet.Platform.Store.SetFaults(func(f *dcstore.FakeFaults) {
		f.Delay = message.GetDelay().AsDuration()
		f.LoseReplies = int(message.GetLoseReplies())
		f.StaleAt = dcstore.Revision(message.GetStaleAt())
	})
	a.fleet.Platform.SetStoreOutage(message.GetOutage())
	return nil
}

func (a *Admin) setHostList(_ Selector, message *standinv1.HostListChange) error {
	for _, host := range message.GetHosts() {
		state := dchostlist.State(host.GetState())
		if state != dchostlist.Live && state != dchostlist.Leaving {
			return fmt.Errorf("unknown state %q of %s; use live or leaving", state, host.GetAddress())
		}
	}
	hosts := a.fleet.Platform.Hosts
	hosts.SetLag(message.GetLag().AsDuration())
	hosts.SetOutage(message.GetOutage())
	for _, host := range message.GetHosts() {
		hosts.SetState(host.GetAddress(), dchostlist.State(host.GetState()))
	}
	return nil
}

func (a *Admin) report(w http.ResponseWriter, r *http.Request) {
	writeMessage(w, a.fleet.Report(selectorFromQuery(r)))
}

// runs answers which of the given orders ran, so that an outcome of "not run"
// can be checked.
func (a *Admin) runs(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	request := &standinv1.RunsRequest{}
	if err == nil {
		err = protojson.Unmarshal(text, request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response := &standinv1.RunsResponse{}
	for _, key := range request.GetKeys() {
		id := OrderID{Department: dcid.Department(request.GetDepartment()), Key: dcid.OrderKey(key)}
		if len(a.fleet.RunLog.Runs(id)) > 0 {
			response.Ran = append(response.Ran, key)
		}
	}
	writeMessage(w, response)
}

func writeMessage(w http.ResponseWriter, message proto.Message) {
	text, err := protojson.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
