// Package dcservecommand implements the command that runs a host of the tier.
package dcservecommand

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	"github.com/dandelioncart/dandelioncart/internal/dcconnpool"
	"github.com/dandelioncart/dandelioncart/internal/dchost"
	"github.com/dandelioncart/dandelioncart/internal/dchostlist"
	"github.com/dandelioncart/dandelioncart/internal/dcmetrics"
	"github.com/dandelioncart/dandelioncart/internal/dcpeer"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
)

// metricsInterval is how often metrics are reported to the metrics handler.
const metricsInterval = time.Second

// gcPercent lets the heap grow to five times the live data between garbage
// collections, unless the environment variable GOGC is set. The live data of a
// host is small, and collections increase the tail latency of queries.
const gcPercent = 400

// Options are the arguments of the serve command.
type Options struct {
	Settings      string        `help:"Host settings." type:"existingfile" required:""`
	StopAllowance time.Duration `help:"Time added to the address lifetime when the host stops, for callers that requested addresses meanwhile." default:"2s"`
}

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The host serves until it receives SIGTERM. It then removes itself from the address
responses, serves until the responses already given have expired, finishes running
requests, releases its connection seat and exits. It waits while another host is
away, at most the stop-timeout of its settings; a second SIGTERM skips that wait.

Examples:

  dandelioncart config check --host host.yaml
  dandelioncart serve --settings host.yaml`
}

// Run serves until ctx ends. A second signal makes the host stop without
// waiting for other hosts.
func (o *Options) Run(ctx context.Context, env *dccommand.Environment) (err error) {
	defer func() { err = eris.Wrap(err, "serve") }()
	settings, err := dcsettings.LoadHost(o.Settings)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	log, err := newLogger(settings.GetLog(), env.Err)
	if err != nil {
		return err
	}
	host, closeHost, err := newHost(settings, env, log)
	if err != nil {
		return err
	}
	defer closeHost()
	host.Allowance = o.StopAllowance
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	done := make(chan struct{})
	defer close(done)
	go stopOnSecondSignal(signals, host, done)
	return host.Run(ctx)
}

// stopOnSecondSignal makes the host stop without waiting for other hosts when
// the second signal arrives. The first signal also ends the context of the
// program, which starts the stop.
func stopOnSecondSignal(signals <-chan os.Signal, host *dchost.Host, done <-chan struct{}) {
	for range 2 {
		select {
		case <-signals:
		case <-done:
			return
		}
	}
	host.StopNow()
}

// newLogger returns a logger that writes to out with the level and the encoding
// of the settings.
func newLogger(settings *settingsv1.LogSettings, out io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(settings.GetLevel())
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if settings.GetEncoding() == "console" {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(out)), level)), nil
}

// newHost returns a host with its listeners and clients open, and a function
// that closes the clients and flushes the log.
func newHost(settings *settingsv1.HostSettings, env *dccommand.Environment, log *zap.Logger) (host *dchost.Host, closeHost func(), err error) {
	host = dchost.New()
	host.Settings, host.Clock, host.Random = settings, env.Clock, env.Random
	host.Log = log.With(zap.String("host", settings.GetHostId()))
	if err := binary.Read(env.Random, binary.LittleEndian, &host.Seed); err != nil {
		return nil, nil, err
	}
	peerCertificates, err := dchost.NewCertificates(settings.GetPeerTls())
	if err != nil {
		return nil, nil, err
	}
	callerCertificates, err := dchost.NewCertificates(settings.GetCallerTls())
	if err != nil {
		return nil, nil, err
	}
	host.PeerTLS, host.CallerTLS = peerCertificates.MutualServer(), callerCertificates.Server()
	store := dcstore.NewClient(settings.GetStore().GetEndpoints(), settings.GetStore().GetTimeout().AsDuration(), settings.GetStore().GetPrefix())
	upstream := &dcupstream.Client{Pool: dcconnpool.Pool{Clock: env.Clock}}
	peer := dcpeer.NewClient(dcpeer.Options{TLS: peerCertificates.Client()})
	host.Store, host.Upstream, host.Peer = store, upstream, peer
	if settings.GetHostList().GetUrl() != "" {
		host.HostList = &dchostlist.Client{URL: settings.GetHostList().GetUrl(), HTTP: env.HTTP}
	}
	if err := openListeners(host); err != nil {
		return nil, nil, err
	}
	scope, handler, closer := dcmetrics.New(metricsInterval)
	host.Metrics, host.MetricsHandler = scope, handler
	return host, func() {
		_ = closer.Close()
		upstream.Close()
		peer.Close()
		store.Close()
		_ = log.Sync()
	}, nil
}

// openListeners opens the listeners for callers and for peers. It leaves none
// open after an error.
func openListeners(host *dchost.Host) (err error) {
	host.CallerListener, err = net.Listen("tcp", host.Settings.GetCallers().GetListen())
	if err != nil {
		return err
	}
	host.PeerListener, err = net.Listen("tcp", host.Settings.GetPeers().GetListen())
	if err != nil {
		_ = host.CallerListener.Close()
	}
	return err
}
