package dcengine

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcdepartment"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcroute"
)

const (
	// maxQuotaWait is the longest time for which a request waits to learn whether it
	// is within the quota of its department. It is at most maxQuotaWaitShare of the
	// latency target.
	maxQuotaWait      = 20 * time.Millisecond
	maxQuotaWaitShare = 0.1
)

// Quotas decides which requests are within the quotas of their departments.
type Quotas interface {
	// Take counts a request of a department. It returns false, and after how long the
	// caller may return, if the request exceeds the quota. ctx ends when the decision
	// is needed.
	Take(ctx context.Context, department *dcdepartment.Department) (delay time.Duration, ok bool)
}

// authorize finds the department of a request by its key, or returns the reply
// that refuses it. The department is nil if the route needs none and the caller
// sent no valid key.
func authorize(table *dcroute.Table, route *dcroute.Route, request *dcforward.Request) (department *dcdepartment.Department, refusal Reply, ok bool) {
	request.Department, request.KeysRequired = "", table.RequiresKeys()
	if !request.KeysRequired {
		return nil, Reply{}, true
	}
	if len(request.Keys) == 1 {
		if department, ok := table.FindDepartment(request.Keys[0]); ok {
			request.Department = department.Name
			return department, Reply{}, true
		}
	}
	if route.Public {
		return nil, Reply{}, true
	}
	return nil, Reply{Status: http.StatusUnauthorized, Code: dcreason.CredentialInvalid}, false
}

// withinQuota counts a request in the quota of its department, or returns the
// reply that refuses it.
func (e *Engine) withinQuota(ctx context.Context, department *dcdepartment.Department, route *dcroute.Route) (refusal Reply, ok bool) {
	if e.Quotas == nil || department == nil || !department.Quota.Limited() {
		return Reply{}, true
	}
	wait := min(maxQuotaWait, time.Duration(float64(route.LatencyTarget)*maxQuotaWaitShare))
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, wait)
	defer cancel()
	delay, ok := e.Quotas.Take(ctx, department)
	if !ok {
		return Reply{Status: http.StatusTooManyRequests, Code: dcreason.QuotaExceeded, RetryAfter: delay}, false
	}
	return Reply{}, true
}

// priority returns the priority of a request; 0 is the highest.
func priority(department *dcdepartment.Department, route *dcroute.Route) int {
	if department != nil && department.Priority != nil {
		return *department.Priority
	}
	return route.Priority
}
