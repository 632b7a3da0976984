package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/borageflow/borageflow/internal/framing"
)

// eventReader splits a text/event-stream into whole events.
type eventReader struct {
	br  *bufio.Reader
	buf answerBuffer
	// isEmpty reports whether the last block had no field, only comments and blank lines.
	isEmpty bool
}

// newEventReader returns a reader of the events of r. The caller must call close.
func newEventReader(r io.Reader, memory bufferMemory) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, readBufferBytes), buf: answerBuffer{memory: memory}}
}

// close returns the memory of the reader.
func (e *eventReader) close() { e.buf.reset() }

// next returns the bytes of the next event, including its blank line, and the number in its
// id field, or -1 without one. At the end of the stream it returns io.EOF together with the
// bytes after the last blank line. It returns framing.ErrEventTooLarge for an event larger than
// framing.MaxEventBytes, and errNoBufferMemory. The bytes are valid until the next call.
func (e *eventReader) next() (event []byte, id int64, err error) {
	e.buf.reset()
	id, e.isEmpty = -1, true
	for {
		line, err := e.br.ReadSlice('\n')
		if len(e.buf.bytes)+len(line) > framing.MaxEventBytes {
			return nil, -1, framing.ErrEventTooLarge
		}
		if !e.buf.append(line) {
			return nil, -1, errNoBufferMemory
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return e.buf.bytes, id, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e.buf.bytes, id, nil
		}
		e.isEmpty = e.isEmpty && text[0] == ':'
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				id = n
			}
		}
	}
}

// hasBuffered reports whether bytes after the last event have already arrived.
func (e *eventReader) hasBuffered() bool { return e.br.Buffered() > 0 }
