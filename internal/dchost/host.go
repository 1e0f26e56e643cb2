// Package dchost makes a running entry host out of the decision packages: it
// owns timers, sockets, the caller HTTP API, metrics and logs.
package dchost

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcauth"
	"github.com/dandelioncart/dandelioncart/internal/dcburn"
	"github.com/dandelioncart/dandelioncart/internal/dcconfig"
	"github.com/dandelioncart/dandelioncart/internal/dcconnpool"
	"github.com/dandelioncart/dandelioncart/internal/dcdrain"
	"github.com/dandelioncart/dandelioncart/internal/dchostlist"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcpeer"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

// ConnectionLimiter is implemented by an Upstream whose connections to each
// server can be limited at run time.
type ConnectionLimiter interface {
	SetLimit(server dcid.ServerAddr, limit int)
	Connections(server dcid.ServerAddr) dcconnpool.Connections
}

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	// Settings with defaults filled in.
	Settings *settingsv1.HostSettings
	Store    dcstore.Store
	// HostList may be nil.
	HostList dchostlist.HostList
	// Upstream may implement ConnectionLimiter.
	Upstream dcupstream.Upstream
	Peer     dcpeer.Peer
	// CallerListener and PeerListener are closed by Run.
	CallerListener net.Listener
	PeerListener   net.Listener
	// CallerTLS and PeerTLS are the servers' sides; plain text when nil.
	CallerTLS *tls.Config
	PeerTLS   *tls.Config
	Clock     clockwork.Clock
	Log       *zap.Logger
	Metrics   tally.Scope
	// MetricsHandler answers /metrics; not found when nil.
	MetricsHandler http.Handler
	// Random is cryptographically secure.
	Random io.Reader
	// Seed of the random source of decisions.
	Seed uint64
	// Allowance is added to the address lifetime when the host stops; the
	// default of dcdrain when 0.
	Allowance time.Duration

	self           dcmembership.Host
	auth           *dcauth.Authenticator
	meter          *meter
	view           atomic.Pointer[view]
	config         configState
	members        memberState
	addresses      addressState
	servers        serverState
	seats          seatState
	ledger         ledgerState
	quarantine     quarantineState
	counters       counterState
	drain          drainState
	applyMu        sync.Mutex
	randomMu       sync.Mutex
	random         *rand.Rand
	runCtx         context.Context
	startTime      time.Time
	tasks          taskGroup
	activeRequests atomic.Int64
	backgroundRuns atomic.Int64
	// mapOutdatedAt is when an answer last showed an outdated shard map, Unix
	// nanoseconds.
	mapOutdatedAt atomic.Int64
	overrideOnce  sync.Once
	override      chan struct{}
	prepared      chan struct{}
	components    map[string]chan struct{}
}

// New returns a Host whose exported fields are to be set.
func New() *Host {
	return &Host{override: make(chan struct{}), prepared: make(chan struct{})}
}

// Prepared is closed when Run has built the host's state and serves.
func (h *Host) Prepared() <-chan struct{} {
	return h.prepared
}

// StopNow makes a planned stop leave without waiting for other hosts that are
// away. It may be called at any time.
func (h *Host) StopNow() {
	h.overrideOnce.Do(func() { close(h.override) })
}

// Run serves until ctx ends, and then goes through the stop sequence.
func (h *Host) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrapf(err, "run host %s", h.Settings.GetHostId()) }()
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if err := h.prepare(life); err != nil {
		return err
	}
	close(h.prepared)
	components, life := errgroup.WithContext(life)
	for name, loop := range h.backgroundLoops() {
		h.startComponent(components, life, name, loop)
	}
	callers := h.serve(components, "callers", h.CallerListener, h.CallerTLS, h.callerHandler())
	peers := h.serve(components, "peers", h.PeerListener, h.PeerTLS, h.peerHandler())
	components.Go(func() error {
		defer end()
		h.runStopSequence(ctx, life)
		h.shutDownServer(callers)
		h.shutDownServer(peers)
		return nil
	})
	h.Log.Info("host runs", zap.String("callers", h.self.CallerAddress), zap.String("peers", h.self.PeerAddress))
	err = components.Wait()
	end()
	h.stopTimers()
	h.tasks.Done()
	h.tasks.Wait()
	return err
}

// stopTimers stops the timers, so that nothing starts after the end.
func (h *Host) stopTimers() {
	h.ledger.close()
	for _, group := range h.view.Load().groups {
		group.close()
	}
}

func (h *Host) prepare(runCtx context.Context) (err error) {
	h.runCtx = runCtx
	// The host itself counts as a task, so that tasks can start while it runs.
	h.tasks.Add(1)
	now := h.Clock.Now()
	h.random = rand.New(rand.NewPCG(h.Seed, uint64(now.UnixNano())))
	h.startTime = now
	h.components = map[string]chan struct{}{}
	h.self = dcmembership.Host{
		ID:            dcid.HostID(h.Settings.GetHostId()),
		Incarnation:   now.UnixNano(),
		Domain:        dcid.FailureDomain(h.Settings.GetFailureDomain()),
		CallerAddress: advertisedAddress(h.Settings.GetCallers(), h.CallerListener),
		PeerAddress:   advertisedAddress(h.Settings.GetPeers(), h.PeerListener),
		State:         dcmembership.Alive,
	}
	if h.auth, err = dcauth.New(h.Random); err != nil {
		return err
	}
	h.meter = newMeter(h.Metrics)
	h.Store = &countingStore{store: h.Store, meter: h.meter}
	h.config.tracker = dcconfig.NewRevisionTracker()
	h.members.members = dcmembership.New(h.self, dcmembership.Settings{}, h.newRandom())
	h.seats.init(h)
	h.ledger.partitions = map[dcid.Partition]*partition{}
	h.quarantine.init()
	h.counters.counters = dcburn.New(h.self.ID, h.self.Incarnation, now)
	h.drain.drain = dcdrain.Drain{
		AddressLifetime: h.Settings.GetAddressLifetime().AsDuration(),
		Allowance:       h.Allowance,
		StopTimeout:     h.Settings.GetStopTimeout().AsDuration(),
	}
	h.view.Store(&view{})
	return nil
}

func (h *Host) backgroundLoops() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"configuration": h.watchConfiguration,
		"heartbeats":    h.sendHeartbeats,
		"host-record":   h.maintainHostRecord,
		"host-list":     h.pollHostList,
		"seat":          h.maintainSeat,
		"status":        h.pollStatus,
		"limits":        h.applyLimits,
		"retention":     h.deleteExpiredSegments,
	}
}

// startComponent runs a component and closes its done channel when it ends.
func (h *Host) startComponent(components *errgroup.Group, ctx context.Context, name string, run func(context.Context) error) {
	done := make(chan struct{})
	h.components[name] = done
	components.Go(func() error {
		defer close(done)
		return eris.Wrap(run(ctx), name)
	})
}

func (h *Host) serve(components *errgroup.Group, name string, listener net.Listener, settings *tls.Config, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         settings,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(h.Log.Named("http")),
	}
	done := make(chan struct{})
	h.components[name] = done
	components.Go(func() error {
		defer close(done)
		err := serveListener(server, listener)
		if eris.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, name)
	})
	return server
}

func serveListener(server *http.Server, listener net.Listener) error {
	if server.TLSConfig == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, "", "")
}

const (
	readHeaderTimeout = 10 * time.Second
	serverIdleTimeout = 120 * time.Second
	maxHeaderBytes    = 32 << 10
	shutDownTimeout   = 5 * time.Second
)

func (h *Host) shutDownServer(server *http.Server) {
	ctx, cancel := withTimeout(context.Background(), h.Clock, shutDownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func advertisedAddress(settings *settingsv1.Listener, listener net.Listener) string {
	if address := settings.GetAdvertise(); address != "" {
		return address
	}
	return listener.Addr().String()
}

// newRandom returns a source for one owner.
func (h *Host) newRandom() *rand.Rand {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return rand.New(rand.NewPCG(h.random.Uint64(), h.random.Uint64()))
}

// jitter returns a duration between 0.9 and 1.1 times the interval.
func (h *Host) jitter(interval time.Duration) time.Duration {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return time.Duration(float64(interval) * (0.9 + 0.2*h.random.Float64()))
}

// runEvery runs a step at once and then after each interval, until ctx ends.
func (h *Host) runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	return h.runEveryFunc(ctx, func() time.Duration { return interval }, step)
}

// runEveryFunc is every with an interval that can change.
func (h *Host) runEveryFunc(ctx context.Context, interval func() time.Duration, step func(context.Context)) error {
	for {
		step(ctx)
		if !h.sleep(ctx, h.jitter(interval())) {
			return nil
		}
	}
}

// maxUnscaledHosts is the number of hosts up to which store intervals are constant.
const maxUnscaledHosts = 100

// scaleByHosts lengthens an interval of store calls with the number of hosts. A read
// of all records grows with the hosts, and so does the number of readers: at
// 1,300 hosts a 5 s interval would read about 130 KB 260 times a second.
func (h *Host) scaleByHosts(interval time.Duration) time.Duration {
	return interval * time.Duration(max(maxUnscaledHosts, len(h.members.hosts()))) / maxUnscaledHosts
}

// sleep waits and reports whether ctx still runs.
func (h *Host) sleep(ctx context.Context, wait time.Duration) bool {
	timer := h.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// wallNow returns the wall clock without its monotonic reading, so that times are
// compared as other hosts see them.
func (h *Host) wallNow() time.Time {
	return h.Clock.Now().Round(0)
}

// taskGroup counts what runs in the background.
type taskGroup struct {
	sync.WaitGroup
	running atomic.Int64
}

// Go runs a task.
func (g *taskGroup) Go(task func()) {
	g.running.Add(1)
	g.WaitGroup.Go(func() {
		defer g.running.Add(-1)
		task()
	})
}

// withTimeout returns a context that is cancelled after a time of the clock.
func withTimeout(ctx context.Context, clock clockwork.Clock, after time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(after, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
