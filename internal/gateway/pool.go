package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is some hundred round trips; a worker that takes longer is treated as gone.
	dialTimeout = 400 * time.Millisecond
	// silentTimeout bounds how long sent bytes stay unacknowledged before a connection counts
	// as dead.
	silentTimeout = 1500 * time.Millisecond
	// defaultIdle is how long an idle connection is kept when the worker states no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the worker's own idle time, so that both ends do not decide at
	// the same moment.
	idleMargin = time.Second
	// maxIdlePerWorker bounds idle connections; a worker accepts some hundred from all callers.
	maxIdlePerWorker = 24

	readBufferBytes = 4 << 10
)

// conn is a connection to a worker. One goroutine uses it at a time.
type conn struct {
	net.Conn
	br     *bufio.Reader
	idle   time.Duration
	since  time.Time
	reused bool
	// overdue is asked at each time-out of a read, if set; the read goes on until the time
	// that it returns, or ends when that is zero.
	overdue func() time.Time
}

// Read reads from the connection. The readers of a body keep a time-out for good, so that
// it must not reach them while the wait goes on.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err == nil || c.overdue == nil || !isTimeout(err) {
			return n, err
		}
		by := c.overdue()
		if by.IsZero() {
			return n, err
		}
		if err := c.SetReadDeadline(by); err != nil {
			return n, err
		}
	}
}

// pool keeps idle connections by address.
type pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	opened func()
}

func newPool(opened func()) *pool {
	return &pool{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
			Control:         setUserTimeout,
		},
		idle: map[string][]*conn{}, opened: opened,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// get returns a connection that was idle for at most maxIdle, or a new one.
func (p *pool) get(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Since(c.since) < min(c.idle, maxIdle) && quiet(c) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	p.opened()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, idle: defaultIdle}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection whose last answer was read whole.
func (p *pool) put(address string, c *conn) {
	if c.br.Buffered() > 0 || c.idle <= 0 {
		_ = c.Close()
		return
	}
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerWorker {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// keep closes the idle connections of addresses that are no longer used and those that
// were idle for too long.
func (p *pool) keep(used map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if used[address] && time.Since(c.since) < c.idle {
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

func (p *pool) close() { p.keep(nil) }

// quiet reports whether an idle connection is open and has nothing to read. Bytes that
// arrive on it belong to no request.
func quiet(c *conn) bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && isQuiet
}

// idleTime reads how long a worker keeps an idle connection; "timeout=5" means 5 s.
func idleTime(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
