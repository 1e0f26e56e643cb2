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

// group is the state of one service group. mu guards all fields except host.
type group struct {
	host *Host

	mu          sync.Mutex
	rules       *settingsv1.ServiceGroup
	shardMap    *dcshardmap.Table
	budgetGroup *dcbudget.Group
	budgets     map[dcid.Department]*dcbudget.Budget
	queue       *dcadmission.Queue
	waiters     map[dcadmission.ID]chan dcreason.Code
	random      *rand.Rand
	timer       clockwork.Timer
	timerAt     time.Time
}

func newGroup(h *Host) *group {
	return &group{
		host:     h,
		shardMap: dcshardmap.New(),
		waiters:  map[dcadmission.ID]chan dcreason.Code{},
		random:   h.newRandom(),
	}
}

// configure applies the rules of a configuration revision. Budgets are reset
// only when the settings that they depend on change.
func (g *group) configure(rules *settingsv1.ServiceGroup, seats int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.rules
	g.rules = rules
	g.shardMap.Configure(shardmapServices(rules))
	if g.budgetGroup == nil || previous.GetHedgeQuantile() != rules.GetHedgeQuantile() || previous.GetExtraLoad() != rules.GetExtraLoad() {
		g.budgetGroup = dcbudget.NewGroup(rules.GetHedgeQuantile(), rules.GetExtraLoad())
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

// admissionConfig derives the bounds of the concurrency limit. A query uses one
// connection to each server of the group, an order uses one connection to a
// single server. Each slot of an order group therefore allows as many
// concurrent requests as the group has servers. The floor is the share of this
// host in the slots, the ceiling its share of the connections.
func admissionConfig(rules *settingsv1.ServiceGroup, seats int) dcadmission.Config {
	requestsPerSlot := 1
	if rules.GetKind() == dcsettings.KindOrder {
		requestsPerSlot = max(countServers(rules), 1)
	}
	floor := max(int(rules.GetSlots())*requestsPerSlot/max(seats, 1), 1)
	weights := map[dcid.Department]float64{}
	for _, share := range rules.GetShares() {
		weights[dcid.Department(share.GetDepartment())] = share.GetWeight()
	}
	return dcadmission.Config{
		Weights:  weights,
		MaxQueue: int(rules.GetMaxQueue()),
		Floor:    floor,
		Ceiling:  max(dcconnshare.SharePerSeat(int(rules.GetConnections()), seats)*requestsPerSlot, floor),
	}
}

// admit waits until a request may start. If it returns OK, the caller must call
// done or cancel with the ID. Any other code means that the request did not
// run, and neither is called.
func (g *group) admit(ctx context.Context, department dcid.Department, deadline time.Time) (dcadmission.ID, dcreason.Code) {
	decided := make(chan dcreason.Code, 1)
	g.mu.Lock()
	admissionID, decisions := g.queue.Submit(department, deadline, g.host.Clock.Now())
	g.waiters[admissionID] = decided
	g.deliver(decisions)
	g.mu.Unlock()
	select {
	case code := <-decided:
		return admissionID, code
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case code := <-decided:
		if code != dcreason.OK {
			return admissionID, code
		}
	default:
	}
	delete(g.waiters, admissionID)
	g.deliver(g.queue.Cancel(admissionID, g.host.Clock.Now()))
	return admissionID, dcreason.Cancelled
}

// done reports the end of an admitted request.
func (g *group) done(admissionID dcadmission.ID, sample dcadmission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Done(admissionID, sample, g.host.Clock.Now()))
}

// cancel reports the end of an admitted request whose caller is gone. Its
// duration is not used for the concurrency limit.
func (g *group) cancel(admissionID dcadmission.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Cancel(admissionID, g.host.Clock.Now()))
}

// deliver passes decisions to the waiting requests and sets the timer for the
// next expiry. The lock is held.
func (g *group) deliver(decisions []dcadmission.Decision) {
	for _, decision := range decisions {
		if decided, ok := g.waiters[decision.ID]; ok {
			delete(g.waiters, decision.ID)
			decided <- decision.Code
		}
	}
	next := g.queue.NextExpiry()
	if next.IsZero() || next.Equal(g.timerAt) {
		return
	}
	g.timerAt = next
	wait := next.Sub(g.host.Clock.Now())
	if g.timer == nil {
		g.timer = g.host.Clock.AfterFunc(wait, g.expire)
		return
	}
	g.timer.Reset(wait)
}

// expire refuses the waiting requests that can no longer meet their deadlines.
func (g *group) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerAt = time.Time{}
	g.deliver(g.queue.Expire(g.host.Clock.Now()))
}

// budget returns the extra-load budget of a department and creates it if
// necessary. The lock is held.
func (g *group) budget(department dcid.Department) *dcbudget.Budget {
	found, ok := g.budgets[department]
	if !ok {
		found = g.budgetGroup.NewBudget()
		g.budgets[department] = found
	}
	return found
}

// currentRules returns the rules of the configuration in force.
func (g *group) currentRules() *settingsv1.ServiceGroup {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rules
}

// hasShardMap reports whether there is a snapshot of the shard map, without
// which no query can run.
func (g *group) hasShardMap() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shardMap.Snapshot() != nil
}

func (g *group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
	}
}
