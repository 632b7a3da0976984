package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// startCopyingServer starts a backend server that answers each request on a connection with answer, and
// writes the copy of the answer before again when the next request has arrived on the same connection.
func startCopyingServer(t *testing.T, answer func(request string) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader, last := bufio.NewReader(c), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			var body struct{ Request string }
			if json.NewDecoder(r.Body).Decode(&body) != nil || body.Request == "" {
				body.Request = r.Header.Get("X-Request-Id")
			}
			if last != "" {
				fmt.Fprint(c, last)
				time.Sleep(10 * time.Millisecond)
			}
			last = answer(body.Request)
			fmt.Fprint(c, last)
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return "http://" + listener.Addr().String()
}

func httpAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// Guards against a second copy of an answer that is taken for the answer to the next call: the caller gets
// the result of another request.
func TestCopyOfResultReachesNoOtherCall(t *testing.T) {
	c := NewClient(startCopyingServer(t, func(request string) string { return httpAnswer(http.StatusOK, `"`+request+`"`) }))
	defer c.Close()
	for i := range 5 {
		id := fmt.Sprintf("r-%d", i)
		got, err := c.CallOperation(t.Context(), "book", id, 1, json.RawMessage(`{}`))
		assert.NilError(t, err)
		assert.Equal(t, string(got), `"`+id+`"`)
	}
}

// Guards against the copy of a refusal that says of the next request that it has not run while it runs.
func TestCopyOfRefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	url := startCopyingServer(t, func(request string) string {
		if request == "r-0" {
			return httpAnswer(http.StatusServiceUnavailable, "")
		}
		return httpAnswer(http.StatusOK, `{}`)
	})
	c := NewClient(url)
	defer c.Close()
	_, err := c.CallOperation(t.Context(), "book", "r-0", 1, json.RawMessage(`{}`))
	assert.ErrorContains(t, err, "not ready")
	_, err = c.CallOperation(t.Context(), "book", "r-1", 1, json.RawMessage(`{}`))
	assert.NilError(t, err)

	_, err = c.Generate(t.Context(), GenerateRequest{Request: "r-0", Attempt: 1, Messages: []api.ChatMessage{}}, func(Token) {})
	assert.ErrorContains(t, err, "not ready")
	_, err = c.Generate(t.Context(), GenerateRequest{Request: "r-1", Attempt: 1, Messages: []api.ChatMessage{}}, func(Token) {})
	assert.ErrorContains(t, err, "no end event")
}
