package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal that comes only once the caller has sent its body, against one that the caller cannot read
// as it still sends, and against the rest of a body that is taken for the next request.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool { writeResponse(c, r, 200, "ok"); return true })
	gw := startGateway(t, w)
	for name, head := range map[string]string{
		"unknown key":      "POST /unsafe/a HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer nobody\r\nTransfer-Encoding: chunked\r\n\r\n",
		"unknown route":    "POST /nowhere HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"body is too long": "POST /unsafe/a HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\nContent-Length: 999999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(c, head)
			assert.NilError(t, err)
			go func() {
				inner := "GET /safe/b HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\n\r\n"
				for { // a whole request, if the rest of the body is taken for one
					if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(inner), inner); err != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
			reader := bufio.NewReader(c)
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Assert(t, resp.StatusCode == 401 || resp.StatusCode == 404 || resp.StatusCode == 413, "status %d", resp.StatusCode)
			assert.Assert(t, resp.Close)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			_, err = http.ReadResponse(reader, nil)
			assert.Assert(t, err != nil, "the body is answered as a request")
			assert.Equal(t, len(w.requests()), 0)
		})
	}
}

// Guards against a connection that ends with each refusal although the body had arrived.
func TestRefusalKeepsConnection(t *testing.T) {
	gw := startGateway(t, startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool { writeResponse(c, r, 200, "ok"); return true }))
	c, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, key := range []string{"nobody", "key-1", "nobody", "key-1"} {
		fmt.Fprintf(c, "POST /unsafe/a HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", key)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		want := http.StatusOK
		if key == "nobody" {
			want = http.StatusUnauthorized
		}
		assert.Equal(t, resp.StatusCode, want)
		assert.Assert(t, !resp.Close)
	}
}
