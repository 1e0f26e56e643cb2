package dcstandin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Headers between the tier and upstream servers.
const (
	HeaderRequest     = "Request-Id"
	HeaderShard       = "Shard"
	HeaderVersion     = "Index-Version"
	HeaderEpoch       = "Map-Epoch"
	HeaderSchema      = "Schema-Version"
	HeaderDeadline    = "Deadline-Ms"
	HeaderKey         = "Idempotency-Key"
	HeaderAttempt     = "Attempt"
	HeaderDepartment  = "Department"
	HeaderNotStarted  = "Not-Started"
	HeaderServerState = "Server-State"
	HeaderTiming      = "Server-Timing"
)

// request is one search or order with its labels.
type request struct {
	id         string
	shard      dcid.ShardID
	version    dcid.IndexVersion
	epoch      dcid.MapEpoch
	attempt    string
	department dcid.Department
	key        dcid.OrderKey
	body       []byte
	// expired fires at the deadline, which overdue reports too.
	expired   <-chan time.Time
	overdue   bool
	stop      func() bool
	halted    <-chan struct{}
	queueTime time.Duration
	runTime   time.Duration
}

// receive reads a request after any freeze, as a paused process reads its
// socket when it resumes. It answers malformed requests itself.
func (u *Upstream) receive(patience context.Context, w http.ResponseWriter, r *http.Request) (*request, bool) {
	body, err := readBody(w, r)
	if err != nil {
		http.Error(w, "body could not be read", http.StatusBadRequest)
		return nil, false
	}
	halted := u.halt()
	u.thaw(patience, halted)
	remaining, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil {
		http.Error(w, "header Deadline-Ms must hold the remaining milliseconds", http.StatusBadRequest)
		return nil, false
	}
	epoch, _ := strconv.ParseUint(r.Header.Get(HeaderEpoch), 10, 32)
	timer := u.clock.NewTimer(time.Duration(remaining) * time.Millisecond)
	return &request{
		id:         r.Header.Get(HeaderRequest),
		version:    dcid.IndexVersion(r.Header.Get(HeaderVersion)),
		epoch:      dcid.MapEpoch(epoch),
		attempt:    r.Header.Get(HeaderAttempt),
		department: dcid.Department(r.Header.Get(HeaderDepartment)),
		key:        dcid.OrderKey(r.Header.Get(HeaderKey)),
		body:       body,
		expired:    timer.Chan(),
		overdue:    remaining <= 0,
		stop:       timer.Stop,
		halted:     halted,
	}, true
}

// refuse answers a request that did not start.
func (u *Upstream) refuse(w http.ResponseWriter, status int) {
	u.mu.Lock()
	u.stats.Refused++
	state := u.state()
	u.mu.Unlock()
	w.Header().Set(HeaderNotStarted, "true")
	w.Header().Set(HeaderServerState, state)
	w.WriteHeader(status)
}

// acquire takes a slot or answers that the request did not start.
func (u *Upstream) acquire(ctx context.Context, w http.ResponseWriter, request *request) bool {
	if request.overdue || !u.admit() {
		u.refuse(w, http.StatusServiceUnavailable)
		return false
	}
	begin := u.clock.Now()
	ended := u.wait(ctx, request)
	request.queueTime = u.clock.Since(begin)
	if ended == finished {
		return true
	}
	u.refuse(w, http.StatusServiceUnavailable)
	return false
}

// admit reports whether the server accepts a request into its queue, and
// counts it as waiting.
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

// wait takes a slot. A free slot is taken even when the client has gone, since
// a server notices that only while it waits.
func (u *Upstream) wait(ctx context.Context, request *request) result {
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
	case <-request.halted:
		panic(http.ErrAbortHandler)
	}
}

func (u *Upstream) leaveQueue() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
}

func (u *Upstream) release() {
	<-u.slots
}
