// Package intake bounds what callers can make an instance hold before it has admitted a request. Its connections pass
// a head on to net/http only once it is whole and there is memory for its fields, and count what they hold until then.
// Where no connection is free, the one that has kept the instance waiting for longest makes room for a new one.
package intake

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/listen"
	"github.com/borageflow/borageflow/internal/netpeek"
	"github.com/borageflow/borageflow/internal/overload"
)

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	// HeaderBytes bounds the fields of a head, and its request line.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without a byte of a head.
	IdleTimeout time.Duration
}

// Options are the bounds of a Listener and what it reports. Its functions are called from many goroutines; those that
// are nil, apart from Limits, do nothing.
type Options struct {
	// MaxConnections is the largest number of open connections, 0 for no bound.
	MaxConnections int
	// Accept reports whether there is memory for a further connection beside so many open ones, and reserves it.
	Accept func(open int) bool
	// TLS is the configuration of connections with TLS, nil for plain ones.
	TLS *tls.Config
	// SendBuffer is the size of the kernel's send buffer of a connection in bytes, 0 for that of the system. The kernel
	// takes twice as much.
	SendBuffer int
	// WriteStall is how long a caller may take nothing of its answer, 0 for a minute.
	WriteStall time.Duration
	// Limits returns those in force.
	Limits func() Limits
	// ResizeHead replaces the memory that is reserved for one head, and reports whether there is room.
	ResizeHead func(from, to int64) bool
	// OnOpen and OnClose report connections, and OnWrite the bytes written.
	OnOpen, OnClose func()
	OnWrite         func(n int)
	// OnRefuse reports a head that is refused before it is parsed.
	OnRefuse func(*errkind.Error)
	// OnFull reports a connection that is closed unread because no other one can be given up.
	OnFull func()
	// OnGiveUp reports a connection that makes room for a new one.
	OnGiveUp func(overload.Phase)
}

// Listener accepts connections for an http.Server. The server needs no time-outs of its own: it waits for heads no
// longer than Limits allow.
type Listener struct {
	net.Listener
	options Options

	mu      sync.Mutex
	open    int
	waiting overload.Waiting[*conn]
}

// keepAlive shows that a caller is gone within some seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// ListenConfig returns how to listen for the connections of a Listener, with the size of their receive buffers; see
// package listen.
func ListenConfig(receiveBuffer int) *net.ListenConfig {
	config := listen.Config(receiveBuffer)
	config.KeepAliveConfig = keepAlive
	return config
}

// NewListener returns a Listener of the connections of inner.
func NewListener(inner net.Listener, o Options) *Listener {
	nothing := func() {}
	for _, f := range []*func(){&o.OnOpen, &o.OnClose, &o.OnFull} {
		if *f == nil {
			*f = nothing
		}
	}
	if o.WriteStall == 0 {
		o.WriteStall = defaultWriteStall
	}
	if o.Accept == nil {
		o.Accept = func(int) bool { return true }
	}
	if o.ResizeHead == nil {
		o.ResizeHead = func(_, _ int64) bool { return true }
	}
	if o.OnWrite == nil {
		o.OnWrite = func(int) {}
	}
	if o.OnRefuse == nil {
		o.OnRefuse = func(*errkind.Error) {}
	}
	if o.OnGiveUp == nil {
		o.OnGiveUp = func(overload.Phase) {}
	}
	return &Listener{Listener: inner, options: o}
}

// SetDeadline is used to end a listener without losing connections that wait.
func (l *Listener) SetDeadline(t time.Time) error {
	inner, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetDeadline(t)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		if !l.makeRoom() {
			l.options.OnFull()
			_ = tcp.Close() // nothing was read or written
			continue
		}
		if n := l.options.SendBuffer; n > 0 {
			_ = tcp.SetWriteBuffer(n) // fails only on a closed connection
		}
		return l.add(tcp), nil
	}
}

// makeRoom gives up a connection if there is room for no more, and reports whether there is room then.
func (l *Listener) makeRoom() bool {
	l.mu.Lock()
	if (l.options.MaxConnections == 0 || l.open < l.options.MaxConnections) && l.options.Accept(l.open) {
		l.mu.Unlock()
		return true
	}
	c, phase, ok := l.waiting.GiveUp(sinceStart(), func(c *conn) bool { return netpeek.Look(c.tcp) == netpeek.Readable })
	l.mu.Unlock()
	if !ok {
		return false
	}
	l.options.OnGiveUp(phase)
	c.abort()
	return true
}

func (l *Listener) add(tcp *net.TCPConn) *conn {
	c := &conn{Conn: tcp, tcp: tcp, listener: l}
	if l.options.TLS != nil {
		c.Conn = tls.Server(tcp, l.options.TLS) // the first read does the handshake
	}
	c.timeout.set(l.options.Limits().IdleTimeout)
	_ = c.applyDeadline() // fails only on a closed connection
	l.mu.Lock()
	l.open++
	c.waiter = l.waiting.Begin(sinceStart(), c, overload.FirstHead)
	l.mu.Unlock()
	l.options.OnOpen()
	return c
}

// remove is called once for each connection.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	if c.waiter != nil {
		l.waiting.End(c.waiter)
	}
	c.waiter, c.isRemoved = nil, true
	l.open--
	l.mu.Unlock()
	l.options.OnClose()
}

// wait records what the instance waits for on a connection.
func (l *Listener) wait(c *conn, phase overload.Phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isRemoved {
		return
	}
	if c.waiter != nil {
		l.waiting.End(c.waiter)
	}
	c.waiter = l.waiting.Begin(sinceStart(), c, phase)
}

// endWait records that the instance does not wait on a connection.
func (l *Listener) endWait(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.waiter != nil {
		l.waiting.End(c.waiter)
		c.waiter = nil
	}
}

// receive records bytes of a body.
func (l *Listener) receive(c *conn, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.waiter != nil {
		c.waiter.Receive(n)
	}
}

var startedAt = time.Now()

// sinceStart returns the age of the process.
func sinceStart() time.Duration { return time.Since(startedAt) }
