// Package peer implements the JSON-RPC links between daemons. A message is a JSON
// object behind its length, over TCP or mutual TLS.
package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
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
)

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

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(s.reader, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return fmt.Errorf("incoming message of %d bytes exceeds the limit of %d bytes", size, maxMessageBytes)
	}
	// The buffer grows with what arrives, because the length is only a statement of the peer.
	body := bytes.NewBuffer(make([]byte, 0, min(size, readBufferBytes)))
	if _, err := io.CopyN(body, s.reader, int64(size)); errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	s.receivedBytes.Add(uint64(size) + lengthPrefixBytes)
	return s.decode(body.Bytes(), v)
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
