// Package dcservecommand runs a host of the tier.
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

const metricsInterval = time.Second

// gcPercent lets the heap grow to five times the live data between
// garbage collections, unless the environment variable GOGC is set. The live
// data of a host is small, and collections add to the tail of queries.
const gcPercent = 400

// Options of serve.
type Options struct {
	Settings      string        `help:"Host settings." type:"existingfile" required:""`
	StopAllowance time.Duration `help:"Added to the address lifetime when the host stops, for callers that asked meanwhile." default:"2s"`
}

// Help returns examples.
func (o *Options) Help() string {
	return `The host serves until it receives SIGTERM. It then leaves the address answers,
serves until the answers already given have expired, finishes running requests,
gives back its connection seat and exits. It waits while another host is away,
at most the stop-timeout of its settings; a second SIGTERM skips that wait.

Examples:

  dandelioncart config check --host host.yaml
  dandelioncart serve --settings host.yaml`
}

// Run serves until ctx ends or a signal arrives.
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
	ended := make(chan struct{})
	defer close(ended)
	go stopOnSecondSignal(signals, host, ended)
	return host.Run(ctx)
}

// stopOnSecondSignal skips the wait for other hosts on the second signal. The first
// one also ends the context of the program.
func stopOnSecondSignal(signals <-chan os.Signal, host *dchost.Host, ended <-chan struct{}) {
	for range 2 {
		select {
		case <-signals:
		case <-ended:
			return
		}
	}
	host.StopNow()
}

// newLogger writes to out; the settings name level and encoding.
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

// newHost opens the listeners and clients of a host.
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
