package callerapi

import (
	"context"
	"sync"

	"github.com/borageflow/borageflow/internal/entry"
)

// streamLimitBytes bounds the text that waits for a slow caller.
const streamLimitBytes = 1 << 20

// Stream carries the answer of one request from the core to its HTTP handler.
// Text that arrives faster than the caller reads is joined into one write.
type Stream struct {
	mu      sync.Mutex
	text    []byte
	version string
	session string
	answer  *entry.Answer
	ready   chan struct{}
}

// NewStream returns an empty stream.
func NewStream() *Stream { return &Stream{ready: make(chan struct{}, 1)} }

// Deliver adds text and reports false when the caller reads too slowly.
func (s *Stream) Deliver(d entry.Deliver) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.text)+len(d.Text) > streamLimitBytes {
		return false
	}
	s.text = append(s.text, d.Text...)
	s.version, s.session = d.Version, d.Session
	s.wake()
	return true
}

// Finish ends the stream.
func (s *Stream) Finish(a entry.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = &a
	s.wake()
}

func (s *Stream) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// chunk is what has arrived since the last call of next.
type chunk struct {
	text    string
	version string
	session string
	answer  *entry.Answer
}

// next waits for text or for the end.
func (s *Stream) next(ctx context.Context) (chunk, error) {
	select {
	case <-s.ready:
	case <-ctx.Done():
		return chunk{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := chunk{text: string(s.text), version: s.version, session: s.session, answer: s.answer}
	s.text = s.text[:0]
	return c, nil
}
