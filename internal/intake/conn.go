package intake

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/netpeek"
	"github.com/borageflow/borageflow/internal/overload"
)

const (
	// defaultWriteStall is longer than a slow caller needs to take a part of the send buffer: 42 KiB at 1 KB/s.
	defaultWriteStall = time.Minute
	// lateReadTime is allowed beyond a time-out for bytes that had arrived before it: the process was late to read.
	lateReadTime = time.Second
)

// conn is a connection of a caller. net/http uses it from one goroutine at a time, except for deadlines and Close.
type conn struct {
	// Conn is tcp, or TLS on it.
	net.Conn
	tcp      *net.TCPConn
	listener *Listener
	closing  sync.Once
	// hasPart is set while a part of a request was read that net/http does not have.
	hasPart atomic.Bool

	// raw holds what was received and is needed: the present head from its first byte, or what follows it. The first
	// delivered bytes of it were passed on, and the next cleared ones may be.
	raw                []byte
	delivered, cleared int
	head               head
	body               body
	isInBody           bool
	isWaiting          bool // for a head, with the time-out set
	isKept             bool // a head was whole before
	isRefused          bool

	timeout timeout

	// closeMu guards what Close changes.
	closeMu  sync.Mutex
	isClosed bool
	reserved int64

	// The listener's mutex guards these.
	waiter    *overload.Waiter[*conn]
	isRemoved bool
}

// Read implements net.Conn. It returns no byte of a head before all of it has arrived, except the first one to the
// background read of net/http, which asks for one byte while a request is in progress.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		switch {
		case c.isRefused:
			return 0, io.EOF
		case c.cleared > 0:
			return c.deliver(p), nil
		case c.isInBody:
			if n, err := c.readBody(p); n > 0 || err != nil {
				return n, err
			}
		case len(p) == 1:
			return c.readFirstByte(p)
		default:
			if err := c.readHead(p); err != nil {
				return 0, err
			}
		}
	}
}

// deliver passes on cleared bytes.
func (c *conn) deliver(p []byte) int {
	n := copy(p, c.raw[c.delivered:c.delivered+c.cleared])
	c.delivered += n
	if c.cleared -= n; c.cleared == 0 {
		c.raw = append([]byte(nil), c.raw[c.delivered:]...) // frees the head
		c.delivered = 0
		c.hasPart.Store(len(c.raw) > 0)
	}
	return n
}

// readBody returns bytes of the body, and 0 and nil at its end.
func (c *conn) readBody(p []byte) (int, error) {
	if len(c.raw) > 0 {
		c.cleared = c.body.advance(c.raw)
		n := c.cleared
		c.endBody(n)
		if n == 0 {
			return 0, nil
		}
		return c.deliver(p), nil
	}
	n, err := c.Conn.Read(p)
	own := c.body.advance(p[:n])
	if own < n {
		c.raw = append(c.raw, p[own:n]...)
		c.hasPart.Store(true)
	}
	c.endBody(own)
	return own, err
}

// endBody records n more bytes of the body, and its end.
func (c *conn) endBody(n int) {
	if c.body.isDone {
		c.isInBody = false
		c.listener.endWait(c)
	} else {
		c.listener.receive(c, n)
	}
}

// readFirstByte returns the first byte of a head.
func (c *conn) readFirstByte(p []byte) (int, error) {
	if c.delivered == 0 && len(c.raw) == 0 {
		n, err := c.Conn.Read(p)
		c.raw, c.delivered = append(c.raw, p[:n]...), n
		return n, err
	}
	if c.delivered >= len(c.raw) { // net/http has the first byte and reads no second one
		return 0, io.ErrNoProgress
	}
	p[0] = c.raw[c.delivered]
	c.delivered++
	return 1, nil
}

// readHead returns once a head is whole. It uses p to read into. After a time-out that net/http has set, another call
// goes on.
func (c *conn) readHead(p []byte) error {
	if !c.isWaiting {
		c.startHead()
	}
	for {
		length, refusal := c.head.scan(c.raw, c.listener.options.Limits().HeaderBytes)
		if refusal == nil && length == 0 {
			refusal = c.reserve(int64(cap(c.raw)))
		}
		if refusal == nil && length > 0 {
			if refusal = c.reserve(overload.HeadBytes(length, c.head.fields)); refusal == nil {
				c.endHead(length)
				return nil
			}
		}
		if refusal != nil {
			c.refuse(refusal, p)
			return nil
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.receiveHead(p[:n])
			continue
		}
		if err != nil && !c.isLate(err) {
			return err
		}
	}
}

// startHead begins the wait for a head. The request before has ended, and with it the memory of its head.
func (c *conn) startHead() {
	c.isWaiting, c.head = true, head{}
	if len(c.raw) > 0 {
		c.startHeaderTimeout()
	} else if c.isKept {
		c.timeout.set(c.listener.options.Limits().IdleTimeout)
		_ = c.applyDeadline() // fails only on a closed connection
	}
}

func (c *conn) startHeaderTimeout() {
	if c.isKept {
		c.listener.wait(c, overload.LaterHead)
	}
	c.hasPart.Store(true)
	c.timeout.set(c.listener.options.Limits().HeaderTimeout)
	_ = c.applyDeadline() // fails only on a closed connection
}

func (c *conn) receiveHead(p []byte) {
	isFirst := len(c.raw) == 0
	c.raw = append(c.raw, p...)
	if isFirst {
		c.startHeaderTimeout()
	}
}

// endHead clears a whole head for net/http.
func (c *conn) endHead(length int) {
	c.cleared = length - c.delivered
	c.body = bodyOf(&c.head)
	c.isInBody, c.isWaiting, c.isKept = !c.body.isDone, false, true
	if c.isInBody {
		c.listener.wait(c, overload.Body)
	} else {
		c.listener.endWait(c)
	}
	c.timeout.clear()
	_ = c.applyDeadline() // fails only on a closed connection
}

// reserve replaces the memory that is reserved for the head.
func (c *conn) reserve(n int64) *errkind.Error {
	c.closeMu.Lock()
	defer c.closeMu.Unlock()
	if c.isClosed {
		return nil // the next read fails
	}
	if n != c.reserved && !c.listener.options.ResizeHead(c.reserved, n) {
		return errkind.New(errkind.Overloaded, "instance has no memory for a header of this size").WithRetryAfter(overload.MaxRetryAfter)
	}
	c.reserved = n
	return nil
}

// isLate reports whether a read goes on after a time-out of a head, as bytes had arrived before it.
func (c *conn) isLate(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.timeout.isOver() || netpeek.Look(c.tcp) != netpeek.Readable {
		return false
	}
	c.timeout.set(lateReadTime)
	return c.applyDeadline() == nil
}

// SetReadDeadline implements net.Conn. The time-out of a head ends a read too.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.timeout.setOther(t)
	return c.applyDeadline()
}

func (c *conn) applyDeadline() error { return c.timeout.apply(c.Conn.SetReadDeadline) }

// Write implements net.Conn. A caller that takes nothing for WriteStall is gone.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.listener.options.WriteStall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		c.listener.options.OnWrite(n)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// HasPart reports whether a part of a request was read that net/http does not have.
func (c *conn) HasPart() bool { return c.hasPart.Load() }

// CloseWrite ends what is sent, so that the caller reads the end of an answer.
func (c *conn) CloseWrite() error {
	if both, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return both.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn, so that the connection can be looked at.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// abort closes the connection at once. The end of TLS would wait for a caller that does not read.
func (c *conn) abort() {
	c.end()
	_ = c.tcp.Close() // fails only on a closed connection
}

// end returns what the connection holds.
func (c *conn) end() {
	c.closing.Do(func() {
		c.closeMu.Lock()
		c.isClosed = true
		c.listener.options.ResizeHead(c.reserved, 0)
		c.closeMu.Unlock()
		c.listener.remove(c)
	})
}
