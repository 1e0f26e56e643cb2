// Package dcmembership keeps one host's view of the other hosts and of leaving
// upstream servers.
package dcmembership

import (
	"math/rand/v2"
	"time"

	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// State is the state of a host in this host's view.
type State string

// States of a host.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Host is one host in the view.
type Host struct {
	ID            dcid.HostID
	Incarnation   int64
	Domain        dcid.FailureDomain
	CallerAddress string
	PeerAddress   string
	State         State
	Revision      dcid.Revision
	Heartbeat     uint64
	Seat          int
	SeatTaken     time.Time
	Heard         time.Time
}

// ListedHost is one entry of the host list.
type ListedHost struct {
	Address string
	Leaving bool
}

// Change is a change of state.
type Change struct {
	Host Host
	From State
}

// Members is the view of one host.
type Members struct {
	Settings Settings
	Random   *rand.Rand
}

// Settings of Members; zero fields take defaults.
type Settings struct {
	MissedLimit, FullExchange, FanOut, MaxMessageBytes int
	GoneAfter, Retention                               time.Duration
}

func New(self Host, settings Settings, random *rand.Rand, now time.Time) *Members { panic("todo") }
func (m *Members) Begin(now time.Time) (targets []Host, changes []Change)         { panic("todo") }
func (m *Members) Message(target dcid.HostID, now time.Time) (sender *peerv1.Member, members []*peerv1.Member) {
	panic("todo")
}
func (m *Members) Receive(sender *peerv1.Member, members []*peerv1.Member, now time.Time) []Change {
	panic("todo")
}
func (m *Members) ObserveStore(records []*ledgerv1.HostRecord, now time.Time) []Change { panic("todo") }
func (m *Members) ObserveList(listed []ListedHost, now time.Time) []Change             { panic("todo") }
func (m *Members) SetSelf(state State, revision dcid.Revision, seat int, seatTaken time.Time) {
	panic("todo")
}
func (m *Members) Hosts() []Host                                        { panic("todo") }
func (m *Members) Host(id dcid.HostID) (Host, bool)                     { panic("todo") }
func (m *Members) Version() uint64                                      { panic("todo") }
func (m *Members) ConfirmedGone(id dcid.HostID, incarnation int64) bool { panic("todo") }
func (m *Members) PeerHeard() time.Time                                 { panic("todo") }
func Owners(key string, hosts []Host, count int) []dcid.HostID          { panic("todo") }

// Signal says why a server is leaving.
type Signal string

// Signals of a leaving server.
const (
	Draining Signal = "draining"
	Closed   Signal = "closed"
	HostList Signal = "host-list"
	Operator Signal = "operator"
)

// Servers keeps the leaving upstream servers and the ramp-up of returning ones.
type Servers struct {
	Retention  time.Duration
	MaxServers int
}

func (s *Servers) Observe(server dcid.ServerAddr, signal Signal, now time.Time) (changed bool) {
	panic("todo")
}
func (s *Servers) Withdraw(server dcid.ServerAddr, signal Signal, now time.Time) (changed bool) {
	panic("todo")
}
func (s *Servers) Probed(server dcid.ServerAddr, serving bool, sent, now time.Time) (changed bool) {
	panic("todo")
}
func (s *Servers) Cold(server dcid.ServerAddr, now time.Time)                          { panic("todo") }
func (s *Servers) Failed(server dcid.ServerAddr, now time.Time)                        { panic("todo") }
func (s *Servers) Usable(server dcid.ServerAddr) bool                                  { panic("todo") }
func (s *Servers) InFlight(server dcid.ServerAddr, limit int, now time.Time) int       { panic("todo") }
func (s *Servers) NeedProbe() []dcid.ServerAddr                                        { panic("todo") }
func (s *Servers) Entries(maxBytes int) []*peerv1.LeavingServer                        { panic("todo") }
func (s *Servers) Merge(entries []*peerv1.LeavingServer, now time.Time) (changed bool) { panic("todo") }
