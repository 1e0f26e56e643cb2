// Package dchost runs an entry host. It connects the packages that make
// decisions to timers, sockets, the HTTP API for callers, metrics and logs.
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
	ConnectionStats(server dcid.ServerAddr) dcconnpool.ConnectionStats
}

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	// Settings has its defaults filled in.
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
	// CallerTLS and PeerTLS are the server configurations of the listeners. If
	// nil, the listener serves plain text.
	CallerTLS *tls.Config
	PeerTLS   *tls.Config
	Clock     clockwork.Clock
	Log       *zap.Logger
	Metrics   tally.Scope
	// MetricsHandler serves /metrics. If nil, the path is not found.
	MetricsHandler http.Handler
	// Random must be cryptographically secure. It is used for authentication.
	Random io.Reader
	// Seed seeds the random source for decisions such as load balancing and
	// jitter.
	Seed uint64
	// Allowance is added to the address lifetime when the host stops; see
	// dcdrain.Drain. 0 means the default of dcdrain.
	Allowance time.Duration

	self       dcmembership.Host
	auth       *dcauth.Authenticator
	meter      *meter
	view       atomic.Pointer[view]
	config     configState
	members    memberState
	addresses  addressState
	servers    serverState
	seats      seatState
	ledger     ledgerState
	quarantine quarantineState
	counters   counterState
	drain      drainState
	// applyMu allows one proposal to be applied at a time.
	applyMu sync.Mutex
	// randomMu guards random.
	randomMu sync.Mutex
	random   *rand.Rand
	// runCtx is the context of background work. It ends when the stop sequence is
	// complete or a component has failed.
	runCtx    context.Context
	startTime time.Time
	tasks     taskGroup
	// activeRequests is the number of API requests that are being handled,
	// backgroundRuns the number of orders and lookups that run in the background.
	activeRequests atomic.Int64
	backgroundRuns atomic.Int64
	// mapOutdatedAt is the time of the most recent response that showed the shard
	// map to be outdated, in Unix nanoseconds; 0 for never.
	mapOutdatedAt atomic.Int64
	// override is closed by StopNow, prepared when Run has set up the host.
	overrideOnce sync.Once
	override     chan struct{}
	prepared     chan struct{}
	// components holds a channel for each component, by name, which is closed when
	// the component ends.
	components map[string]chan struct{}
}

// New returns a Host. The caller sets its exported fields before Run.
func New() *Host {
	return &Host{override: make(chan struct{}), prepared: make(chan struct{})}
}

// Prepared returns a channel that is closed when Run has set up the state of
// the host. The listeners are served from then on.
func (h *Host) Prepared() <-chan struct{} {
	return h.prepared
}

// StopNow makes a planned stop proceed without waiting for other hosts that are
// unavailable. It may be called at any time.
func (h *Host) StopNow() {
	h.overrideOnce.Do(func() { close(h.override) })
}

// Run serves until ctx ends and then runs the stop sequence.
func (h *Host) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrapf(err, "run host %s", h.Settings.GetHostId()) }()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := h.prepare(runCtx); err != nil {
		return err
	}
	close(h.prepared)
	components, runCtx := errgroup.WithContext(runCtx)
	for name, loop := range h.backgroundLoops() {
		h.startComponent(components, runCtx, name, loop)
	}
	callers := h.serve(components, "callers", h.CallerListener, h.CallerTLS, h.callerHandler())
	peers := h.serve(components, "peers", h.PeerListener, h.PeerTLS, h.peerHandler())
	components.Go(func() error {
		defer cancel()
		h.runStopSequence(ctx, runCtx)
		h.shutDownServer(callers)
		h.shutDownServer(peers)
		return nil
	})
	h.Log.Info("host is serving", zap.String("callers", h.self.CallerAddress), zap.String("peers", h.self.PeerAddress))
	err = components.Wait()
	cancel()
	h.stopTimers()
	h.tasks.Done()
	h.tasks.Wait()
	return err
}

// stopTimers stops the timers, so that no new work starts after the components
// have ended.
func (h *Host) stopTimers() {
	h.ledger.close()
	for _, group := range h.view.Load().groups {
		group.close()
	}
}

// prepare sets up the unexported fields.
func (h *Host) prepare(runCtx context.Context) (err error) {
	h.runCtx = runCtx
	// The host itself counts as a task, so that the wait group is never zero while
	// tasks can still start.
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

// backgroundLoops returns the loops that run until the stop sequence ends, by
// component name.
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

// startComponent runs a component in the group and closes its done channel when
// it ends.
func (h *Host) startComponent(components *errgroup.Group, ctx context.Context, name string, run func(context.Context) error) {
	done := make(chan struct{})
	h.components[name] = done
	components.Go(func() error {
		defer close(done)
		return eris.Wrap(run(ctx), name)
	})
}

// serve starts an HTTP server on a listener as a component. It uses TLS if
// tlsConfig is not nil.
func (h *Host) serve(components *errgroup.Group, name string, listener net.Listener, tlsConfig *tls.Config, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
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

// shutDownServer waits for the open requests of a server, at most
// shutDownTimeout, and then closes its connections.
func (h *Host) shutDownServer(server *http.Server) {
	ctx, cancel := withTimeout(context.Background(), h.Clock, shutDownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// advertisedAddress returns the address that is announced to others: the one in
// the settings, otherwise that of the listener.
func advertisedAddress(settings *settingsv1.Listener, listener net.Listener) string {
	if address := settings.GetAdvertise(); address != "" {
		return address
	}
	return listener.Addr().String()
}

// newRandom returns a new random source, seeded from the source of the host.
// The source is not safe for concurrent use.
func (h *Host) newRandom() *rand.Rand {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return rand.New(rand.NewPCG(h.random.Uint64(), h.random.Uint64()))
}

// jitter returns a random duration between 0.9 and 1.1 times the interval.
func (h *Host) jitter(interval time.Duration) time.Duration {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return time.Duration(float64(interval) * (0.9 + 0.2*h.random.Float64()))
}

// runEvery runs a task at once and then again after each interval, with jitter,
// until ctx ends.
func (h *Host) runEvery(ctx context.Context, interval time.Duration, task func(context.Context)) error {
	return h.runEveryFunc(ctx, func() time.Duration { return interval }, task)
}

// runEveryFunc is like runEvery with an interval that may change.
func (h *Host) runEveryFunc(ctx context.Context, interval func() time.Duration, task func(context.Context)) error {
	for {
		task(ctx)
		if !h.sleep(ctx, h.jitter(interval())) {
			return nil
		}
	}
}

// maxUnscaledHosts is the number of hosts up to which the intervals of store
// calls are not lengthened.
const maxUnscaledHosts = 100

// scaleByHosts lengthens an interval of store calls in proportion to the number
// of hosts above maxUnscaledHosts. Both the size of a read of all records and
// the number of hosts that read them grow with the number of hosts: at 1,300
// hosts, an interval of 5 s would read about 130 KB 260 times a second.
func (h *Host) scaleByHosts(interval time.Duration) time.Duration {
	return interval * time.Duration(max(maxUnscaledHosts, len(h.members.hosts()))) / maxUnscaledHosts
}

// sleep waits for the given time or until ctx ends, and reports whether ctx is
// still active.
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

// wallNow returns the wall clock time without its monotonic reading, so that
// times compare the same way as on other hosts.
func (h *Host) wallNow() time.Time {
	return h.Clock.Now().Round(0)
}

// taskGroup tracks background tasks and counts the running ones.
type taskGroup struct {
	sync.WaitGroup
	running atomic.Int64
}

// Go runs a task in the background.
func (g *taskGroup) Go(task func()) {
	g.running.Add(1)
	g.WaitGroup.Go(func() {
		defer g.running.Add(-1)
		task()
	})
}

// withTimeout returns a context that is cancelled with the cause
// context.DeadlineExceeded after a time on the given clock.
func withTimeout(ctx context.Context, clock clockwork.Clock, after time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(after, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
