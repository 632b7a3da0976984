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

// Ports of an instance's relays, and the name of the store in rules.
const (
	peerRelayPort  = 7947
	storeRelayPort = 7948
	storeName      = "store"
)

// linkState is the fault of one direction of a connection: cut blocks its bytes,
// delay holds each chunk back.
type linkState struct {
	cut   bool
	delay time.Duration
}

// network relays the connections between daemons and to the store. A rule cuts or
// delays each direction, selected by the instance names of both parties. Blocked
// bytes are delivered when the cut ends, as after a route failure.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	rule    func(from, to string) linkState
	closed  bool
}

func newNetwork() *network {
	n := &network{}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// setRule replaces the rule in force; nil removes every fault.
func (n *network) setRule(rule func(from, to string) linkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
	n.changed.Broadcast()
}

// isolate cuts both directions between a process and the parties for which others
// returns true.
func (n *network) isolate(name string, others func(string) bool) {
	n.setRule(func(from, to string) linkState {
		return linkState{cut: from == name && others(to) || to == name && others(from)}
	})
}

// waitPassable waits until the rule lets bytes pass from one party to another. It
// returns false if the network is closed.
func (n *network) waitPassable(from, to string) bool {
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

// insertRelays puts a relay in front of every daemon's peer address, and one
// between each daemon and the store. It changes the settings of the cluster to
// these addresses.
func (n *network) insertRelays(t *testing.T, c *devcluster.Cluster) {
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
		n.listenRelay(t, s.Advertise, s.Listen.Peer, "", s.Instance)
		store := fmt.Sprintf("%s:%d", host, storeRelayPort)
		n.listenRelay(t, store, strings.TrimPrefix(c.PlatformURL, "http://"), s.Instance, storeName)
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

// listenRelay relays the connections that arrive at address to target. If from is
// empty, the name of the connecting instance is read from its hello message.
func (n *network) listenRelay(t *testing.T, address, target, from, to string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go n.relay(client, target, from, to)
		}
	}()
}

// relay forwards one connection in both directions until either side closes.
func (n *network) relay(client net.Conn, target, from, to string) {
	defer client.Close()
	first := make([]byte, 64<<10)
	size, err := client.Read(first)
	if err != nil {
		return
	}
	if from == "" {
		from = instanceFromHello(first[:size])
	}
	if !n.waitPassable(from, to) {
		return
	}
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		// Without a process at target, the client has to receive a reset.
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer upstream.Close()
	if _, err := upstream.Write(first[:size]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go n.copy(upstream, client, from, to, done)
	go n.copy(client, upstream, to, from, done)
	<-done
}

func (n *network) copy(dst, src net.Conn, from, to string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 64<<10)
	for {
		size, err := src.Read(buffer)
		if size > 0 {
			if !n.waitPassable(from, to) {
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

// instanceFromHello returns the instance name in a hello message.
func instanceFromHello(message []byte) string {
	_, rest, _ := bytes.Cut(message, []byte(`"instance":"`))
	name, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(name)
}
