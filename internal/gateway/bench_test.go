package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkStream measures a stream of 64 events through a gateway, over one connection of a caller.
func BenchmarkStream(b *testing.B) {
	w := startWorker(b, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		var out strings.Builder
		for id := range 64 {
			event := formatEvent(id + 1)
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(event), event)
		}
		writeStreamHeader(c, r)
		fmt.Fprint(c, out.String()+"0\r\n\r\n")
		return true
	})
	gw := startGateway(b, w)
	c, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	b.ReportAllocs()
	for n := range b.N {
		fmt.Fprintf(c, "GET /once/x HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\n%s: b%d\r\n%s: 5000\r\n\r\n", DefaultHeaderNames.RequestID, n, DefaultHeaderNames.DeadlineMs)
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(b, err)
		total, err := resp.Body.Read(make([]byte, 1))
		assert.NilError(b, err)
		for err == nil {
			var got int
			got, err = resp.Body.Read(make([]byte, 4096))
			total += got
		}
		if total == 0 {
			b.Fatal("empty stream")
		}
	}
}
