// Package httpdrain stops an http.Server without closing a connection on which a request has arrived.
// http.Server.Shutdown drops requests that it has not read to the end of their heads, also on connections
// that are kept alive, and resets new connections that it has not accepted.
package httpdrain

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/internal/netpeek"
)

const (
	// acceptTail is how long connections are accepted after a stop has begun: those that wait in the
	// queue of the listener, and those that are opened in the same moment.
	acceptTail = 20 * time.Millisecond
	// firstRequestWait is how long a new connection may take to bring its first request. Callers send
	// it with the connection, some milliseconds away.
	firstRequestWait = 250 * time.Millisecond
	// pollInterval is how often Shutdown looks at the connections that are left.
	pollInterval = 5 * time.Millisecond
)

// Listener hands connections to an http.Server and knows which of them are idle.
type Listener struct {
	net.Listener
	draining atomic.Bool
	// accepted is closed when Accept has returned its last connection.
	accepted     chan struct{}
	acceptedOnce sync.Once
	closeOnce    sync.Once
	closeErr     error

	mu sync.Mutex
	// open holds the open connections by the address of the caller.
	open map[string]*conn
}

// NewListener returns a Listener of the connections of inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, accepted: make(chan struct{}), open: map[string]*conn{}}
}

// Prepare must be called before server serves the connections of l, as they are or wrapped by other
// listeners. It sets the ConnState and ConnContext hooks, so that netpeek.CallerLeft knows the connection of
// a request, and wraps the handler, so that answers close their connections once a stop has begun.
func (l *Listener) Prepare(server *http.Server) {
	handler := server.Handler
	server.ConnState = l.setState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if own := l.find(c); own != nil {
			return netpeek.WithCaller(ctx, own.Conn)
		}
		return ctx
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Accept implements net.Listener. It returns net.ErrClosed once a stop has begun and no connection waits.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		if l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			err = net.ErrClosed
		}
		if errors.Is(err, net.ErrClosed) {
			l.acceptedOnce.Do(func() { close(l.accepted) })
		}
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, isIdle: true, openedAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[inner.RemoteAddr().String()] = c
	return c, nil
}

// Close implements net.Listener. Further calls return what the first one did: the server closes the listener too
// if it has not noticed yet that a stop has closed it.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

func (l *Listener) setState(c net.Conn, state http.ConnState) {
	if own := l.find(c); own != nil {
		own.setIdle(state == http.StateNew || state == http.StateIdle)
	}
}

// find returns the connection of l that c is or wraps, or nil if it is closed.
func (l *Listener) find(c net.Conn) *conn {
	if own, ok := c.(*conn); ok {
		return own
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[c.RemoteAddr().String()]
}

// Shutdown stops a server that serves l: it accepts what waits, answers all requests that have arrived,
// and closes the connections on which nothing has. It returns when none is left, or with the error of
// ctx; the others are closed then.
func (l *Listener) Shutdown(ctx context.Context, server *http.Server) error {
	l.draining.Store(true)
	l.endAccept(ctx)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var err error
	for l.closeIdle() > 0 && err == nil {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-ticker.C:
		}
	}
	return errors.Join(err, server.Close())
}

// endAccept takes the connections that wait in the queue of the listener and closes it.
func (l *Listener) endAccept(ctx context.Context) {
	tail, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if ok && tail.SetDeadline(time.Now().Add(acceptTail)) == nil {
		select {
		case <-l.accepted:
		case <-time.After(5 * acceptTail):
		case <-ctx.Done():
		}
	}
	_ = l.Close() // fails only on a closed listener
}

// closeIdle closes the connections on which no request has arrived, and returns the number of those that
// are left.
func (l *Listener) closeIdle() int {
	l.mu.Lock()
	open := slices.Collect(maps.Values(l.open))
	l.mu.Unlock()
	left := 0
	for _, c := range open {
		if c.isQuiet() {
			_ = c.Close() // fails only on a closed connection
			continue
		}
		left++
	}
	return left
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	openedAt time.Time

	mu sync.Mutex
	// isIdle reports whether the server has no request of the connection, hadRequest whether it had one
	// before, and hasRead whether bytes were read since then.
	isIdle, hadRequest, hasRead bool
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle, c.hasRead, c.hadRequest = idle, false, c.hadRequest || !idle
}

// isQuiet reports whether no request has arrived on the connection since the last one was answered.
func (c *conn) isQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle || c.hasRead || !c.hadRequest && time.Since(c.openedAt) < firstRequestWait {
		return false
	}
	if part, ok := c.Conn.(interface{ HasPart() bool }); ok && part.HasPart() {
		return false
	}
	return netpeek.Look(c.Conn) != netpeek.Readable
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.hasRead = true
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	address := c.RemoteAddr().String()
	c.listener.mu.Lock()
	if c.listener.open[address] == c {
		delete(c.listener.open, address)
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
