package gateway

import (
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// blockedWriter takes nothing until release is closed, and counts the bytes of each write then.
type blockedWriter struct {
	release chan struct{}
	written chan int
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.written <- len(p)
	return len(p), nil
}

// Guards against long IDs of callers that wait in the log and take the memory of an instance: 1,024 lines with IDs of
// 16 KiB of control characters took 100 MB while the log was not read.
func TestWaitingLogIsBoundedInBytes(t *testing.T) {
	out := &blockedWriter{make(chan struct{}), make(chan int, 2*maxQueuedLogLines)}
	s := testSettings(t)
	s.LogLinesPerSecond = 1 << 20
	log, w, err := newLogger(s, out)
	assert.NilError(t, err)
	id := strings.Repeat("\x01", 16<<10)
	for range 2 * maxQueuedLogLines {
		log.Info("request is refused", zap.String("request", id))
	}
	assert.Assert(t, w.dropped.Load() > 0)
	close(out.release)
	w.flush(10 * 1e9)
	total := 0
	for len(out.written) > 0 {
		total += <-out.written
	}
	assert.Assert(t, total > 0 && total <= maxQueuedLogBytes, "%d bytes waited", total)
	assert.Equal(t, w.queuedBytes.Load(), int64(0))
	log.Info("next")
	w.flush(10 * 1e9)
	assert.Assert(t, len(out.written) == 1, "the log stays full")
}
