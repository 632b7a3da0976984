package gateway

import (
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
)

// protect calls f and reports whether it returned. A panic in one duty, request or message is logged and
// counted and ends that one alone: a process that ended by it would meet the same input again.
func (g *Gateway) protect(duty string, f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			g.recordPanic(duty, p)
		}
	}()
	f()
	return true
}

// recordPanic logs and counts a panic. It must be called by the function that recovered it, so that the
// stack is that of the cause.
func (g *Gateway) recordPanic(duty string, value any) {
	g.log.Error("unexpected error is contained", zap.String("duty", duty), zap.Any("panic", value), zap.Stack("stack"))
	g.metrics.countPanic(duty)
}

// errUnexpected is the error of an answer whose reader ended by a panic.
var errUnexpected = eris.New("answer cannot be read: unexpected error")

// ServeHTTP forwards a caller's request to a worker. It implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	out := &trackedWriter{ResponseWriter: w}
	defer func() {
		p := recover()
		if err, ok := p.(error); p == nil || ok && errors.Is(err, http.ErrAbortHandler) {
			if p != nil {
				panic(p)
			}
			return
		}
		g.recordPanic("request", p)
		if out.isBegun {
			panic(http.ErrAbortHandler) // the answer must not look complete
		}
		g.writeError(w, forward.RequestMeta{}, nil, errkind.New(errkind.Internal, "unexpected error, see the log of the instance"))
	}()
	g.serveRequest(out, req)
}

// trackedWriter knows whether an answer has begun.
type trackedWriter struct {
	http.ResponseWriter
	isBegun bool
}

// unwrapWriter returns the writer of net/http, which closes the connection behind a body that is too large.
func unwrapWriter(w http.ResponseWriter) http.ResponseWriter {
	if t, ok := w.(*trackedWriter); ok {
		return t.ResponseWriter
	}
	return w
}

// Unwrap returns the writer for http.ResponseController.
func (t *trackedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (t *trackedWriter) WriteHeader(status int) {
	t.isBegun = true
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *trackedWriter) Write(p []byte) (int, error) {
	t.isBegun = true
	return t.ResponseWriter.Write(p)
}
