package dcstandin

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// UpstreamConfig is the configuration of one upstream server.
type UpstreamConfig struct {
	// Address identifies the server in the RunLog. Start of UpstreamServer sets
	// it to the address of its listener.
	Address       dcid.ServerAddr
	Group         dcid.GroupName
	Service       dcid.ServiceName
	FailureDomain dcid.FailureDomain
	// Slots is the number of requests that run at once; values below 1 mean 1.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot.
	QueueLimit int
	// Connections limits the number of open connections; 0 means no limit.
	Connections int
	// ConnectTime is the delay before the first request of a connection is
	// read.
	ConnectTime time.Duration
	// BaseTime is the time that a request runs. With StragglerProbability, from
	// 0 to 1, a request is a straggler and runs StragglerFactor times as long.
	BaseTime             time.Duration
	StragglerProbability float64
	StragglerFactor      float64
	// Seed is the seed of the random source of this server.
	Seed uint64
}

// Stats holds the counters of a server since its creation. A restart does not
// reset them.
type Stats struct {
	// Searches and Orders count requests that started to run.
	Searches int `json:"searches"`
	Orders   int `json:"orders"`
	// Refused counts requests that were refused before they started.
	Refused int `json:"refused"`
	// Cancelled counts searches that the client cancelled while they ran.
	Cancelled int `json:"cancelled"`
	Crashes   int `json:"crashes"`
}

// Upstream is the HTTP handler of one upstream server.
type Upstream struct {
	config UpstreamConfig
	clock  clockwork.Clock
	runLog *RunLog
	mux    *http.ServeMux
	// slots holds one element for each running request.
	slots chan struct{}

	// powerMu serializes crash, Kill and Restart, so that the listener follows
	// the state of the server. It is locked before mu.
	powerMu sync.Mutex

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	// unfrozen is closed while the server is not frozen.
	unfrozen chan struct{}
	// stopped is closed when the server goes down, and replaced at a restart.
	stopped chan struct{}
	// down is set while the server is down. closed is set when it will not come
	// back.
	down   bool
	closed bool
	// onDown closes the listener and onUp reopens it. Both are nil for an
	// Upstream without a listener.
	onDown func()
	onUp   func()
	// started is the beginning of the latest cold start.
	started time.Time
	// waiting is the number of requests that wait for a slot.
	waiting  int
	maps     map[dcid.MapEpoch]ShardMap
	versions []dcid.IndexVersion
	orders   map[OrderID]*orderRecord
	stats    Stats
}

// maxBodyBytes is the maximum size of a request body, 4 MiB.
const maxBodyBytes = 4 << 20

// NewUpstream returns a server without shards or index versions. It records the
// runs of orders in runLog.
func NewUpstream(config UpstreamConfig, clock clockwork.Clock, runLog *RunLog) *Upstream {
	config.Slots = max(config.Slots, 1)
	u := &Upstream{
		config:   config,
		clock:    clock,
		runLog:   runLog,
		mux:      http.NewServeMux(),
		slots:    make(chan struct{}, config.Slots),
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		unfrozen: make(chan struct{}),
		stopped:  make(chan struct{}),
		started:  clock.Now(),
		maps:     make(map[dcid.MapEpoch]ShardMap),
		orders:   make(map[OrderID]*orderRecord),
	}
	close(u.unfrozen)
	u.mux.HandleFunc("POST /v1/shards/{shard}/search", u.search)
	u.mux.HandleFunc("POST /v1/orders", u.order)
	u.mux.HandleFunc("GET /v1/orders/{key}", u.orderOutcome)
	u.mux.HandleFunc("GET /v1/status", u.status)
	return u
}

// Config returns the configuration of the server.
func (u *Upstream) Config() UpstreamConfig {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.config
}

// Stats returns the counters of the server.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stats
}

func (u *Upstream) updateStats(change func(*Stats)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.stats)
}

// Close ends running requests and takes the server down for good.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	u.takeDown()
}

// ServeHTTP implements http.Handler. While the server is down it closes the
// connection without a response.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	down := u.down
	u.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	u.mux.ServeHTTP(w, r)
}

// stopSignal returns the channel that is closed when the server goes down. A
// request keeps the channel of its arrival, so that it does not outlive a
// restart.
func (u *Upstream) stopSignal() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopped
}

// waitWhileFrozen waits until the server is not frozen. It aborts the
// connection when the server goes down or ctx ends.
func (u *Upstream) waitWhileFrozen(ctx context.Context, stopped <-chan struct{}) {
	u.mu.Lock()
	unfrozen := u.unfrozen
	u.mu.Unlock()
	select {
	case <-unfrozen:
	case <-stopped:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// waitResult tells how a wait for a slot or for a duration ended.
type waitResult int

const (
	finished waitResult = iota
	cancelled
	expired
)

// sleep waits until the duration has passed, the deadline fires or ctx ends. It
// aborts the connection when the server goes down.
func (u *Upstream) sleep(ctx context.Context, stopped <-chan struct{}, duration time.Duration, deadline <-chan time.Time) waitResult {
	if duration <= 0 {
		return finished
	}
	timer := u.clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return finished
	case <-deadline:
		return expired
	case <-ctx.Done():
		return cancelled
	case <-stopped:
		panic(http.ErrAbortHandler)
	}
}

func (u *Upstream) search(w http.ResponseWriter, r *http.Request) {
	request, ok := u.receive(r.Context(), w, r)
	if !ok {
		return
	}
	defer request.stop()
	request.shard = dcid.ShardID(r.PathValue("shard"))
	if status := u.checkLabels(request); status != 0 {
		u.refuse(w, status)
		return
	}
	if !u.acquireSlot(r.Context(), w, request) {
		return
	}
	defer u.releaseSlot()
	u.updateStats(func(s *Stats) { s.Searches++ })
	u.runSearch(w, r, request)
}

// runSearch runs a search that holds a slot. The search stops at its deadline,
// with status 504, and when the client cancels it.
func (u *Upstream) runSearch(w http.ResponseWriter, r *http.Request, request *request) {
	if u.triggersCrash(request.body) {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	start := u.clock.Now()
	switch u.sleep(r.Context(), request.stopped, u.serviceTime(), request.expired) {
	case cancelled:
		u.updateStats(func(s *Stats) { s.Cancelled++ })
		panic(http.ErrAbortHandler)
	case expired:
		http.Error(w, "deadline passed while the search ran", http.StatusGatewayTimeout)
		return
	}
	u.waitWhileFrozen(r.Context(), request.stopped)
	request.runTime = u.clock.Since(start)
	u.answer(w, request, u.searchBody(request))
}

// checkLabels returns the status that refuses a search whose labels the server
// does not hold, or 0: 409 for the map epoch or the index version, 410 for the
// shard.
func (u *Upstream) checkLabels(request *request) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	shards, ok := u.maps[request.epoch]
	if !ok {
		return http.StatusConflict
	}
	if !slices.Contains(shards.Shards, request.shard) {
		return http.StatusGone
	}
	if !slices.Contains(u.versions, request.version) {
		return http.StatusConflict
	}
	return 0
}

func (u *Upstream) status(w http.ResponseWriter, r *http.Request) {
	if !u.Faults().LyingStatus {
		u.waitWhileFrozen(r.Context(), u.stopSignal())
	}
	text, err := protojson.Marshal(u.Status())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}
