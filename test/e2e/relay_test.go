package e2e

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/platform"
)

// Ports of the relays of an instance.
const (
	peerRelayPort  = 7947
	storeRelayPort = 7948
	storeName      = "store"
)

// link is what the network does to the bytes from one party to another.
type link struct {
	cut   bool
	delay time.Duration
}

// network carries the connections between daemons and to the store, and cuts or
// delays each direction by the names of both parties. Held bytes go on when the
// cut ends, as they do after a lost route.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	rule    func(from, to string) link
	closed  bool
}

func newNetwork() *network {
	n := &network{}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// set replaces the rule in force; nil heals the network.
func (n *network) set(rule func(from, to string) link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
	n.changed.Broadcast()
}

// isolate cuts both directions between one process and the parties that match.
func (n *network) isolate(name string, others func(string) bool) {
	n.set(func(from, to string) link {
		return link{cut: from == name && others(to) || to == name && others(from)}
	})
}

// pass waits until bytes may go from one party to another.
func (n *network) pass(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.closed && n.rule != nil && n.rule(from, to).cut {
		n.changed.Wait()
	}
	if n.rule != nil && n.rule(from, to).delay > 0 {
		delay := n.rule(from, to).delay
		n.mu.Unlock()
		time.Sleep(delay)
		n.mu.Lock()
	}
	return !n.closed
}

// join places a relay before every daemon and before the store of each.
func (n *network) join(t *testing.T, c *devcluster.Cluster) {
	t.Helper()
	t.Cleanup(func() {
		n.mu.Lock()
		n.closed = true
		n.changed.Broadcast()
		n.mu.Unlock()
	})
	relayed := map[string]string{}
	for i := range c.Settings {
		s := &c.Settings[i]
		host, _, _ := net.SplitHostPort(s.Listen.Peer)
		relayed[s.Listen.Peer] = fmt.Sprintf("%s:%d", host, peerRelayPort)
		s.Advertise = relayed[s.Listen.Peer]
		n.listen(t, s.Advertise, s.Listen.Peer, "", s.Instance)
		store := fmt.Sprintf("%s:%d", host, storeRelayPort)
		n.listen(t, store, strings.TrimPrefix(c.PlatformURL, "http://"), s.Instance, storeName)
		s.Platform.URL = "http://" + store
		c.Store.RegisterInstance(platform.Instance{
			Name: s.Instance, Address: s.Advertise, FailureDomain: s.FailureDomain, Region: s.Region, Role: string(s.Role),
		})
	}
	for i := range c.Settings {
		for j, address := range c.Settings[i].Peers {
			c.Settings[i].Peers[j] = relayed[address]
		}
	}
}

// listen relays the connections to address. An empty from is read from the hello
// message of each connection.
func (n *network) listen(t *testing.T, address, target, from, to string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go n.relay(near, target, from, to)
		}
	}()
}

func (n *network) relay(near net.Conn, target, from, to string) {
	defer near.Close()
	first := make([]byte, 64<<10)
	size, err := near.Read(first)
	if err != nil {
		return
	}
	if from == "" {
		from = instanceIn(first[:size])
	}
	if !n.pass(from, to) {
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		// The dialer sees the reset of a process that is gone.
		_ = near.(*net.TCPConn).SetLinger(0)
		return
	}
	defer far.Close()
	if _, err := far.Write(first[:size]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go n.copy(far, near, from, to, done)
	go n.copy(near, far, to, from, done)
	<-done
}

func (n *network) copy(dst, src net.Conn, from, to string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 64<<10)
	for {
		size, err := src.Read(buffer)
		if size > 0 {
			if !n.pass(from, to) {
				return
			}
			if _, err := dst.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func instanceIn(hello []byte) string {
	_, rest, _ := bytes.Cut(hello, []byte(`"instance":"`))
	name, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(name)
}
