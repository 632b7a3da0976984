package framing

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers that end or extend a stream that they do not continue.
func TestContinuedBy(t *testing.T) {
	response := func(status int, contentType string, length int64) *http.Response {
		r := &http.Response{StatusCode: status, Header: http.Header{}, ContentLength: length}
		if contentType != "" {
			r.Header.Set("Content-Type", contentType)
		}
		return r
	}
	events := StreamHeadOf(response(200, "text/event-stream; charset=utf-8", -1))
	untyped := StreamHeadOf(response(200, "", -1))
	for _, c := range []struct {
		head StreamHead
		next *http.Response
		want bool
	}{
		{events, response(200, "text/event-stream", -1), true},
		{events, response(200, "Text/Event-Stream;charset=utf-8", 0), true},
		{events, response(200, "text/event-stream; charset", 9), true}, // parameters that cannot be read
		{events, response(200, "", -1), false},
		{events, response(200, "application/json", 2), false},
		{events, response(204, "text/event-stream", 0), false},
		{events, response(206, "text/event-stream", -1), false},
		{events, response(500, "text/event-stream", -1), false},
		{untyped, response(200, "", -1), true},
		{untyped, response(200, "", 9), true},
		{untyped, response(200, "", 0), true},
		{untyped, response(204, "", 0), false},
		{untyped, response(200, "text/html", 9), false},
	} {
		assert.Equal(t, c.head.ContinuedBy(c.next), c.want, "%v, %v", c.head, c.next)
	}
}
