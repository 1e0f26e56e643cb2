// Package dcgrant enforces the quotas of departments on one host: it asks the
// granting hosts for grants, answers other hosts for the departments that this host
// grants, and falls back to this host's guaranteed share. Package dcquota decides.
package dcgrant

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcdepartment"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcquota"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

const (
	// refreshInterval is the pause between two readings of the list of hosts.
	refreshInterval = 500 * time.Millisecond
	// silentTime is how long a host that did not answer is not asked again. The
	// guaranteed share decides meanwhile, without a wait.
	silentTime = 250 * time.Millisecond
	// shareRetryAfter is the retry delay sent to callers that the guaranteed share
	// refuses. The granting host may answer again by then.
	shareRetryAfter = 500 * time.Millisecond
)

// Hosts knows the list of hosts.
type Hosts interface {
	QuotaView() dcquota.View
}

// Peers calls other hosts.
type Peers interface {
	// RequestGrants asks the host at an address.
	RequestGrants(ctx context.Context, address string, request *hostv1.RequestGrantsRequest) (*hostv1.RequestGrantsResponse, error)
}

// Quotas enforces the quotas of departments. Set the exported fields, and call
// Refresh, before the first call.
type Quotas struct {
	Bound dcquota.Bound
	Hosts Hosts
	Peers Peers
	// Table returns the configuration in effect, nil before the first one.
	Table func() *dcroute.Table
	Clock clockwork.Clock
	Log   *zap.Logger
	Meter *Meter

	// mu is held while a method of Hosts is called.
	mu       sync.Mutex
	choice   *dcquota.Choice
	granter  *dcquota.Granter
	account  dcquota.Account
	shares   dcquota.Shares
	reported dcquota.Counts
	view     dcquota.View
	stopping bool
	version  dcroute.Version
	targets  map[string]*target
	calls    sync.WaitGroup
}

// target is a granting host that this host asks, by its address.
type target struct {
	address string
	// asks holds what the next call asks for. calling is set while a call is in
	// progress, so that the requests that arrive meanwhile share the next one.
	asks    map[dcid.Department]*ask
	calling bool
	// silent is set after a call without an answer, and silentUntil the time until
	// which the host is not asked again.
	silent      bool
	silentUntil time.Time
	usedAt      time.Time
}

// ask is what a call asks for one department.
type ask struct {
	department *dcdepartment.Department
	ahead      int
	// wanted is the number of requests that the granting host was asked for.
	wanted  int
	waiters []*waiter
}

// waiter is a request that waits for a grant.
type waiter struct {
	// decided is closed once the other fields are set.
	decided chan struct{}
	verdict verdict
	delay   time.Duration
	// gone is set if the request does not wait any longer.
	gone bool
}

type verdict int

const (
	// useShare leaves the decision to the guaranteed share.
	useShare verdict = iota
	taken
	overQuota
)

// Take implements dcengine.Quotas.
func (q *Quotas) Take(ctx context.Context, department *dcdepartment.Department) (delay time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	decision := q.account.Take(department.Name, now)
	switch decision.Outcome {
	case dcquota.Taken:
		if decision.Wanted > 0 {
			q.askAhead(department, decision.Wanted, now)
		}
		return 0, true
	}
	// The share needs no call, so that the granting host is asked only beyond it.
	if q.useShare(department, now) {
		return 0, true
	}
	if decision.Outcome == dcquota.OverQuota {
		return q.refuse(decision.Delay)
	}
	place := q.place(department.Name, now)
	if place.Granting {
		return q.takeOwn(department, place, now)
	}
	target := q.target(place.Target.Address, now)
	if target == nil {
		return q.takeShare(department, now)
	}
	w := &waiter{decided: make(chan struct{})}
	a := target.ask(department)
	a.waiters = append(a.waiters, w)
	a.ahead = max(a.ahead, decision.Wanted-1)
	q.start(target)
	q.mu.Unlock()
	select {
	case <-w.decided:
	case <-ctx.Done():
	}
	q.mu.Lock()
	return q.conclude(ctx, w, department)
}

// conclude returns the decision about a request that has waited.
func (q *Quotas) conclude(ctx context.Context, w *waiter, department *dcdepartment.Department) (delay time.Duration, ok bool) {
	select {
	case <-w.decided:
	default:
		w.gone = true
		if errors.Is(ctx.Err(), context.Canceled) {
			// The caller has disconnected.
			return q.refuse(shareRetryAfter)
		}
	}
	switch w.verdict {
	case taken:
		return 0, true
	case overQuota:
		return q.refuse(w.delay)
	}
	now := q.Clock.Now()
	if q.account.TakeHeld(department.Name, now) {
		return 0, true
	}
	return q.takeShare(department, now)
}

func (q *Quotas) refuse(delay time.Duration) (time.Duration, bool) {
	q.Meter.refused.Inc(1)
	return delay, false
}

// takeOwn takes a request from the bucket of this host.
func (q *Quotas) takeOwn(department *dcdepartment.Department, place dcquota.Place, now time.Time) (delay time.Duration, ok bool) {
	grant := q.granter.Grant(department, 1, place, now)
	if grant.Count == 0 {
		return q.refuse(grant.RetryAfter)
	}
	q.Meter.granted.Inc(1)
	q.Meter.used.Inc(1)
	return 0, true
}

// useShare takes a request from the guaranteed share of this host.
func (q *Quotas) useShare(department *dcdepartment.Department, now time.Time) (ok bool) {
	share := q.choice.Share(department.Name, q.Bound.Split(department.Quota).Reserve, now)
	if ok = q.shares.Take(department.Name, share, q.Bound.Window, now); ok {
		q.Meter.shareUsed.Inc(1)
	}
	return ok
}

// takeShare decides about a request without the granting host.
func (q *Quotas) takeShare(department *dcdepartment.Department, now time.Time) (delay time.Duration, ok bool) {
	if q.useShare(department, now) {
		return 0, true
	}
	q.Meter.shareRefused.Inc(1)
	return shareRetryAfter, false
}

// place returns the place of this host for a department.
func (q *Quotas) place(department dcid.Department, now time.Time) dcquota.Place {
	place := q.choice.Place(department, now)
	if !place.Granting {
		q.granter.Pause(department)
	}
	return place
}

// target returns the host to ask at an address, or nil if there is none that
// answers.
func (q *Quotas) target(address string, now time.Time) *target {
	if address == "" {
		return nil
	}
	t := q.targets[address]
	if t == nil {
		t = &target{address: address}
		q.targets[address] = t
	}
	t.usedAt = now
	if now.Before(t.silentUntil) {
		return nil
	}
	return t
}

func (t *target) ask(department *dcdepartment.Department) *ask {
	a := t.asks[department.Name]
	if a == nil {
		if t.asks == nil {
			t.asks = make(map[dcid.Department]*ask)
		}
		a = &ask{department: department}
		t.asks[department.Name] = a
	}
	return a
}

// askAhead asks for requests that have not arrived yet.
func (q *Quotas) askAhead(department *dcdepartment.Department, wanted int, now time.Time) {
	place := q.place(department.Name, now)
	if place.Granting {
		return
	}
	if t := q.target(place.Target.Address, now); t != nil && !t.calling {
		t.ask(department).ahead = wanted
		q.start(t)
	}
}

// start starts the calls to a host unless they are in progress.
func (q *Quotas) start(t *target) {
	if t.calling {
		return
	}
	t.calling = true
	q.calls.Go(func() { q.call(t) })
}

// call calls a host until nothing is left to ask for.
func (q *Quotas) call(t *target) {
	for {
		request, asks, sent := q.nextRequest(t)
		if request == nil {
			return
		}
		response, err := q.Peers.RequestGrants(context.Background(), t.address, request)
		q.answered(t, asks, response, err, sent)
	}
}

// nextRequest returns the next request to a host, nil if there is none.
func (q *Quotas) nextRequest(t *target) (request *hostv1.RequestGrantsRequest, asks []*ask, sent time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	request = &hostv1.RequestGrantsRequest{HostId: string(q.view.Self), ConfigurationVersion: int64(q.version)}
	for name, a := range t.asks {
		wanted := a.ahead
		for _, w := range a.waiters {
			if !w.gone {
				wanted++
			}
		}
		if wanted > 0 {
			a.wanted = wanted
			request.Departments = append(request.Departments, &hostv1.GrantRequest{Department: string(name), Wanted: int32(wanted)})
			asks = append(asks, a)
		}
	}
	t.asks = nil
	if len(asks) == 0 {
		t.calling = false
		return nil, nil, time.Time{}
	}
	q.Meter.calls.Inc(1)
	return request, asks, q.Clock.Now()
}

// answered takes the answer of a host, or the lack of one.
func (q *Quotas) answered(t *target, asks []*ask, response *hostv1.RequestGrantsResponse, err error, sent time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	if err == nil && len(response.GetGrants()) != len(asks) {
		err = errors.New("the answer does not fit the request")
	}
	if t.silent != (err != nil) {
		t.silent = err != nil
		q.Log.Info("granting host reached or not", zap.String("address", t.address), zap.Bool("reached", err == nil), zap.Error(err))
	}
	if err != nil {
		q.Meter.failedCalls.Inc(1)
		t.silentUntil = now.Add(silentTime)
		// Requests that have arrived meanwhile do not wait for it either.
		for _, a := range t.asks {
			asks = append(asks, a)
		}
		t.asks = nil
		for _, a := range asks {
			a.decide(useShare, 0)
		}
		return
	}
	for i, grant := range response.GetGrants() {
		q.answeredAsk(t, asks[i], grant, sent, now)
	}
}

// answeredAsk takes the answer for one department.
func (q *Quotas) answeredAsk(t *target, a *ask, grant *hostv1.Grant, sent, now time.Time) {
	name := a.department.Name
	switch {
	case grant.GetNotGranting() || grant.GetDepartment() != string(name):
		a.decide(useShare, 0)
		return
	case grant.GetGranted() <= 0:
		delay := grant.GetRetryAfter().AsDuration()
		q.account.Refuse(name, delay, now)
		a.decide(overQuota, delay)
		return
	}
	q.account.Add(name, min(int(grant.GetGranted()), a.wanted), sent, grant.GetValidFor().AsDuration())
	var left []*waiter
	for _, w := range a.waiters {
		switch {
		case w.gone:
		case q.account.TakeHeld(name, now):
			w.decide(taken, 0)
		default:
			left = append(left, w)
		}
	}
	if len(left) > 0 {
		// The bucket holds fewer requests than wanted. The next answer has a delay.
		next := t.ask(a.department)
		next.waiters = append(left, next.waiters...)
	}
}

// decide decides about all requests that wait.
func (a *ask) decide(verdict verdict, delay time.Duration) {
	for _, w := range a.waiters {
		if !w.gone {
			w.decide(verdict, delay)
		}
	}
}

func (w *waiter) decide(verdict verdict, delay time.Duration) {
	w.verdict, w.delay = verdict, delay
	close(w.decided)
}

// Answer answers a request of another host.
func (q *Quotas) Answer(request *hostv1.RequestGrantsRequest) (*hostv1.RequestGrantsResponse, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	response := &hostv1.RequestGrantsResponse{}
	table := q.Table()
	for _, wanted := range request.GetDepartments() {
		response.Grants = append(response.Grants, q.grant(table, wanted, now))
	}
	return response, nil
}

func (q *Quotas) grant(table *dcroute.Table, request *hostv1.GrantRequest, now time.Time) *hostv1.Grant {
	answer := &hostv1.Grant{Department: request.GetDepartment()}
	name := dcid.Department(request.GetDepartment())
	place := q.place(name, now)
	var department *dcdepartment.Department
	if table != nil {
		department = table.Department(name)
	}
	if !place.Granting || department == nil {
		answer.NotGranting = true
		return answer
	}
	grant := dcquota.Grant{Count: int(request.GetWanted())}
	if department.Quota.Limited() {
		grant = q.granter.Grant(department, int(request.GetWanted()), place, now)
	}
	if grant.Count <= 0 {
		answer.RetryAfter = durationpb.New(grant.RetryAfter)
		return answer
	}
	q.Meter.granted.Inc(int64(grant.Count))
	answer.Granted, answer.ValidFor = int32(grant.Count), durationpb.New(dcquota.GrantTTL)
	return answer
}

// Refresh reads the list of hosts. It is called when it has changed.
func (q *Quotas) Refresh() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.choice == nil {
		q.choice = &dcquota.Choice{Bound: q.Bound, Log: q.Log}
		q.granter = &dcquota.Granter{Bound: q.Bound, Log: q.Log}
		q.targets = make(map[string]*target)
	}
	now := q.Clock.Now()
	q.view = q.Hosts.QuotaView()
	q.view.Leaving = q.view.Leaving || q.stopping
	q.choice.Update(q.view, now)
	q.choice.Observe(now)
}

// Stop ends the granting of quotas by this host at once.
func (q *Quotas) Stop() {
	q.mu.Lock()
	q.stopping = true
	q.mu.Unlock()
	q.Refresh()
}

// Run keeps the choice of granting hosts up to date until ctx ends.
func (q *Quotas) Run(ctx context.Context) error {
	ticker := q.Clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	defer q.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		q.Refresh()
		q.clean()
	}
}

// clean drops what has ended and reports the metrics.
func (q *Quotas) clean() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.account.Sweep(now)
	q.Meter.account(q.reported, q.account.Counts)
	q.reported = q.account.Counts
	for address, t := range q.targets {
		if !t.calling && now.Sub(t.usedAt) > time.Minute {
			delete(q.targets, address)
		}
	}
	if table := q.Table(); table != nil && table.Version != q.version {
		q.version = table.Version
		q.granter.Retain(func(name dcid.Department) bool {
			department := table.Department(name)
			return department != nil && department.Quota.Limited()
		})
	}
	q.Meter.departments.Update(float64(q.granter.Serving()))
}
