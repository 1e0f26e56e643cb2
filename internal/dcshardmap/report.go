package dcshardmap

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Errors of ApplyReport. A refused report leaves the earlier claims in place.
var (
	// ErrServerUnknown is returned for a server that is not configured.
	ErrServerUnknown = errors.New("server is not configured in the service group")
	// ErrReportStale is returned for a status that was requested before the
	// status accepted last.
	ErrReportStale = errors.New("status is older than one already accepted")
	// ErrReportInvalid is returned for a status that contradicts itself or
	// exceeds a limit.
	ErrReportInvalid = errors.New("status is invalid")
)

// Limits of one status report. They bound the memory that a misbehaving server
// can make a host use. MaxShards applies to each epoch, MaxVersions to each
// shard, MaxNameLen to the name of a shard or version in bytes, and MaxClaims to
// the versions of all shards of all epochs together.
const (
	MaxEpochs   = 16
	MaxShards   = 4096
	MaxVersions = 32
	MaxNameLen  = 256
	MaxClaims   = 65536
)

// States that a server gives in its status.
const (
	stateServing  = "serving"
	stateCold     = "cold"
	stateDraining = "draining"
)

// claim is one index version of one shard that a server reports to hold.
type claim struct {
	epoch   dcid.MapEpoch
	shard   dcid.ShardID
	version dcid.IndexVersion
}

// claims is the validated content of one status report.
type claims struct {
	state  string
	totals map[dcid.MapEpoch]int
	held   map[claim]struct{}
}

// parseStatus validates a report. A report without epochs is valid: the server
// holds nothing.
func parseStatus(status *upstreamv1.Status) (parsed claims, err error) {
	defer func() { err = eris.Wrap(err, "check status") }()
	switch status.GetState() {
	case stateServing, stateCold, stateDraining:
	default:
		return parsed, eris.Wrapf(ErrReportInvalid, "unknown state %.32q", status.GetState())
	}
	if len(status.GetMaps()) > MaxEpochs {
		return parsed, eris.Wrapf(ErrReportInvalid, "%d epochs exceed the limit", len(status.GetMaps()))
	}
	parsed.state = status.GetState()
	parsed.totals = make(map[dcid.MapEpoch]int, len(status.GetMaps()))
	parsed.held = make(map[claim]struct{})
	for _, epoch := range status.GetMaps() {
		if err := parsed.addEpoch(epoch); err != nil {
			return claims{}, err
		}
	}
	return parsed, nil
}

func (c *claims) addEpoch(report *upstreamv1.MapEpoch) error {
	epoch := dcid.MapEpoch(report.GetEpoch())
	total := int(report.GetTotalShards())
	if epoch == 0 || total < 1 || total > MaxShards {
		return eris.Wrapf(ErrReportInvalid, "epoch %d or its total of %d shards is out of range", epoch, total)
	}
	if _, ok := c.totals[epoch]; ok {
		return eris.Wrapf(ErrReportInvalid, "epoch %d is listed twice", epoch)
	}
	if len(report.GetShards()) > total {
		return eris.Wrapf(ErrReportInvalid, "epoch %d lists %d shards, more than its total of %d", epoch, len(report.GetShards()), total)
	}
	c.totals[epoch] = total
	for _, shard := range report.GetShards() {
		if err := c.addShard(epoch, shard); err != nil {
			return err
		}
	}
	return nil
}

func (c *claims) addShard(epoch dcid.MapEpoch, held *upstreamv1.HeldShard) error {
	name := held.GetShard()
	if name == "" || len(name) > MaxNameLen || len(held.GetVersions()) > MaxVersions {
		return eris.Wrapf(ErrReportInvalid, "name of shard %.32q or its number of versions, %d, is out of range", name, len(held.GetVersions()))
	}
	for _, version := range held.GetVersions() {
		if version == "" || len(version) > MaxNameLen {
			return eris.Wrapf(ErrReportInvalid, "version %.32q of shard %.32q is empty or too long", version, name)
		}
		c.held[claim{epoch: epoch, shard: dcid.ShardID(name), version: dcid.IndexVersion(version)}] = struct{}{}
	}
	if len(c.held) > MaxClaims {
		return eris.Wrapf(ErrReportInvalid, "more than %d claims", MaxClaims)
	}
	return nil
}

// serverState is what the table knows about one server.
type serverState struct {
	Server
	claims
	reported    bool
	requestedAt time.Time
	// contradicted holds the claims that an answer contradicted, with the time
	// of the answer. Its keys are always keys of held, which bounds its size.
	contradicted map[claim]time.Time
}

// accept replaces the claims of the server by those of a report. It forgets the
// contradictions of claims that the report no longer makes, and those older than
// the request for the report.
func (s *serverState) accept(report claims, requestedAt time.Time) {
	s.claims = report
	s.reported = true
	s.requestedAt = requestedAt
	for contradicted, answeredAt := range s.contradicted {
		_, held := report.held[contradicted]
		if !held || answeredAt.Before(requestedAt) {
			delete(s.contradicted, contradicted)
		}
	}
}

// contradict marks a claim as contradicted, and reports whether the server
// claimed it and it was not contradicted before.
func (s *serverState) contradict(c claim, now time.Time) bool {
	if _, held := s.held[c]; !held {
		return false
	}
	if s.contradicted == nil {
		s.contradicted = make(map[claim]time.Time)
	}
	_, before := s.contradicted[c]
	s.contradicted[c] = now
	return !before
}
