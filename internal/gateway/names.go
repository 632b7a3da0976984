package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
)

// Names are the headers of requests and answers, in canonical form. It implements
// Dialect.
type Names struct {
	// RequestID names a caller's attempt; workers repeat it in their answers.
	RequestID string
	// DeadlineMs is the time that the caller or the router still waits, in milliseconds.
	DeadlineMs string
	// Authorization carries the API key as a bearer token. It is not passed on.
	Authorization string
	// Customer is the customer's name, set by the router.
	Customer string
	// ExpectWorker is the ID of the only worker that may run the request, set by the router.
	ExpectWorker string
	Model        string
	// Tokens is the size of the prompt and the longest answer: "1460,80".
	Tokens string
	// Prompt lists the parts of the prompt in order: "5c1e:800,91bd:410", IDs in hexadecimal.
	Prompt      string
	Session     string
	LastEventID string
	// Urgency is the priority at the engine, 0 (first) to 9, set by the router.
	Urgency string
	// NotRun says in an answer that the worker did not run the request.
	NotRun string
	// Load is the worker's load in an answer: running, waiting, slots.
	Load string
	// Confidence is the model's opinion of its answer, 0 to 100.
	Confidence string
	// WorkerID is the ID of the worker that answers.
	WorkerID string
	// AnyModel is the value of Model that leaves the choice to the router.
	AnyModel string
	// Dropped are further headers that callers must not set.
	Dropped []string
}

// OwnNames are the product's own headers.
var OwnNames = &Names{
	RequestID: "X-Borageflow-Request", DeadlineMs: "X-Borageflow-Deadline-Ms", Authorization: "Authorization",
	Customer: "X-Borageflow-Customer", ExpectWorker: "X-Borageflow-Expect-Worker", Model: "X-Borageflow-Model",
	Tokens: "X-Borageflow-Tokens", Prompt: "X-Borageflow-Prompt", Session: "X-Borageflow-Session", LastEventID: "Last-Event-Id",
	Urgency: "X-Borageflow-Urgency", NotRun: "X-Borageflow-Not-Run", Load: "X-Borageflow-Load",
	Confidence: "X-Borageflow-Confidence", WorkerID: "X-Borageflow-Worker", AnyModel: "auto",
}

// Request reads what a caller's request says of itself. A field that cannot be read
// counts as absent: the worker gets it unchanged and judges it.
func (n *Names) Request(h http.Header) forward.Meta {
	m := forward.Meta{
		RequestID:   h.Get(n.RequestID),
		Model:       h.Get(n.Model),
		Session:     h.Get(n.Session),
		LastEventID: h.Get(n.LastEventID),
	}
	if ms, err := strconv.ParseFloat(h.Get(n.DeadlineMs), 64); err == nil && ms > 0 {
		m.Deadline = time.Duration(ms * float64(time.Millisecond))
	}
	if in, out, ok := strings.Cut(h.Get(n.Tokens), ","); ok {
		m.PromptTokens, _ = strconv.Atoi(strings.TrimSpace(in)) // an unreadable size counts as unknown
		m.MaxTokens, _ = strconv.Atoi(strings.TrimSpace(out))   // an unreadable size counts as unknown
	}
	m.Prompt = promptParts(h.Get(n.Prompt))
	return m
}

func promptParts(value string) []forward.PromptPart {
	if value == "" {
		return nil
	}
	fields := strings.Split(value, ",")
	parts := make([]forward.PromptPart, 0, len(fields))
	for _, field := range fields {
		id, tokens, _ := strings.Cut(strings.TrimSpace(field), ":")
		number, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			return parts
		}
		n, err := strconv.Atoi(tokens)
		if err != nil {
			return parts
		}
		parts = append(parts, forward.PromptPart{ID: number, Tokens: n})
	}
	return parts
}

// Key returns the API key of a request.
func (n *Names) Key(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get(n.Authorization), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// ChoosesModel reports whether the caller leaves the choice of the model to the router.
func (n *Names) ChoosesModel(m forward.Meta) bool { return m.Model == n.AnyModel }

// Forward sets on a request to a worker what the router adds, and drops what only the
// router may set. H is the caller's header without connection headers.
func (n *Names) Forward(h http.Header, f forward.Forwarded) {
	for _, name := range n.Dropped {
		delete(h, name)
	}
	for _, name := range []string{n.Authorization, n.Customer, n.ExpectWorker, n.Urgency} {
		delete(h, name)
	}
	h[n.ExpectWorker] = []string{f.Worker.ID}
	if f.Customer != "" {
		h[n.Customer] = []string{f.Customer}
	}
	if f.Remaining > 0 {
		h[n.DeadlineMs] = []string{strconv.FormatInt(max(f.Remaining.Milliseconds(), 1), 10)}
	}
	if f.Model != "" {
		h[n.Model] = []string{f.Model}
	}
	if f.LastEventID != "" {
		h[n.LastEventID] = []string{f.LastEventID}
	}
	if f.Urgency >= 0 {
		h[n.Urgency] = []string{strconv.Itoa(f.Urgency)}
	}
}

// Answer reads what the head of a worker's answer says beside its status.
func (n *Names) Answer(h http.Header) forward.AnswerMeta {
	a := forward.AnswerMeta{
		RequestID:  h.Get(n.RequestID),
		NotRun:     h.Get(n.NotRun) != "",
		WorkerID:   h.Get(n.WorkerID),
		Confidence: -1,
	}
	if n, err := strconv.Atoi(h.Get(n.Confidence)); err == nil {
		a.Confidence = n
	}
	if fields := strings.Split(h.Get(n.Load), ","); len(fields) == 3 {
		running, err1 := strconv.Atoi(strings.TrimSpace(fields[0]))
		waiting, err2 := strconv.Atoi(strings.TrimSpace(fields[1]))
		slots, err3 := strconv.Atoi(strings.TrimSpace(fields[2]))
		if err1 == nil && err2 == nil && err3 == nil {
			a.Load, a.HasLoad = forward.Load{Running: running, Waiting: waiting, Slots: slots}, true
		}
	}
	return a
}

// SetRequestID sets the ID of the request that an answer of the router belongs to.
func (n *Names) SetRequestID(h http.Header, id string) {
	if id != "" {
		h[n.RequestID] = []string{id}
	}
}
