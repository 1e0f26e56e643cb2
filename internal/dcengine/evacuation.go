package dcengine

import (
	"maps"
	"sync"

	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// evacuation holds the failure domains whose servers get no requests.
type evacuation struct {
	mu      sync.Mutex
	domains map[dcid.FailureDomain]bool
}

// current returns the evacuated domains. The map is not changed afterwards.
func (v *evacuation) current() map[dcid.FailureDomain]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.domains
}

// set begins or ends the evacuation of a domain and reports whether that is a
// change.
func (v *evacuation) set(domain dcid.FailureDomain, evacuated bool) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.domains[domain] == evacuated {
		return false
	}
	domains := maps.Clone(v.domains)
	if domains == nil {
		domains = make(map[dcid.FailureDomain]bool)
	}
	if evacuated {
		domains[domain] = true
	} else {
		delete(domains, domain)
	}
	v.domains = domains
	return true
}

// SetEvacuated begins or ends the evacuation of a failure domain. Servers of an
// evacuated domain get no further requests: no first sends, hedges, retries or
// probes. Requests that they run already are not affected.
func (e *Engine) SetEvacuated(domain dcid.FailureDomain, evacuated bool) {
	if !e.evacuation.set(domain, evacuated) {
		return
	}
	e.Log.Info("evacuation changed", zap.String("domain", string(domain)), zap.Bool("evacuated", evacuated))
	domains := e.evacuation.current()
	e.Meter.evacuatedDomains.Update(float64(len(domains)))
	e.services.mu.Lock()
	defer e.services.mu.Unlock()
	for _, service := range e.services.byName {
		service.setEvacuated(domains)
	}
}

func (s *service) setEvacuated(domains map[dcid.FailureDomain]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Evacuated = domains
}
