package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// foreignAnswers are answers to the resumption of an event stream that do not continue it. %s is the request ID.
var foreignAnswers = map[string]string{
	"204":                               "HTTP/1.1 204 No Content\r\nX-Borageflow-Request: %s\r\n\r\n",
	"200, no body, no type":             "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nContent-Length: 0\r\n\r\n",
	"200, no chunks, no type":           "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"200, JSON":                         "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\n{}\n\n",
	"200, HTML":                         "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nContent-Type: text/html\r\nContent-Length: 6\r\n\r\nbusy\n\n",
	"202":                               "HTTP/1.1 202 Accepted\r\nX-Borageflow-Request: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
	"206, events":                       "HTTP/1.1 206 Partial Content\r\nX-Borageflow-Request: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: 3\n\n",
	"302":                               "HTTP/1.1 302 Found\r\nX-Borageflow-Request: %s\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
	"400":                               "HTTP/1.1 400 Bad Request\r\nX-Borageflow-Request: %s\r\nContent-Length: 5\r\n\r\nbad\n\n",
	"410":                               "HTTP/1.1 410 Gone\r\nX-Borageflow-Request: %s\r\nContent-Length: 6\r\n\r\ngone\n\n",
	"500, length":                       "HTTP/1.1 500 Internal Server Error\r\nX-Borageflow-Request: %s\r\nContent-Length: 6\r\n\r\nfail\n\n",
	"500, chunks, typed as a stream":    "HTTP/1.1 500 Internal Server Error\r\nX-Borageflow-Request: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 3\n\n\r\n0\r\n\r\n",
	"503 that does not say it is unrun": "HTTP/1.1 503 Busy\r\nX-Borageflow-Request: %s\r\nContent-Length: 0\r\n\r\n",
	"half a head":                       "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nContent-Ty",
	"half a status":                     "HTTP/1.1 20%.0s",
}

// Guards against a stream that is ended or extended by an answer to its resumption that does not continue it.
func TestForeignAnswerToResumptionIsNoEndOfStream(t *testing.T) {
	for name, answer := range foreignAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := func(_ int, c net.Conn, r receivedRequest) bool {
				if r.request.Header.Get("Last-Event-Id") != "" {
					fmt.Fprintf(c, answer, r.request.Header.Get(DefaultHeaderNames.RequestID))
					return !strings.HasPrefix(name, "half")
				}
				writeStreamHeader(c, r)
				writeChunk(c, formatEvent(1)+formatEvent(2))
				return false
			}
			gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script), startWorker(t, "w3", script))
			resp := gw.call("POST", "/stream/x", "prompt")
			assert.Equal(t, resp.status, http.StatusOK)
			assert.Assert(t, resp.err != nil, "the broken stream looks complete: %q", resp.body)
			assert.Equal(t, resp.body, formatEvent(1)+formatEvent(2))
		})
	}
}

// Guards against a stream that is given up although a further worker continues it.
func TestStreamContinuesBehindForeignAnswer(t *testing.T) {
	for name, answer := range foreignAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := make(chan struct{}, 10)
			script := func(_ int, c net.Conn, r receivedRequest) bool {
				runs <- struct{}{}
				switch len(runs) {
				case 1:
					writeStreamHeader(c, r)
					writeChunk(c, formatEvent(1)+formatEvent(2))
					return false
				case 2:
					fmt.Fprintf(c, answer, r.request.Header.Get(DefaultHeaderNames.RequestID))
					return !strings.HasPrefix(name, "half")
				}
				return writeBody(c, r, "chunks", formatEvent(3))
			}
			gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script), startWorker(t, "w3", script))
			resp := gw.call("POST", "/stream/x", "prompt")
			assert.NilError(t, resp.err)
			assert.Equal(t, resp.body, formatEvent(1)+formatEvent(2)+formatEvent(3))
			assert.Equal(t, resp.header.Get("X-Signature") != "", true)
		})
	}
}

// Guards against a stream that is cut although its worker had sent all events and only the end mark was lost.
func TestResumptionBehindLastEventEndsStream(t *testing.T) {
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		if r.request.Header.Get("Last-Event-Id") == "2" {
			return writeBody(c, r, "chunks", "")
		}
		writeStreamHeader(c, r)
		writeChunk(c, formatEvent(1)+formatEvent(2))
		return false
	}
	gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	resp := gw.call("POST", "/stream/x", "prompt")
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.body, formatEvent(1)+formatEvent(2))
}
