package callerapi

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/entry"
)

// Guards against a caller that sends half of a body and then keeps its connection
// open forever. The entry accepts a limited number of connections.
func TestIncompleteBodyIsRefusedAfterReadTimeout(t *testing.T) {
	const readTimeout = 100 * time.Millisecond
	backend := &fakeBackend{onSubmit: func(entry.RequestArrived, *Stream) { t.Error("a request with an incomplete body was submitted") }}
	server := httptest.NewServer(NewHandler(backend, Options{MaxBodyBytes: 1024, ReadTimeout: readTimeout, WriteTimeout: time.Second}))
	defer server.Close()
	for key, status := range map[string]int{"key": http.StatusBadRequest, "": http.StatusUnauthorized} {
		response := sendPartialBody(t, server, key)
		assert.Equal(t, response.StatusCode, status)
		assert.Assert(t, response.Close, "the connection stays open")
	}
}

// sendPartialBody sends a request with a part of its body and returns the response.
func sendPartialBody(t *testing.T, server *httptest.Server, key string) *http.Response {
	t.Helper()
	const limit = 5 * time.Second
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(limit)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 50\r\n\r\n{\"a", chatPath, key)
	assert.NilError(t, err)

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}
