package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/listen"
	"github.com/borageflow/borageflow/internal/netpeek"
)

const (
	// dialTimeout is several hundred round trips. A worker that takes longer counts as
	// unreachable.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout bounds how long sent bytes may stay unacknowledged before the connection
	// counts as dead.
	tcpUserTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the worker states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the worker's own idle timeout, so that both ends do
	// not close the connection at the same moment.
	idleTimeoutMargin = time.Second
	// maxIdlePerWorker bounds the idle connections to one address. A worker accepts a few hundred
	// connections from all callers.
	maxIdlePerWorker = 24

	// maxRefusedIDs bounds the refusals that a connection carries.
	maxRefusedIDs = 16

	readBufferBytes = 4 << 10
)

// conn is a connection to a worker. Only one goroutine uses it at a time.
type conn struct {
	net.Conn
	br          *bufio.Reader
	idleTimeout time.Duration
	idleSince   time.Time
	isReused    bool
	// namesRequests reports whether an answer on the connection has named its request.
	namesRequests bool
	// refusedIDs are the IDs of the requests that were refused on the connection.
	refusedIDs []string
	// head bounds the head of the response that is being read.
	head framing.HeadCounter
	// received is the number of bytes that were read from the connection.
	received int64
	// longestSilence is the longest wait for bytes of the present answer.
	longestSilence time.Duration
	guard          *overloadGuard
	closed         sync.Once
	// run is the run of the worker whose answer is awaited, and workerEnded is set once that is known to be over.
	run         *workerRun
	workerEnded atomic.Bool
	// onReadTimeout is called at each read timeout, if set. It returns the next read deadline,
	// or the zero time to let the read fail.
	onReadTimeout func() time.Time
}

// Read reads from the connection and fails if the head of the response is beyond its bounds. If
// onReadTimeout extends the deadline, Read waits on instead of returning the timeout, because the readers
// of a response body keep an error for good.
func (c *conn) Read(p []byte) (int, error) {
	started := time.Now()
	defer func() { c.longestSilence = max(c.longestSilence, time.Since(started)) }()
	for {
		n, err := c.Conn.Read(p)
		c.received += int64(n)
		if n > 0 {
			c.recordRead()
		}
		if err != nil && c.workerEnded.Load() {
			return n, errWorkerEnded
		}
		if bound := c.head.Add(p[:n]); bound != nil {
			return 0, bound
		}
		if err == nil || c.onReadTimeout == nil || !isReadTimeout(err) {
			return n, err
		}
		deadline := c.onReadTimeout()
		if deadline.IsZero() {
			return n, err
		}
		if err := c.SetReadDeadline(deadline); err != nil {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.guard.sentBytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(func() { c.guard.workers.Add(-1) })
	return c.Conn.Close()
}

// beginHead starts the bounds of the next head, of which a part may have been read already.
func (c *conn) beginHead() error {
	c.head.Begin()
	read, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return err
	}
	return c.head.Add(read)
}

// connPool keeps idle connections by worker address.
type connPool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	// onDial is called for each new connection, before it is dialed.
	onDial func()
	// guard counts the connections and bounds those that are kept idle.
	guard *overloadGuard
}

func newConnPool(onDial func(), guard *overloadGuard) *connPool {
	return &connPool{
		guard: guard,
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
			Control: func(network, address string, raw syscall.RawConn) error {
				if err := listen.SetReceiveBuffer(raw, guard.receiveBuffer); err != nil {
					return err
				}
				return setUserTimeout(network, address, raw)
			},
		},
		idle: map[string][]*conn{}, onDial: onDial,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

// get returns a connection that was idle for less than maxIdle and on which the request was not refused
// before, or a new one.
func (p *connPool) get(ctx context.Context, address, requestID string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < min(c.idleTimeout, maxIdle) && !slices.Contains(c.refusedIDs, requestID) && isReusable(c) {
			c.isReused = true
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

// dial opens a new connection.
func (p *connPool) dial(ctx context.Context, address string) (*conn, error) {
	p.onDial()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.guard.workers.Add(1)
	c := &conn{Conn: raw, idleTimeout: defaultIdleTimeout, guard: p.guard}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *connPool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// put keeps a connection whose last response was read completely. It closes a connection that
// cannot be reused.
func (p *connPool) put(address string, c *conn) {
	if c.br.Buffered() > 0 || c.idleTimeout <= 0 || !p.guard.keepsIdle() {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerWorker {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// closeUnused closes the idle connections whose address is not in used and those that were
// idle for too long.
func (p *connPool) closeUnused(used map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if used[address] && time.Since(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *connPool) close() { p.closeUnused(nil) }

// isReusable reports whether an idle connection is open and has nothing to read. Bytes that
// arrive while it is idle belong to no request.
func isReusable(c *conn) bool { return netpeek.Look(c.Conn) == netpeek.Quiet }

// parseIdleTimeout returns how long to keep an idle connection, given the worker's Keep-Alive
// header. "timeout=5" means that the worker closes it after 5 s.
func parseIdleTimeout(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
