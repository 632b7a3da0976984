package callerapi

import (
	"context"
	"sync"

	"github.com/borageflow/borageflow/internal/entry"
)

// maxBufferedBytes bounds the text that is buffered for a slow caller.
const maxBufferedBytes = 1 << 20

// Stream buffers the answer of one request between the entry's event loop and the
// HTTP handler. Text that arrives faster than the caller reads is joined into one
// write. It is safe for concurrent use.
type Stream struct {
	mu       sync.Mutex
	buffered []byte
	version  string
	session  string
	final    *entry.Answer
	updated  chan struct{}
}

// NewStream returns an empty stream.
func NewStream() *Stream { return &Stream{updated: make(chan struct{}, 1)} }

// Deliver appends the text of d and reports whether it fit. It returns false when
// more than 1 MiB would wait for a caller that reads too slowly.
func (s *Stream) Deliver(d entry.Deliver) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffered)+len(d.Text) > maxBufferedBytes {
		return false
	}
	s.buffered = append(s.buffered, d.Text...)
	s.version, s.session = d.Version, d.Session
	s.signal()
	return true
}

// Finish ends the stream with the final answer. Text that is still buffered is
// delivered together with it.
func (s *Stream) Finish(a entry.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.final = &a
	s.signal()
}

func (s *Stream) signal() {
	select {
	case s.updated <- struct{}{}:
	default:
	}
}

// streamUpdate holds the text that arrived since the last call of next. The field
// final is nil until the answer ends.
type streamUpdate struct {
	text    string
	version string
	session string
	final   *entry.Answer
}

// next waits for text or the end of the answer. It returns the error of ctx when
// the caller disconnects.
func (s *Stream) next(ctx context.Context) (streamUpdate, error) {
	select {
	case <-s.updated:
	case <-ctx.Done():
		return streamUpdate{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	update := streamUpdate{text: string(s.buffered), version: s.version, session: s.session, final: s.final}
	s.buffered = s.buffered[:0]
	return update, nil
}
