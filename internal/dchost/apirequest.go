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

// requestParams holds the parameters of a query or an order that are checked
// against the rules of its service group.
type requestParams struct {
	group   string
	kind    string
	schema  string
	body    []byte
	timeout time.Duration
}

// checkRequest authenticates the caller of a query, order or lookup, checks
// that the host accepts requests of this kind, and reads the timeout and the
// body.
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

// checkGroup looks up the service group of a request and checks the request
// against the rules of the group.
func (c *call) checkGroup(params requestParams) (*group, *settingsv1.ServiceGroup, decision) {
	name := dcid.GroupName(params.group)
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
	case rules.GetKind() != params.kind:
		return nil, nil, refuse(dcreason.KindMismatch, "service group is of kind "+rules.GetKind())
	case params.timeout > rules.GetMaxDeadline().AsDuration():
		return nil, nil, refuse(dcreason.DeadlineInvalid, "deadline is longer than the group's max-deadline")
	case len(params.body) > int(rules.GetMaxBodyBytes()):
		return nil, nil, refuse(dcreason.BodyTooLarge, "body is larger than the group's max-body-bytes")
	case !slices.Contains(rules.GetSchemaVersions(), params.schema):
		return nil, nil, refuse(dcreason.SchemaNotAccepted, "schema version is not accepted by this service group")
	}
	if code := c.staleConfigurationCode(name); code != dcreason.OK {
		return nil, nil, refuse(code, "configuration cannot be confirmed as current")
	}
	return found, rules, success
}

// count adds a request to the counters of the department. complete tells
// whether the answer covers everything that was requested.
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
		resolved := c.resolveAddresses(c.view, found.currentRules())
		answer.Addresses, answer.LifetimeMs = resolved.Addresses, int32(resolved.Lifetime.Milliseconds())
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
	queryAnswer, code := c.runQuery(c.request.Context(), querySpec{
		request:    c.id,
		department: c.department,
		schema:     dcid.SchemaVersion(query.GetSchemaVersion()),
		body:       query.GetBody(),
		deadline:   c.started.Add(timeout - min(timeout/responseMarginDivisor, maxResponseMargin)),
		view:       c.view,
		group:      group,
	})
	if queryAnswer == nil {
		d = refuse(code, "")
	} else {
		d = fillQueryResponse(answer, queryAnswer)
	}
	c.count(rules, d, queryAnswer != nil && !queryAnswer.Refused && code == dcreason.OK && queryAnswer.Code == dcreason.OK)
	return d
}

// fillQueryResponse copies the answer of a query into the response and returns
// the decision.
func fillQueryResponse(answer *callerv1.QueryResponse, queryAnswer *dcquery.Answer) decision {
	answer.IndexVersion = string(queryAnswer.Version)
	for _, service := range queryAnswer.Coverage {
		coverage := &callerv1.ServiceCoverage{Service: string(service.Service), MapEpoch: uint32(service.Epoch)}
		for _, shard := range service.Covered {
			coverage.Covered = append(coverage.Covered, string(shard))
		}
		for _, missing := range service.Missing {
			coverage.Missing = append(coverage.Missing, &callerv1.MissingShard{Shard: string(missing.Shard), Reason: string(missing.Code)})
		}
		answer.Coverage = append(answer.Coverage, coverage)
	}
	for _, result := range queryAnswer.Results {
		answer.Shards = append(answer.Shards, &callerv1.ShardResult{Service: string(result.Service), Shard: string(result.Shard), Body: result.Body})
	}
	return decision{outcome: queryAnswer.Outcome, code: queryAnswer.Code, answered: !queryAnswer.Refused}
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
	ledgerAnswer, code := c.runOrder(group, rules, service, order, c.started.Round(0).Add(timeout))
	d = refuse(code, "")
	if code == dcreason.OK {
		answer.Body = ledgerAnswer.Body
		d = ledgerDecision(ledgerAnswer)
	}
	c.count(rules, d, true)
	return d
}

// ledgerDecision returns the decision for an order or a lookup that the ledger
// answered.
func ledgerDecision(ledgerAnswer dcledger.Respond) decision {
	d := decision{outcome: ledgerAnswer.Outcome, code: ledgerAnswer.Code, answered: outcomeKnown(ledgerAnswer)}
	if ledgerAnswer.Truncated {
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

// runOrder admits and runs an order. It waits for the answer even if the caller
// disconnects; an answer arrives by the deadline of the order.
func (c *call) runOrder(group *group, rules *settingsv1.ServiceGroup, service *settingsv1.Service, order *callerv1.OrderRequest, deadline time.Time) (answer dcledger.Respond, code dcreason.Code) {
	schema := dcid.SchemaVersion(order.GetSchemaVersion())
	check, code := c.checkDigest(c.request.Context(), group, schema, order.GetBody(), deadline)
	if code != dcreason.OK {
		return answer, code
	}
	// Admission control uses monotonic times, the ledger wall clock times.
	admissionID, code := group.admit(c.request.Context(), c.department, c.started.Add(deadline.Sub(c.started.Round(0))))
	if code != dcreason.OK {
		check.close()
		return answer, code
	}
	server, ok := c.pickOrderServer(c.view, service, check.avoid)
	if !ok {
		check.close()
		group.cancel(admissionID)
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
	group.done(admissionID, dcadmission.Sample{
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

// lookupOrder returns the outcome of the order with a key. The outcome is
// unknown until the ledger has been read, so refusals carry the outcome unknown
// as well.
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
	case ledgerAnswer := <-run.answer:
		answer.Body = ledgerAnswer.Body
		return ledgerDecision(ledgerAnswer)
	case <-c.runCtx.Done():
		return decision{outcome: dcreason.Unknown, code: dcreason.HostStopping}
	}
}
