package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy forwards TCP connections to one address and injects network faults.
type proxy struct {
	listener    net.Listener
	target      string
	mu          sync.Mutex
	fault       string // "", "delay", "silent" (drops both directions), "oneway" (drops responses), "refuse"
	connections map[net.Conn]bool
	// cutAfter is the number of response bytes of a connection after which it is closed, or reset
	// if cutByReset is set; negative for none.
	cutAfter   int
	cutByReset bool
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, connections: map[net.Conn]bool{}, cutAfter: -1}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == "refuse" {
			_ = c.Close()
			continue
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.track(c, upstream, true)
		go p.copy(c, upstream, false)
		go p.copy(upstream, c, true)
	}
}

// track adds both connections to the open ones, or removes them.
func (p *proxy) track(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if open {
			p.connections[c] = true
			continue
		}
		delete(p.connections, c)
	}
}

func (p *proxy) currentFault() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) setFault(fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// cutResponses makes each connection end after a number of response bytes, by a reset or in order.
// A negative number ends the fault.
func (p *proxy) cutResponses(after int, byReset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAfter, p.cutByReset = after, byReset
}

// cut returns how many of the next n response bytes pass, and whether the connection then ends.
func (p *proxy) cut(to net.Conn, passed, n int) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutAfter < 0 || passed+n < p.cutAfter {
		return n, false
	}
	if tcp, ok := to.(*net.TCPConn); ok && p.cutByReset {
		_ = tcp.SetLinger(0) // the close that follows resets the connection
	}
	return max(p.cutAfter-passed, 0), true
}

// resetConnections closes every open connection with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// proxyDelay is the delay before each chunk of a connection is forwarded under the fault "delay".
const proxyDelay = 120 * time.Millisecond

// copy forwards data from one connection to the other, subject to the current fault. isResponse
// is true for the direction from the target to the client.
func (p *proxy) copy(from, to net.Conn, isResponse bool) {
	defer func() {
		p.track(from, to, false)
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 16<<10)
	for passed := 0; ; {
		n, err := from.Read(buf)
		switch fault := p.currentFault(); {
		case fault == "silent" || fault == "oneway" && isResponse:
			n = 0
		case fault == "delay":
			time.Sleep(proxyDelay)
		}
		ends := false
		if isResponse && n > 0 {
			n, ends = p.cut(to, passed, n)
			passed += n
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // passes the reset on
			}
		}
		if err != nil || ends {
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConnections()
}

// end closes the listener and all connections, as the end of the process behind it does.
func (p *proxy) end() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		_ = c.Close()
	}
}
