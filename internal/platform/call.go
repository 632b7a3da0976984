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
)

// call is one HTTP exchange with the object API.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// wait is how long the server may wait before it answers.
	wait time.Duration
	// out receives the decoded answer; nil discards it.
	out any
	// limit bounds the answer, in bytes; 0 means maxObjectAnswer.
	limit int64
}

// writes reports whether a lost answer leaves the outcome open.
func (k call) writes() bool { return k.method == http.MethodPut }

// lost is the error of a call whose answer did not arrive whole.
func (k call) lost(err error) error {
	if k.writes() {
		return eris.Wrap(ErrAmbiguous, err.Error())
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

func (c *Client) do(ctx context.Context, k call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.wait)
	defer cancel()
	req, err := c.request(ctx, k)
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return transportError(k, err)
	}
	defer func() { _ = res.Body.Close() }()
	limit := k.limit
	if limit == 0 {
		limit = maxObjectAnswer
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return k.lost(err)
	}
	if int64(len(body)) > limit {
		return k.lost(eris.Errorf("answer to %s exceeds %d bytes", k.path, limit))
	}
	if res.StatusCode != http.StatusOK {
		return statusError(k, res, body)
	}
	if k.out == nil {
		return nil
	}
	if err := json.Unmarshal(body, k.out); err != nil {
		return k.lost(eris.Wrap(err, "answer cannot be decoded"))
	}
	return nil
}

// transportError maps a failed exchange. Only a connection that was never
// established proves that nothing was written.
func transportError(k call, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return k.lost(err)
}

func statusError(k call, res *http.Response, body []byte) error {
	switch res.StatusCode {
	case http.StatusNoContent, http.StatusNotFound:
		return eris.Wrapf(ErrNotFound, "status %d", res.StatusCode)
	case http.StatusConflict:
		return conflict(body)
	case http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(res.Header)}
	case http.StatusServiceUnavailable:
		return eris.Wrap(ErrUnavailable, "status 503")
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return k.lost(eris.Errorf("status %d", res.StatusCode))
	}
	return eris.Wrapf(ErrRefused, "%s %s: status %d", k.method, k.path, res.StatusCode)
}

// conflict keeps the present object when the answer names it; the status alone
// already proves that nothing was written.
func conflict(body []byte) error {
	var present wireObject
	if err := json.Unmarshal(body, &present); err != nil {
		return eris.Wrap(ErrConflict, "present version unknown")
	}
	present.Value = nil
	return &ConflictError{Present: present.object()}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
