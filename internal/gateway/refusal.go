package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
)

const (
	// maxSkippedBytes and skipTime bound the body of a refused request that is read so that its connection can be kept.
	// Most bodies have arrived with their head.
	maxSkippedBytes = 256 << 10
	skipTime        = 100 * time.Millisecond
	// maxLingerBytes bounds what is read behind a refusal whose connection ends, and lingerTime the time until it is
	// closed: a connection that is closed with unread bytes is reset, and its caller may lose the refusal.
	maxLingerBytes = 1 << 20
	lingerTime     = 500 * time.Millisecond
)

// refuse answers a request whose body was not read. net/http would read on for as long as the caller sends, and answer
// then.
func (g *Gateway) refuse(w http.ResponseWriter, req *http.Request, meta forward.RequestMeta, snapshot *configSnapshot, e *errkind.Error) {
	if skipBody(w, req) {
		g.writeError(w, meta, snapshot, e)
		return
	}
	g.refuseInBody(w, req, meta, snapshot, e)
}

// skipBody reads the body if it has arrived, and reports whether it was read to its end. A body that waits for leave to
// be sent is left to net/http, which closes its connection.
func skipBody(w http.ResponseWriter, req *http.Request) bool {
	if req.ContentLength == 0 || req.Header.Get("Expect") != "" {
		return true
	}
	if req.ContentLength > maxSkippedBytes {
		return false
	}
	controller := http.NewResponseController(unwrapWriter(w))
	if err := controller.SetReadDeadline(time.Now().Add(skipTime)); err != nil {
		return false
	}
	if _, err := io.CopyN(io.Discard, req.Body, maxSkippedBytes+1); !errors.Is(err, io.EOF) {
		return false
	}
	return controller.SetReadDeadline(time.Time{}) == nil
}

// refuseInBody answers a request at once, reads on for a moment and closes its connection.
func (g *Gateway) refuseInBody(w http.ResponseWriter, req *http.Request, meta forward.RequestMeta, snapshot *configSnapshot, e *errkind.Error) {
	controller := http.NewResponseController(unwrapWriter(w))
	if controller.EnableFullDuplex() != nil { // net/http reads on first
		g.writeError(w, meta, snapshot, e)
		return
	}
	w.Header()["Connection"] = []string{"close"}
	g.writeError(w, meta, snapshot, e)
	end := time.Now().Add(lingerTime)
	if controller.Flush() != nil || controller.SetReadDeadline(end) != nil {
		return // the caller is gone
	}
	if _, err := io.CopyN(io.Discard, req.Body, maxLingerBytes); err == nil {
		time.Sleep(time.Until(end)) // the caller still sends, and what it sends stays unread
	}
}
