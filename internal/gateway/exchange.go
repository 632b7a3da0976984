package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/forward"
)

// connectionHeaders concern one connection only and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd copies a header without what concerns one connection.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range bytes.Split([]byte(value), []byte(",")) {
			delete(out, http.CanonicalHeaderKey(string(bytes.TrimSpace(name))))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}

// call is a caller's request, read whole.
type call struct {
	method, target, host string
	header               http.Header // end to end
	body                 []byte
	hasBody              bool
	meta                 forward.Meta
}

// encode writes the request for a worker.
func (c *call) encode(buf *bytes.Buffer, d Dialect, f forward.Forwarded) {
	buf.Reset()
	buf.WriteString(c.method)
	buf.WriteByte(' ')
	buf.WriteString(c.target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(c.host)
	buf.WriteString("\r\n")
	h := make(http.Header, len(c.header)+6)
	for name, values := range c.header {
		h[name] = values
	}
	d.Forward(h, f)
	if c.hasBody || len(c.body) > 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(c.body))}
	}
	_ = h.Write(buf) // a buffer does not fail
	buf.WriteString("\r\n")
}

// exchange is one attempt at a worker: a connection with the request written to it.
type exchange struct {
	conn    *conn
	address string
	resp    *http.Response
	meta    forward.AnswerMeta
	// written is closed when the request has been written or failed to be; intact is valid
	// from then on.
	written chan struct{}
	intact  bool
	stop    func() bool
	ended   bool
}

// inlineBytes is the largest request that is written before its answer is read. It fits
// into the socket's buffer, so that the write does not wait for the worker.
const inlineBytes = 32 << 10

// errUnsent marks a failure before any byte of the request was written.
var errUnsent = eris.New("request was not sent")

// send opens a connection and writes the request to it. An error that is errUnsent
// proves that the worker has nothing of the request.
func send(ctx context.Context, p *pool, address string, maxIdle time.Duration, head, body []byte) (*exchange, error) {
	c, err := p.get(ctx, address, maxIdle)
	if err != nil {
		return nil, eris.Wrap(errUnsent, err.Error())
	}
	if ctx.Err() != nil {
		p.put(address, c)
		return nil, errUnsent
	}
	e := &exchange{conn: c, address: address, written: make(chan struct{})}
	e.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if len(head)+len(body) <= inlineBytes {
		_, err := c.Write(append(head, body...))
		e.intact = err == nil
		close(e.written)
		return e, nil
	}
	head = bytes.Clone(head) // the caller uses its buffer again while this one is being written
	go func() {
		defer close(e.written)
		if _, err := c.Write(head); err != nil {
			return
		}
		_, err := c.Write(body)
		e.intact = err == nil
	}()
	return e, nil
}

// await waits for the first byte of the answer by a time.
func (e *exchange) await(by time.Time) error {
	if err := e.conn.SetReadDeadline(by); err != nil {
		return eris.Wrap(err, "connection is closed")
	}
	_, err := e.conn.br.Peek(1)
	return eris.Wrap(err, "answer does not begin")
}

// maxStrayAnswers bounds the answers to other requests that are skipped.
const maxStrayAnswers = 3

// readHead reads the head of the answer by a time. Answers to other requests, which may
// arrive late on the same connection, are skipped.
func (e *exchange) readHead(d Dialect, method, requestID string, by time.Time) error {
	if err := e.conn.SetReadDeadline(by); err != nil {
		return eris.Wrap(err, "connection is closed")
	}
	req := &http.Request{Method: method}
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(e.conn.br, req) //nolint:bodyclose // the connection is closed or kept as a whole
		if err != nil {
			return eris.Wrap(err, "answer cannot be read")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		meta := d.Answer(resp.Header)
		if meta.RequestID != "" && meta.RequestID != requestID {
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
				return eris.Wrap(err, "answer to another request ended early")
			}
			continue
		}
		e.resp, e.meta = resp, meta
		return nil
	}
	return eris.New("answers to other requests only")
}

// maxStrayBytes bounds an answer to another request.
const maxStrayBytes = 1 << 20

// finish keeps the connection for another request if its answer was read whole.
func (e *exchange) finish(p *pool) {
	if e.ended {
		return
	}
	e.ended = true
	select {
	case <-e.written:
	default:
		// The worker answered before it had read the whole body: the rest is due on this
		// connection, which cannot be used for anything else.
		e.abandonConn()
		return
	}
	if !e.stop() || !e.intact || e.resp == nil || e.resp.Close || e.resp.ContentLength < 0 && len(e.resp.TransferEncoding) == 0 {
		_ = e.conn.Close()
		return
	}
	if ka := e.resp.Header.Get("Keep-Alive"); ka != "" {
		e.conn.idle = idleTime(ka)
	}
	_ = e.conn.SetDeadline(time.Time{}) // a closed connection shows at the next use
	p.put(e.address, e.conn)
}

// abandon closes the connection, which ends the worker's work on the request.
func (e *exchange) abandon() {
	if e.ended {
		return
	}
	e.ended = true
	e.abandonConn()
}

func (e *exchange) abandonConn() {
	e.stop()
	_ = e.conn.Close()
}
