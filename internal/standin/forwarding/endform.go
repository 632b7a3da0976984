package forwarding

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// EndForm is what callers see of the end of a worker.
type EndForm int

// The forms.
const (
	// Refuses closes the connections and refuses new ones, as a process that has ended does.
	Refuses EndForm = iota
	// Accepts closes the connections and each new one, as the socket of a supervisor or proxy does.
	Accepts
	// Silent keeps the connections, accepts new ones and answers nothing any more, as a process that hangs does.
	Silent
	// Dark keeps the connections and answers neither on them nor to new ones, as a machine without power does.
	Dark
	// Resets resets the connections and refuses new ones.
	Resets
	// BreaksOnly closes the connections and accepts new ones: the worker has not ended.
	BreaksOnly
)

// endAs ends the worker in a form.
func (w *Worker) endAs(form EndForm) {
	switch form {
	case Accepts:
		w.listener.closeConns(true, false)
	case BreaksOnly:
		w.listener.closeConns(false, false)
	case Silent:
		close(w.silent)
	case Dark:
		close(w.silent)
		w.listener.stopAccepting()
	case Resets:
		_ = w.listener.Close() // new connections are refused before the others are reset
		w.listener.closeConns(true, true)
	case Refuses:
		w.Close()
	}
}

// awaitClose waits until the worker is closed, if it has fallen silent.
func (w *Worker) awaitClose() {
	select {
	case <-w.silent:
		<-w.closed
	default:
	}
}

// endingListener is a listener that knows its connections.
type endingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// hasEnded is set if new connections are closed at once, isDark if they are not answered.
	hasEnded, isDark bool
	// fillers take the places of the queue of new connections while isDark is set.
	fillers []net.Conn
	closed  chan struct{}
}

func newEndingListener(l net.Listener) *endingListener {
	return &endingListener{Listener: l, conns: map[net.Conn]struct{}{}, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *endingListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		isDark := l.isDark
		l.mu.Unlock()
		if isDark {
			<-l.closed
			return nil, net.ErrClosed
		}
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		hasEnded := l.hasEnded
		if !hasEnded {
			l.conns[c] = struct{}{}
		}
		l.mu.Unlock()
		if !hasEnded {
			return &endingConn{c, l}, nil
		}
		_ = c.Close() // nothing was written
	}
}

// closeConns closes or resets all connections, and with ended new ones too.
func (l *endingListener) closeConns(ended, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasEnded = l.hasEnded || ended
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0) // fails on a closed connection
		}
		_ = c.Close() // fails on a closed connection
	}
	clear(l.conns)
}

// stopAccepting shortens the queue of new connections to its least length and fills it, so that the kernel
// answers no further ones.
func (l *endingListener) stopAccepting() {
	l.mu.Lock()
	l.isDark = true
	l.mu.Unlock()
	if tcp, ok := l.Listener.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // the dials below show whether it is short
		}
	}
	for failed := 0; failed < 2; {
		c, err := net.DialTimeout("tcp", l.Addr().String(), fillTimeout)
		if err != nil {
			failed++
			continue
		}
		failed = 0
		l.mu.Lock()
		l.fillers = append(l.fillers, c)
		l.mu.Unlock()
	}
}

// fillTimeout is the time of a dial two of which show that the queue of new connections is full.
const fillTimeout = 100 * time.Millisecond

func (l *endingListener) closeAll() {
	l.mu.Lock()
	fillers := l.fillers
	l.fillers = nil
	l.mu.Unlock()
	for _, c := range fillers {
		_ = c.Close() // nothing was written
	}
	close(l.closed)
	_ = l.Close() // fails if it is closed already
	l.closeConns(true, false)
}

// endingConn leaves the list of its listener when it is closed.
type endingConn struct {
	net.Conn
	listener *endingListener
}

// Close implements net.Conn.
func (c *endingConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
