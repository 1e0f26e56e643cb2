package dcledger

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
)

const testKey = "019cad6b-2e00-7abc-8def-01234567890"

var replyErrors = map[string]error{
	"ok": nil, "absent": dcstore.ErrNotFound, "conflict": dcstore.ErrConflict,
	"unavailable": dcstore.ErrUnavailable, "lost": dcstore.ErrUnknownOutcome,
}

// TestCommitter checks the order of store calls and answers for group commit,
// conflict, lost reply, open breaker and record retry. Each command of a test
// file prints the actions that it caused.
func TestCommitter(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		config := DefaultCommitterConfig()
		config.Host = "h"
		committer := NewCommitter(config, rand.New(rand.NewPCG(1, 1)))
		_, now, _ := ParseKey(testKey + "0")
		start := now
		stored := map[CallID][]byte{}
		value := []byte(nil)
		var id SubmissionID
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var actions []Action
			for _, line := range strings.Fields(strings.ReplaceAll(data.Input, " ", "/")) {
				var number int
				var operation, state string
				fmt.Sscan(strings.ReplaceAll(line, "/", " "), &number, &operation, &state)
				submitted := newTestEntry(operation, "x", ledgerv1.EntryState(ledgerv1.EntryState_value["ENTRY_STATE_"+state]))
				submitted.Key = fmt.Sprint(testKey, number)
				submitted.DispatchDeadlineMs = start.Add(time.Second).UnixMilli()
				id++
				switch data.Cmd {
				case "claim":
					actions = append(actions, committer.Claim(now, id, submitted)...)
				case "record":
					actions = append(actions, committer.Record(now, id, submitted)...)
				}
			}
			switch data.Cmd {
			case "reply":
				var call int
				var kind string
				data.ScanArgs(t, "call", &call)
				data.ScanArgs(t, "as", &kind)
				effect := data.HasArg("effect")
				if swap, ok := stored[CallID(call)]; ok && effect {
					value = swap
				}
				reply := StoreReply{Call: CallID(call), Err: replyErrors[kind], Record: dcstore.Record{Value: value, Modified: 5}, Modified: 6}
				actions = committer.StoreReplied(now, reply)
			case "wait":
				var duration string
				data.ScanArgs(t, "for", &duration)
				step, _ := time.ParseDuration(duration)
				now = now.Add(step)
				actions = committer.Tick(now)
			}
			return describeActions(actions, stored, start)
		})
	})
}

func describeActions(actions []Action, stored map[CallID][]byte, start time.Time) string {
	var out strings.Builder
	for _, action := range actions {
		switch action := action.(type) {
		case GetSegment:
			fmt.Fprintf(&out, "get call=%d\n", action.Call)
		case SwapSegment:
			var segment ledgerv1.Segment
			_ = proto.Unmarshal(action.Swap.Value, &segment)
			stored[action.Call] = action.Swap.Value
			fmt.Fprintf(&out, "swap call=%d expected=%d entries=%d commits=%d\n",
				action.Call, action.Swap.Expected, len(segment.Entries), len(segment.Commits))
		case Answer:
			state := strings.TrimPrefix(action.Result.Entry.GetState().String(), "ENTRY_STATE_")
			fmt.Fprintf(&out, "answer %d: %s %s %s may-exist=%v\n",
				action.SubmissionID, action.Result.Code, state, action.Result.Entry.GetOperationId(), action.Result.MayExist)
		}
	}
	if out.Len() == 0 {
		return "nothing"
	}
	return out.String()
}
