package gateway

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
)

// Dialect names the headers of requests and answers.
type Dialect interface {
	// Request reads what a caller's request says of itself.
	Request(h http.Header) forward.Meta
	// Key returns the API key of a request.
	Key(h http.Header) string
	// ChoosesModel reports whether the caller leaves the choice of the model to the router.
	ChoosesModel(m forward.Meta) bool
	// Forward sets what the router adds and drops what only the router may set.
	Forward(h http.Header, f forward.Forwarded)
	// Answer reads what the head of a worker's answer says beside its status.
	Answer(h http.Header) forward.AnswerMeta
	// SetRequestID names the request that an answer of the router belongs to.
	SetRequestID(h http.Header, id string)
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// noDeadline stands for requests without any time limit.
const noDeadline = 10 * time.Minute

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	started := time.Now()
	g.active.Add(1)
	defer g.active.Add(-1)
	meta := g.dialect.Request(req.Header)
	g.metrics.requests.Inc()
	if known, missing := g.core.informed(); !known {
		g.refuse(w, meta, &view{config: &forward.Config{}}, errkind.New(errkind.NotReady, missing).WithRetryAfter(retryLater))
		return
	}
	v := g.core.view.Load()
	now := elapsed()
	keys := g.core.keyView(v)
	route := v.routes.Match(req.Host, req.RequestURI)
	if route == nil {
		g.refuse(w, meta, v, g.noRoute(keys, now))
		return
	}
	if route.Kind == forward.Stream && g.tooLateForStream() {
		g.refuse(w, meta, v, errkind.New(errkind.Draining, "instance is leaving").WithRetryAfter(leaveRetry))
		return
	}
	key := g.dialect.Key(req.Header)
	customer, refusal := forward.Authorize(keys, route, key, now, g.core.keyAge())
	if refusal != nil {
		if refusal.Kind == errkind.StoreUnavailable {
			refusal = refusal.WithRetryAfter(retryLater)
		}
		g.refuse(w, meta, v, refusal)
		return
	}
	deadline := started.Add(limit(meta.Deadline, route.Timeout))
	body, refusal := readWithin(w, req, v.config.Limits, deadline)
	if refusal != nil {
		g.refuse(w, meta, v, refusal)
		return
	}
	r := &request{
		g: g, w: w, route: route, customer: customer, key: key, started: started, lastEvent: -1,
		call: call{
			method: req.Method, target: target(req), host: req.Host, header: endToEnd(req.Header), body: body,
			hasBody: req.ContentLength != 0, meta: meta,
		},
		deadline: deadline,
	}
	r.modelChosen = g.dialect.ChoosesModel(meta)
	r.service = route.PickService(g.core.uniform())
	refusal, outcome := r.serve(req.Context())
	r.logLine(v, refusal, outcome)
	g.metrics.ended(outcome, time.Since(started))
	if r.aborted || refusal != nil && (r.headSent || req.Context().Err() != nil) {
		panic(http.ErrAbortHandler) // ends the connection without the end of the answer
	}
	if refusal != nil {
		g.refuse(w, meta, nil, refusal)
	}
}

func (g *Gateway) noRoute(keys forward.KeyView, now time.Duration) *errkind.Error {
	if keys.Age(now) > g.core.keyAge() {
		return errkind.New(errkind.StoreUnavailable, "routes cannot be checked: the store has not answered recently").WithRetryAfter(retryLater)
	}
	return errkind.New(errkind.UnknownRoute, "no route for this host and path")
}

// limit is the time that a request may take.
func limit(deadline, timeout time.Duration) time.Duration {
	switch {
	case deadline == 0 && timeout == 0:
		return noDeadline
	case deadline == 0:
		return timeout
	case timeout == 0:
		return deadline
	}
	return min(deadline, timeout)
}

// target is the path and query as the caller sent them.
func target(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// readWithin checks the head and reads the body within the limits of the configuration and
// the time of the request.
func readWithin(w http.ResponseWriter, req *http.Request, limits forward.ClientLimits, deadline time.Time) ([]byte, *errkind.Error) {
	if limits.HeaderBytes > 0 && headBytes(req.Header) > limits.HeaderBytes {
		return nil, errkind.New(errkind.PayloadTooLarge, "head is larger than "+strconv.Itoa(limits.HeaderBytes)+" bytes")
	}
	if req.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return nil, errkind.New(errkind.Internal, "body cannot be bounded: "+err.Error())
	}
	body, refusal := readBody(w, req, limits.BodyBytes)
	if refusal != nil {
		return nil, refusal // the limit stays: net/http reads on after a refusal
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "connection ended after the body: "+err.Error())
	}
	return body, nil
}

// headBytes is the length of the header lines without the Host line, which net/http removes.
func headBytes(header http.Header) int {
	n := 0
	for name, values := range header {
		for _, value := range values {
			n += len(name) + len(": \r\n") + len(value)
		}
	}
	return n
}

func readBody(w http.ResponseWriter, req *http.Request, maxBytes int64) ([]byte, *errkind.Error) {
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	if req.ContentLength > maxBytes {
		return nil, errkind.New(errkind.PayloadTooLarge, "body is larger than "+strconv.FormatInt(maxBytes, 10)+" bytes")
	}
	var buf bytes.Buffer
	if req.ContentLength > 0 {
		buf.Grow(int(req.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(w, req.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.PayloadTooLarge, "body is larger than "+strconv.FormatInt(maxBytes, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errkind.New(errkind.InvalidRequest, "body did not end within the time limit")
	case err != nil && !errors.Is(err, io.EOF):
		return nil, errkind.New(errkind.InvalidRequest, "body ended early")
	}
	return buf.Bytes(), nil
}

// defaultBodyBytes applies when the configuration states no limit.
const defaultBodyBytes = 4 << 20

// refuse answers with an error of the closed list. A view is given when the request has
// no line in the log yet.
func (g *Gateway) refuse(w http.ResponseWriter, meta forward.Meta, v *view, e *errkind.Error) {
	answer := errkind.Lookup(e.Kind)
	h := w.Header()
	g.dialect.SetRequestID(h, meta.RequestID)
	if e.RetryAfter > 0 && answer.HTTPStatus == http.StatusServiceUnavailable {
		h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(e.RetryAfter.Seconds()*100)/100, 'f', -1, 64)}
	}
	g.closeWhenLeaving(w)
	g.metrics.refused(e.Kind)
	if v != nil {
		g.requestLog.Info("request is refused", zap.String("request", meta.RequestID), zap.String("kind", string(e.Kind)), zap.String("reason", e.Message),
			zap.Int64("config", v.config.Version), zap.Int64("config_age_ms", (elapsed()-time.Duration(g.core.confirmedAt.Load())).Milliseconds()))
	}
	http.Error(w, string(e.Kind)+": "+e.Message, answer.HTTPStatus)
}
