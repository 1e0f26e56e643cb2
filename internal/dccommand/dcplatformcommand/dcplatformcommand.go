// Package dcplatformcommand runs a host on the users' platform.
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
	// metricsInterval is how often metrics are passed on to their handler.
	metricsInterval = 2 * time.Second
	// memoryLimitRatio of the limit is the size that the collector aims for. The
	// rest holds stacks, socket buffers and the program itself.
	memoryLimitRatio = 0.6
	// gcPercent is the growth of the heap between collections. Memory is
	// priced higher than processor time: 40 in place of 100 took 4 MB of 16 off
	// the peak of a quiet day for a fifth more processor time.
	gcPercent = 50
)

// Options of the program.
type Options struct {
	Settings    string `help:"Settings file of the platform." env:"DANDELIONCART_BOOT" required:""`
	MetricsPort string `help:"Port that serves /metrics; none when empty." default:""`
}

// exitInvalid is the exit code for settings that the host cannot run with, the
// same as that of "dandelioncart config check".
const exitInvalid = 3

// invalidSettingsError is an error with the exit code exitInvalid.
type invalidSettingsError struct{ error }

// ExitCode implements kong.ExitCoder.
func (*invalidSettingsError) ExitCode() int { return exitInvalid }

// Help returns examples.
func (o *Options) Help() string {
	return `The host serves callers, the directory and the readiness checks of the platform
until it receives SIGTERM. It then leaves the address answers and finishes what
runs within the platform's stop time. Settings that it cannot run with are listed
with their lines, and the exit code is 3.

Examples:

  DANDELIONCART_BOOT=/etc/dandelioncart/local.yaml dandelioncart-platform
  dandelioncart-platform --settings local.yaml --metrics-port 9464`
}

// Run serves until ctx ends.
func (o *Options) Run(ctx context.Context, out io.Writer) error {
	// Until it is asked for, SIGHUP ends a process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
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
	defer dclog.RedirectStandard(log)()
	ended := make(chan struct{})
	defer close(ended)
	go o.reloadOnSignal(hangups, host, ended)
	return host.Run(ctx)
}

// reloadOnSignal reads the settings again at each signal. A file that cannot be used
// leaves the settings as they are.
func (o *Options) reloadOnSignal(hangups <-chan os.Signal, host *platform.Host, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-hangups:
		}
		settings, err := platform.LoadSettings(o.Settings)
		if err != nil {
			host.Log.Error("settings not reloaded", zap.String("error", err.Error()))
			continue
		}
		host.Reload(settings)
	}
}
