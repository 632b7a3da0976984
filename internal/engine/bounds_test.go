package engine

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawServer answers each connection with start, then with piece until the client closes, unless
// piece is empty. It reports on sent how many bytes went out.
func rawServer(t *testing.T, start, piece string) (url string, sent <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	written := make(chan int, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			total, err := c.Write([]byte(start))
			for n := 0; err == nil && piece != ""; total += n {
				n, err = c.Write([]byte(strings.Repeat(piece, 1024)))
			}
			_ = c.Close()
			written <- total
		}
	}()
	return "http://" + listener.Addr().String(), written
}

// Guards against a backend server that takes the memory of a sidecar by a head without end.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	url, sent := rawServer(t, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n")
	c := NewClient(url)
	defer c.Close()
	started := time.Now()
	_, err := c.CallOperation(t.Context(), "book", "r1", 1, []byte("{}"))
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(started) < time.Second)
	// The sockets of both ends hold some megabytes beyond the bound.
	assert.Assert(t, <-sent < 9<<20)
}

// Guards against a service's answer that was cut and counts as complete, because a part of a number
// is a number.
func TestCutNumberIsNotComplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, c := range map[string]struct {
		answer   string
		complete bool
	}{
		"number with its connection": {head + "\r\n12", false},
		"object with its connection": {head + "\r\n{\"a\":12}", true},
		"number with a length":       {head + "Content-Length: 2\r\n\r\n12", true},
		"number with chunks":         {head + "Transfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n", true},
		"cut object":                 {head + "\r\n{\"a\":1", false},
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := rawServer(t, c.answer, "")
			client := NewClient(url)
			defer client.Close()
			_, err := client.CallOperation(t.Context(), "book", "r1", 1, []byte("{}"))
			assert.Equal(t, err == nil, c.complete, "%v", err)
		})
	}
}
