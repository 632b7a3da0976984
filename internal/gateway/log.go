package gateway

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/ring"
)

// logRingLines bounds the lines that wait for a slow reader of standard output.
const logRingLines = 1024

// asyncWriter writes lines in a goroutine of its own. It drops lines when its ring or
// its rate is full, and counts them, so that a request never waits for the log.
type asyncWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	perSec  int64
	second  atomic.Int64
	inSec   atomic.Int64
}

// Write implements io.Writer.
func (w *asyncWriter) Write(p []byte) (int, error) {
	now := time.Now().Unix()
	if w.second.Swap(now) != now {
		w.inSec.Store(0)
	}
	line := make([]byte, len(p))
	copy(line, p)
	if w.inSec.Add(1) > w.perSec || !w.lines.Offer(line) {
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *asyncWriter) Sync() error { return nil }

// newLogger returns a logger that writes JSON lines to out, and the writer behind it.
func newLogger(s Settings, out io.Writer) (*zap.Logger, *asyncWriter, error) {
	level := zapcore.InfoLevel
	if s.LogLevel != "" {
		if err := level.Set(s.LogLevel); err != nil {
			return nil, nil, eris.Wrapf(err, "log level %q is unknown", s.LogLevel)
		}
	}
	w := &asyncWriter{lines: ring.New[[]byte](logRingLines), perSec: int64(s.LogLinesPerSecond)}
	go w.run(out)
	return observe.NewLoggerTo(w, level, s.Instance), w, nil
}

// batchLines bounds the lines that one write passes on.
const batchLines = 64

// run writes the lines; several that wait are written in one call.
func (w *asyncWriter) run(out io.Writer) {
	for line := range w.lines.Items() {
		batch := line
		for n := 1; n < batchLines && w.lines.Len() > 0; n++ {
			batch = append(batch, <-w.lines.Items()...)
		}
		_, _ = out.Write(batch) // nothing is left to report a failure to
	}
}

// flush waits until the lines are written, at most for limit.
func (w *asyncWriter) flush(limit time.Duration) {
	for end := time.Now().Add(limit); w.lines.Len() > 0 && time.Now().Before(end); {
		time.Sleep(flushPoll)
	}
	time.Sleep(flushPoll)
}

const flushPoll = 5 * time.Millisecond
