package trace

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/ring"
)

// flushInterval is the longest time that a record stays in the write buffer.
const flushInterval = time.Second

// Writer writes records from a bounded queue in its own goroutine. Record does not block:
// when the queue or the output is full, the record is dropped and counted.
type Writer struct {
	queue        *ring.Queue[api.TraceRecord]
	out          *bufio.Writer
	closer       io.Closer
	maxBytes     int64
	writtenBytes atomic.Int64
	droppedCount atomic.Uint64
	err          error // first write error; read only after done is closed
	failed       bool
	quit         chan struct{}
	done         chan struct{}
	closeOnce    sync.Once
}

// NewWriter returns a writer that queues at most queueSize records and writes at most
// maxBytes bytes to out; 0 means no limit. Close also closes out if it is an io.Closer.
func NewWriter(out io.Writer, queueSize int, maxBytes int64) *Writer {
	w := &Writer{
		queue: ring.New[api.TraceRecord](queueSize), out: bufio.NewWriterSize(out, 64<<10),
		maxBytes: maxBytes, quit: make(chan struct{}), done: make(chan struct{}),
	}
	if closer, ok := out.(io.Closer); ok {
		w.closer = closer
	}
	go w.run()
	return w
}

// Record queues a record. It returns false when the queue is full and the record is
// dropped.
func (w *Writer) Record(record api.TraceRecord) bool {
	if w.queue.TryPut(record) {
		return true
	}
	w.droppedCount.Add(1)
	return false
}

// DroppedCount returns the number of dropped records: those that did not fit into the queue
// or into maxBytes, and those after a write error.
func (w *Writer) DroppedCount() uint64 { return w.droppedCount.Load() }

// WrittenBytes returns the number of bytes written, including those still in the buffer.
func (w *Writer) WrittenBytes() int64 { return w.writtenBytes.Load() }

// Close writes the queued records, closes the output and returns the first write error.
// Record must not be called after Close.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.quit) })
	<-w.done
	return w.err
}

// run writes the queued records until Close is called.
func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case record := <-w.queue.Items():
			w.writeRecord(record)
		case <-ticker.C:
			w.setError(w.out.Flush())
		case <-w.quit:
			w.drain()
			return
		}
	}
}

// drain writes the records that are left in the queue and closes the output.
func (w *Writer) drain() {
	for w.queue.Len() > 0 {
		w.writeRecord(<-w.queue.Items())
	}
	w.setError(w.out.Flush())
	if w.closer != nil {
		w.setError(w.closer.Close())
	}
}

// writeRecord writes a record to the buffer, or drops it when it cannot be encoded, would
// exceed maxBytes, or follows a write error.
func (w *Writer) writeRecord(record api.TraceRecord) {
	line, err := Encode(record)
	exceedsMax := w.maxBytes > 0 && w.writtenBytes.Load()+int64(len(line)) > w.maxBytes
	if err != nil || exceedsMax || w.failed {
		w.setError(err)
		w.droppedCount.Add(1)
		return
	}
	_, err = w.out.Write(line)
	w.setError(err)
	w.writtenBytes.Add(int64(len(line)))
}

// setError stores the first error. Later records are dropped.
func (w *Writer) setError(err error) {
	if err == nil || w.failed {
		return
	}
	w.failed = true
	w.err = eris.Wrap(err, "trace cannot be written")
}
