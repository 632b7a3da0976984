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
	"github.com/borageflow/borageflow/internal/framing"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeaders returns a copy of a header without the hop-by-hop headers and without those
// that its Connection header names.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range bytes.Split([]byte(value), []byte(",")) {
			delete(out, http.CanonicalHeaderKey(string(bytes.TrimSpace(name))))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// inboundRequest is a caller's request with its whole body.
type inboundRequest struct {
	method, target, host string
	header               http.Header // end to end
	body                 []byte
	hasBody              bool
	meta                 forward.RequestMeta
}

// encode writes the request line and the header for a worker, in HTTP/1.1 format, without the
// body.
func (r *inboundRequest) encode(buf *bytes.Buffer, codec HeaderCodec, meta forward.AttemptMeta) {
	buf.Reset()
	buf.WriteString(r.method)
	buf.WriteByte(' ')
	buf.WriteString(r.target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(r.host)
	buf.WriteString("\r\n")
	h := make(http.Header, len(r.header)+6)
	for name, values := range r.header {
		h[name] = values
	}
	codec.SetAttemptMeta(h, meta)
	if r.hasBody || len(r.body) > 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(r.body))}
	}
	_ = h.Write(buf) // writing to a bytes.Buffer returns no error
	buf.WriteString("\r\n")
}

// exchange is one attempt at a worker: the connection, the request written to it and the
// response.
type exchange struct {
	conn    *conn
	address string
	resp    *http.Response
	meta    forward.AnswerMeta
	// writeDone is closed when writing the request has ended. From then on writeOK reports
	// whether all of it was written.
	writeDone     chan struct{}
	writeOK       bool
	stopAfterFunc func() bool
	isDone        bool
	// onEnd is called when the answer is not awaited any more, if set.
	onEnd func()
	// hadOtherAnswer reports whether an answer to another request was skipped. Nobody knows what
	// else will come on the connection then, so that it is not used again.
	hadOtherAnswer bool
	// sentBytes is the length of the request. receivedBefore is the number of bytes that the connection had
	// received before, and receivedBytes the number received since, valid once the exchange is done.
	sentBytes, receivedBefore, receivedBytes int64
	// bodyStart is the number of bytes that the connection had received up to the body of the response.
	bodyStart int64
	// longestSilence is the longest wait for bytes of the answer, valid once the exchange is done.
	longestSilence time.Duration
}

// maxInlineWriteBytes is the largest request that is written before its response is read. It
// fits into the socket's send buffer, so that the write does not wait for the worker.
const maxInlineWriteBytes = 32 << 10

// errNotSent marks a failure before any byte of the request was written.
var errNotSent = eris.New("request was not sent to the worker")

// outboundRequest is a request to be written to a worker.
type outboundRequest struct {
	address, requestID string
	// maxIdle bounds the idle time of a connection that is used again.
	maxIdle    time.Duration
	head, body []byte
	// beforeWrite is called right before the request is written; it may cancel the context.
	beforeWrite func()
}

// sendRequest takes a connection from the pool or opens one and writes the request to it. Every
// error is errNotSent and proves that the worker received nothing of the request. A failed
// write is reported by writeOK instead.
func sendRequest(ctx context.Context, p *connPool, r outboundRequest) (*exchange, error) {
	c, err := p.get(ctx, r.address, r.requestID, r.maxIdle)
	if err != nil {
		return nil, eris.Wrap(errNotSent, err.Error())
	}
	r.beforeWrite()
	if ctx.Err() != nil {
		p.put(r.address, c)
		return nil, errNotSent
	}
	c.longestSilence = 0
	head, body := r.head, r.body
	e := &exchange{conn: c, address: r.address, writeDone: make(chan struct{}), sentBytes: int64(len(head) + len(body)), receivedBefore: c.received}
	e.stopAfterFunc = context.AfterFunc(ctx, func() { _ = c.Close() })
	if len(head)+len(body) <= maxInlineWriteBytes {
		_, err := c.Write(append(head, body...))
		e.writeOK = err == nil
		close(e.writeDone)
		return e, nil
	}
	head = bytes.Clone(head) // the caller reuses its buffer while this goroutine still writes
	go func() {
		defer close(e.writeDone)
		if _, err := c.Write(head); err != nil {
			return
		}
		_, err := c.Write(body)
		e.writeOK = err == nil
	}()
	return e, nil
}

const (
	// maxStaleResponses is how many responses to other requests are skipped, plus one, while
	// looking for the one to this request.
	maxStaleResponses = 3
	// maxInformationalResponses is how many responses of status 1xx are skipped, as in
	// net/http.
	maxInformationalResponses = 5
)

// errAnswerOfNoRequest is returned for an answer that names no request, on a connection whose earlier
// answers did. It may be a second copy of one of these.
var errAnswerOfNoRequest = eris.New("answer names no request, unlike earlier ones on the connection")

// readHeader reads the header of the response until the read deadline. Responses to other requests,
// which may arrive late on the same connection, are skipped.
func (e *exchange) readHeader(codec HeaderCodec, method, requestID string) error {
	for range maxStaleResponses {
		resp, err := e.readFinalResponse(method) //nolint:bodyclose // releaseConn or close handles the connection
		if err != nil {
			return err
		}
		meta := codec.ResponseMeta(resp.Header)
		if meta.RequestID != "" && meta.RequestID != requestID {
			e.hadOtherAnswer = true
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleResponseBytes)); err != nil {
				return eris.Wrap(err, "body of a late response to another request ended early")
			}
			continue
		}
		if meta.RequestID == "" && e.conn.namesRequests {
			return errAnswerOfNoRequest
		}
		e.conn.namesRequests = e.conn.namesRequests || meta.RequestID != ""
		e.resp, e.meta = resp, meta
		e.bodyStart = e.conn.received - int64(e.conn.br.Buffered())
		return nil
	}
	return eris.New("worker sent only responses to other requests")
}

// hasBody reports whether a part of the body has arrived. It may not have reached the reader yet: that of a chunked
// body passes on whole chunks only once it has all of what follows them.
func (e *exchange) hasBody() bool { return e.resp != nil && e.conn.received > e.bodyStart }

// readFinalResponse reads the header of the next response whose status is not 1xx. After any other status that is none
// of an answer, nobody knows where the next response begins.
func (e *exchange) readFinalResponse(method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	for range maxInformationalResponses + 1 {
		if err := e.conn.beginHead(); err != nil {
			return nil, eris.Wrap(err, "answer cannot be read")
		}
		resp, err := http.ReadResponse(e.conn.br, req)
		if err != nil {
			return nil, eris.Wrap(err, "answer cannot be read")
		}
		switch {
		case framing.IsFinal(resp.StatusCode):
			return resp, nil
		case !framing.IsInterim(resp.StatusCode):
			return nil, eris.Wrapf(framing.ErrNoStatus, "status %d", resp.StatusCode)
		}
	}
	return nil, eris.New("worker sent only informational responses")
}

// maxStaleResponseBytes bounds the body of a response to another request.
const maxStaleResponseBytes = 1 << 20

// releaseConn is called when the response has been read. It returns the connection to the pool
// if it can carry another request, and closes it otherwise.
func (e *exchange) releaseConn(p *connPool) {
	if e.isDone {
		return
	}
	e.end()
	select {
	case <-e.writeDone:
	default:
		// The worker responded before it had read the whole body. It still expects the rest
		// on this connection, so the connection cannot be used for another request.
		e.closeConn()
		return
	}
	if !e.stopAfterFunc() || !e.writeOK || e.resp == nil || e.resp.Close || e.hadOtherAnswer || framing.Of(e.resp) == framing.CloseDelimited {
		_ = e.conn.Close()
		return
	}
	if ka := e.resp.Header.Get("Keep-Alive"); ka != "" {
		e.conn.idleTimeout = parseIdleTimeout(ka)
	}
	_ = e.conn.SetDeadline(time.Time{}) // if the connection is closed, its next use fails
	p.put(e.address, e.conn)
}

// close closes the connection, which makes the worker stop processing the request.
func (e *exchange) close() {
	if e.isDone {
		return
	}
	e.end()
	e.closeConn()
}

// end records that the answer is not awaited any more.
func (e *exchange) end() {
	e.isDone = true
	e.receivedBytes, e.longestSilence = e.conn.received-e.receivedBefore, e.conn.longestSilence
	if e.onEnd != nil {
		e.onEnd()
	}
}

func (e *exchange) closeConn() {
	e.stopAfterFunc()
	_ = e.conn.Close()
}

// drainAndRelease reads the rest of a short response so that its connection can be reused.
func (e *exchange) drainAndRelease(p *connPool) {
	if e.resp.ContentLength < 0 || e.resp.ContentLength > maxDrainBytes {
		e.close()
		return
	}
	_ = e.conn.SetReadDeadline(time.Now().Add(maxDrainTime)) // if the connection is closed, the read fails
	if _, err := bytes.NewBuffer(nil).ReadFrom(e.resp.Body); err != nil {
		e.close()
		return
	}
	e.releaseConn(p)
}

// releaseRefusal reads the rest of a response that says that the request has not run. A second copy of it
// may follow on the connection. If it names its request, no other request takes it for its answer, and the
// connection does not carry this one again; otherwise the connection is closed.
func (e *exchange) releaseRefusal(p *connPool) {
	if e.meta.RequestID == "" || len(e.conn.refusedIDs) >= maxRefusedIDs {
		e.close()
		return
	}
	e.conn.refusedIDs = append(e.conn.refusedIDs, e.meta.RequestID)
	e.drainAndRelease(p)
}

// maxDrainBytes is the largest response that is read only to reuse its connection.
const maxDrainBytes = 16 << 10

// maxDrainTime is how long the next attempt waits for the rest of such a response.
const maxDrainTime = 100 * time.Millisecond
