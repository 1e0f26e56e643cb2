// Package dclog writes log lines without ever blocking their writers.
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
	// queueCapacity is the number of lines that wait for a slow reader. Lines of
	// lower levels may use half of it.
	queueCapacity = 2048
	// sampleFirst and thereafter bound the lines of one message below the level
	// of warnings: each one up to perSecond, then one in thereafter.
	sampleFirst      = 40
	sampleThereafter = 100
)

// Output writes lines in the background. Lines that find its queue full are
// dropped and counted.
type Output struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	once  sync.Once

	mu      sync.Mutex
	dropped int
	closed  bool
}

// NewOutput returns an output that writes to out until Close.
func NewOutput(out io.Writer) *Output {
	o := &Output{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go o.run()
	return o
}

// NewLogger returns a logger that writes JSON lines. Warnings are dropped only
// when the queue is full; other lines are sampled and dropped earlier.
func (o *Output) NewLogger() *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	below := zap.LevelEnablerFunc(func(level zapcore.Level) bool { return level == zapcore.InfoLevel })
	usual := zapcore.NewCore(encoder, &queueWriter{o, queueCapacity / 2}, below)
	sampled := zapcore.NewSamplerWithOptions(usual, time.Second, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				o.countDropped()
			}
		}))
	urgent := zapcore.NewCore(encoder.Clone(), &queueWriter{o, queueCapacity}, zapcore.WarnLevel)
	return zap.New(zapcore.NewTee(sampled, urgent))
}

// Close writes the lines that wait and stops.
func (o *Output) Close() {
	o.once.Do(func() {
		o.mu.Lock()
		o.closed = true
		close(o.lines)
		o.mu.Unlock()
	})
	<-o.done
}

func (o *Output) run() {
	defer close(o.done)
	for line := range o.lines {
		// There is no other place to report a failure of the log itself.
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

// queueWriter takes lines while the queue holds fewer than limit.
type queueWriter struct {
	output *Output
	limit  int
}

// Write implements zapcore.WriteSyncer.
func (s *queueWriter) Write(line []byte) (int, error) {
	o := s.output
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.lines) >= s.limit {
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

// Sync implements zapcore.WriteSyncer. Lines are written in the background.
func (s *queueWriter) Sync() error { return nil }

// RedirectStandardLogger passes what the standard library logs on to a logger, with
// one message for all so that they are sampled together. The returned function
// undoes it.
func RedirectStandardLogger(logger *zap.Logger) (restore func()) {
	flags, out := log.Flags(), log.Writer()
	log.SetFlags(0)
	log.SetOutput(&standardWriter{logger})
	return func() {
		log.SetFlags(flags)
		log.SetOutput(out)
	}
}

// NewStandardLogger returns a standard logger that writes to a zap logger.
func NewStandardLogger(logger *zap.Logger) *log.Logger {
	return log.New(&standardWriter{logger}, "", 0)
}

type standardWriter struct {
	logger *zap.Logger
}

// maxDetailBytes bounds what is kept of a line of the standard library, which can
// hold bytes of a peer.
const maxDetailBytes = 200

// Write implements io.Writer.
func (s *standardWriter) Write(line []byte) (int, error) {
	detail := strings.TrimSpace(string(line[:min(len(line), maxDetailBytes)]))
	s.logger.Info("message of the standard library", zap.String("detail", detail))
	return len(line), nil
}
