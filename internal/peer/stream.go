// Package peer implements the JSON-RPC links between daemons. A message is a JSON
// object behind its length, over TCP or mutual TLS.
package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/borageflow/borageflow/internal/overload"
)

const (
	// maxMessageBytes is the largest message. A manifest of 1 MiB and its envelope
	// must fit.
	maxMessageBytes   = 8 << 20
	lengthPrefixBytes = 4
	readBufferBytes   = 4 << 10
	// writeTimeout bounds one write, because a peer that stops reading would block
	// the sender forever.
	writeTimeout = 5 * time.Second
	// messageTimeout bounds the time from the length of a message to its end. The longest one takes 7 s at 10 Mbit/s.
	messageTimeout = 15 * time.Second
	// maxHelloBytes is the largest message before the hello of an accepted link.
	maxHelloBytes = 64 << 10
)

// errNoMessageMemory ends a link whose message would need more memory than all messages may use.
var errNoMessageMemory = errors.New("memory for incoming messages is used up")

// stream reads and writes JSON-RPC objects on a connection. Each object follows its
// length, an unsigned big-endian integer of four bytes.
type stream struct {
	conn          net.Conn
	reader        *bufio.Reader
	sentBytes     *atomic.Uint64
	receivedBytes *atomic.Uint64
	// params holds the parameters of the last message read. It needs no lock because
	// the library reads and handles messages on one goroutine.
	params json.RawMessage
	// memory is shared by the accepted links of a node, nil for no bound. held is the part that the last message uses.
	memory *semaphore.Weighted
	held   int64
	// pace delays the reading of messages, nil for no bound.
	pace *rate.Limiter
	// maxBytes returns the largest message at the moment.
	maxBytes func() uint32
}

// envelope is a JSON-RPC request whose parameters are not decoded.
type envelope struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id,omitempty"`
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params,omitempty"`
}

func newStream(conn net.Conn, counters *Counters) *stream {
	return &stream{
		conn:          conn,
		reader:        bufio.NewReaderSize(conn, readBufferBytes),
		sentBytes:     &counters.SentBytes,
		receivedBytes: &counters.ReceivedBytes,
		maxBytes:      func() uint32 { return maxMessageBytes },
	}
}

// WriteObject implements jsonrpc2.ObjectStream. It is not safe for concurrent use;
// jsonrpc2.Conn serializes its calls.
func (s *stream) WriteObject(object any) error {
	body, err := json.Marshal(object)
	if err != nil {
		return eris.Wrap(err, "JSON-RPC message cannot be encoded")
	}
	if len(body) > maxMessageBytes {
		return fmt.Errorf("outgoing message of %d bytes exceeds the limit of %d bytes", len(body), maxMessageBytes)
	}
	frame := make([]byte, lengthPrefixBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	copy(frame[lengthPrefixBytes:], body)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(frame)
	s.sentBytes.Add(uint64(n))
	return err
}

// ReadObject implements jsonrpc2.ObjectStream. The message before has been handled.
func (s *stream) ReadObject(v any) error {
	s.params = nil
	s.release()
	if s.pace != nil {
		time.Sleep(s.pace.Reserve().Delay())
	}
	err := s.readObject(v)
	if err != nil {
		s.release() // the link ends
	}
	return err
}

func (s *stream) readObject(v any) error {
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(s.reader, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if largest := s.maxBytes(); size > largest {
		return fmt.Errorf("incoming message of %d bytes exceeds the limit of %d bytes", size, largest)
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		return err
	}
	body, err := s.readBody(int(size))
	if err != nil {
		return err
	}
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	s.receivedBytes.Add(uint64(size) + lengthPrefixBytes)
	return s.decode(body, v)
}

// readBody reads a message. Its buffer grows with what arrives, because the length is only a statement of the peer.
func (s *stream) readBody(size int) ([]byte, error) {
	body := make([]byte, 0, min(size, readBufferBytes))
	for len(body) < size {
		if len(body) == cap(body) {
			larger := min(2*cap(body), size)
			if !s.hold(larger) {
				return nil, errNoMessageMemory
			}
			body = append(make([]byte, 0, larger), body...)
		}
		n, err := s.reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && len(body) < size {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return body, nil
}

// hold takes shared memory for a buffer of n bytes, and reports whether there is any.
func (s *stream) hold(n int) bool {
	more := int64(n) - s.held
	if s.memory == nil || n <= overload.ShortPeerMessageBytes {
		return true
	}
	if !s.memory.TryAcquire(more) {
		return false
	}
	s.held += more
	return true
}

// release returns the shared memory of the last message.
func (s *stream) release() {
	if s.held > 0 {
		s.memory.Release(s.held)
		s.held = 0
	}
}

// decode stores the parameters of a request in s.params and passes the rest of the
// message to the library. The library would decode the parameters into generic
// values and encode them again, which took half of the CPU time of an entry that
// forwards tokens.
func (s *stream) decode(body []byte, v any) error {
	s.params = nil
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil || e.Method == "" || e.Params == nil {
		return json.Unmarshal(body, v)
	}
	s.params, e.Params = e.Params, nil
	withoutParams, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "JSON-RPC message cannot be re-encoded without its parameters")
	}
	return json.Unmarshal(withoutParams, v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
