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

const (
	// maxQueuedLogLines and maxQueuedLogBytes bound the lines that may wait for a slow reader of the log. A line can hold
	// an ID of the caller of 16 KiB, six times as long in JSON.
	maxQueuedLogLines = 1024
	maxQueuedLogBytes = 2 << 20
)

// asyncWriter writes log lines in its own goroutine. When its queue or its rate limit is
// exceeded, it drops lines and counts them, so that a request never waits for the log.
type asyncWriter struct {
	lines             *ring.Queue[[]byte]
	queuedBytes       atomic.Int64
	dropped           atomic.Uint64
	maxLinesPerSecond int64
	currentSecond     atomic.Int64
	linesThisSecond   atomic.Int64
}

// Write queues a line. It implements io.Writer and never fails.
func (w *asyncWriter) Write(p []byte) (int, error) {
	now := time.Now().Unix()
	if w.currentSecond.Swap(now) != now {
		w.linesThisSecond.Store(0)
	}
	if w.linesThisSecond.Add(1) > w.maxLinesPerSecond || !w.put(p) {
		w.dropped.Add(1)
	}
	return len(p), nil
}

// put queues a copy of a line and reports whether there is room.
func (w *asyncWriter) put(p []byte) bool {
	size := int64(len(p))
	if w.queuedBytes.Add(size) <= maxQueuedLogBytes && w.lines.TryPut(append([]byte(nil), p...)) {
		return true
	}
	w.queuedBytes.Add(-size)
	return false
}

// Sync does nothing. It implements zapcore.WriteSyncer.
func (w *asyncWriter) Sync() error { return nil }

// newLogger returns a logger that writes JSON lines to out, and the writer that it uses.
func newLogger(s Settings, out io.Writer) (*zap.Logger, *asyncWriter, error) {
	level := zapcore.InfoLevel
	if s.LogLevel != "" {
		if err := level.Set(s.LogLevel); err != nil {
			return nil, nil, eris.Wrapf(err, "log level %q is unknown", s.LogLevel)
		}
	}
	w := &asyncWriter{lines: ring.New[[]byte](maxQueuedLogLines), maxLinesPerSecond: int64(s.LogLinesPerSecond)}
	go w.run(out)
	return observe.NewLoggerTo(w, level, s.Instance), w, nil
}

// maxBatchLines is the largest number of lines in one write.
const maxBatchLines = 64

// run writes queued lines to out and combines waiting ones into one call.
func (w *asyncWriter) run(out io.Writer) {
	for line := range w.lines.Items() {
		batch := line
		for n := 1; n < maxBatchLines && w.lines.Len() > 0; n++ {
			batch = append(batch, <-w.lines.Items()...)
		}
		_, _ = out.Write(batch) // a failing log cannot report its own failure
		w.queuedBytes.Add(-int64(len(batch)))
	}
}

// flush waits until the queue is empty, at most for limit, and then for one more poll interval,
// in which the last batch is written.
func (w *asyncWriter) flush(limit time.Duration) {
	for end := time.Now().Add(limit); w.lines.Len() > 0 && time.Now().Before(end); {
		time.Sleep(flushPollInterval)
	}
	time.Sleep(flushPollInterval)
}

const flushPollInterval = 5 * time.Millisecond
