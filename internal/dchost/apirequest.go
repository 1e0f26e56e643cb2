package dchost

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcadmission"
	"github.com/dandelioncart/dandelioncart/internal/dcburn"
	"github.com/dandelioncart/dandelioncart/internal/dcdrain"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcledger"
	"github.com/dandelioncart/dandelioncart/internal/dcquery"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
)

// requestParams is what a request names, for the checks before it runs.
type requestParams struct {
	group   string
	kind    string
	schema  string
	body    []byte
	timeout time.Duration
}

// checkRequest checks credential, deadline, size and form of a request that runs.
func (c *call) checkRequest(kind dcdrain.RequestKind) (timeout time.Duration, text []byte, d decision) {
	if d := c.authenticate(); !d.ok() {
		return 0, nil, d
	}
	if code := c.drain.admit(kind); code != dcreason.OK {
		return 0, nil, refuse(code, "host is stopping; ask for addresses again")
	}
	timeout, d = parseTimeout(c.request.Header.Get(TimeoutHeader))
	if !d.ok() {
		return 0, nil, d
	}
	text, d = c.readBody(maxEncodedBytes(c.view.maxBody))
	return timeout, text, d
}

// checkGroup finds the group of a request and applies its rules.
func (c *call) checkGroup(want requestParams) (*group, *settingsv1.ServiceGroup, decision) {
	name := dcid.GroupName(want.group)
	found, ok := c.view.groups[name]
	if !ok {
		return nil, nil, refuse(dcreason.GroupUnknown, "service group does not exist")
	}
	rules := found.currentRules()
	switch {
	case !slices.ContainsFunc(rules.GetShares(), func(share *settingsv1.DepartmentShare) bool {
		return share.GetDepartment() == string(c.department)
	}):
		return nil, nil, refuse(dcreason.DepartmentDenied, "department may not call this service group")
	case rules.GetKind() != want.kind:
		return nil, nil, refuse(dcreason.KindMismatch, "service group is of kind "+rules.GetKind())
	case want.timeout > rules.GetMaxDeadline().AsDuration():
		return nil, nil, refuse(dcreason.DeadlineInvalid, "deadline is longer than the group's max-deadline")
	case len(want.body) > int(rules.GetMaxBodyBytes()):
		return nil, nil, refuse(dcreason.BodyTooLarge, "body is larger than the group's max-body-bytes")
	case !slices.Contains(rules.GetSchemaVersions(), want.schema):
		return nil, nil, refuse(dcreason.SchemaNotAccepted, "schema version is not accepted by this service group")
	}
	if code := c.staleConfigurationCode(name); code != dcreason.OK {
		return nil, nil, refuse(code, "configuration cannot be confirmed as current")
	}
	return found, rules, success
}

// count adds a request to the department's counters.
func (c *call) count(rules *settingsv1.ServiceGroup, d decision, complete bool) {
	now := c.Clock.Now()
	c.counters.count(dcburn.Sample{
		Group:      dcid.GroupName(rules.GetName()),
		Department: c.department,
		Outcome:    d.outcome,
		Code:       d.code,
		Good:       objectivesMet(rules, d.outcome == dcreason.Ran && (d.ok() || d.answered), complete, now.Sub(c.started)),
	}, now)
}

func serveAddresses(c *call) (proto.Message, decision) {
	name := c.request.URL.Query().Get("service-group")
	answer := &callerv1.AddressesResponse{ServiceGroup: name}
	d := success
	if found, ok := c.view.groups[dcid.GroupName(name)]; ok {
		given := c.resolveAddresses(c.view, found.currentRules())
		answer.Addresses, answer.LifetimeMs = given.Addresses, int32(given.Lifetime.Milliseconds())
	} else {
		d = refuse(dcreason.GroupUnknown, "service group does not exist")
	}
	answer.Result = c.result(d)
	return answer, d
}

func serveQuery(c *call) (proto.Message, decision) {
	answer := &callerv1.QueryResponse{}
	d := c.query(answer)
	answer.Result = c.result(d)
	answer.ElapsedUs = uint32(c.Clock.Since(c.started).Microseconds())
	return answer, d
}

func (c *call) query(answer *callerv1.QueryResponse) decision {
	timeout, text, d := c.checkRequest(dcdrain.Query)
	if !d.ok() {
		return d
	}
	query, d := parseQuery(text)
	if !d.ok() {
		return d
	}
	group, rules, d := c.checkGroup(requestParams{
		group:   query.GetServiceGroup(),
		kind:    dcsettings.KindQuery,
		schema:  query.GetSchemaVersion(),
		body:    query.GetBody(),
		timeout: timeout,
	})
	if !d.ok() {
		return d
	}
	decided, code := c.runQuery(c.request.Context(), querySpec{
		request:    c.id,
		department: c.department,
		schema:     dcid.SchemaVersion(query.GetSchemaVersion()),
		body:       query.GetBody(),
		deadline:   c.started.Add(timeout - min(timeout/responseMarginDivisor, maxResponseMargin)),
		view:       c.view,
		group:      group,
	})
	if decided == nil {
		d = refuse(code, "")
	} else {
		d = fillQueryResponse(answer, decided)
	}
	c.count(rules, d, decided != nil && !decided.Refused && code == dcreason.OK && decided.Code == dcreason.OK)
	return d
}

// fillQueryResponse copies the answer of a query.
func fillQueryResponse(answer *callerv1.QueryResponse, decided *dcquery.Answer) decision {
	answer.IndexVersion = string(decided.Version)
	for _, service := range decided.Coverage {
		coverage := &callerv1.ServiceCoverage{Service: string(service.Service), MapEpoch: uint32(service.Epoch)}
		for _, shard := range service.Covered {
			coverage.Covered = append(coverage.Covered, string(shard))
		}
		for _, missing := range service.Missing {
			coverage.Missing = append(coverage.Missing, &callerv1.MissingShard{Shard: string(missing.Shard), Reason: string(missing.Code)})
		}
		answer.Coverage = append(answer.Coverage, coverage)
	}
	for _, result := range decided.Results {
		answer.Shards = append(answer.Shards, &callerv1.ShardResult{Service: string(result.Service), Shard: string(result.Shard), Body: result.Body})
	}
	return decision{outcome: decided.Outcome, code: decided.Code, answered: !decided.Refused}
}

func serveOrder(c *call) (proto.Message, decision) {
	answer := &callerv1.OrderResponse{}
	d := c.order(answer)
	answer.Result = c.result(d)
	return answer, d
}

func (c *call) order(answer *callerv1.OrderResponse) decision {
	timeout, text, d := c.checkRequest(dcdrain.Order)
	if !d.ok() {
		return d
	}
	order, d := parseOrder(text)
	if !d.ok() {
		return d
	}
	answer.Key = order.GetKey()
	group, rules, d := c.checkGroup(requestParams{
		group:   order.GetServiceGroup(),
		kind:    dcsettings.KindOrder,
		schema:  order.GetSchemaVersion(),
		body:    order.GetBody(),
		timeout: timeout,
	})
	if !d.ok() {
		return d
	}
	service := findService(rules, order.GetService())
	if service == nil {
		return refuse(dcreason.ServiceUnknown, "service does not exist in this service group")
	}
	responded, code := c.runOrder(group, rules, service, order, c.started.Round(0).Add(timeout))
	d = refuse(code, "")
	if code == dcreason.OK {
		answer.Body = responded.Body
		d = ledgerDecision(responded)
	}
	c.count(rules, d, true)
	return d
}

// ledgerDecision is the decision about an order that the ledger answered.
func ledgerDecision(responded dcledger.Respond) decision {
	d := decision{outcome: responded.Outcome, code: responded.Code, answered: outcomeKnown(responded)}
	if responded.Truncated {
		d.message = "answer is cut to the part that the ledger keeps"
	}
	return d
}

func findService(rules *settingsv1.ServiceGroup, name string) *settingsv1.Service {
	for _, service := range rules.GetServices() {
		if service.GetName() == name {
			return service
		}
	}
	return nil
}

// runOrder admits and runs an order. It waits for the answer even when the
// caller goes away: the order gives one by its deadline.
func (c *call) runOrder(group *group, rules *settingsv1.ServiceGroup, service *settingsv1.Service, order *callerv1.OrderRequest, deadline time.Time) (answer dcledger.Respond, code dcreason.Code) {
	schema := dcid.SchemaVersion(order.GetSchemaVersion())
	check, code := c.checkDigest(c.request.Context(), group, schema, order.GetBody(), deadline)
	if code != dcreason.OK {
		return answer, code
	}
	ticket, code := group.admit(c.request.Context(), c.department, c.started.Add(deadline.Sub(c.started.Round(0))))
	if code != dcreason.OK {
		check.close()
		return answer, code
	}
	server, ok := c.pickOrderServer(c.view, service, check.avoid)
	if !ok {
		check.close()
		group.cancel(ticket)
		return answer, dcreason.NoServer
	}
	spec := dcledger.OrderSpec{
		Request:    c.id,
		Department: c.department,
		Key:        dcid.OrderKey(order.GetKey()),
		Group:      dcid.GroupName(rules.GetName()),
		Service:    dcid.ServiceName(service.GetName()),
		Schema:     schema,
		Body:       order.GetBody(),
		Deadline:   deadline,
		Operation:  dcid.OperationID(newRequestID()),
		Host:       c.self.ID,
		Server:     server,
	}
	run := c.startOrder(spec, orderConfig(c.view, rules), check)
	select {
	case answer = <-run.answer:
	case <-c.runCtx.Done():
		answer = dcledger.Respond{Outcome: dcreason.Unknown, Code: dcreason.HostStopping}
	}
	group.done(ticket, dcadmission.Sample{
		QueueTime:  time.Duration(run.queueTime.Load()),
		Overloaded: answer.Code == dcreason.UpstreamShed,
		Failed:     answer.Outcome != dcreason.Ran,
	})
	return answer, dcreason.OK
}

func serveLookup(c *call) (proto.Message, decision) {
	answer := &callerv1.OrderResponse{Key: c.request.PathValue("key")}
	d := c.lookupOrder(answer)
	answer.Result = c.result(d)
	return answer, d
}

// lookupOrder answers what became of a key. Until the ledger was read the
// outcome is unknown.
func (c *call) lookupOrder(answer *callerv1.OrderResponse) decision {
	timeout, _, d := c.checkRequest(dcdrain.Lookup)
	if !d.ok() {
		d.outcome = dcreason.Unknown
		return d
	}
	group, ok := c.view.groups[dcid.GroupName(c.request.PathValue("group"))]
	if !ok {
		return decision{outcome: dcreason.Unknown, code: dcreason.GroupUnknown, message: "service group does not exist"}
	}
	rules := group.currentRules()
	if rules.GetKind() != dcsettings.KindOrder {
		return decision{outcome: dcreason.Unknown, code: dcreason.KindMismatch, message: "service group takes no orders"}
	}
	run := c.startLookup(dcledger.LookupSpec{
		Department: c.department,
		Group:      dcid.GroupName(rules.GetName()),
		Key:        dcid.OrderKey(answer.GetKey()),
		Deadline:   c.started.Round(0).Add(timeout),
	}, orderConfig(c.view, rules))
	select {
	case responded := <-run.answer:
		answer.Body = responded.Body
		return ledgerDecision(responded)
	case <-c.runCtx.Done():
		return decision{outcome: dcreason.Unknown, code: dcreason.HostStopping}
	}
}
