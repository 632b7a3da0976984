package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

// Headers of the caller API.
const (
	HeaderClass       = "X-Borageflow-Class"
	HeaderSession     = "X-Borageflow-Session"
	HeaderDeadlineMs  = "X-Borageflow-Deadline-Ms"
	HeaderIdempotency = "Idempotency-Key"
	HeaderRequest     = "X-Borageflow-Request"
	HeaderVersion     = "X-Borageflow-Version"
	HeaderRunState    = "X-Borageflow-Run-State"
	HeaderCost        = "X-Borageflow-Cost"
	HeaderRepeated    = "X-Borageflow-Repeated"
)

const (
	// maxDeadlineMs is the longest deadline that a class may state, in milliseconds.
	maxDeadlineMs = 3_600_000
	// maxIdempotencyKey bounds an idempotency key, in bytes.
	maxIdempotencyKey = 256
)

// Backend takes a request to the core.
type Backend interface {
	// Submit hands a request over; false means that the ring is full. The caller
	// of Submit reads the answer from s.
	Submit(r entry.RequestArrived, s *Stream) bool
	// CallerGone says that nobody reads the answer of a request any more.
	CallerGone(request string)
	// Snapshot returns the manifest in force, or nil.
	Snapshot() *manifest.Snapshot
	// NewRequestID returns an identifier that is unique in the fleet.
	NewRequestID() string
}

// Options configure a Handler; 0 is not replaced by a default.
type Options struct {
	BodyBytes    int64
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
}

type handler struct {
	backend Backend
	options Options
}

// NewHandler returns the handler of the caller API.
func NewHandler(b Backend, o Options) http.Handler {
	h := &handler{backend: b, options: o}
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", h.chat).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", h.models).Methods(http.MethodGet)
	router.HandleFunc("/v1/services/{service}/{operation}", h.service).Methods(http.MethodPost)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.fail(w, "", invalidPath(r))
	})
	return h.withReadDeadline(router)
}

// withReadDeadline bounds the time to read a request. The server reads what is left
// of a body before it answers, so the bound is needed also where a request is
// refused without a look at its body; else a caller that sends no more would keep
// its connection for ever.
func (h *handler) withReadDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.options.ReadTimeout))
		next.ServeHTTP(w, r)
	})
}

func invalidPath(r *http.Request) error {
	return errkind.New(errkind.UnknownModel, "path "+r.URL.Path+" does not exist")
}

func (h *handler) chat(w http.ResponseWriter, r *http.Request) {
	id := h.backend.NewRequestID()
	arrived, body, err := h.read(w, r, id)
	if err != nil {
		h.fail(w, id, err)
		return
	}
	parsed, err := parseChat(body)
	if err != nil {
		h.fail(w, id, err)
		return
	}
	arrived.Kind = api.RunKindChat
	arrived.Model = parsed.Model
	arrived.Messages = parsed.messages()
	arrived.MaxTokens = parsed.maxTokens()
	arrived.Stream = parsed.Stream
	out := &chatWriter{
		w: w, control: http.NewResponseController(w), timeout: h.options.WriteTimeout,
		id: id, stream: parsed.Stream, includeUsage: parsed.StreamOptions.IncludeUsage,
	}
	h.run(r.Context(), w, arrived, out)
}

func (h *handler) service(w http.ResponseWriter, r *http.Request) {
	id := h.backend.NewRequestID()
	arrived, body, err := h.read(w, r, id)
	if err != nil {
		h.fail(w, id, err)
		return
	}
	if !json.Valid(body) {
		h.fail(w, id, invalid("body is not JSON"))
		return
	}
	vars := mux.Vars(r)
	arrived.Kind = api.RunKindService
	arrived.Service = vars["service"]
	arrived.Operation = vars["operation"]
	arrived.Body = body
	h.run(r.Context(), w, arrived, &serviceWriter{w: w, id: id})
}

// answerWriter writes the parts and the end of one answer.
type answerWriter interface {
	part(c chunk) error
	end(c chunk) error
}

// run submits a request and copies its answer until the end.
func (h *handler) run(ctx context.Context, w http.ResponseWriter, arrived entry.RequestArrived, out answerWriter) {
	stream := NewStream()
	if !h.backend.Submit(arrived, stream) {
		h.fail(w, arrived.Request, errkind.New(errkind.Overloaded, "entry is overloaded").WithRetryAfter(time.Second))
		return
	}
	for {
		c, err := stream.next(ctx)
		if err != nil {
			h.backend.CallerGone(arrived.Request)
			return
		}
		if c.answer == nil {
			err = out.part(c)
		} else {
			err = out.end(c)
		}
		if err != nil {
			h.backend.CallerGone(arrived.Request)
			return
		}
		if c.answer != nil {
			return
		}
	}
}

// read returns what all requests share: the fields of the header, and the body.
// The body is read only when the header is valid.
func (h *handler) read(w http.ResponseWriter, r *http.Request, id string) (entry.RequestArrived, []byte, error) {
	w.Header().Set(HeaderRequest, id)
	arrived, err := readHeader(r, id)
	if err != nil {
		return arrived, nil, err
	}
	body, err := h.body(w, r)
	return arrived, body, err
}

func readHeader(r *http.Request, id string) (entry.RequestArrived, error) {
	a := entry.RequestArrived{
		Request: id, Class: r.Header.Get(HeaderClass),
		Session: r.Header.Get(HeaderSession), IdempotencyKey: r.Header.Get(HeaderIdempotency),
	}
	key, err := bearerKey(r)
	if err != nil {
		return a, err
	}
	a.Key = key
	if len(a.IdempotencyKey) > maxIdempotencyKey {
		return a, invalid(fmt.Sprintf("header %s is longer than %d bytes", HeaderIdempotency, maxIdempotencyKey))
	}
	if raw := r.Header.Get(HeaderDeadlineMs); raw != "" {
		ms, err := strconv.Atoi(raw)
		if err != nil || ms < 1 || ms > maxDeadlineMs {
			return a, invalid(fmt.Sprintf("header %s must be a whole number from 1 to %d", HeaderDeadlineMs, maxDeadlineMs))
		}
		a.Deadline = time.Duration(ms) * time.Millisecond
	}
	return a, nil
}

// bearerKey returns the API key of a request.
func bearerKey(r *http.Request) (string, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", errkind.New(errkind.Unauthenticated, "header Authorization must be \"Bearer <key>\"")
	}
	return key, nil
}

// body reads the body and, when it is complete, ends the read deadline.
func (h *handler) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.options.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.PayloadTooLarge, "body exceeds "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "body cannot be read")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func (h *handler) models(w http.ResponseWriter, r *http.Request) {
	snapshot := h.backend.Snapshot()
	if snapshot == nil {
		h.fail(w, "", errkind.New(errkind.NotReady, "no manifest is in force yet").WithRetryAfter(time.Second))
		return
	}
	key, err := bearerKey(r)
	if err != nil {
		h.fail(w, "", err)
		return
	}
	customer, ok := snapshot.CustomerByKey(key)
	if !ok {
		h.fail(w, "", errkind.New(errkind.Unauthenticated, "API key is unknown"))
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

func (h *handler) fail(w http.ResponseWriter, id string, err error) { writeError(w, id, err) }

// writeError answers with the kind, the run state and the advised delay.
func writeError(w http.ResponseWriter, id string, err error) {
	e := errkind.From(err)
	answer := errkind.Lookup(e.Kind)
	w.Header().Set(HeaderRunState, string(e.RunState))
	if answer.Retry && e.RetryAfter > 0 {
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
