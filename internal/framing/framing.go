// Package framing decides whether the body of an answer is complete, from what marks its end and
// from how reading it ended. Each decision is about one answer and holds for any load.
package framing

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
)

// Framing is what marks the end of the body of an HTTP/1.1 response.
type Framing uint8

const (
	// CloseDelimited bodies end with their connection.
	CloseDelimited Framing = iota
	// ContentLength bodies end after the stated number of bytes.
	ContentLength
	// Chunked bodies end with a last chunk.
	Chunked
)

// String returns the name for the log.
func (f Framing) String() string { return [...]string{"connection", "length", "chunks"}[f] }

// Of returns the framing of a response as net/http has read it.
func Of(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return ContentLength
	case len(resp.TransferEncoding) > 0:
		return Chunked
	}
	return CloseDelimited
}

// CompleteJSON reports whether a body that was read to its end is a whole JSON value. A part of a
// number is a number, so that one that ends with its connection may have been cut.
func CompleteJSON(f Framing, body []byte) bool {
	text := bytes.TrimSpace(body)
	if !json.Valid(text) {
		return false
	}
	last := text[len(text)-1]
	return f != CloseDelimited || last < '0' || last > '9'
}

// IsNoAnswer reports whether an error of reading a response means that the peer sent something that
// is no answer, in contrast to a connection that failed.
func IsNoAnswer(err error) bool {
	var network net.Error
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network)
}

// Ending states how reading a body ended.
type Ending struct {
	Framing Framing
	// Err is the error that ended reading. It is nil or io.EOF at the end that the framing marks.
	Err error
	// IsStream reports whether the body is an event stream. Events and TailBytes are its whole
	// events and the bytes after the last one.
	IsStream  bool
	Events    int
	TailBytes int
	// RequestUnread reports whether the sender ended the connection without having read the whole request. It may have
	// been stopped within the answer, too.
	RequestUnread bool
	// SenderLives reports whether the sender was seen alive after the end. It counts only where IsUnmarked.
	SenderLives bool
}

// endsInOrder reports whether the answer is whole as far as its bytes tell. A stream that ends inside an event was
// broken off, whatever its framing says. One that ends with its connection before the first event cannot be told
// from a worker that crashed, and passing it on would give the caller nothing.
func (e Ending) endsInOrder() bool {
	if e.Err != nil && !errors.Is(e.Err, io.EOF) {
		return false
	}
	if e.RequestUnread && e.Framing == CloseDelimited {
		return false
	}
	if !e.IsStream {
		return true
	}
	return e.TailBytes == 0 && (e.Events > 0 || e.Framing != CloseDelimited)
}

// IsUnmarked reports whether nothing in the bytes tells the end of a whole answer from that of one whose sender has
// ended: the kernel closes the connections of a process that crashes in order.
func (e Ending) IsUnmarked() bool { return e.endsInOrder() && e.Framing == CloseDelimited }

// Why returns why an answer is not whole that ended without an error.
func (e Ending) Why() error {
	switch {
	case e.IsUnmarked():
		return ErrSenderEnded
	case e.RequestUnread && e.Framing == CloseDelimited:
		return ErrRequestUnread
	}
	return ErrInsideEvent
}

// Complete reports whether the answer is whole. One with an unmarked end is only if its sender lives.
func (e Ending) Complete() bool { return e.endsInOrder() && (e.SenderLives || !e.IsUnmarked()) }
