// Package dcaddress decides which hosts a caller of a service group uses.
package dcaddress

import (
	"math/rand/v2"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
)

// Answer is an address answer.
type Answer struct {
	Addresses []string
	Lifetime  time.Duration
}

// Group is the part of a service group that steering uses.
type Group struct {
	Name    dcid.GroupName
	Servers int
}

// Answerer builds address answers.
type Answerer struct {
	Lifetime     time.Duration
	FullHosts    int
	TotalServers int
	Weight       func(dcid.HostID) float64
	Random       *rand.Rand
}

func (a *Answerer) Answer(group Group, hosts []dcmembership.Host) Answer             { panic("todo") }
func (a *Answerer) Steer(group Group, hosts []dcmembership.Host) []dcmembership.Host { panic("todo") }
