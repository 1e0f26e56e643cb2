package dcstandin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Headers of the protocol between the tier and upstream servers.
const (
	HeaderRequestID      = "Request-Id"
	HeaderShard          = "Shard"
	HeaderIndexVersion   = "Index-Version"
	HeaderMapEpoch       = "Map-Epoch"
	HeaderSchemaVersion  = "Schema-Version"
	HeaderDeadline       = "Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "Attempt"
	HeaderDepartment     = "Department"
	HeaderNotStarted     = "Not-Started"
	HeaderServerState    = "Server-State"
	HeaderServerTiming   = "Server-Timing"
)

// request is one search or order with the values of its headers. Those that the
// response repeats are its labels.
type request struct {
	// shard, version and epoch are set for a search only, key for an order.
	id         string
	shard      dcid.ShardID
	version    dcid.IndexVersion
	epoch      dcid.MapEpoch
	attempt    string
	department dcid.Department
	key        dcid.OrderKey
	body       []byte
	// expired fires at the deadline. pastDeadline is set when the deadline had
	// already passed when the request was read.
	expired      <-chan time.Time
	pastDeadline bool
	// stop stops the timer of expired.
	stop func() bool
	// stopped is closed when the server goes down.
	stopped <-chan struct{}
	// queueTime is the time spent waiting for a slot, runTime that in the slot.
	queueTime time.Duration
	runTime   time.Duration
}

// receive reads a request. While the server is frozen the request waits, as a
// paused process reads its socket when it resumes; the time to the deadline
// counts from then. receive answers malformed requests itself and returns false
// for them. It aborts the connection when freezeCtx ends during the wait.
func (u *Upstream) receive(freezeCtx context.Context, w http.ResponseWriter, r *http.Request) (*request, bool) {
	body, err := readBody(w, r)
	if err != nil {
		http.Error(w, "body could not be read", http.StatusBadRequest)
		return nil, false
	}
	stopped := u.stopSignal()
	u.waitWhileFrozen(freezeCtx, stopped)
	remaining, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil {
		http.Error(w, "header Deadline-Ms must hold the remaining milliseconds", http.StatusBadRequest)
		return nil, false
	}
	epoch, _ := strconv.ParseUint(r.Header.Get(HeaderMapEpoch), 10, 32)
	timer := u.clock.NewTimer(time.Duration(remaining) * time.Millisecond)
	return &request{
		id:           r.Header.Get(HeaderRequestID),
		version:      dcid.IndexVersion(r.Header.Get(HeaderIndexVersion)),
		epoch:        dcid.MapEpoch(epoch),
		attempt:      r.Header.Get(HeaderAttempt),
		department:   dcid.Department(r.Header.Get(HeaderDepartment)),
		key:          dcid.OrderKey(r.Header.Get(HeaderIdempotencyKey)),
		body:         body,
		expired:      timer.Chan(),
		pastDeadline: remaining <= 0,
		stop:         timer.Stop,
		stopped:      stopped,
	}, true
}

// refuse answers that the request did not start.
func (u *Upstream) refuse(w http.ResponseWriter, status int) {
	u.mu.Lock()
	u.stats.Refused++
	state := u.state()
	u.mu.Unlock()
	w.Header().Set(HeaderNotStarted, "true")
	w.Header().Set(HeaderServerState, state)
	w.WriteHeader(status)
}

// acquireSlot waits for a slot and reports whether it got one. Otherwise it
// answers that the request did not start.
func (u *Upstream) acquireSlot(ctx context.Context, w http.ResponseWriter, request *request) bool {
	if request.pastDeadline || !u.admit() {
		u.refuse(w, http.StatusServiceUnavailable)
		return false
	}
	start := u.clock.Now()
	result := u.waitForSlot(ctx, request)
	request.queueTime = u.clock.Since(start)
	if result == finished {
		return true
	}
	u.refuse(w, http.StatusServiceUnavailable)
	return false
}

// admit reports whether the server accepts a request into its queue, and counts
// an accepted one as waiting.
func (u *Upstream) admit() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Draining || u.random.Float64() < u.faults.Shed {
		return false
	}
	if len(u.slots)+u.waiting >= u.config.Slots+u.config.QueueLimit {
		return false
	}
	u.waiting++
	return true
}

// waitForSlot takes a slot for a request that was admitted. It takes a free
// slot even when the client has gone, because a server notices that only while
// it waits.
func (u *Upstream) waitForSlot(ctx context.Context, request *request) waitResult {
	defer u.leaveQueue()
	select {
	case u.slots <- struct{}{}:
		return finished
	default:
	}
	select {
	case u.slots <- struct{}{}:
		return finished
	case <-request.expired:
		return expired
	case <-ctx.Done():
		return cancelled
	case <-request.stopped:
		panic(http.ErrAbortHandler)
	}
}

func (u *Upstream) leaveQueue() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
}

func (u *Upstream) releaseSlot() {
	<-u.slots
}
