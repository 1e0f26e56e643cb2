package dcshardmap

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Errors of Report. A refused report leaves the earlier claims in place.
var (
	// ErrServerUnknown reports a server that is not configured.
	ErrServerUnknown = errors.New("server is not configured in the service group")
	// ErrReportStale reports a status that was requested before one already
	// accepted.
	ErrReportStale = errors.New("status is older than one already accepted")
	// ErrReportInvalid reports a status that contradicts itself or exceeds a
	// limit.
	ErrReportInvalid = errors.New("status is invalid")
)

// Limits of one status report. They bound the memory that one misbehaving
// server can occupy.
const (
	MaxEpochs   = 16
	MaxShards   = 4096
	MaxVersions = 32
	MaxNameLen  = 256
	MaxClaims   = 65536
)

// States of a server in its status.
const (
	stateServing  = "serving"
	stateCold     = "cold"
	stateDraining = "draining"
)

// claim is one index version of one shard that a server says it can read.
type claim struct {
	epoch   dcid.MapEpoch
	shard   dcid.ShardID
	version dcid.IndexVersion
}

// claims are what one status report says, checked.
type claims struct {
	state  string
	totals map[dcid.MapEpoch]int
	held   map[claim]struct{}
}

// parseStatus checks a report. An empty report is valid: the server holds
// nothing.
func parseStatus(status *upstreamv1.Status) (parsed claims, err error) {
	defer func() { err = eris.Wrap(err, "check status") }()
	switch status.GetState() {
	case stateServing, stateCold, stateDraining:
	default:
		return parsed, eris.Wrapf(ErrReportInvalid, "state %.32q", status.GetState())
	}
	if len(status.GetMaps()) > MaxEpochs {
		return parsed, eris.Wrapf(ErrReportInvalid, "%d epochs", len(status.GetMaps()))
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
		return eris.Wrapf(ErrReportInvalid, "epoch %d has %d shards", epoch, total)
	}
	if _, ok := c.totals[epoch]; ok {
		return eris.Wrapf(ErrReportInvalid, "epoch %d is listed twice", epoch)
	}
	if len(report.GetShards()) > total {
		return eris.Wrapf(ErrReportInvalid, "epoch %d holds %d of %d shards", epoch, len(report.GetShards()), total)
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
		return eris.Wrapf(ErrReportInvalid, "shard %.32q with %d versions", name, len(held.GetVersions()))
	}
	for _, version := range held.GetVersions() {
		if version == "" || len(version) > MaxNameLen {
			return eris.Wrapf(ErrReportInvalid, "version %.32q of shard %.32q", version, name)
		}
		c.held[claim{epoch: epoch, shard: dcid.ShardID(name), version: dcid.IndexVersion(version)}] = struct{}{}
	}
	if len(c.held) > MaxClaims {
		return eris.Wrapf(ErrReportInvalid, "more than %d claims", MaxClaims)
	}
	return nil
}

// serverState is what the table knows of one server.
type serverState struct {
	Server
	claims
	reported    bool
	requestedAt time.Time
	// denied holds claims that an answer contradicted, with the time of the
	// answer. Its keys are always keys of held, which bounds it.
	contradicted map[claim]time.Time
}

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

// deny removes a claim and reports whether it was in force.
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
