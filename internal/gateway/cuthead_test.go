package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutHeads are heads of answers that a worker breaks off. %s is the request ID.
var cutHeads = map[string]string{
	"length":      "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n",
	"chunks":      "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
	"connection":  "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
	"empty":       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Borageflow-Request: %s\r\n\r\n",
	"bare lines":  "HTTP/1.1 200 OK\nX-Borageflow-Request: %s\nContent-Length: 15\n\n",
	"HTTP/1.0":    "HTTP/1.0 200 OK\r\nX-Borageflow-Request: %s\r\n\r\n",
	"early hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nContent-Length: 15\r\n\r\n",
	"no content":  "HTTP/1.1 204 No Content\r\nX-Borageflow-Request: %s\r\n\r\n",
	"refusal":     "HTTP/1.1 503 Busy\r\nX-Borageflow-Not-Run: 1\r\nX-Borageflow-Request: %s\r\nContent-Length: 0\r\n\r\n",
}

// cutHeadWorker breaks off the heads of the attempts that cut names, and answers the others whole.
type cutHeadWorker struct {
	head  string
	at    int // the number of bytes that are sent
	reset bool
	pause time.Duration // before the last byte
	// cut decides whether the n-th attempt at the request is broken off.
	cut func(n int, r receivedRequest) bool

	mu       sync.Mutex
	attempts int
}

func (w *cutHeadWorker) script(_ int, c net.Conn, r receivedRequest) bool {
	id := r.request.Header.Get(DefaultHeaderNames.RequestID)
	if strings.HasPrefix(id, "warm") {
		writeResponse(c, r, 200, id)
		return true
	}
	w.mu.Lock()
	w.attempts++
	n := w.attempts
	w.mu.Unlock()
	if w.cut(n, r) {
		part := fmt.Sprintf(w.head, id)[:w.at]
		if w.pause > 0 && w.at > 0 {
			fmt.Fprint(c, part[:w.at-1])
			time.Sleep(w.pause)
			part = part[w.at-1:]
		}
		fmt.Fprint(c, part)
		if w.reset {
			_ = c.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // startWorker listens on TCP
		}
		return false
	}
	model := r.request.Header.Get(DefaultHeaderNames.Model)
	switch {
	case !strings.HasPrefix(r.request.URL.Path, "/stream") && !strings.HasPrefix(r.request.URL.Path, "/once"):
		writeResponse(c, r, 200, "whole")
	case model == "small":
		return writeBody(c, r, "length", smallAnswer, DefaultHeaderNames.Confidence+": 10")
	case r.request.Header.Get("Last-Event-Id") == "1":
		return writeBody(c, r, "length", formatEvent(2))
	case n == 1: // the first part of a stream whose continuation is cut
		writeStreamHeader(c, r)
		writeChunk(c, formatEvent(1))
		return false
	default:
		return writeBody(c, r, "length", formatEvent(1)+formatEvent(2))
	}
	return true
}

// Guards against an answer that broke off inside its head and looks whole, ends a stream or counts as a refusal.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	always := func(int, receivedRequest) bool { return true }
	kinds := map[string]struct {
		path, model string
		cut         func(n int, r receivedRequest) bool
		whole       string // the body that the caller gets, "" if no attempt is whole
	}{
		"safe":         {"/safe/x", "m", always, ""},
		"unsafe":       {"/unsafe/x", "m", always, ""},
		"once":         {"/once/x", "m", always, ""},
		"stream":       {"/stream/x", "m", always, ""},
		"continuation": {"/stream/x", "m", func(n int, _ receivedRequest) bool { return n > 1 }, ""},
		"first":        {"/stream/x", "m", func(n int, _ receivedRequest) bool { return n == 1 }, formatEvent(1) + formatEvent(2)},
		"larger":       {"/stream/x", "auto", func(_ int, r receivedRequest) bool { return r.request.Header.Get(DefaultHeaderNames.Model) != "small" }, smallAnswer},
	}
	for kind, k := range kinds {
		for headName, head := range cutHeads {
			for at := range len(fmt.Sprintf(head, "r-1")) {
				t.Run(fmt.Sprintf("%s, %s, byte %d", kind, headName, at), func(t *testing.T) {
					t.Parallel()
					w := &cutHeadWorker{head: head, at: at, reset: at%2 == 1, pause: time.Duration(at%3) * 2 * time.Millisecond, cut: k.cut}
					gw := startGateway(t, startWorker(t, "w1", w.script), startWorker(t, "w2", w.script))
					for n := range 2 { // so that connections are used again
						id := fmt.Sprint("warm-", n)
						assert.Equal(t, gw.call("POST", "/safe/x", "q", DefaultHeaderNames.RequestID, id).body, id)
					}
					resp := gw.call("POST", k.path, "q", DefaultHeaderNames.RequestID, "r-1", DefaultHeaderNames.Model, k.model)
					if k.whole != "" {
						assert.NilError(t, resp.err)
						assert.Equal(t, resp.body, k.whole)
						return
					}
					if kind == "continuation" {
						assert.Assert(t, resp.err != nil, "the broken stream looks complete")
						assert.Equal(t, resp.body, formatEvent(1))
						return
					}
					assert.Equal(t, resp.status, http.StatusBadGateway, "%q, %v", resp.body, resp.err)
				})
			}
		}
	}
}
