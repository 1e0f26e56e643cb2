package dcconfig

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

const (
	// watchersPerDomain bounds the hosts of a failure domain that wait on the
	// store, since each waiting call counts towards the request rate of the
	// store.
	watchersPerDomain = 2
	// NotHeardAfter is the age of the last heartbeat above which a host is
	// listed as not heard from: 3 missed heartbeats of 1 s.
	NotHeardAfter = 3 * time.Second
	// HistoryLength is the number of revisions that are kept.
	HistoryLength = 2000
	// PruneListLimit is the limit of the ascending list call before
	// ExpiredRevisions. It is above 1 so that pruning catches up after failed
	// calls.
	PruneListLimit = 4
)

// Member is an entry host in the membership.
type Member struct {
	Host          dcid.HostID
	FailureDomain dcid.FailureDomain
}

// IsWatcher reports whether self is one of the at most two hosts of its failure
// domain that wait on the store, selected by rendezvous hashing. A host that is
// not in the membership watches, since it may not know any other host yet.
func IsWatcher(self dcid.HostID, members []Member) bool {
	index := slices.IndexFunc(members, func(member Member) bool { return member.Host == self })
	if index < 0 {
		return true
	}
	domain := members[index].FailureDomain
	own := watchRank(domain, self)
	ahead := 0
	for _, member := range members {
		if member.FailureDomain == domain && ranksBefore(watchRank(domain, member.Host), member.Host, own, self) {
			ahead++
		}
	}
	return ahead < watchersPerDomain
}

// watchRank returns the rendezvous hash of a host in its failure domain.
func watchRank(domain dcid.FailureDomain, host dcid.HostID) uint64 {
	return xxhash.Sum64String(string(domain) + "/" + string(host))
}

func ranksBefore(rank uint64, host dcid.HostID, otherRank uint64, other dcid.HostID) bool {
	return cmp.Or(cmp.Compare(rank, otherRank), cmp.Compare(host, other)) < 0
}

// HostView is what this host knows about another host or about itself.
type HostView struct {
	Host          dcid.HostID
	FailureDomain dcid.FailureDomain
	State         string
	Revision      dcid.Revision
	// LastHeard is the time of the last heartbeat.
	LastHeard time.Time
}

// Status lists the hosts with their revisions. Hosts without a recent heartbeat
// and expected hosts without a view are also listed as not heard from.
func Status(latest dcid.Revision, views []HostView, expected []dcid.HostID, now time.Time) *callerv1.StatusResponse {
	status := &callerv1.StatusResponse{LatestRevision: uint32(latest)}
	viewed := map[dcid.HostID]bool{}
	for _, view := range views {
		viewed[view.Host] = true
		age := max(0, now.Sub(view.LastHeard))
		status.Hosts = append(status.Hosts, &callerv1.HostStatus{
			HostId:        string(view.Host),
			FailureDomain: string(view.FailureDomain),
			State:         view.State,
			Revision:      uint32(view.Revision),
			AgeMs:         uint32(min(age.Milliseconds(), 1<<32-1)),
		})
		if age > NotHeardAfter {
			status.NotHeardFrom = append(status.NotHeardFrom, string(view.Host))
		}
	}
	for _, host := range expected {
		if !viewed[host] {
			status.NotHeardFrom = append(status.NotHeardFrom, string(host))
		}
	}
	slices.SortFunc(status.Hosts, func(one, other *callerv1.HostStatus) int {
		return cmp.Compare(one.GetHostId(), other.GetHostId())
	})
	slices.Sort(status.NotHeardFrom)
	status.NotHeardFrom = slices.Compact(status.NotHeardFrom)
	return status
}

// ExpiredRevisions takes the oldest records, from List(ctx, RevisionPrefix,
// PruneListLimit, false), and returns those to delete. Call it after each
// accepted revision.
func ExpiredRevisions(newest dcid.Revision, oldest []dcstore.Record) []dcstore.Record {
	if newest <= HistoryLength {
		return nil
	}
	firstKept := Key(newest - HistoryLength + 1)
	var expired []dcstore.Record
	for _, record := range oldest {
		if record.Key < firstKept {
			expired = append(expired, record)
		}
	}
	return expired
}
