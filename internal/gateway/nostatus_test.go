package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer whose status is none, which reaches the caller, and against its body being read as the next
// answer.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999"} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
			t.Run(status+path, func(t *testing.T) {
				t.Parallel()
				w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
					id := r.request.Header.Get(DefaultHeaderNames.RequestID)
					echo := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(formatEvent(1)), formatEvent(1))
					fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nX-Borageflow-Request: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(echo), echo)
					return true
				})
				got := startGateway(t, w).call("POST", path, "q")
				assert.Equal(t, got.status, http.StatusBadGateway, "%q", got.body)
			})
		}
	}
}
