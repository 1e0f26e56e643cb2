package dchost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcadmission"
	"github.com/dandelioncart/dandelioncart/internal/dcbudget"
	"github.com/dandelioncart/dandelioncart/internal/dcconnshare"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
)

// group is the state of one service group, under its own lock.
type group struct {
	host *Host

	mu      sync.Mutex
	rules   *settingsv1.ServiceGroup
	table   *dcshardmap.Table
	extra   *dcbudget.Group
	budgets map[dcid.Department]*dcbudget.Budget
	queue   *dcadmission.Queue
	waiting map[dcadmission.Ticket]chan dcreason.Code
	random  *rand.Rand
	timer   clockwork.Timer
	armed   time.Time
}

func newGroup(h *Host) *group {
	return &group{
		host:    h,
		table:   dcshardmap.New(),
		waiting: map[dcadmission.Ticket]chan dcreason.Code{},
		random:  h.newRandom(),
	}
}

// configure takes over the rules of a revision.
func (g *group) configure(rules *settingsv1.ServiceGroup, seats int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.rules
	g.rules = rules
	g.table.Configure(shardmapServices(rules))
	if g.extra == nil || old.GetHedgeQuantile() != rules.GetHedgeQuantile() || old.GetExtraLoad() != rules.GetExtraLoad() {
		g.extra = dcbudget.NewGroup(rules.GetHedgeQuantile(), rules.GetExtraLoad())
		g.budgets = map[dcid.Department]*dcbudget.Budget{}
	}
	config := admissionConfig(rules, seats)
	if g.queue == nil {
		g.queue = dcadmission.New(config)
		return
	}
	g.queue.Configure(config)
}

func shardmapServices(rules *settingsv1.ServiceGroup) (services []dcshardmap.Service) {
	for _, service := range rules.GetServices() {
		converted := dcshardmap.Service{Name: dcid.ServiceName(service.GetName())}
		for _, upstream := range service.GetUpstreams() {
			for _, server := range upstream.GetServers() {
				converted.Servers = append(converted.Servers, dcshardmap.Server{
					Address: dcid.ServerAddr(server),
					Domain:  dcid.FailureDomain(upstream.GetFailureDomain()),
				})
			}
		}
		services = append(services, converted)
	}
	return services
}

// admissionConfig derives the bounds of the concurrency limit. A query occupies
// one connection at each server of the group, an order one at a single server.
// The floor is this host's part of the slots, the ceiling its connections.
func admissionConfig(rules *settingsv1.ServiceGroup, seats int) dcadmission.Config {
	width := 1
	if rules.GetKind() == dcsettings.KindOrder {
		width = max(countServers(rules), 1)
	}
	floor := max(int(rules.GetSlots())*width/max(seats, 1), 1)
	weights := map[dcid.Department]float64{}
	for _, share := range rules.GetShares() {
		weights[dcid.Department(share.GetDepartment())] = share.GetWeight()
	}
	return dcadmission.Config{
		Weights:  weights,
		MaxQueue: int(rules.GetMaxQueue()),
		Floor:    floor,
		Ceiling:  max(dcconnshare.SharePerSeat(int(rules.GetConnections()), seats)*width, floor),
	}
}

// admit waits for the start of a request. The code is OK when it starts;
// otherwise the request did not run and needs no end.
func (g *group) admit(ctx context.Context, department dcid.Department, deadline time.Time) (dcadmission.Ticket, dcreason.Code) {
	decided := make(chan dcreason.Code, 1)
	g.mu.Lock()
	ticket, decisions := g.queue.Submit(department, deadline, g.host.Clock.Now())
	g.waiting[ticket] = decided
	g.deliver(decisions)
	g.mu.Unlock()
	select {
	case code := <-decided:
		return ticket, code
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case code := <-decided:
		if code != dcreason.OK {
			return ticket, code
		}
	default:
	}
	delete(g.waiting, ticket)
	g.deliver(g.queue.Cancel(ticket, g.host.Clock.Now()))
	return ticket, dcreason.Cancelled
}

// done ends an admitted request.
func (g *group) done(ticket dcadmission.Ticket, sample dcadmission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Done(ticket, sample, g.host.Clock.Now()))
}

// abandon ends an admitted request whose caller went away.
func (g *group) abandon(ticket dcadmission.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Cancel(ticket, g.host.Clock.Now()))
}

// deliver hands decisions to the waiting requests and sets the timer. The lock
// is held.
func (g *group) deliver(decisions []dcadmission.Decision) {
	for _, decision := range decisions {
		if decided, ok := g.waiting[decision.Ticket]; ok {
			delete(g.waiting, decision.Ticket)
			decided <- decision.Code
		}
	}
	next := g.queue.NextExpiry()
	if next.IsZero() || next.Equal(g.armed) {
		return
	}
	g.armed = next
	wait := next.Sub(g.host.Clock.Now())
	if g.timer == nil {
		g.timer = g.host.Clock.AfterFunc(wait, g.tick)
		return
	}
	g.timer.Reset(wait)
}

func (g *group) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = time.Time{}
	g.deliver(g.queue.Expire(g.host.Clock.Now()))
}

// budget returns the extra-load budget of a department. The lock is held.
func (g *group) budget(department dcid.Department) *dcbudget.Budget {
	found, ok := g.budgets[department]
	if !ok {
		found = g.extra.NewBudget()
		g.budgets[department] = found
	}
	return found
}

// currentRules returns the rules in force.
func (g *group) currentRules() *settingsv1.ServiceGroup {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rules
}

// pinned reports whether queries can run.
func (g *group) pinned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Snapshot() != nil
}

func (g *group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
	}
}
