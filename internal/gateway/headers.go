package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
)

// HeaderNames holds the names of the headers on requests and responses, in canonical form. It
// implements HeaderCodec.
type HeaderNames struct {
	// RequestID identifies a caller's attempt. Workers repeat it in their responses.
	RequestID string
	// DeadlineMs is how long the caller or the router still waits, in milliseconds.
	DeadlineMs string
	// Authorization carries the API key as a bearer token. It is not forwarded.
	Authorization string
	// Customer is the name of the customer. The router sets it.
	Customer string
	// ExpectWorker is the ID of the only worker that may run the request. The router sets it.
	ExpectWorker string
	Model        string
	// Tokens is the number of tokens of the prompt and of the longest response: "1460,80".
	Tokens string
	// Prompt lists the parts of the prompt in order, as ID in hexadecimal and number of tokens:
	// "5c1e:800,91bd:410".
	Prompt      string
	Session     string
	LastEventID string
	// Urgency is the priority at the engine, 0 (first) to 9. The router sets it.
	Urgency string
	// NotRun states in a response that the worker did not run the request.
	NotRun string
	// Load is the load of the worker in a response: running, waiting, slots. A fourth number, which
	// may be missing, states how long work takes there at the moment; 100 means as usual.
	Load string
	// RateLimit is the number of requests a second, a decimal number, that the worker takes from
	// all gateways together.
	RateLimit string
	// Leaving is 1 in the responses of a worker that leaves.
	Leaving string
	// Confidence is the confidence of the model in its response, 0 to 100.
	Confidence string
	// WorkerID is the ID of the worker that responds.
	WorkerID string
	// AnyModel is the value of Model that leaves the choice to the router.
	AnyModel string
	// Reserved lists further headers that callers must not set. The router removes them.
	Reserved []string
}

// DefaultHeaderNames holds the default header names of this router.
var DefaultHeaderNames = &HeaderNames{
	RequestID: "X-Borageflow-Request", DeadlineMs: "X-Borageflow-Deadline-Ms", Authorization: "Authorization",
	Customer: "X-Borageflow-Customer", ExpectWorker: "X-Borageflow-Expect-Worker", Model: "X-Borageflow-Model",
	Tokens: "X-Borageflow-Tokens", Prompt: "X-Borageflow-Prompt", Session: "X-Borageflow-Session", LastEventID: "Last-Event-Id",
	Urgency: "X-Borageflow-Urgency", NotRun: "X-Borageflow-Not-Run", Load: "X-Borageflow-Load",
	RateLimit: "X-Borageflow-Rate-Limit", Leaving: "X-Borageflow-Leaving",
	Confidence: "X-Borageflow-Confidence", WorkerID: "X-Borageflow-Worker", AnyModel: "auto",
}

// RequestMeta reads the metadata of a caller's request from its header. A field that cannot be
// parsed counts as absent: the worker receives it unchanged and can reject it.
func (n *HeaderNames) RequestMeta(h http.Header) forward.RequestMeta {
	m := forward.RequestMeta{
		RequestID:   h.Get(n.RequestID),
		Model:       h.Get(n.Model),
		Session:     h.Get(n.Session),
		LastEventID: h.Get(n.LastEventID),
	}
	if ms, err := strconv.ParseFloat(h.Get(n.DeadlineMs), 64); err == nil && ms > 0 {
		m.TimeLimit = time.Duration(math.Min(ms, maxTimeLimitMs) * float64(time.Millisecond))
	}
	if in, out, ok := strings.Cut(h.Get(n.Tokens), ","); ok {
		m.PromptTokens, _ = strconv.Atoi(strings.TrimSpace(in)) // a size that cannot be parsed counts as unknown
		m.MaxTokens, _ = strconv.Atoi(strings.TrimSpace(out))   // a size that cannot be parsed counts as unknown
	}
	m.Prompt = parsePromptParts(h.Get(n.Prompt))
	return m
}

// maxTimeLimitMs bounds the time limit that a caller states. More than a duration holds is negative on some processors.
const maxTimeLimitMs = 24 * 60 * 60 * 1000

// parsePromptParts parses the value of the Prompt header. At the first part that cannot be
// parsed it returns the parts before it.
func parsePromptParts(value string) []forward.PromptPart {
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
		if err != nil || n < 0 || n > maxPartTokens {
			return parts
		}
		parts = append(parts, forward.PromptPart{ID: number, Tokens: n})
	}
	return parts
}

// maxPartTokens bounds the stated length of a part of a prompt. It is more than an engine holds; a caller that
// states more would spoil the loads and times that are learned from its request.
const maxPartTokens = 1 << 20

// APIKey returns the API key of a request, or "" if it carries no bearer token.
func (n *HeaderNames) APIKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get(n.Authorization), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// RouterPicksModel reports whether the caller leaves the choice of the model to the router.
func (n *HeaderNames) RouterPicksModel(m forward.RequestMeta) bool { return m.Model == n.AnyModel }

// SetAttemptMeta sets the headers that the router adds to a request for a worker and removes
// those that only the router may set. h is the caller's header without hop-by-hop headers.
func (n *HeaderNames) SetAttemptMeta(h http.Header, m forward.AttemptMeta) {
	for _, name := range n.Reserved {
		delete(h, name)
	}
	for _, name := range []string{n.Authorization, n.Customer, n.ExpectWorker, n.Urgency} {
		delete(h, name)
	}
	h[n.ExpectWorker] = []string{m.Worker.ID}
	if m.Customer != "" {
		h[n.Customer] = []string{m.Customer}
	}
	if m.Remaining > 0 {
		h[n.DeadlineMs] = []string{strconv.FormatInt(max(m.Remaining.Milliseconds(), 1), 10)}
	}
	if m.Model != "" {
		h[n.Model] = []string{m.Model}
	}
	if m.LastEventID != "" {
		h[n.LastEventID] = []string{m.LastEventID}
	}
	if m.Urgency >= 0 {
		h[n.Urgency] = []string{strconv.Itoa(m.Urgency)}
	}
}

// ResponseMeta reads the metadata of a worker's response from its header. Confidence is -1 if
// it is missing or cannot be parsed.
func (n *HeaderNames) ResponseMeta(h http.Header) forward.AnswerMeta {
	a := forward.AnswerMeta{
		RequestID:  h.Get(n.RequestID),
		NotRun:     h.Get(n.NotRun) != "",
		WorkerID:   h.Get(n.WorkerID),
		Confidence: -1,
	}
	if n, err := strconv.Atoi(h.Get(n.Confidence)); err == nil {
		a.Confidence = n
	}
	if seconds, ok := parseNumber(h.Get("Retry-After")); ok {
		a.RetryAfter, a.HasRetryAfter = time.Duration(math.Min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), true
	}
	a.Leaving = h.Get(n.Leaving) == "1"
	a.RateLimit, a.HasRateLimit = parseNumber(h.Get(n.RateLimit))
	a.Load, a.HasLoad = parseLoad(h.Get(n.Load))
	return a
}

// usualPace is the pace that a worker states while work takes as long as usual.
const usualPace = 100

// parseLoad parses the value of the Load header. A fourth field that is no positive number makes the
// whole value malformed, as any other field does.
func parseLoad(value string) (forward.Load, bool) {
	fields := strings.Split(value, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return forward.Load{}, false
	}
	var counts [3]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil {
			return forward.Load{}, false
		}
		counts[i] = n
	}
	load := forward.Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(fields) == 4 {
		pace, ok := parseNumber(strings.TrimSpace(fields[3]))
		if !ok || pace == 0 {
			return forward.Load{}, false
		}
		load.Pace = pace / usualPace
	}
	return load, true
}

// maxRetryAfter bounds the time for which a worker can ask for no requests.
const maxRetryAfter = time.Hour

// parseNumber parses a number that is neither negative nor infinite. Any other value counts as
// absent.
func parseNumber(value string) (float64, bool) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0, false
	}
	return number, true
}

// SetRequestID sets the ID of the request that a response of the router answers.
func (n *HeaderNames) SetRequestID(h http.Header, id string) {
	if id != "" {
		h[n.RequestID] = []string{id}
	}
}
