// Package engine reaches the backend server beside a sidecar: a model engine or
// a plain service.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

const (
	maxEventBytes  = 1 << 20
	maxAnswerBytes = 4 << 20
	controlTimeout = time.Second
	// maxTrailingBytes bounds what is read after the end of an answer.
	maxTrailingBytes = 1024
)

// Generate is the body of POST /v1/generate.
type Generate struct {
	Request    string            `json:"request"`
	Attempt    int               `json:"attempt"`
	Version    string            `json:"version"`
	Customer   string            `json:"customer"`
	Messages   []api.ChatMessage `json:"messages"`
	MaxTokens  int               `json:"maxTokens"`
	Priority   int               `json:"priority"`
	Offset     int               `json:"offset"`
	DeadlineMs int               `json:"deadlineMs"`
}

// Token is one generated token.
type Token struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// Index counts the tokens of the whole answer from 0.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// End is the last event of an answer.
type End struct {
	Request      string  `json:"request"`
	Attempt      int     `json:"attempt"`
	InputTokens  int     `json:"inputTokens"`
	CachedTokens int     `json:"cachedTokens"`
	OutputTokens int     `json:"outputTokens"`
	FinishReason string  `json:"finishReason"`
	Confidence   float64 `json:"confidence"`
}

// Client reaches one backend server.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the backend server at url.
func NewClient(url string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: controlTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}
	return &Client{url: url, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Generate streams an answer and calls onToken for each new token. Repeated
// tokens are dropped; an event of another request, a gap or a missing end is an
// error.
func (c *Client) Generate(ctx context.Context, g Generate, onToken func(Token)) (End, error) {
	resp, err := c.post(ctx, "/v1/generate", g, nil)
	if err != nil {
		return End{}, err
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	if err := statusError(resp); err != nil {
		return End{}, err
	}
	reader := answerReader{generate: g, next: g.Offset, onToken: onToken}
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return End{}, errkind.Wrap(err, errkind.Truncated, "engine answer was cut").WithRunState(api.RunStateRan)
		}
		done, err := reader.event(event)
		if err != nil {
			return End{}, err
		}
		if done {
			// The connection is used again only when its body was read to the end.
			_, _ = io.CopyN(io.Discard, resp.Body, maxTrailingBytes)
			return reader.end, nil
		}
	}
	return End{}, errkind.New(errkind.Truncated, "engine answer has no end")
}

// answerReader checks the order and the owner of the events of one answer.
type answerReader struct {
	generate Generate
	next     int
	onToken  func(Token)
	end      End
}

func (r *answerReader) event(event sse.Event) (bool, error) {
	switch event.Type {
	case "token":
		return false, r.token(event.Data)
	case "end":
		return true, r.finish(event.Data)
	default:
		return false, nil
	}
}

func (r *answerReader) token(data string) error {
	var t Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return brokenAnswer(err, "engine token is not valid JSON")
	}
	if t.Request != r.generate.Request || t.Attempt != r.generate.Attempt {
		return brokenAnswer(nil, fmt.Sprintf("engine sent a token of request %q", t.Request))
	}
	if t.Index < r.next {
		return nil
	}
	if t.Index > r.next {
		return brokenAnswer(nil, fmt.Sprintf("engine skipped tokens %d to %d", r.next, t.Index-1))
	}
	r.next++
	r.onToken(t)
	return nil
}

func (r *answerReader) finish(data string) error {
	if err := json.Unmarshal([]byte(data), &r.end); err != nil {
		return brokenAnswer(err, "engine end is not valid JSON")
	}
	if r.end.Request != r.generate.Request || r.end.Attempt != r.generate.Attempt {
		return brokenAnswer(nil, fmt.Sprintf("engine sent the end of request %q", r.end.Request))
	}
	if r.end.OutputTokens != r.next {
		return brokenAnswer(nil, fmt.Sprintf("engine sent %d of %d tokens", r.next, r.end.OutputTokens))
	}
	return nil
}

func brokenAnswer(cause error, message string) error {
	if cause == nil {
		cause = errors.New(message)
	}
	return errkind.Wrap(cause, errkind.Truncated, message).WithRunState(api.RunStateRan)
}

// Call runs one operation of a plain service and returns its body.
func (c *Client) Call(ctx context.Context, operation, request string, attempt int, body json.RawMessage) (json.RawMessage, error) {
	header := http.Header{"X-Request-Id": {request}, "X-Attempt": {strconv.Itoa(attempt)}}
	resp, err := c.post(ctx, "/v1/operations/"+operation, body, header)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	if err := statusError(resp); err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Truncated, "service answer was cut").WithRunState(api.RunStateRan)
	}
	if len(answer) > maxAnswerBytes || !json.Valid(answer) {
		return nil, errkind.New(errkind.UpstreamFailed, "service answer is not JSON or too large").WithRunState(api.RunStateRan)
	}
	return answer, nil
}

// Cancel stops the attempt of a request on the engine.
func (c *Client) Cancel(ctx context.Context, request string, attempt int) error {
	body := struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
	}{request, attempt}
	resp, err := c.post(ctx, "/v1/cancel", body, nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Load returns the load report of the backend server, which lags.
func (c *Client) Load(ctx context.Context) (api.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var load api.LoadReport
	return load, c.get(ctx, "/v1/load", &load)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "backend request cannot be built")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return callError(err)
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	if err := statusError(resp); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out); err != nil {
		return errkind.Wrap(err, errkind.UpstreamFailed, "backend answer is not valid JSON")
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, body any, header http.Header) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "backend request cannot be encoded").WithRunState(api.RunStateNotRun)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(raw))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "backend request cannot be built").WithRunState(api.RunStateNotRun)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, callError(err)
	}
	return resp, nil
}

// callError reports not_run only when the connection was refused, since then
// nothing was sent.
func callError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errkind.Wrap(err, errkind.UpstreamFailed, "backend server refused the connection").WithRunState(api.RunStateNotRun)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "backend server did not answer in time")
	}
	return errkind.Wrap(err, errkind.UpstreamFailed, "connection to the backend server failed")
}

// statusError maps the statuses of docs/protocols.md. 404, 429 and 503 mean that
// the request did not run.
func statusError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return errkind.New(errkind.Overloaded, "backend server is full").WithRunState(api.RunStateNotRun)
	case http.StatusNotFound:
		return errkind.New(errkind.NoCandidate, "backend server does not hold the version or operation").WithRunState(api.RunStateNotRun)
	case http.StatusServiceUnavailable:
		return errkind.New(errkind.NotReady, "backend server is not ready").WithRunState(api.RunStateNotRun)
	default:
		message := fmt.Sprintf("backend server answered status %d", resp.StatusCode)
		return errkind.New(errkind.UpstreamFailed, message).WithRunState(api.RunStateUnknown)
	}
}
