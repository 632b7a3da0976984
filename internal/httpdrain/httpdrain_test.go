package httpdrain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startServer starts a server that answers with the body of a request.
func startServer(t *testing.T) (*http.Server, *Listener) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(inner)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(time.Millisecond)
		_, _ = w.Write(body)
	})}
	l.Prepare(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, l
}

// client is a connection of a caller.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, l *Listener) *client {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) request(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// answer returns the body of the next answer.
func (c *client) answer() (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against requests that have arrived when a planned stop begins and whose connections are closed
// without an answer: on kept connections and on new ones, whole, with half of the head or body sent, and
// with Expect: 100-continue. Twenty stops in series.
func TestStopAnswersEachRequestThatHasArrived(t *testing.T) {
	const perKind = 20
	kinds := map[string]func(c *client) (first, rest string){
		"whole":            func(c *client) (string, string) { return c.request("body"), "" },
		"half of the head": func(c *client) (string, string) { r := c.request("body"); return r[:20], r[20:] },
		"half of the body": func(c *client) (string, string) { r := c.request("body"); return r[:len(r)-2], r[len(r)-2:] },
		"100-continue": func(c *client) (string, string) {
			r := strings.Replace(c.request("body"), "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1)
			return r[:len(r)-4], r[len(r)-4:]
		},
	}
	for round := range 20 {
		server, l := startServer(t)
		type sent struct {
			*client
			name, rest string
		}
		var all []sent
		for kindName, kind := range kinds {
			for i := range perKind {
				c, name := dial(t, l), kindName
				if i%2 == 0 {
					_, _ = io.WriteString(c, c.request("before"))
					body, err := c.answer()
					assert.NilError(t, err)
					assert.Equal(t, body, "before")
					name += ", kept"
				}
				_, rest := kind(c)
				all = append(all, sent{c, name, rest})
			}
		}
		time.Sleep(5 * time.Millisecond)
		for _, s := range all {
			kind, _, _ := strings.Cut(s.name, ", kept")
			first, _ := kinds[kind](s.client)
			_, err := io.WriteString(s, first)
			assert.NilError(t, err)
		}
		var group sync.WaitGroup
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			assert.Check(t, l.Shutdown(ctx, server))
		})
		time.Sleep(time.Duration(round) * 5 * time.Millisecond)
		for _, s := range all {
			_, _ = io.WriteString(s, s.rest) // a failure shows below
		}
		for _, s := range all {
			body, err := s.answer()
			if err == nil && body == "" { // 100 Continue
				body, err = s.answer()
			}
			assert.Check(t, err == nil && body == "body", "round %d, %s: %q, %v", round, s.name, body, err)
		}
		group.Wait()
	}
}

// Guards against a stop that waits for connections on which nothing has arrived.
func TestStopDoesNotWaitForIdleConnections(t *testing.T) {
	server, l := startServer(t)
	for range 20 {
		c := dial(t, l)
		_, _ = io.WriteString(c, c.request("x"))
		_, err := c.answer()
		assert.NilError(t, err)
	}
	time.Sleep(20 * time.Millisecond)
	started := time.Now()
	assert.NilError(t, l.Shutdown(t.Context(), server))
	assert.Assert(t, time.Since(started) < time.Second, "took %v", time.Since(started))
}

// Guards against a stop that reports an error because the server, whose goroutine had not noticed yet that the
// listener is closed, closes it a second time. Seen beside load.
func TestListenerMayBeClosedTwice(t *testing.T) {
	_, l := startServer(t)
	assert.NilError(t, l.Close())
	assert.NilError(t, l.Close())
}
