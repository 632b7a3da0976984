package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/listen"
	"github.com/borageflow/borageflow/internal/overload"
)

// Node accepts links from other daemons and keeps at most one outgoing link per
// address.
type Node struct {
	handler    Handler
	localHello func() api.Hello
	onPanic    func(method string, value any)
	serverTLS  *tls.Config
	clientTLS  *tls.Config
	onCall     func(remote api.Member, method string, bytes int)
	counters   Counters
	bounds     overload.Peers
	// messageMemory is shared by the accepted links, nil for no bound.
	messageMemory *semaphore.Weighted

	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// closed is set by Close. From then on no goroutine may start.
	closed   bool
	listener net.Listener
	outgoing map[string]*outgoingLink
	// accepted holds the accepted links, and waiting those of them without a hello.
	accepted   map[*Link]*overload.Waiter[*Link]
	waiting    overload.Waiting[*Link]
	goroutines sync.WaitGroup
}

// outgoingLink is a dial in progress and, after it, the link or the error.
type outgoingLink struct {
	// dialed is closed when link and err are set.
	dialed chan struct{}
	link   *Link
	err    error
}

const (
	// idleTimeout is how long an outgoing link stays open without a call. Membership
	// digests go to a different peer each time, so a process would otherwise keep a
	// link to every daemon.
	idleTimeout       = 30 * time.Second
	idleCheckInterval = 5 * time.Second
)

// Options configure a Node.
type Options struct {
	// Handler serves the calls of other daemons.
	Handler Handler
	// Local returns the hello message that this process sends.
	Local func() api.Hello
	// OnPanic is called with the method of a message whose handler has panicked and the value of the
	// panic, while the stack is still that of the handler. The call fails; other messages are served.
	// Nil ignores it.
	OnPanic func(method string, value any)
	// OnCall is called with the bytes of each outgoing call and its answer. Nil ignores them.
	OnCall func(remote api.Member, method string, bytes int)
	// ServerTLS and ClientTLS configure mutual TLS for accepted and dialed links;
	// nil means plain TCP.
	ServerTLS, ClientTLS *tls.Config
	// Bounds limit the accepted links; a field that is 0 bounds nothing.
	Bounds overload.Peers
}

// NewNode returns a node without a listener. It can dial; Listen makes it accept
// links.
func NewNode(o Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	if o.OnPanic == nil {
		o.OnPanic = func(string, any) {}
	}
	n := &Node{
		handler: o.Handler, localHello: o.Local, onPanic: o.OnPanic, serverTLS: o.ServerTLS, clientTLS: o.ClientTLS, onCall: o.OnCall,
		ctx: ctx, cancel: cancel, bounds: o.Bounds,
		outgoing: map[string]*outgoingLink{}, accepted: map[*Link]*overload.Waiter[*Link]{},
	}
	if o.Bounds.MessageBytes > 0 {
		n.messageMemory = semaphore.NewWeighted(o.Bounds.MessageBytes)
	}
	return n
}

// Counters returns the byte counters of all links, which the node keeps updating.
func (n *Node) Counters() *Counters { return &n.counters }

// errClosed is returned by calls of a closed node.
var errClosed = eris.New("node is closed")

// Listen accepts links on address until StopListening or Close, and returns the
// bound address. A closed node returns an error.
func (n *Node) Listen(address string) (string, error) {
	listener, err := listen.Config(n.bounds.ReceiveBuffer).Listen(n.ctx, "tcp", address)
	if err != nil {
		return "", eris.Wrapf(err, "peer listener %s cannot be opened", address)
	}
	if n.serverTLS != nil {
		listener = tls.NewListener(listener, n.serverTLS)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = listener.Close()
		return "", eris.Wrapf(errClosed, "peer listener %s cannot be opened", address)
	}
	n.listener = listener
	n.goroutines.Go(func() { n.acceptLoop(listener) })
	return listener.Addr().String(), nil
}

func (n *Node) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.serveConn(conn)
	}
}

func (n *Node) serveConn(conn net.Conn) {
	if !n.makeRoom() {
		_ = conn.Close() // nothing was read or written
		return
	}
	link := &Link{}
	d := &dispatcher{handler: n.handler, localHello: n.localHello, onPanic: n.onPanic, link: link, helloDone: make(chan struct{})}
	d.startAccepted(n, conn)
	n.mu.Lock()
	waiter := n.waiting.Begin(sinceStart(), link, overload.FirstHead)
	n.accepted[link] = waiter
	n.mu.Unlock()
	n.goroutines.Go(func() { n.watchAccepted(link, d.helloDone, waiter) })
}

// makeRoom gives up the link that has brought no hello for longest if there is room for no more, and reports whether
// there is room then.
func (n *Node) makeRoom() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bounds.Links == 0 || len(n.accepted) < n.bounds.Links {
		return true
	}
	link, _, ok := n.waiting.GiveUp(sinceStart(), func(*Link) bool { return false })
	if ok {
		n.waiting.End(n.accepted[link])
		delete(n.accepted, link)
		link.Close()
	}
	return ok
}

// AcceptedLinks returns the number of open links that other nodes have opened.
func (n *Node) AcceptedLinks() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.accepted)
}

var startedAt = time.Now()

// sinceStart returns the age of the process.
func sinceStart() time.Duration { return time.Since(startedAt) }

// awaitHello closes a link that receives no hello within helloTimeout. Connections
// without traffic would otherwise accumulate.
func (n *Node) awaitHello(link *Link, helloDone <-chan struct{}) {
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case <-helloDone:
	case <-link.Done():
	case <-timer.C:
		link.Close()
	}
}

// watchAccepted waits until an accepted link closes, removes it, and reports it to
// the handler when its hello had arrived.
func (n *Node) watchAccepted(link *Link, helloDone <-chan struct{}, waiter *overload.Waiter[*Link]) {
	n.awaitHello(link, helloDone)
	n.mu.Lock()
	n.waiting.End(waiter)
	n.mu.Unlock()
	<-link.Done()
	n.mu.Lock()
	delete(n.accepted, link)
	n.mu.Unlock()
	select {
	case <-helloDone:
		n.handler.LinkClosed(link)
	default:
	}
}

// Link returns the open outgoing link to address, or dials one. Concurrent callers
// share one dial, which takes at most helloTimeout. Every error wraps ErrNotSent. A
// closed node dials no link.
func (n *Node) Link(ctx context.Context, address string) (*Link, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, dialError(errClosed, address)
	}
	out, ok := n.outgoing[address]
	if !ok {
		out = &outgoingLink{dialed: make(chan struct{})}
		n.outgoing[address] = out
		n.goroutines.Go(func() { n.runOutgoing(address, out) })
	}
	n.mu.Unlock()
	select {
	case <-out.dialed:
		if out.err == nil {
			out.link.lastCallNanos.Store(time.Now().UnixNano())
		}
		return out.link, out.err
	case <-ctx.Done():
		return nil, dialError(ctx.Err(), address)
	}
}

// runOutgoing dials, closes the link after idleTimeout and removes it from outgoing.
func (n *Node) runOutgoing(address string, out *outgoingLink) {
	out.link, out.err = n.openLink(address)
	close(out.dialed)
	if out.err == nil {
		out.link.closeAfterIdle(idleTimeout, idleCheckInterval)
	}
	n.mu.Lock()
	delete(n.outgoing, address)
	n.mu.Unlock()
	if out.err == nil {
		n.handler.LinkClosed(out.link)
	}
}

func (n *Node) openLink(address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(n.ctx, helloTimeout)
	defer cancel()
	conn, err := n.dialConn(ctx, address)
	if err != nil {
		return nil, dialError(err, address)
	}
	link := &Link{}
	helloDone := make(chan struct{})
	d := &dispatcher{handler: n.handler, localHello: n.localHello, onPanic: n.onPanic, link: link, helloDone: helloDone}
	d.startConn(n.ctx, conn, &n.counters)
	var hello api.Hello
	if err := link.Call(ctx, MethodHello, n.localHello(), &hello); err != nil {
		link.Close()
		return nil, dialError(err, address)
	}
	d.helloOnce.Do(func() {
		link.Remote = hello.Member
		link.Revision = hello.Revision
		link.countCall = n.onCall
		close(helloDone)
		n.handler.LinkOpened(link)
	})
	return link, nil
}

func (n *Node) dialConn(ctx context.Context, address string) (net.Conn, error) {
	if n.clientTLS == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: n.clientTLS}).DialContext(ctx, "tcp", address)
}

// StopListening closes the listener. Open links stay open.
func (n *Node) StopListening() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener != nil {
		_ = n.listener.Close()
	}
}

// Close closes the listener and every link, and waits for the node's goroutines.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.StopListening()
	n.cancel()
	n.goroutines.Wait()
}
