package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// receivedRequest is a request that a worker received.
type receivedRequest struct {
	request *http.Request
	body    string
}

// testWorker answers each request with what its script writes to the connection. If the script
// returns false, the worker closes the connection.
type testWorker struct {
	id       string
	listener net.Listener
	mu       sync.Mutex
	script   func(n int, c net.Conn, r receivedRequest) bool
	received []receivedRequest
	closed   chan struct{} // receives one value for each connection that the gateway closed
}

func startWorker(t testing.TB, id string, script func(n int, c net.Conn, r receivedRequest) bool) *testWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &testWorker{id: id, listener: listener, script: script, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w
}

func (w *testWorker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.closed <- struct{}{}
	}()
	br := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		w.mu.Lock()
		r := receivedRequest{request, string(body)}
		w.received = append(w.received, r)
		n := len(w.received)
		script := w.script
		w.mu.Unlock()
		if !script(n, c, r) {
			return
		}
	}
}

func (w *testWorker) requests() []receivedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]receivedRequest(nil), w.received...)
}

func (w *testWorker) worker() forward.Worker {
	return forward.Worker{ID: w.id, Service: "svc", Address: w.listener.Addr().String(), FailureDomain: "a", Version: "v1", Slots: 8}
}

// writeResponse writes a response with a Content-Length.
func writeResponse(c net.Conn, r receivedRequest, status int, body string, headers ...string) {
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Borageflow-Request: %s\r\nX-Signature: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.request.Header.Get(DefaultHeaderNames.RequestID), r.request.Header.Get(DefaultHeaderNames.ExpectWorker), extra, len(body), body)
}

// writeStreamHeader writes the header of a chunked event stream.
func writeStreamHeader(c net.Conn, r receivedRequest, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nX-Signature: %s\r\nContent-Type: text/event-stream\r\n%sTransfer-Encoding: chunked\r\n\r\n",
		r.request.Header.Get(DefaultHeaderNames.RequestID), r.request.Header.Get(DefaultHeaderNames.ExpectWorker), strings.Join(append(headers, ""), "\r\n"))
}

// writeChunk writes one chunk of a chunked body.
func writeChunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// formatEvent returns an event whose data is its ID.
func formatEvent(id int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", id, id) }
