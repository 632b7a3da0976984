// Package observe provides loggers and the HTTP endpoints for health and metrics.
package observe

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes JSON lines to standard error and adds the instance
// name to each. Level is debug, info, warn or error; an empty level means info, and any
// other is an error.
func NewLogger(level, instance string) (*zap.Logger, error) {
	parsed := zapcore.InfoLevel
	if level != "" {
		if err := parsed.Set(level); err != nil {
			return nil, eris.Wrapf(err, "log level %q is unknown", level)
		}
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncoderConfig.NameKey = "part"
	logger, err := cfg.Build(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return prefixCore{c} }))
	if err != nil {
		return nil, eris.Wrap(err, "logger cannot be built")
	}
	return logger.With(zap.String("instance", instance)), nil
}

// NewLoggerTo returns a logger that writes JSON lines to out and adds the instance name to
// each.
func NewLoggerTo(out zapcore.WriteSyncer, level zapcore.Level, instance string) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.NameKey = "part"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, level)
	return zap.New(prefixCore{core}).With(zap.String("instance", instance))
}

// ComponentLogger returns the logger of a component. Its messages start with the component's name.
func ComponentLogger(l *zap.Logger, name string) *zap.Logger { return l.Named(name) }

// prefixCore puts the logger's name before each message.
type prefixCore struct{ zapcore.Core }

// With returns a prefixCore that adds fields to every entry.
func (c prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return prefixCore{c.Core.With(fields)}
}

// Check adds this core, not the wrapped one, so that Write is called here.
func (c prefixCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write writes the entry with the prefix.
func (c prefixCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if e.LoggerName != "" {
		e.Message = e.LoggerName + ": " + e.Message
	}
	return c.Core.Write(e, fields)
}
