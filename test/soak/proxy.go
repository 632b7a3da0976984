package main

import (
	"net"
	"sync"
	"time"
)

// proxy carries connections to one address and harms them on demand.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     string // "", "delay", "silent" (both ways), "oneway" (answers are lost), "refuse"
	open     map[net.Conn]bool
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: map[net.Conn]bool{}}
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
		if p.current() == "refuse" {
			_ = c.Close()
			continue
		}
		up, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.track(c, up, true)
		go p.copy(c, up, false)
		go p.copy(up, c, true)
	}
}

func (p *proxy) track(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if open {
			p.open[c] = true
			continue
		}
		delete(p.open, c)
	}
}

func (p *proxy) current() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) set(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// reset closes every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// proxyDelay holds back each piece of a delayed connection.
const proxyDelay = 120 * time.Millisecond

func (p *proxy) copy(from, to net.Conn, answers bool) {
	defer func() {
		p.track(from, to, false)
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		switch mode := p.current(); {
		case mode == "silent" || mode == "oneway" && answers:
			n = 0
		case mode == "delay":
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
