package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes is the largest accepted event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge is returned for an event larger than maxEventBytes.
var errEventTooLarge = eris.New("event of a stream is larger than 1 MiB")

// eventReader splits a text/event-stream into whole events.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, readBufferBytes)}
}

// next returns the bytes of the next event, including its blank line, and the number in its
// id field, or -1 without one. At the end of the stream it returns io.EOF together with the
// bytes after the last blank line. It returns errEventTooLarge for an event larger than
// maxEventBytes. The bytes are valid until the next call.
func (e *eventReader) next() (event []byte, id int64, err error) {
	e.buf = e.buf[:0]
	id = -1
	for {
		line, err := e.br.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.buf) > maxEventBytes {
				return nil, -1, errEventTooLarge
			}
			continue
		}
		if err != nil {
			return e.buf, id, err
		}
		if len(e.buf) > maxEventBytes {
			return nil, -1, errEventTooLarge
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e.buf, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				id = n
			}
		}
	}
}

// hasBuffered reports whether bytes after the last event have already arrived.
func (e *eventReader) hasBuffered() bool { return e.br.Buffered() > 0 }
