// Package dclog writes log lines asynchronously. Logging never blocks: lines
// that a slow destination cannot take are dropped and counted.
package dclog

import (
	"fmt"
	"io"
	"log"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity is the number of lines that can wait to be written. Info
	// lines are dropped when half of it is in use.
	queueCapacity = 2048
	// sampleFirst and sampleThereafter limit the info lines with the same
	// message: in each second, the first sampleFirst are kept, and then one in
	// sampleThereafter.
	sampleFirst      = 40
	sampleThereafter = 100
)

// Output writes lines in a background goroutine. Lines that arrive while its
// queue is full are dropped and counted. It is safe for concurrent use.
type Output struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	once  sync.Once

	mu      sync.Mutex
	dropped int
	closed  bool
}

// NewOutput returns an Output that writes to out until Close is called.
func NewOutput(out io.Writer) *Output {
	o := &Output{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go o.run()
	return o
}

// NewLogger returns a logger that writes JSON lines. Lines of level warn and
// above are dropped only when the queue is full. Info lines are sampled, and
// dropped when the queue is half full. Debug lines are not written.
func (o *Output) NewLogger() *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	infoOnly := zap.LevelEnablerFunc(func(level zapcore.Level) bool { return level == zapcore.InfoLevel })
	infoCore := zapcore.NewCore(encoder, &queueWriter{o, queueCapacity / 2}, infoOnly)
	sampled := zapcore.NewSamplerWithOptions(infoCore, time.Second, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				o.countDropped()
			}
		}))
	warnCore := zapcore.NewCore(encoder.Clone(), &queueWriter{o, queueCapacity}, zapcore.WarnLevel)
	return zap.New(zapcore.NewTee(sampled, warnCore))
}

// Close writes the queued lines and stops the background goroutine. Lines logged
// later are dropped. It may be called more than once.
func (o *Output) Close() {
	o.once.Do(func() {
		o.mu.Lock()
		o.closed = true
		close(o.lines)
		o.mu.Unlock()
	})
	<-o.done
}

// run writes queued lines until the queue is closed. After a line it reports the
// number of dropped lines, if any are due.
func (o *Output) run() {
	defer close(o.done)
	for line := range o.lines {
		// A failure to write the log cannot be reported anywhere else.
		_, _ = o.out.Write(line)
		if dropped := o.takeDropped(); dropped > 0 {
			_, _ = fmt.Fprintf(o.out, `{"level":"info","msg":"log lines left out","count":%d}`+"\n", dropped)
		}
	}
}

func (o *Output) countDropped() {
	o.mu.Lock()
	o.dropped++
	o.mu.Unlock()
}

// takeDropped returns the number of dropped lines to report and resets it. It
// returns 0 while fewer than sampleFirst lines were dropped, unless the output
// is closed.
func (o *Output) takeDropped() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dropped < sampleFirst && !o.closed {
		return 0
	}
	dropped := o.dropped
	o.dropped = 0
	return dropped
}

// queueWriter puts lines into the queue of an Output while it holds fewer than
// limit lines.
type queueWriter struct {
	output *Output
	limit  int
}

// Write implements zapcore.WriteSyncer. It copies the line, never blocks and
// never fails.
func (w *queueWriter) Write(line []byte) (int, error) {
	o := w.output
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.lines) >= w.limit {
		o.dropped++
		return len(line), nil
	}
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped++
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because lines are
// written in the background.
func (w *queueWriter) Sync() error { return nil }

// RedirectStandardLogger redirects the default logger of package log to a zap
// logger. All lines get the same message, so that they are sampled together. The
// returned function restores the previous output and flags.
func RedirectStandardLogger(logger *zap.Logger) (restore func()) {
	flags, out := log.Flags(), log.Writer()
	log.SetFlags(0)
	log.SetOutput(&standardWriter{logger})
	return func() {
		log.SetFlags(flags)
		log.SetOutput(out)
	}
}

// NewStandardLogger returns a logger of package log that writes to a zap logger.
func NewStandardLogger(logger *zap.Logger) *log.Logger {
	return log.New(&standardWriter{logger}, "", 0)
}

// standardWriter is the output of a logger of package log.
type standardWriter struct {
	logger *zap.Logger
}

// maxDetailBytes limits how much of a line of the standard library is kept,
// since it can contain bytes sent by a remote client.
const maxDetailBytes = 200

// Write implements io.Writer. It logs the line as a field at level info.
func (w *standardWriter) Write(line []byte) (int, error) {
	detail := strings.TrimSpace(string(line[:min(len(line), maxDetailBytes)]))
	w.logger.Info("message of the standard library", zap.String("detail", detail))
	return len(line), nil
}
