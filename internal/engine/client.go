// Package engine is the HTTP client of the backend server that a sidecar serves: a
// model engine or a plain service.
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
	"github.com/borageflow/borageflow/internal/framing"
)

const (
	// maxEventBytes is the largest server-sent event.
	maxEventBytes    = 1 << 20
	maxResponseBytes = 4 << 20
	// shortCallTimeout bounds connecting, load reports and reads of cache events.
	shortCallTimeout = time.Second
)

// GenerateRequest is the request body of POST /v1/generate.
type GenerateRequest struct {
	Request   string            `json:"request"`
	Attempt   int               `json:"attempt"`
	Version   string            `json:"version"`
	Customer  string            `json:"customer"`
	Messages  []api.ChatMessage `json:"messages"`
	MaxTokens int               `json:"maxTokens"`
	Priority  int               `json:"priority"`
	// Offset is the index of the first token to send; above 0 it resumes an answer.
	Offset int `json:"offset"`
	// DeadlineMs is the time left for the answer, in milliseconds.
	DeadlineMs int `json:"deadlineMs"`
}

// Token is one token event of an answer.
type Token struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// Index is the position in the whole answer, from 0, also in a resumed one.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// EndEvent is the end event of an answer. OutputTokens counts the tokens of the whole
// answer, also of a resumed one.
type EndEvent struct {
	Request      string  `json:"request"`
	Attempt      int     `json:"attempt"`
	InputTokens  int     `json:"inputTokens"`
	CachedTokens int     `json:"cachedTokens"`
	OutputTokens int     `json:"outputTokens"`
	FinishReason string  `json:"finishReason"`
	Confidence   float64 `json:"confidence"`
}

// Client calls one backend server. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	// runs is the client of calls that run requests. Each has a connection of its own: a second copy of
	// an answer names no request until its first token, and on a connection in use again it would be
	// taken for the answer to the next call, also a status that says "not run".
	runs *http.Client
}

// NewClient returns a client of the backend server with the base URL url.
func NewClient(url string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: shortCallTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,

		MaxResponseHeaderBytes: framing.MaxHeadBytes,
	}
	single := transport.Clone()
	single.DisableKeepAlives = true
	return &Client{baseURL: url, http: &http.Client{Transport: transport}, runs: &http.Client{Transport: single}}
}

// Close closes the idle connections of the client.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Generate requests an answer and calls onToken for each new token of its event
// stream. Repeated tokens are dropped. An event of another request or attempt, a
// missing token or a missing end event is an error of kind truncated.
func (c *Client) Generate(ctx context.Context, g GenerateRequest, onToken func(Token)) (EndEvent, error) {
	resp, err := post(ctx, c.runs, c.baseURL+"/v1/generate", g, nil)
	if err != nil {
		return EndEvent{}, err
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	if err := statusError(resp); err != nil {
		return EndEvent{}, err
	}
	validator := streamValidator{request: g, nextIndex: g.Offset, onToken: onToken}
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return EndEvent{}, errkind.Wrap(err, errkind.Truncated, "engine event stream was interrupted").WithRunState(api.RunStateRan)
		}
		done, err := validator.handleEvent(event)
		if err != nil {
			return EndEvent{}, err
		}
		if done {
			return validator.end, nil
		}
	}
	return EndEvent{}, errkind.New(errkind.Truncated, "engine event stream has no end event")
}

// streamValidator checks that the events of one answer belong to the request and
// attempt and that their tokens are in order.
type streamValidator struct {
	request   GenerateRequest
	nextIndex int
	onToken   func(Token)
	end       EndEvent
}

// handleEvent processes one event and reports whether it was the end event. Unknown
// event types are ignored.
func (v *streamValidator) handleEvent(event sse.Event) (bool, error) {
	switch event.Type {
	case "token":
		return false, v.handleToken(event.Data)
	case "end":
		return true, v.handleEnd(event.Data)
	default:
		return false, nil
	}
}

func (v *streamValidator) handleToken(data string) error {
	var t Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return truncatedError(err, "engine token event is not valid JSON")
	}
	if t.Request != v.request.Request || t.Attempt != v.request.Attempt {
		return truncatedError(nil, fmt.Sprintf("engine sent a token of another request or attempt: request %q", t.Request))
	}
	if t.Index < v.nextIndex {
		return nil
	}
	if t.Index > v.nextIndex {
		return truncatedError(nil, fmt.Sprintf("engine skipped tokens %d to %d", v.nextIndex, t.Index-1))
	}
	v.nextIndex++
	v.onToken(t)
	return nil
}

func (v *streamValidator) handleEnd(data string) error {
	if err := json.Unmarshal([]byte(data), &v.end); err != nil {
		return truncatedError(err, "engine end event is not valid JSON")
	}
	if v.end.Request != v.request.Request || v.end.Attempt != v.request.Attempt {
		return truncatedError(nil, fmt.Sprintf("engine sent the end event of another request or attempt: request %q", v.end.Request))
	}
	if v.end.OutputTokens != v.nextIndex {
		return truncatedError(nil, fmt.Sprintf("engine ended the answer after %d of %d tokens", v.nextIndex, v.end.OutputTokens))
	}
	return nil
}

// truncatedError returns an error of kind truncated and run state ran.
func truncatedError(cause error, message string) error {
	if cause == nil {
		cause = errors.New(message)
	}
	return errkind.Wrap(cause, errkind.Truncated, message).WithRunState(api.RunStateRan)
}

// CallOperation runs one operation of a plain service and returns the JSON body of its
// response. The service gets the request ID and attempt as HTTP headers.
func (c *Client) CallOperation(ctx context.Context, operation, request string, attempt int, body json.RawMessage) (json.RawMessage, error) {
	header := http.Header{"X-Request-Id": {request}, "X-Attempt": {strconv.Itoa(attempt)}}
	resp, err := post(ctx, c.runs, c.baseURL+"/v1/operations/"+operation, body, header)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	if err := statusError(resp); err != nil {
		return nil, err
	}
	result, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Truncated, "service response was interrupted").WithRunState(api.RunStateRan)
	}
	if len(result) > maxResponseBytes || !framing.CompleteJSON(framing.Of(resp), result) {
		return nil, errkind.New(errkind.UpstreamFailed, "service response is no whole JSON value or is larger than 4 MiB").WithRunState(api.RunStateRan)
	}
	return result, nil
}

// Cancel asks the engine to stop an attempt of a request. It does not check the
// status of the response.
func (c *Client) Cancel(ctx context.Context, request string, attempt int) error {
	body := struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
	}{request, attempt}
	resp, err := post(ctx, c.http, c.baseURL+"/v1/cancel", body, nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// LoadReport returns the load report of GET /v1/load. The backend server updates it with
// a delay.
func (c *Client) LoadReport(ctx context.Context) (api.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	var load api.LoadReport
	return load, c.get(ctx, "/v1/load", &load)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "backend request cannot be built")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	if err := statusError(resp); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return errkind.Wrap(err, errkind.UpstreamFailed, "backend server response is not valid JSON")
	}
	return nil
}

func post(ctx context.Context, client *http.Client, url string, body any, header http.Header) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "backend request cannot be encoded").WithRunState(api.RunStateNotRun)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "backend request cannot be built").WithRunState(api.RunStateNotRun)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	return resp, nil
}

// transportError converts an error of the HTTP transport. The run state is not_run
// only for a refused connection, because nothing was sent then.
func transportError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errkind.Wrap(err, errkind.UpstreamFailed, "backend server refused the connection").WithRunState(api.RunStateNotRun)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "backend server did not answer in time")
	}
	return errkind.Wrap(err, errkind.UpstreamFailed, "connection to the backend server failed")
}

// statusError returns the error for a response status, or nil for 200. By the
// protocol in docs/protocols.md, 404, 429 and 503 mean that the request did not run.
func statusError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return errkind.New(errkind.Overloaded, "backend server is full").WithRunState(api.RunStateNotRun)
	case http.StatusNotFound:
		return errkind.New(errkind.NoCandidate, "backend server does not serve the version or operation").WithRunState(api.RunStateNotRun)
	case http.StatusServiceUnavailable:
		return errkind.New(errkind.NotReady, "backend server is not ready").WithRunState(api.RunStateNotRun)
	default:
		message := fmt.Sprintf("backend server answered with status %d", resp.StatusCode)
		return errkind.New(errkind.UpstreamFailed, message).WithRunState(api.RunStateUnknown)
	}
}
