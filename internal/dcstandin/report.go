package dcstandin

import (
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// Report returns the counters of the selected servers, and of the RunLog and
// the store as a whole.
func (f *Fleet) Report(selector Selector) *standinv1.Report {
	report := &standinv1.Report{
		OrdersRun:  int32(f.RunLog.Orders()),
		StoreCalls: make(map[string]int32),
	}
	for _, server := range f.Select(selector) {
		report.Servers = append(report.Servers, server.report())
	}
	for _, id := range f.RunLog.Duplicates() {
		report.Duplicates = append(report.Duplicates, f.duplicate(id))
	}
	for call, count := range f.Platform.Store.Calls() {
		report.StoreCalls[string(call)] = int32(count)
	}
	return report
}

func (f *Fleet) duplicate(id OrderID) *standinv1.DuplicateOrder {
	order := &standinv1.DuplicateOrder{Department: string(id.Department), Key: string(id.Key)}
	for _, server := range f.RunLog.Runs(id) {
		order.Servers = append(order.Servers, string(server))
	}
	return order
}

func (s *UpstreamServer) report() *standinv1.ServerReport {
	config, stats, connections := s.Config(), s.Stats(), s.Server.Stats()
	return &standinv1.ServerReport{
		Server:            string(config.Address),
		ServiceGroup:      string(config.Group),
		Service:           string(config.Service),
		FailureDomain:     string(config.FailureDomain),
		Searches:          int32(stats.Searches),
		Orders:            int32(stats.Orders),
		Refused:           int32(stats.Refused),
		Cancelled:         int32(stats.Cancelled),
		Crashes:           int32(stats.Crashes),
		OpenConnections:   int32(connections.Open),
		PeakConnections:   int32(connections.Peak),
		ExcessConnections: int32(connections.Excess),
	}
}
