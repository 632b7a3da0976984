package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/intake"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/netpeek"
	"github.com/borageflow/borageflow/internal/overload"
)

// HTTP headers of the caller API: those that a caller may send, and those of the
// response.
const (
	HeaderClass          = "X-Borageflow-Class"
	HeaderSession        = "X-Borageflow-Session"
	HeaderDeadlineMs     = "X-Borageflow-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Borageflow-Request"
	HeaderVersion        = "X-Borageflow-Version"
	HeaderRunState       = "X-Borageflow-Run-State"
	HeaderCost           = "X-Borageflow-Cost"
	HeaderRepeated       = "X-Borageflow-Repeated"
)

const (
	// maxDeadlineMs is the largest accepted value of HeaderDeadlineMs, in
	// milliseconds. It equals the longest deadline that a class may have.
	maxDeadlineMs          = 3_600_000
	maxIdempotencyKeyBytes = 256
)

// Backend routes the requests that the handler accepts. The entry implements it.
type Backend interface {
	// Submit queues a request, whose answer is written to s. It returns false when
	// the event queue of the entry is full.
	Submit(r entry.RequestArrived, s *Stream) bool
	// CallerDisconnected reports that the caller of a request has disconnected and will not
	// read the rest of the answer.
	CallerDisconnected(request string)
	// Snapshot returns the manifest in force, or nil before the first one.
	Snapshot() *manifest.Snapshot
	// NewRequestID returns a request identifier that is unique among all entries.
	NewRequestID() string
}

// Options configure the handler of the caller API. Zero values are used as they
// are, not replaced by defaults.
type Options struct {
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64
	// Memory grants the memory of requests; nil bounds nothing.
	Memory Memory
	// ReadTimeout bounds the time to read a request.
	ReadTimeout time.Duration
	// WriteTimeout bounds one write of a chat stream.
	WriteTimeout time.Duration
}

type handler struct {
	backend Backend
	options Options
}

// NewHandler returns the HTTP handler of the caller API. It submits requests to b
// and answers errors with their kind and run state.
func NewHandler(b Backend, o Options) http.Handler {
	h := &handler{backend: b, options: o}
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", h.serveChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", h.serveModels).Methods(http.MethodGet)
	router.HandleFunc("/v1/services/{service}/{operation}", h.serveService).Methods(http.MethodPost)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.writeError(w, "", pathError(r))
	})
	return h.withReadDeadline(router)
}

// withReadDeadline bounds the time to read a request. It also covers requests that
// are refused before their body is read: the HTTP server reads the rest of a body
// before it answers, so a caller that stops sending would keep its connection
// forever.
func (h *handler) withReadDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.options.ReadTimeout))
		next.ServeHTTP(w, r)
	})
}

func pathError(r *http.Request) error {
	return errkind.New(errkind.UnknownModel, "path "+r.URL.Path+" does not exist")
}

func (h *handler) serveChat(w http.ResponseWriter, r *http.Request) {
	id := h.backend.NewRequestID()
	arrived, body, memory, err := h.readRequest(w, r, id)
	defer memory.Release()
	if err != nil {
		h.writeError(w, id, err)
		return
	}
	parsed, err := parseChat(body)
	if err != nil {
		h.writeError(w, id, err)
		return
	}
	arrived.Kind = api.RunKindChat
	arrived.Model = parsed.Model
	arrived.Messages = parsed.messages()
	arrived.MaxTokens = parsed.maxTokens()
	arrived.Stream = parsed.Stream
	out := &chatWriter{
		response: w, controller: http.NewResponseController(w), writeTimeout: h.options.WriteTimeout,
		requestID: id, streaming: parsed.Stream, includeUsage: parsed.StreamOptions.IncludeUsage,
	}
	h.submitAndCopy(r.Context(), w, arrived, out)
}

func (h *handler) serveService(w http.ResponseWriter, r *http.Request) {
	id := h.backend.NewRequestID()
	arrived, body, memory, err := h.readRequest(w, r, id)
	defer memory.Release()
	if err != nil {
		h.writeError(w, id, err)
		return
	}
	if !json.Valid(body) {
		h.writeError(w, id, invalidRequest("request body is not valid JSON"))
		return
	}
	vars := mux.Vars(r)
	arrived.Kind = api.RunKindService
	arrived.Service = vars["service"]
	arrived.Operation = vars["operation"]
	arrived.Body = body
	h.submitAndCopy(r.Context(), w, arrived, &serviceWriter{response: w, requestID: id})
}

// answerWriter writes one answer as an HTTP response.
//
// writeUpdate is called for each update before the last, and writeEnd for the last,
// whose field final is set. An error means that the caller no longer reads.
type answerWriter interface {
	writeUpdate(update streamUpdate) error
	writeEnd(update streamUpdate) error
}

// submitAndCopy submits a request, unless its caller has left, and copies its answer to out until it
// ends. It notifies the backend when the caller disconnects or a write fails.
func (h *handler) submitAndCopy(ctx context.Context, w http.ResponseWriter, arrived entry.RequestArrived, out answerWriter) {
	if netpeek.CallerLeft(ctx) {
		panic(http.ErrAbortHandler) // nobody receives an answer
	}
	stream := NewStream()
	if !h.backend.Submit(arrived, stream) {
		h.writeError(w, arrived.Request, errkind.New(errkind.Overloaded, "entry is overloaded").WithRetryAfter(time.Second))
		return
	}
	for {
		update, err := stream.next(ctx)
		if err != nil {
			h.backend.CallerDisconnected(arrived.Request)
			return
		}
		if update.final == nil {
			err = out.writeUpdate(update)
		} else {
			err = out.writeEnd(update)
		}
		if err != nil {
			h.backend.CallerDisconnected(arrived.Request)
			return
		}
		if update.final != nil {
			return
		}
	}
}

// readRequest parses the HTTP headers and then reads the body. A request with
// invalid headers is refused without reading its body. The memory is returned with
// any outcome, and released at the end of the answer.
func (h *handler) readRequest(w http.ResponseWriter, r *http.Request, id string) (entry.RequestArrived, []byte, Reservation, error) {
	w.Header().Set(HeaderRequestID, id)
	arrived, err := parseHeader(r, id)
	if err != nil {
		return arrived, nil, unbounded{}, err
	}
	memory, refusal := h.admit(r)
	if refusal != nil {
		return arrived, nil, unbounded{}, refusal
	}
	body, err := h.readBody(w, r, memory)
	return arrived, body, memory, err
}

func parseHeader(r *http.Request, id string) (entry.RequestArrived, error) {
	a := entry.RequestArrived{
		Request: id, Class: r.Header.Get(HeaderClass),
		Session: r.Header.Get(HeaderSession), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	key, err := apiKey(r)
	if err != nil {
		return a, err
	}
	a.APIKey = key
	if len(a.IdempotencyKey) > maxIdempotencyKeyBytes {
		return a, invalidRequest(fmt.Sprintf("header %s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes))
	}
	if raw := r.Header.Get(HeaderDeadlineMs); raw != "" {
		ms, err := strconv.Atoi(raw)
		if err != nil || ms < 1 || ms > maxDeadlineMs {
			return a, invalidRequest(fmt.Sprintf("header %s must be a whole number from 1 to %d", HeaderDeadlineMs, maxDeadlineMs))
		}
		a.Timeout = time.Duration(ms) * time.Millisecond
	}
	return a, nil
}

// apiKey returns the API key in the Authorization header of a request.
func apiKey(r *http.Request) (string, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", errkind.New(errkind.Unauthenticated, "header Authorization must be \"Bearer <key>\"")
	}
	return key, nil
}

// readBody reads the body and clears the read deadline when the body is complete.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, memory Reservation) ([]byte, error) {
	longest := h.options.MaxBodyBytes
	tooLong := errkind.New(errkind.PayloadTooLarge, "request body exceeds "+strconv.FormatInt(longest, 10)+" bytes")
	if r.ContentLength > longest {
		return nil, tooLong
	}
	limited := http.MaxBytesReader(w, r.Body, longest)
	if r.ContentLength >= 0 {
		longest = r.ContentLength
	}
	body, err := intake.ReadBody(limited, longest, func(n int) bool { return memory.Extend(bodyCopies * n) })
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, tooLong
	case errors.Is(err, intake.ErrNoBodyMemory):
		return nil, errkind.New(errkind.Overloaded, "instance has no memory for the rest of the body").WithRetryAfter(overload.MaxRetryAfter)
	case err != nil:
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "request body cannot be read")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func (h *handler) serveModels(w http.ResponseWriter, r *http.Request) {
	snapshot := h.backend.Snapshot()
	if snapshot == nil {
		h.writeError(w, "", errkind.New(errkind.NotReady, "no manifest is in force yet").WithRetryAfter(time.Second))
		return
	}
	key, err := apiKey(r)
	if err != nil {
		h.writeError(w, "", err)
		return
	}
	customer, ok := snapshot.CustomerByKey(key)
	if !ok {
		h.writeError(w, "", errkind.New(errkind.Unauthenticated, "API key is unknown"))
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range snapshot.Manifest.Models {
		for _, v := range model.Versions {
			if v.Phase != api.PhaseWithdrawn && snapshot.AllowsVersion(customer.Name, v.Name) {
				list.Data = append(list.Data, modelItem{ID: v.Name, Object: "model", OwnedBy: model.Name})
			}
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *handler) writeError(w http.ResponseWriter, id string, err error) { writeError(w, id, err) }

// writeError answers with the error kind and run state of err, and with its retry
// delay where the kind allows a retry. An empty id means that the request has none.
func writeError(w http.ResponseWriter, id string, err error) {
	e := errkind.FromError(err)
	answer := errkind.Lookup(e.Kind)
	w.Header().Set(HeaderRunState, string(e.RunState))
	if answer.IsRetryable && e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds()))
	}
	writeJSON(w, answer.HTTPStatus, newErrorBody(id, e))
}

func newErrorBody(id string, e *errkind.Error) errorBody {
	return errorBody{Error: errorDetail{
		Message: e.Message, Type: string(e.Kind), Code: string(e.Kind), Kind: e.Kind,
		RunState: e.RunState, Request: id, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
