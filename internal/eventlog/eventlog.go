// Package eventlog writes one line of JSON for each decision that touches a
// request or changes what the process believes. Lines pass through a bounded
// queue and a budget of lines a second; a writer that is stuck or a flood of
// events costs lines, which are counted, and never time of a request.
package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// Bounds of the log.
const (
	// queueLines is how many lines wait for the writer: about a second's
	// budget.
	queueLines = 512
	// maxLine bounds one line in bytes; the queue then holds at most 1 MB.
	maxLine = 2 << 10
	// maxErrorText bounds the text of a failure in bytes, which may quote what could not be
	// read. A line has room for it even if each byte is escaped.
	maxErrorText = 256
	// perSecond and burst bound the lines, important ones included. They are
	// ten times what one gateway writes on a quiet day.
	perSecond = 400
	burst     = 800
	// routineShare of the budget is left to events that are sampled.
	routinePerSecond = 40
	routineBurst     = 80
)

// Log takes events. Its methods may be called from any goroutine.
type Log struct {
	zap     *zap.Logger
	sink    *sink
	all     *rate.Limiter
	routine *rate.Limiter
	limited atomic.Int64
	sampled atomic.Int64
}

// New returns a log that writes to w once Run is called.
func New(w io.Writer) *Log {
	s := &sink{lines: make(chan []byte, queueLines), to: w}
	enc := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", NameKey: "part", MessageKey: "event",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeDuration: zapcore.MillisDurationEncoder,
	})
	core := zapcore.NewCore(enc, s, zapcore.InfoLevel)
	return &Log{
		zap: zap.New(core), sink: s,
		all:     rate.NewLimiter(perSecond, burst),
		routine: rate.NewLimiter(routinePerSecond, routineBurst),
	}
}

// Event writes a refusal, a retry, a cut, a doubt or a change of belief.
func (l *Log) Event(part, event string, fields ...zap.Field) {
	if !l.all.Allow() {
		l.limited.Add(1)
		return
	}
	l.zap.Named(part).Info(event, fields...)
}

// Routine writes an event of a request that went well; these are sampled.
func (l *Log) Routine(part, event string, fields ...zap.Field) {
	if !l.routine.Allow() {
		l.sampled.Add(1)
		return
	}
	l.Event(part, event, fields...)
}

// Error is the field of a failure: the start of its text, without the places in the
// code that it went through.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	text := err.Error()
	return zap.String("error", text[:min(len(text), maxErrorText)])
}

// Dropped returns how many lines were lost to the budget and to a full queue,
// and how many routine lines were left out by sampling.
func (l *Log) Dropped() (limited, full, sampled int64) {
	return l.limited.Load(), l.sink.full.Load(), l.sampled.Load()
}

// Run writes lines out until ctx ends, then what is left for a short time.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case line := <-l.sink.lines:
			l.sink.write(line)
		case <-ctx.Done():
			l.flush()
			return nil
		}
	}
}

// flushTime bounds the writing of what is left at the end.
const flushTime = 200 * time.Millisecond

func (l *Log) flush() {
	end := time.NewTimer(flushTime)
	defer end.Stop()
	for {
		select {
		case line := <-l.sink.lines:
			l.sink.write(line)
		case <-end.C:
			return
		default:
			return
		}
	}
}

// sink is the bounded queue between loggers and the writer.
type sink struct {
	lines chan []byte
	to    io.Writer
	full  atomic.Int64
}

// Write queues a line, or drops and counts it.
func (s *sink) Write(b []byte) (int, error) {
	if len(b) > maxLine {
		s.full.Add(1)
		return len(b), nil
	}
	line := append([]byte(nil), b...)
	select {
	case s.lines <- line:
	default:
		s.full.Add(1)
	}
	return len(b), nil
}

// Sync has nothing to do: Run writes lines out as they come.
func (s *sink) Sync() error { return nil }

func (s *sink) write(line []byte) {
	if _, err := s.to.Write(line); err != nil {
		s.full.Add(1) // a log that cannot be written is only counted
	}
}
