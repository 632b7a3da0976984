// Package peer is the JSON-RPC link between daemons.
package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxMessageBytes bounds one message; a manifest of 1 MiB must fit with room
	// for its envelope.
	maxMessageBytes = 8 << 20
	lengthBytes     = 4
	bufferBytes     = 4 << 10
	// writeTimeout bounds one write, so that a peer that stopped reading cannot
	// hold a sender for ever.
	writeTimeout = 5 * time.Second
)

// stream frames each JSON-RPC object by its length in four bytes.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	written *atomic.Uint64
	read    *atomic.Uint64
	// params are the parameters of the message that was read last. The library
	// reads a message and handles it in one goroutine.
	params json.RawMessage
}

// envelope is a message whose parameters are not decoded.
type envelope struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id,omitempty"`
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params,omitempty"`
}

func newStream(conn net.Conn, counters *Counters) *stream {
	return &stream{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, bufferBytes),
		written: &counters.SentBytes,
		read:    &counters.ReceivedBytes,
	}
}

// WriteObject implements jsonrpc2.ObjectStream. The connection serializes calls.
func (s *stream) WriteObject(object any) error {
	body, err := json.Marshal(object)
	if err != nil {
		return eris.Wrap(err, "message cannot be encoded")
	}
	if len(body) > maxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", len(body), maxMessageBytes)
	}
	frame := make([]byte, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	copy(frame[lengthBytes:], body)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(frame)
	s.written.Add(uint64(n))
	return err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(s.reader, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", size, maxMessageBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return err
	}
	s.read.Add(uint64(size) + lengthBytes)
	return s.decode(body, v)
}

// decode keeps the parameters of a request aside: the library decodes them into
// generic values and encodes them again, which took half of the processor time of
// an entry that forwards tokens.
func (s *stream) decode(body []byte, v any) error {
	s.params = nil
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil || e.Method == "" || e.Params == nil {
		return json.Unmarshal(body, v)
	}
	s.params, e.Params = e.Params, nil
	short, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "message cannot be decoded")
	}
	return json.Unmarshal(short, v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
