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

// Guards against a caller that sends half of a body and keeps the connection, and
// with it one of the entry's bounded connections, for ever.
func TestSlowBodyIsRefusedInTime(t *testing.T) {
	const readTimeout = 100 * time.Millisecond
	never := &fake{answer: func(entry.RequestArrived, *Stream) { t.Error("half of a body reached the core") }}
	server := httptest.NewServer(NewHandler(never, Options{BodyBytes: 1024, ReadTimeout: readTimeout, WriteTimeout: time.Second}))
	defer server.Close()
	for key, status := range map[string]int{"key": http.StatusBadRequest, "": http.StatusUnauthorized} {
		response := sendHalf(t, server, key)
		assert.Equal(t, response.StatusCode, status)
		assert.Assert(t, response.Close, "the connection stays open")
	}
}

// sendHalf sends half of a body and returns the answer.
func sendHalf(t *testing.T, server *httptest.Server, key string) *http.Response {
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
