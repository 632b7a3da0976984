package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
)

// Node listens for other daemons and keeps one outgoing link per address.
type Node struct {
	handler  Handler
	local    func() api.Hello
	server   *tls.Config
	client   *tls.Config
	counters Counters

	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	listener net.Listener
	dialing  map[string]*dial
	accepted map[*Link]bool
	group    sync.WaitGroup
}

// dial is an outgoing link, or the attempt to open it.
type dial struct {
	done chan struct{}
	link *Link
	err  error
}

const (
	// idleLimit is how long an outgoing link is kept without a call. Digests go to
	// changing peers, whose links would otherwise add up to one for each daemon.
	idleLimit = 30 * time.Second
	reapEvery = 5 * time.Second
)

// Options configure a Node.
type Options struct {
	// Handler answers the calls of other daemons.
	Handler Handler
	// Local returns this process's hello.
	Local func() api.Hello
	// ServerTLS and ClientTLS enable mutual TLS; nil means plain TCP.
	ServerTLS, ClientTLS *tls.Config
}

// NewNode returns a node that does not listen yet.
func NewNode(o Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		handler: o.Handler, local: o.Local, server: o.ServerTLS, client: o.ClientTLS,
		ctx: ctx, cancel: cancel,
		dialing: map[string]*dial{}, accepted: map[*Link]bool{},
	}
}

// Counters returns the byte counters of all links.
func (n *Node) Counters() *Counters { return &n.counters }

// Listen accepts links on address until Close and returns the bound address.
func (n *Node) Listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", eris.Wrapf(err, "peer listener %s cannot be opened", address)
	}
	if n.server != nil {
		listener = tls.NewListener(listener, n.server)
	}
	n.mu.Lock()
	n.listener = listener
	n.mu.Unlock()
	n.group.Go(func() { n.accept(listener) })
	return listener.Addr().String(), nil
}

func (n *Node) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.serve(conn)
	}
}

func (n *Node) serve(conn net.Conn) {
	link := &Link{}
	d := &dispatcher{handler: n.handler, local: n.local, link: link, said: make(chan struct{})}
	d.attach(n.ctx, conn, &n.counters)
	n.mu.Lock()
	n.accepted[link] = true
	n.mu.Unlock()
	n.group.Go(func() { n.awaitClose(link, d.said) })
}

// awaitHello closes a link whose other side does not say hello in time, so that
// silent connections do not add up.
func (n *Node) awaitHello(link *Link, said <-chan struct{}) {
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case <-said:
	case <-link.Done():
	case <-timer.C:
		link.Close()
	}
}

// awaitClose reports the end of a link that said hello.
func (n *Node) awaitClose(link *Link, said <-chan struct{}) {
	n.awaitHello(link, said)
	<-link.Done()
	n.mu.Lock()
	delete(n.accepted, link)
	n.mu.Unlock()
	select {
	case <-said:
		n.handler.LinkClosed(link)
	default:
	}
}

// Link returns the open outgoing link to address and dials when there is none.
// Concurrent callers share one dial. An error wraps ErrNotSent.
func (n *Node) Link(ctx context.Context, address string) (*Link, error) {
	n.mu.Lock()
	d, ok := n.dialing[address]
	if !ok {
		d = &dial{done: make(chan struct{})}
		n.dialing[address] = d
		n.group.Go(func() { n.dial(address, d) })
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		if d.err == nil {
			d.link.used.Store(time.Now().UnixNano())
		}
		return d.link, d.err
	case <-ctx.Done():
		return nil, wrapDial(ctx.Err(), address)
	}
}

func (n *Node) dial(address string, d *dial) {
	d.link, d.err = n.connect(address)
	close(d.done)
	if d.err == nil {
		d.link.closeWhenIdle(idleLimit, reapEvery)
	}
	n.mu.Lock()
	delete(n.dialing, address)
	n.mu.Unlock()
	if d.err == nil {
		n.handler.LinkClosed(d.link)
	}
}

func (n *Node) connect(address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(n.ctx, helloTimeout)
	defer cancel()
	conn, err := n.dialConn(ctx, address)
	if err != nil {
		return nil, wrapDial(err, address)
	}
	link := &Link{}
	said := make(chan struct{})
	d := &dispatcher{handler: n.handler, local: n.local, link: link, said: said}
	d.attach(n.ctx, conn, &n.counters)
	var hello api.Hello
	if err := link.Call(ctx, MethodHello, n.local(), &hello); err != nil {
		link.Close()
		return nil, wrapDial(err, address)
	}
	d.once.Do(func() {
		link.Remote = hello.Member
		link.Revision = hello.Revision
		close(said)
		n.handler.LinkOpened(link)
	})
	return link, nil
}

func (n *Node) dialConn(ctx context.Context, address string) (net.Conn, error) {
	if n.client == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: n.client}).DialContext(ctx, "tcp", address)
}

// StopListening refuses new links; open ones stay.
func (n *Node) StopListening() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener != nil {
		_ = n.listener.Close()
	}
}

// Close closes every link and waits for the node's goroutines.
func (n *Node) Close() {
	n.StopListening()
	n.cancel()
	n.group.Wait()
}
