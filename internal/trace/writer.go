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

// flushInterval bounds the age of a record that is not written yet.
const flushInterval = time.Second

// Writer writes records from a bounded queue in its own goroutine. Record never
// blocks; records that do not fit are dropped and counted.
type Writer struct {
	queue    *ring.Ring[api.TraceRecord]
	out      *bufio.Writer
	closer   io.Closer
	maxBytes int64
	written  atomic.Int64
	dropped  atomic.Uint64
	err      error // first write error; read after done
	failed   bool
	quit     chan struct{}
	done     chan struct{}
	once     sync.Once
}

// NewWriter returns a writer that queues at most size records and writes at most
// maxBytes bytes (0 means no bound) to out. Close closes out when it is an
// io.Closer.
func NewWriter(out io.Writer, size int, maxBytes int64) *Writer {
	w := &Writer{
		queue: ring.New[api.TraceRecord](size), out: bufio.NewWriterSize(out, 64<<10),
		maxBytes: maxBytes, quit: make(chan struct{}), done: make(chan struct{}),
	}
	if closer, ok := out.(io.Closer); ok {
		w.closer = closer
	}
	go w.run()
	return w
}

// Record queues a record and reports false when it was dropped.
func (w *Writer) Record(record api.TraceRecord) bool {
	if w.queue.Offer(record) {
		return true
	}
	w.dropped.Add(1)
	return false
}

// Dropped returns how many records were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Written returns how many bytes were written.
func (w *Writer) Written() int64 { return w.written.Load() }

// Close writes what is queued and returns the first write error. No Record may
// follow it.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.quit) })
	<-w.done
	return w.err
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case record := <-w.queue.Items():
			w.write(record)
		case <-ticker.C:
			w.keep(w.out.Flush())
		case <-w.quit:
			w.finish()
			return
		}
	}
}

func (w *Writer) finish() {
	for w.queue.Len() > 0 {
		w.write(<-w.queue.Items())
	}
	w.keep(w.out.Flush())
	if w.closer != nil {
		w.keep(w.closer.Close())
	}
}

func (w *Writer) write(record api.TraceRecord) {
	line, err := Encode(record)
	full := w.maxBytes > 0 && w.written.Load()+int64(len(line)) > w.maxBytes
	if err != nil || full || w.failed {
		w.keep(err)
		w.dropped.Add(1)
		return
	}
	_, err = w.out.Write(line)
	w.keep(err)
	w.written.Add(int64(len(line)))
}

// keep remembers the first error; after it, records are dropped.
func (w *Writer) keep(err error) {
	if err == nil || w.failed {
		return
	}
	w.failed = true
	w.err = eris.Wrap(err, "trace cannot be written")
}
