package dclocal

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// revisionPollInterval is the interval between reads of the revision of a host,
// and so the resolution of the time that ChangeConfiguration returns.
const revisionPollInterval = 10 * time.Millisecond

// applyConfiguration applies the configuration as the next revision, by a call of
// the target host.
func (d *Deployment) applyConfiguration(ctx context.Context, target *host) (err error) {
	defer func() { err = eris.Wrap(err, "apply configuration") }()
	text, err := encodeDocument(d.configuration)
	if err != nil {
		return err
	}
	request := &callerv1.ApplyRequest{
		BaseRevision: d.revision, OperationId: uuid.NewString(), Document: text, Comment: "local deployment",
	}
	reply, err := d.callJSON(ctx, http.MethodPost, "http://"+target.callerAddress+"/v1/config/apply", request)
	if err != nil {
		return err
	}
	if reply.status != http.StatusOK {
		return eris.Errorf("status %d: %s", reply.status, reply.body)
	}
	d.revision++
	return nil
}

// ChangeConfiguration applies a changed configuration by a call of a host and
// returns the time from its acceptance until it is in force on every running
// host. index is the number of the host, from 0. The change is a different maximum
// deadline of all service groups.
func (d *Deployment) ChangeConfiguration(ctx context.Context, index int) (elapsed time.Duration, err error) {
	for _, group := range d.configuration.GetServiceGroups() {
		group.MaxDeadline = durationpb.New(maxDeadline + time.Duration(d.revision)*time.Second)
	}
	if err := d.applyConfiguration(ctx, d.hosts[index]); err != nil {
		return 0, err
	}
	accepted := d.Clock.Now()
	for _, host := range d.hosts {
		if err := d.waitRevision(ctx, host); err != nil {
			return 0, err
		}
	}
	return d.Clock.Since(accepted), nil
}

// waitRevision waits until the latest applied revision is in force on a host. It
// returns nil if the process of the host exits.
func (d *Deployment) waitRevision(ctx context.Context, host *host) error {
	for !host.process.Exited() {
		reply, err := d.callJSON(ctx, http.MethodGet, "http://"+host.callerAddress+"/v1/config/revisions/latest", nil)
		answer := &callerv1.ConfigResponse{}
		if err == nil && protojson.Unmarshal(reply.body, answer) == nil && answer.GetRevision().GetRevision() >= d.revision {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s did not reach revision %d", host.id, d.revision)
		case <-d.Clock.After(revisionPollInterval):
		}
	}
	return nil
}
