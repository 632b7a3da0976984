package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/jsontext"
)

// call describes one HTTP request to the object API.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// serverWait is how long the server may hold the request before it answers. It
	// is added to the client's timeout.
	serverWait time.Duration
	// result receives the decoded JSON response; nil discards the response.
	result any
	// isList limits the nesting of the response, whose objects come from several writers. Single objects are read as
	// they are: they may hold a body of a caller's own.
	isList bool
	// maxResponseBytes is the largest response; 0 means maxObjectResponseBytes.
	maxResponseBytes int64
}

// isWrite reports whether the call conditionally writes an object, so that its
// outcome is unknown without a response.
func (k call) isWrite() bool { return k.method == http.MethodPut }

// responseLost returns the error of a call without a complete response:
// ErrAmbiguous for a write, else ErrUnavailable.
func (k call) responseLost(err error) error {
	if k.isWrite() {
		return eris.Wrap(ErrAmbiguous, err.Error())
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

func (c *Client) do(ctx context.Context, k call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.serverWait)
	defer cancel()
	req, err := c.newRequest(ctx, k)
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return transportError(k, err)
	}
	defer func() { _ = res.Body.Close() }()
	limit := k.maxResponseBytes
	if limit == 0 {
		limit = maxObjectResponseBytes
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return k.responseLost(err)
	}
	if int64(len(body)) > limit {
		return k.responseLost(eris.Errorf("response to %s exceeds %d bytes", k.path, limit))
	}
	if res.StatusCode != http.StatusOK {
		return statusError(k, res, body)
	}
	if k.result == nil {
		return nil
	}
	if k.isList {
		body = jsontext.LimitNesting(body)
	}
	if err := json.Unmarshal(body, k.result); err != nil {
		return k.responseLost(eris.Wrap(err, "response cannot be decoded"))
	}
	return nil
}

// transportError returns the error of a request that failed without a response.
// Only a failed dial proves that nothing was written.
func transportError(k call, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return k.responseLost(err)
}

// statusError returns the error of a response whose status is not 200.
func statusError(k call, res *http.Response, body []byte) error {
	switch res.StatusCode {
	case http.StatusNoContent, http.StatusNotFound:
		return eris.Wrapf(ErrNotFound, "status %d", res.StatusCode)
	case http.StatusConflict:
		return conflictError(body)
	case http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: parseRetryAfter(res.Header)}
	case http.StatusServiceUnavailable:
		return eris.Wrap(ErrUnavailable, "status 503")
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return k.responseLost(eris.Errorf("status %d", res.StatusCode))
	}
	return eris.Wrapf(ErrRefused, "%s %s: status %d", k.method, k.path, res.StatusCode)
}

// conflictError returns the error of status 409, which proves that nothing was
// written. It is a *ConflictError when the response body describes the stored
// object, else ErrConflict.
func conflictError(body []byte) error {
	var stored objectJSON
	if err := json.Unmarshal(body, &stored); err != nil {
		return eris.Wrap(ErrConflict, "version of the stored object is unknown")
	}
	stored.Value = nil
	return &ConflictError{Stored: stored.object()}
}

// parseRetryAfter returns the Retry-After header, which is in seconds, or 0 when it
// is missing or invalid.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
