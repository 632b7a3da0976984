package gateway

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/news"
)

// HeaderCodec reads and writes the headers that a deployment uses on requests and responses.
type HeaderCodec interface {
	// RequestMeta reads the request ID, time limit, model, session, prompt sizes and stream
	// position from the header of a caller's request.
	RequestMeta(h http.Header) forward.RequestMeta
	// APIKey returns the API key of a request, or "" without one.
	APIKey(h http.Header) string
	// RouterPicksModel reports whether the caller leaves the choice of the model to the router.
	RouterPicksModel(m forward.RequestMeta) bool
	// SetAttemptMeta sets the headers that the router adds and removes those that only the
	// router may set.
	SetAttemptMeta(h http.Header, m forward.AttemptMeta)
	// ResponseMeta reads the request ID, worker ID, load and confidence from the header of a
	// worker's response.
	ResponseMeta(h http.Header) forward.AnswerMeta
	// SetRequestID sets the ID of the request that a response of the router answers.
	SetRequestID(h http.Header, id string)
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// defaultRequestTimeout applies when neither the caller nor the route sets a time limit.
const defaultRequestTimeout = 10 * time.Minute

// serveRequest forwards a caller's request to a worker.
func (g *Gateway) serveRequest(w http.ResponseWriter, req *http.Request) {
	started := time.Now()
	meta := g.headers.RequestMeta(req.Header)
	g.metrics.requests.Inc()
	if synced, reason := g.dispatcher.hasSynced(); !synced {
		if relayed, ok := g.store.(*news.RelayedStore); ok {
			relayed.ListNow()
		}
		g.refuse(w, req, meta, &configSnapshot{config: &forward.Config{}}, errkind.New(errkind.NotReady, reason).WithRetryAfter(defaultRetryAfter))
		return
	}
	snapshot := g.dispatcher.snapshot.Load()
	now := sinceBoot()
	confirmed := g.dispatcher.confirmedConfig(snapshot)
	route := snapshot.routes.Match(req.Host, req.RequestURI)
	if route == nil {
		g.refuse(w, req, meta, snapshot, withStoreRetryAfter(forward.RefuseUnknownRoute(confirmed, now, g.dispatcher.ageBounds())))
		return
	}
	timeLimit := requestTimeout(meta.TimeLimit, route.Timeout)
	if refusal := g.refuseWhileLeaving(route, timeLimit); refusal != nil {
		g.refuse(w, req, meta, snapshot, refusal)
		return
	}
	key := g.headers.APIKey(req.Header)
	customer, refusal := forward.Authorize(confirmed, route, key, now, g.dispatcher.ageBounds())
	if refusal != nil {
		g.refuse(w, req, meta, snapshot, withStoreRetryAfter(refusal))
		return
	}
	memory, refusal := g.overload.admit(route, timeLimit, req, snapshot.config.Limits)
	if refusal != nil {
		g.refuse(w, req, meta, snapshot, refusal)
		return
	}
	defer memory.release()
	deadline := started.Add(timeLimit)
	body, refusal := readLimitedBody(unwrapWriter(w), req, snapshot.config.Limits, deadline, memory)
	if refusal != nil {
		g.refuseInBody(w, req, meta, snapshot, refusal)
		return
	}
	r := &request{
		gateway: g, writer: w, route: route, customer: customer, apiKey: key, started: started, lastEventID: -1, urgency: -1,
		inbound: inboundRequest{
			method: req.Method, target: requestTarget(req), host: req.Host, header: endToEndHeaders(req.Header), body: body,
			hasBody: req.ContentLength != 0, meta: meta,
		},
		deadline: deadline,
	}
	r.routerPicksModel = g.headers.RouterPicksModel(meta)
	r.service = route.PickService(g.dispatcher.randomFloat())
	refusal, outcome := r.serve(req.Context())
	if refusal == nil && outcome == "answered" {
		g.dispatcher.recordDuration(route.Name, time.Since(started))
	}
	r.logEnd(snapshot, refusal, outcome)
	g.metrics.observeRequest(outcome, time.Since(started), r.sentAttempts > 0)
	if r.mustAbort(req.Context(), refusal, outcome) {
		panic(http.ErrAbortHandler) // closes the connection, so that the response does not look complete
	}
	if refusal != nil {
		g.writeError(w, meta, nil, refusal)
	}
}

// withStoreRetryAfter adds the advised pause to an error that ends once the store answers.
func withStoreRetryAfter(e *errkind.Error) *errkind.Error {
	if e.Kind == errkind.StoreUnavailable {
		return e.WithRetryAfter(defaultRetryAfter)
	}
	return e
}

// requestTimeout returns the lower of the caller's and the route's time limit, where 0 means
// no limit.
func requestTimeout(deadline, timeout time.Duration) time.Duration {
	switch {
	case deadline == 0 && timeout == 0:
		return defaultRequestTimeout
	case deadline == 0:
		return timeout
	case timeout == 0:
		return deadline
	}
	return min(deadline, timeout)
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// writeError responds with an error of a kind that package errkind lists. snapshot is nil when
// the request already has its line in the log.
func (g *Gateway) writeError(w http.ResponseWriter, meta forward.RequestMeta, snapshot *configSnapshot, e *errkind.Error) {
	entry := errkind.Lookup(e.Kind)
	h := w.Header()
	g.headers.SetRequestID(h, meta.RequestID)
	if e.RetryAfter > 0 && entry.HTTPStatus == http.StatusServiceUnavailable {
		h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(e.RetryAfter.Seconds()*100)/100, 'f', -1, 64)}
	}
	g.closeConnWhenDraining(w)
	g.metrics.countRefusal(e.Kind)
	if snapshot != nil {
		g.requestLog.Info("request is refused", zap.String("request", meta.RequestID), zap.String("kind", string(e.Kind)), zap.String("reason", e.Message),
			zap.Int64("config", snapshot.config.Version), zap.Int64("config_age_ms", (sinceBoot()-time.Duration(g.dispatcher.confirmedAt.Load())).Milliseconds()))
	}
	text := string(e.Kind) + ": " + e.Message + "\n"
	h["Content-Type"], h["X-Content-Type-Options"] = []string{"text/plain; charset=utf-8"}, []string{"nosniff"}
	h["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(entry.HTTPStatus)
	_, _ = io.WriteString(w, text) // fails only if the caller is gone
}
