package dchostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// TargetGroup is one group of hosts in the Prometheus HTTP service discovery
// format.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels,omitempty"`
}

// StateLabel is the label with the state of the hosts of a group. Without it,
// they are live.
const StateLabel = "state"

// maxResponseBytes is the size at which a response is cut off, 16 MiB. A longer
// list does not parse.
const maxResponseBytes = 16 << 20

// Client reads the list over HTTP in the Prometheus HTTP service discovery
// format.
type Client struct {
	// URL is the URL of the list.
	URL  string
	HTTP *http.Client
}

var _ HostList = (*Client)(nil)

// Fetch returns the current list. It returns an error for an unknown state, so
// that a state that this version does not know never makes a host look gone.
func (c *Client) Fetch(ctx context.Context) (hosts []Host, err error) {
	defer func() { err = eris.Wrap(err, "fetch host list") }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	var groups []TargetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, err
	}
	return hostsFromGroups(groups)
}

// hostsFromGroups returns the hosts of all groups, or an error for an unknown
// state.
func hostsFromGroups(groups []TargetGroup) (hosts []Host, err error) {
	for _, group := range groups {
		state := State(group.Labels[StateLabel])
		switch state {
		case "":
			state = Live
		case Live, Leaving:
		default:
			return nil, fmt.Errorf("unknown state %q; use live or leaving", state)
		}
		for _, target := range group.Targets {
			hosts = append(hosts, Host{Address: target, State: state})
		}
	}
	return hosts, nil
}

// ToTargetGroups returns the hosts in the Prometheus HTTP service discovery
// format, each in its own group.
func ToTargetGroups(hosts []Host) []TargetGroup {
	groups := make([]TargetGroup, 0, len(hosts))
	for _, host := range hosts {
		labels := map[string]string{StateLabel: string(host.State)}
		groups = append(groups, TargetGroup{Targets: []string{host.Address}, Labels: labels})
	}
	return groups
}
