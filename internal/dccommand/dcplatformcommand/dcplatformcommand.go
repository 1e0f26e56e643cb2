// Package dcplatformcommand implements the program that runs a host on the
// users' platform.
package dcplatformcommand

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcengine"
	"github.com/dandelioncart/dandelioncart/internal/dclog"
	"github.com/dandelioncart/dandelioncart/internal/dcmetrics"
	"github.com/dandelioncart/dandelioncart/platform"
)

const (
	// metricsInterval is how often metrics are reported to the /metrics
	// handler.
	metricsInterval = 2 * time.Second
	// memoryLimitRatio is the ratio of the garbage collector's soft memory
	// limit to the memory limit of the host. The rest is for stacks, socket
	// buffers and the program itself.
	memoryLimitRatio = 0.6
	// gcPercent is the growth of the heap between garbage collections, unless
	// the environment variable GOGC is set. It is below Go's default of 100
	// because memory costs more than processor time: on a day with little load,
	// 40 instead of 100 reduced the peak memory of 16 MB by 4 MB for a fifth
	// more processor time.
	gcPercent = 50
)

// Options are the arguments of dandelioncart-platform.
type Options struct {
	Settings    string `help:"Settings file of the platform." env:"DANDELIONCART_BOOT" required:""`
	MetricsPort string `help:"Port that serves /metrics; none when empty." default:""`
}

// exitInvalid is the exit code for invalid settings, the same as that of
// "dandelioncart config check".
const exitInvalid = 3

// invalidSettingsError gives an error the exit code exitInvalid.
type invalidSettingsError struct{ error }

// ExitCode implements kong.ExitCoder.
func (*invalidSettingsError) ExitCode() int { return exitInvalid }

// Help returns the detailed help text.
func (o *Options) Help() string {
	return `The host serves callers, the directory and the readiness checks of the platform
until it receives SIGTERM. It then removes itself from the address responses and
finishes running requests within the platform's stop time. Errors in the settings
are listed with their lines, and the exit code is 3.

Examples:

  DANDELIONCART_BOOT=/etc/dandelioncart/local.yaml dandelioncart-platform
  dandelioncart-platform --settings local.yaml --metrics-port 9464`
}

// Run serves until ctx ends.
func (o *Options) Run(ctx context.Context, out io.Writer) error {
	// SIGHUP ends a process that has not registered for it, so register before
	// loading the settings.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	settings, err := platform.LoadSettings(o.Settings)
	if err != nil {
		return &invalidSettingsError{err}
	}
	if settings.Cores > 0 {
		runtime.GOMAXPROCS(settings.Cores)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitRatio))
	output := dclog.NewOutput(out)
	defer output.Close()
	log := output.NewLogger().With(zap.String("host", string(settings.Host)))
	scope, handler, closer := dcmetrics.New(metricsInterval)
	defer closer.Close()
	host := &platform.Host{
		Settings:       settings,
		Clock:          clockwork.NewRealClock(),
		Log:            log,
		Meter:          dcengine.NewMeter(scope),
		Scope:          scope,
		MetricsHandler: handler,
	}
	if o.MetricsPort != "" {
		address, _, err := net.SplitHostPort(settings.CallerAddress)
		if err != nil {
			return err
		}
		host.MetricsAddress = net.JoinHostPort(address, o.MetricsPort)
	}
	if err := binary.Read(rand.Reader, binary.LittleEndian, &host.Seed); err != nil {
		return err
	}
	defer dclog.RedirectStandardLogger(log)()
	done := make(chan struct{})
	defer close(done)
	go o.reloadOnSignal(reloadSignals, host, done)
	return host.Run(ctx)
}

// reloadOnSignal reads the settings again at each signal, until done is closed.
// The current settings stay in force when the file cannot be read or is
// invalid.
func (o *Options) reloadOnSignal(reloadSignals <-chan os.Signal, host *platform.Host, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-reloadSignals:
		}
		settings, err := platform.LoadSettings(o.Settings)
		if err != nil {
			host.Log.Error("settings not reloaded", zap.String("error", err.Error()))
			continue
		}
		host.Reload(settings)
	}
}
