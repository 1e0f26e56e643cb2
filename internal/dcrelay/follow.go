package dcrelay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"
	"github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1/hostv1connect"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// FollowRecords implements hostv1connect.HostServiceHandler.
func (s *RecordServer) FollowRecords(ctx context.Context, request *connect.Request[hostv1.FollowRecordsRequest]) (*connect.Response[hostv1.FollowRecordsResponse], error) {
	if s.Follow == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, eris.New("this host cannot be followed"))
	}
	query := dcstore.FollowQuery{
		Known: toPosition(request.Msg.GetKnownEra(), request.Msg.GetKnownRevision()),
		Wait:  request.Msg.GetWait().AsDuration(),
	}
	query.ConfirmationAge, query.Confirmed = toAge(request.Msg.GetConfirmationAge())
	answer := s.Follow(ctx, query)
	response := &hostv1.FollowRecordsResponse{
		Era: int64(answer.Position.Era), Revision: int64(answer.Position.Revision), Snapshot: answer.Snapshot,
		ConfirmationAge: fromAge(answer.ConfirmationAge, answer.Confirmed),
		Waited:          durationpb.New(answer.Waited),
	}
	for i := range answer.Records {
		response.Records = append(response.Records, toMessage(&answer.Records[i]))
	}
	for _, removal := range answer.Removals {
		response.Removals = append(response.Removals, &hostv1.Removal{
			Key: removal.Key, Era: int64(removal.Position.Era), Revision: int64(removal.Position.Revision), Remaining: fromAge(removal.Remaining, removal.Remaining > 0),
		})
	}
	return connect.NewResponse(response), nil
}

// Follower asks other hosts for the changes of their copies.
type Follower struct {
	HTTP *http.Client
	// Hosts returns the addresses of the hosts to follow in the order of preference.
	Hosts func() []string
}

// Sources returns the addresses of the hosts to follow in the order of preference.
func (f *Follower) Sources() []string { return f.Hosts() }

// Follow asks a host for the changes of its copy.
func (f *Follower) Follow(ctx context.Context, address string, query dcstore.FollowQuery) (answer dcstore.FollowAnswer, err error) {
	defer func() { err = eris.Wrapf(err, "follow the records of %s", address) }()
	stub := hostv1connect.NewHostServiceClient(f.HTTP, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	response, err := stub.FollowRecords(ctx, connect.NewRequest(&hostv1.FollowRecordsRequest{
		KnownEra: int64(query.Known.Era), KnownRevision: int64(query.Known.Revision), Wait: durationpb.New(query.Wait),
		ConfirmationAge: fromAge(query.ConfirmationAge, query.Confirmed),
	}))
	if err != nil {
		return dcstore.FollowAnswer{}, err
	}
	answer = dcstore.FollowAnswer{
		Position: toPosition(response.Msg.GetEra(), response.Msg.GetRevision()),
		Waited:   response.Msg.GetWaited().AsDuration(),
		Snapshot: response.Msg.GetSnapshot(),
	}
	answer.ConfirmationAge, answer.Confirmed = toAge(response.Msg.GetConfirmationAge())
	for _, message := range response.Msg.GetRecords() {
		answer.Records = append(answer.Records, fromMessage(message))
	}
	for _, message := range response.Msg.GetRemovals() {
		answer.Removals = append(answer.Removals, dcstore.Removal{
			Key: message.GetKey(), Position: toPosition(message.GetEra(), message.GetRevision()), Remaining: message.GetRemaining().AsDuration(),
		})
	}
	return answer, nil
}

func toPosition(era, revision int64) dcstore.Position {
	return dcstore.Position{Era: dcstore.Era(era), Revision: dcstore.Revision(revision)}
}

// toAge returns the duration of a message, false if it is absent.
func toAge(message *durationpb.Duration) (time.Duration, bool) {
	return message.AsDuration(), message != nil
}

// fromAge returns the message of a duration, nil unless the duration is set.
func fromAge(age time.Duration, set bool) *durationpb.Duration {
	if !set {
		return nil
	}
	return durationpb.New(age)
}
