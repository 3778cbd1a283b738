// Package telemetry holds what a daemon tells its operators: logs, metrics
// and the dump of its state. It opens no listener; adminapi serves it.
package telemetry

import (
	"io"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log is the root of a daemon's loggers. All of them share one level, which
// may be changed while they are in use.
type Log struct {
	root  *zap.Logger
	level zap.AtomicLevel
}

// NewLog returns a log that writes lines to w. The level is debug, info, warn
// or error.
func NewLog(w io.Writer, level string) (*Log, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.NotValidf("log level %q", level)
	}
	atomic := zap.NewAtomicLevelAt(l)
	enc := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{
		TimeKey:          "time",
		LevelKey:         "level",
		NameKey:          "part",
		MessageKey:       "message",
		LineEnding:       zapcore.DefaultLineEnding,
		EncodeLevel:      zapcore.CapitalLevelEncoder,
		EncodeTime:       zapcore.RFC3339NanoTimeEncoder,
		EncodeDuration:   zapcore.StringDurationEncoder,
		EncodeName:       encodePart,
		ConsoleSeparator: " ",
	})
	core := zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), atomic)
	return &Log{root: zap.New(core, zap.WithClock(utcClock{})), level: atomic}, nil
}

// encodePart writes the fixed prefix of a part, such as "entry:".
func encodePart(name string, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendString(name + ":")
}

type utcClock struct{}

// Now returns the time in UTC.
func (utcClock) Now() time.Time { return time.Now().UTC() }

// NewTicker returns a ticker of the system clock.
func (utcClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// Part returns the logger of one part, whose lines carry its name as prefix.
func (l *Log) Part(name string) *zap.Logger { return l.root.Named(name) }

// Level returns the level in force.
func (l *Log) Level() string { return l.level.Level().String() }

// SetLevel changes the level of all loggers at once.
func (l *Log) SetLevel(level string) error {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil || parsed > zapcore.ErrorLevel {
		return errors.NotValidf("log level %q", level)
	}
	l.level.SetLevel(parsed)
	return nil
}

// Sync writes out what is buffered. It is called once, at the end.
func (l *Log) Sync() { _ = l.root.Sync() } // a terminal or pipe cannot be synced
